package loomgate

import (
	"slices"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

const (
	// serviceTime is the time of one request at a plain service, spread over its
	// places; it only has to order upstreams.
	serviceTime = 3 * time.Millisecond
	// defaultTokenTime is how long an engine reads one token of a prompt until
	// it was measured: 112 to 125 tokens a millisecond at full speed.
	defaultTokenTime = 9 * time.Microsecond
	// recomputeWeight adds to the time of computing what it takes from others at
	// the same engine, and that parts are not to be read again.
	recomputeWeight = 2
	// moveWeight makes an engine that caches the parts preferred to one that has
	// to fetch them, since transfers share links.
	moveWeight = 3
	// cacheShare is the part of an engine's memory that is believed to keep parts
	// of prompts; running requests use the rest.
	cacheShare = 0.8
	// defaultMemoryTokens is used for an engine whose memory is not told.
	defaultMemoryTokens = 100_000
)

// choose picks the upstream of the next attempt.
func (d *dispatch) choose(now time.Time) *loomerror.Error {
	g, r := d.gate, d.req
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return loomerror.New(loomerror.NoUpstream, "no upstream of %q lives now", r.group.Name).WithRetryAfter(refusedRetryAfter)
	}
	if len(d.tried) > 0 && allSuspect(candidates) {
		// After one failure there is no sense in waiting for the next: an instance
		// that is cut off sends its callers on.
		return loomerror.New(loomerror.NoUpstream, "no upstream of %q can be reached now", r.group.Name).WithRetryAfter(refusedRetryAfter)
	}
	d.choice = g.policy.Choose(d.question(), candidates, g.newRandom())
	for _, u := range g.usable(now, r.group.Name) {
		if u.ID == d.choice.ID {
			d.upstream = u
		}
	}
	for _, c := range candidates {
		if c.ID == d.choice.ID {
			d.wait = c.Wait
		}
	}
	d.version = d.upstream.Version(r.Prompt.Model)
	return nil
}

// candidates returns the upstreams that may take the next attempt. Those that
// were tried are left out while there are others.
func (d *dispatch) candidates(now time.Time) []loomroute.Candidate {
	upstreams := d.gate.usable(now, d.req.group.Name)
	ids := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	ejected := make(map[string]bool)
	for _, id := range d.gate.fleet.Ejected(now, ids) {
		ejected[id] = true
	}
	var fresh, tried []loomroute.Candidate
	versions := make(map[string]uint64, len(upstreams))
	for _, u := range upstreams {
		versions[u.ID] = u.Version(d.req.Prompt.Model)
		if d.tooOld(now, u) {
			continue
		}
		c := d.candidate(now, u)
		c.Suspect = ejected[u.ID] || d.gate.fleet.Suspect(now, u.ID)
		if d.wasTried(u.ID) {
			tried = append(tried, c)
			continue
		}
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	d.noteStored(fresh, versions)
	return fresh
}

// tooOld reports whether the request could begin on weights of an upstream
// after their time. It may wait there for as long as its caller does.
func (d *dispatch) tooOld(now time.Time, u loommember.Upstream) bool {
	model := d.req.Prompt.Model
	return d.req.HasPrompt && d.gate.beliefs.expired(now, patience(d.req.route), model, u.Version(model))
}

func allSuspect(candidates []loomroute.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c loomroute.Candidate) bool { return !c.Suspect })
}

func (d *dispatch) candidate(now time.Time, u loommember.Upstream) loomroute.Candidate {
	c := loomroute.Candidate{ID: u.ID, FailureDomain: u.FailureDomain}
	estimate := d.gate.fleet.Estimate(now, u.ID, d.unitTime())
	c.Wait = estimate.Wait
	c.Outstanding = estimate.Outstanding
	if d.req.HasPrompt {
		version := u.Version(d.req.Prompt.Model)
		c.Held = d.gate.residency.Held(u.ID, saltOf(d.req, version), d.req.Prompt.Parts)
		if wanted := d.gate.beliefs.wanted(d.req.Prompt.Model); version < wanted {
			c.Wait += oldWeightsPenalty
		}
		c.BlockTime = d.moveTime(u, version)
		if over := estimate.Memory + d.memory() - runningTokens(d.req.group.Engine); over > 0 && estimate.Outstanding > 0 {
			c.Wait += fullMemoryWait + time.Duration(over)*d.unitTime()
		}
		if d.gate.rollout.loading(now, u.ID) {
			c.Wait += loadingPenalty
		}
	}
	return c
}

// runningTokens returns how many tokens running requests may hold at an engine.
func runningTokens(e *loomcatalogue.EngineClass) int {
	if e == nil || e.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return int(float64(e.MemoryTokens) * runningShare)
}

const (
	// runningShare is the part of an engine's memory that running requests may
	// hold; beyond it they are preempted, and parts that return are evicted.
	runningShare = 1.0
	// fullMemoryWait is about the time until a running request ends.
	fullMemoryWait = 300 * time.Millisecond
	// oldWeightsPenalty prefers engines with the named weights when they are not
	// much slower.
	oldWeightsPenalty = 60 * time.Millisecond
	// loadingPenalty keeps work from an engine that loads weights.
	loadingPenalty = 2 * time.Second
)

// unitTime is how long one unit of work takes.
func (d *dispatch) unitTime() time.Duration {
	if !d.req.HasPrompt {
		return serviceTime
	}
	return d.gate.pace.tokenTime(d.req.group.Name)
}

// question is what the policy is asked about the request.
func (d *dispatch) question() loomroute.Request {
	q := loomroute.Request{
		BlockTokens:     1,
		FailureDomain:   d.gate.settings.FailureDomain,
		TokenTime:       d.unitTime(),
		RecomputeWeight: recomputeWeight,
	}
	if !d.req.HasPrompt {
		return q
	}
	q.Tokens = d.req.Prompt.Tokens
	q.BlockTime = linkTime(d.req.group.Engine) * moveWeight
	return q
}
