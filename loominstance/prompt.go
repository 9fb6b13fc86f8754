package loominstance

import (
	"context"
	"slices"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomroute"
)

// prompt is one prompt of a caller, checked against the catalogue.
type prompt struct {
	requestID string
	account   loomcatalogue.ClientAccount
	model     loomcatalogue.Model
	group     loomcatalogue.UpstreamGroup
	adapter   loomcatalogue.Adapter
	tokens    []uint32
	maxTokens int
	priority  uint32
	// notRepeatable prompts are never sent again once they may have run.
	notRepeatable bool
	// deadline is zero when the caller waits for ever.
	deadline time.Time
	// recomputeWeight is that of the deployment.
	recomputeWeight float64
}

// plan is a prompt bound to a weight version, with what is known of its kept
// state.
type plan struct {
	version  uint64
	salt     loomcache.Salt
	keys     []loomcache.Key
	segments [][]loomcache.Key
	// found has one holding for each segment; it is nil when nothing is known.
	found []*loompb.SegmentHolding
	// stored holds one reference for each leading block that a store keeps.
	stored []*loompb.BlockRef
	// linkWait is the longest wait for the links of the stores involved, and
	// blockFor the time of one block when all of them work at once.
	linkWait time.Duration
	blockFor time.Duration
}

// storedRun returns the leading blocks that stores keep, over all segments.
func storedRun(segments [][]loomcache.Key, found []*loompb.SegmentHolding) []*loompb.BlockRef {
	var run []*loompb.BlockRef
	for i, f := range found {
		run = append(run, f.GetStored()...)
		if len(f.GetStored()) < len(segments[i]) {
			break
		}
	}
	return run
}

// expectedRecompute returns the tokens that will be computed when the best
// place is free.
func (p plan) expectedRecompute(tokens int) int {
	best := len(p.stored)
	if len(p.found) > 0 {
		for _, e := range p.found[0].GetEngines() {
			best = max(best, p.heldRun(e.GetEngineId(), e.GetEngineIncarnation(), 0))
		}
	}
	return max(tokens-best*loomcache.BlockTokens, 1)
}

// heldRun returns the leading blocks that an engine incarnation is believed to
// cache, counting only what it used after a cache event.
func (p plan) heldRun(engine string, incarnation uint64, after int64) int {
	run := 0
	for i, f := range p.found {
		n := 0
		for _, h := range f.GetEngines() {
			if h.GetEngineId() == engine && h.GetEngineIncarnation() == incarnation && int64(h.GetEvent()) >= after {
				n = int(h.GetBlocks())
			}
		}
		run += n
		if n < len(p.segments[i]) {
			break
		}
	}
	return run
}

// candidate is an engine that may take a prompt.
type candidate struct {
	member loommember.MemberState
	report loomroute.Report
}

// serving returns the engines that may take new prompts of a model, by the
// version that they serve.
func (n *Instance) serving(p *prompt) []candidate {
	var found []candidate
	for _, b := range n.groupEngines(p.model.UpstreamGroup) {
		if b.Status == loommember.Leaving {
			continue
		}
		report, known := n.fleet.Latest(b.ID)
		if known && report.Model == p.model.Name && report.Version <= p.model.Version && report.LoadingVersion == 0 {
			found = append(found, candidate{member: b, report: report})
		}
	}
	return found
}

// bind chooses the version of a prompt: when engines serve several, in
// proportion to their numbers. A version other than zero stays.
func (n *Instance) bind(ctx context.Context, p *prompt, version uint64) (plan, error) {
	serving := n.serving(p)
	if len(serving) == 0 {
		return plan{}, loomerror.New(loomerror.NoUpstream, "no engine serves the model now").WithRetryAfter(time.Second)
	}
	if version == 0 {
		version = serving[n.newRandom().IntN(len(serving))].report.Version
	}
	salt := loomcache.Salt{
		ClientAccount:  p.account.Name,
		Model:          p.model.Name,
		Adapter:        p.adapter.Name,
		Version:        version,
		AdapterVersion: p.adapter.Version,
	}
	pl := plan{version: version, salt: salt, keys: loomcache.Chain(salt, p.tokens)}
	pl.segments = loomcache.Segments(pl.keys)
	pl.found = n.lookup(ctx, p.account.Name, pl.segments)
	pl.stored = storedRun(pl.segments, pl.found)
	n.setLinkTimes(&pl)
	return pl, nil
}

