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

// prompt is one prompt of a caller, validated against the catalogue.
type prompt struct {
	requestID string
	account   loomcatalogue.ClientAccount
	model     loomcatalogue.Model
	group     loomcatalogue.UpstreamGroup
	adapter   loomcatalogue.Adapter
	tokens    []uint32
	maxTokens int
	priority  uint32
	// notRepeatable prompts are not sent again once they may have run.
	notRepeatable bool
	// deadline is zero when the caller gave none.
	deadline time.Time
	// recomputeWeight is the deployment's weight of recomputed tokens in
	// routing.
	recomputeWeight float64
}

// plan is a prompt bound to a version of the model's weights, with the
// locations of its cached and stored blocks.
type plan struct {
	version  uint64
	salt     loomcache.Salt
	keys     []loomcache.Key
	segments [][]loomcache.Key
	// holdings has one element for each segment; an element is nil when the
	// segment's home did not answer.
	holdings []*loompb.SegmentHolding
	// storedBlocks refers to the leading blocks that stores hold, in order.
	storedBlocks []*loompb.BlockRef
	// linkWait is the longest wait for the link of any store involved.
	// blockTime is the average time to import one block when all stores send in
	// parallel.
	linkWait  time.Duration
	blockTime time.Duration
}

// leadingStoredBlocks returns references to the leading blocks that stores
// hold, up to the first gap.
func leadingStoredBlocks(segments [][]loomcache.Key, holdings []*loompb.SegmentHolding) []*loompb.BlockRef {
	var leading []*loompb.BlockRef
	for i, holding := range holdings {
		leading = append(leading, holding.GetStored()...)
		if len(holding.GetStored()) < len(segments[i]) {
			break
		}
	}
	return leading
}

// expectedRecompute returns the number of prompt tokens to compute if the
// engine or the stores with the longest prefix can be used.
func (p plan) expectedRecompute(tokens int) int {
	best := len(p.storedBlocks)
	if len(p.holdings) > 0 {
		for _, e := range p.holdings[0].GetEngines() {
			best = max(best, p.cachedPrefix(e.GetEngineId(), e.GetEngineIncarnation(), 0))
		}
	}
	return max(tokens-best*loomcache.BlockTokens, 1)
}

// cachedPrefix returns the number of leading blocks that an engine incarnation
// probably caches, counting only those that it used at or after the cache event
// minEvent.
func (p plan) cachedPrefix(engine string, incarnation uint64, minEvent int64) int {
	prefix := 0
	for i, holding := range p.holdings {
		blocks := 0
		for _, engineHolding := range holding.GetEngines() {
			if engineHolding.GetEngineId() == engine && engineHolding.GetEngineIncarnation() == incarnation && int64(engineHolding.GetEvent()) >= minEvent {
				blocks = int(engineHolding.GetBlocks())
			}
		}
		prefix += blocks
		if blocks < len(p.segments[i]) {
			break
		}
	}
	return prefix
}

// candidate is an engine that may run a prompt, with its latest load report.
type candidate struct {
	member loommember.MemberState
	report loomroute.Report
}

// servingEngines returns the engines that may take new prompts of a model: they
// serve it in a version up to the catalogue's, and are neither leaving nor
// loading another version.
func (n *Instance) servingEngines(p *prompt) []candidate {
	var found []candidate
	for _, member := range n.groupEngines(p.model.UpstreamGroup) {
		if member.Status == loommember.Leaving {
			continue
		}
		report, known := n.fleet.Latest(member.ID)
		if known && report.Model == p.model.Name && report.Version <= p.model.Version && report.LoadingVersion == 0 {
			found = append(found, candidate{member: member, report: report})
		}
	}
	return found
}

// bindVersion binds a prompt to a version of the model's weights and looks up
// its blocks. Version zero selects a version in proportion to the number of
// engines that serve it; any other version is kept.
func (n *Instance) bindVersion(ctx context.Context, p *prompt, version uint64) (plan, error) {
	engines := n.servingEngines(p)
	if len(engines) == 0 {
		return plan{}, loomerror.New(loomerror.NoUpstream, "no engine serves the model %q", p.model.Name).WithRetryAfter(time.Second)
	}
	if version == 0 {
		version = engines[n.newRandom().IntN(len(engines))].report.Version
	}
	salt := loomcache.Salt{
		ClientAccount:  p.account.Name,
		Model:          p.model.Name,
		Adapter:        p.adapter.Name,
		Version:        version,
		AdapterVersion: p.adapter.Version,
	}
	bound := plan{version: version, salt: salt, keys: loomcache.Chain(salt, p.tokens)}
	bound.segments = loomcache.Segments(bound.keys)
	bound.holdings = n.lookup(ctx, p.account.Name, bound.segments)
	bound.storedBlocks = leadingStoredBlocks(bound.segments, bound.holdings)
	n.estimateImportTimes(&bound)
	return bound, nil
}