// setLinkTimes works out how long an import of the stored blocks takes.
func (n *Instance) setLinkTimes(pl *plan) {
	if len(pl.stored) == 0 {
		return
	}
	now := time.Now()
	var longest time.Duration
	for address, bytes := range bytesByStore(pl.stored, 0) {
		budget, ok := n.stores.budget(address)
		if !ok {
			pl.linkWait = time.Hour
			return
		}
		pl.linkWait = max(pl.linkWait, budget.Wait(now))
		longest = max(longest, budget.TransferTime(bytes))
	}
	pl.blockFor = longest / time.Duration(len(pl.stored))
}

// route chooses the engine for a bound prompt.
func (n *Instance) route(now time.Time, p *prompt, pl plan, avoid []string) (loomroute.Choice, candidate, error) {
	per := tokenTime(p.model)
	serving := n.serving(p)
	ejected := n.fleet.Ejected(now, idsOf(serving))
	var candidates []loomroute.Candidate
	byID := make(map[string]candidate)
	for _, c := range serving {
		if c.report.Version != pl.version {
			continue
		}
		e := n.fleet.Estimate(now, c.member.ID, per)
		candidates = append(candidates, loomroute.Candidate{
			ID:            c.member.ID,
			FailureDomain: c.member.FailureDomain,
			Held:          heldBlocks(pl, c),
			Wait:          e.Wait,
			Outstanding:   e.Outstanding,
			Suspect:       c.member.Status == loommember.Suspect || slices.Contains(ejected, c.member.ID),
		})
		byID[c.member.ID] = c
	}
	candidates = preferUntried(candidates, avoid)
	if len(candidates) == 0 {
		return loomroute.Choice{}, candidate{}, loomerror.New(loomerror.NoUpstream, "no engine serves the version of the request now").WithRetryAfter(time.Second)
	}
	request := loomroute.Request{
		Tokens:          len(p.tokens),
		BlockTokens:     loomcache.BlockTokens,
		Adapter:         p.adapter.Name,
		FailureDomain:   n.FailureDomain(),
		Stored:          len(pl.stored),
		LinkWait:        pl.linkWait,
		BlockTime:       pl.blockFor,
		TokenTime:       per,
		RecomputeWeight: p.recomputeWeight,
	}
	if len(pl.keys) > 0 {
		request.Root = pl.keys[0][:]
	}
	choice := n.policy.Choose(request, candidates, n.newRandom())
	return choice, byID[choice.ID], nil
}

func idsOf(cs []candidate) []string {
	ids := make([]string, 0, len(cs))
	for _, c := range cs {
		ids = append(ids, c.member.ID)
	}
	return ids
}

// preferUntried leaves out upstreams that were tried, and the whole failure
// domain of the last one, unless nothing else is left.
func preferUntried(all []loomroute.Candidate, avoid []string) []loomroute.Candidate {
	if len(avoid) == 0 {
		return all
	}
	tried := make(map[string]bool)
	for _, id := range avoid {
		tried[id] = true
	}
	lastDomain := ""
	for _, c := range all {
		if c.ID == avoid[len(avoid)-1] {
			lastDomain = c.FailureDomain
		}
	}
	var elsewhere, untried []loomroute.Candidate
	for _, c := range all {
		if tried[c.ID] {
			continue
		}
		untried = append(untried, c)
		if c.FailureDomain != lastDomain {
			elsewhere = append(elsewhere, c)
		}
	}
	switch {
	case len(elsewhere) > 0:
		return elsewhere
	case len(untried) > 0:
		return untried
	default:
		return all
	}
}

// heldBlocks returns the leading blocks that an engine is believed to cache
// still: those it used less than a cache's worth of events ago.
func heldBlocks(pl plan, c candidate) int {
	oldest := int64(c.report.Event) - int64(eventsPerBlock*c.report.CacheBlocks)
	return pl.heldRun(c.member.ID, c.report.Incarnation, oldest)
}

// eventsPerBlock is the number of cache events for each block that enters a
// full cache: its own, and that of the block that it evicts.
const eventsPerBlock = 2