// estimateImportTimes sets the expected wait and time of an import of the
// stored blocks. An unknown store gets a wait of an hour, so that nothing is
// imported.
func (n *Instance) estimateImportTimes(pl *plan) {
	if len(pl.storedBlocks) == 0 {
		return
	}
	now := time.Now()
	var longest time.Duration
	for address, bytes := range bytesByStore(pl.storedBlocks, 0) {
		budget, ok := n.stores.budget(address)
		if !ok {
			pl.linkWait = time.Hour
			return
		}
		pl.linkWait = max(pl.linkWait, budget.Wait(now))
		longest = max(longest, budget.TransferTime(bytes))
	}
	pl.blockTime = longest / time.Duration(len(pl.storedBlocks))
}

// chooseEngine lets the routing policy choose an engine for a bound prompt. The
// IDs in tried are avoided if possible; the last one is the engine that was
// tried last.
func (n *Instance) chooseEngine(now time.Time, p *prompt, pl plan, tried []string) (loomroute.Choice, candidate, error) {
	perToken := tokenTime(p.model)
	engines := n.servingEngines(p)
	ejected := n.fleet.Ejected(now, candidateIDs(engines))
	var candidates []loomroute.Candidate
	byID := make(map[string]candidate)
	for _, c := range engines {
		if c.report.Version != pl.version {
			continue
		}
		e := n.fleet.Estimate(now, c.member.ID, perToken)
		candidates = append(candidates, loomroute.Candidate{
			ID:            c.member.ID,
			FailureDomain: c.member.FailureDomain,
			CachedPrefix:  cachedBlocks(pl, c),
			Wait:          e.Wait,
			Outstanding:   e.Outstanding,
			Suspect:       c.member.Status == loommember.Suspect || slices.Contains(ejected, c.member.ID),
		})
		byID[c.member.ID] = c
	}
	candidates = preferUntried(candidates, tried)
	if len(candidates) == 0 {
		return loomroute.Choice{}, candidate{}, loomerror.New(loomerror.NoUpstream, "no engine serves version %d of the model %q", pl.version, p.model.Name).WithRetryAfter(time.Second)
	}
	request := loomroute.Request{
		Tokens:          len(p.tokens),
		BlockTokens:     loomcache.BlockTokens,
		Adapter:         p.adapter.Name,
		FailureDomain:   n.FailureDomain(),
		Stored:          len(pl.storedBlocks),
		LinkWait:        pl.linkWait,
		BlockTime:       pl.blockTime,
		TokenTime:       perToken,
		RecomputeWeight: p.recomputeWeight,
	}
	if len(pl.keys) > 0 {
		request.Root = pl.keys[0][:]
	}
	choice := n.policy.Choose(request, candidates, n.newRandom())
	return choice, byID[choice.ID], nil
}

func candidateIDs(cs []candidate) []string {
	ids := make([]string, 0, len(cs))
	for _, c := range cs {
		ids = append(ids, c.member.ID)
	}
	return ids
}

// preferUntried drops the candidates that were tried and the failure domain of
// the one tried last, as long as others are left.
func preferUntried(candidates []loomroute.Candidate, tried []string) []loomroute.Candidate {
	if len(tried) == 0 {
		return candidates
	}
	isTried := make(map[string]bool)
	for _, id := range tried {
		isTried[id] = true
	}
	triedDomain := ""
	for _, c := range candidates {
		if c.ID == tried[len(tried)-1] {
			triedDomain = c.FailureDomain
		}
	}
	var otherDomain, untried []loomroute.Candidate
	for _, c := range candidates {
		if isTried[c.ID] {
			continue
		}
		untried = append(untried, c)
		if c.FailureDomain != triedDomain {
			otherDomain = append(otherDomain, c)
		}
	}
	switch {
	case len(otherDomain) > 0:
		return otherDomain
	case len(untried) > 0:
		return untried
	default:
		return candidates
	}
}

// cachedBlocks returns the number of leading blocks that an engine probably
// still caches. Blocks that it last used more than a cache's worth of events
// ago have probably been evicted.
func cachedBlocks(pl plan, c candidate) int {
	minEvent := int64(c.report.Event) - int64(cacheEventsPerBlock*c.report.CacheBlocks)
	return pl.cachedPrefix(c.member.ID, c.report.Incarnation, minEvent)
}

// cacheEventsPerBlock is the number of cache events for each block that enters
// a full cache: its insertion and the eviction of another block.
const cacheEventsPerBlock = 2
