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
	// serviceTime is the assumed time of one request at a plain service,
	// divided among its slots. It only serves to rank upstreams, so it need not
	// be accurate.
	serviceTime = 3 * time.Millisecond
	// defaultTokenTime is the initial and lowest estimate of how long an engine
	// takes to process one prompt token. Engines process 112 to 125 tokens per
	// millisecond at full speed.
	defaultTokenTime = 9 * time.Microsecond
	// recomputeWeight multiplies the time to recompute prompt tokens in the
	// score of a candidate. It accounts for the delay of other requests at the
	// same engine and favours engines that already cache the parts.
	recomputeWeight = 2
	// transferWeight multiplies transfer times, because transfers share links.
	// It favours an engine that caches the parts over one that has to fetch
	// them.
	transferWeight = 3
	// cacheShare is the share of an engine's memory that is assumed to cache
	// prompt parts. Running requests use the rest.
	cacheShare = 0.8
	// defaultMemoryTokens is the assumed memory in tokens of an engine that
	// does not report it.
	defaultMemoryTokens = 100_000
)

// choose selects the upstream of the next attempt.
func (d *dispatch) choose(now time.Time) *loomerror.Error {
	g, r := d.gate, d.req
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return loomerror.New(loomerror.NoUpstream, "no live upstream in group %q", r.group.Name).WithRetryAfter(defaultRetryAfter)
	}
	if len(d.triedIDs) > 0 && allSuspect(candidates) {
		// Do not wait for another attempt to fail: an instance that is cut off
		// from its upstreams refuses the request, so that the caller turns to
		// another instance.
		return loomerror.New(loomerror.NoUpstream, "no reachable upstream in group %q after %d attempts", r.group.Name, len(d.triedIDs)).WithRetryAfter(defaultRetryAfter)
	}
	d.choice = g.policy.Choose(d.policyRequest(), candidates, g.newRand())
	for _, u := range g.usableUpstreams(now, r.group.Name) {
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

// candidates returns the upstreams that may take the next attempt. Upstreams
// that were already tried are included only if there are no others.
func (d *dispatch) candidates(now time.Time) []loomroute.Candidate {
	upstreams := d.gate.usableUpstreams(now, d.req.group.Name)
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
		if d.hasExpiredWeights(now, u) {
			continue
		}
		c := d.candidate(now, u)
		c.Suspect = ejected[u.ID] || d.gate.fleet.IsSuspect(now, u.ID)
		if d.wasTried(u.ID) {
			tried = append(tried, c)
			continue
		}
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	d.setStoredTokens(fresh, versions)
	return fresh
}

// hasExpiredWeights reports whether the weights of an upstream could expire
// before the request starts there. The request may wait at the upstream for as
// long as its caller does.
func (d *dispatch) hasExpiredWeights(now time.Time, u loommember.Upstream) bool {
	model := d.req.Prompt.Model
	return d.req.HasPrompt && d.gate.view.weightsExpired(now, firstEventTimeout(d.req.route), model, u.Version(model))
}

// allSuspect reports whether every candidate is suspect.
func allSuspect(candidates []loomroute.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c loomroute.Candidate) bool { return !c.Suspect })
}

// candidate returns an upstream as a candidate for the routing policy, with the
// expected wait and the cached tokens. Penalties are added to the wait.
func (d *dispatch) candidate(now time.Time, u loommember.Upstream) loomroute.Candidate {
	c := loomroute.Candidate{ID: u.ID, FailureDomain: u.FailureDomain}
	estimate := d.gate.fleet.Estimate(now, u.ID, d.workUnitTime())
	c.Wait = estimate.Wait
	c.Outstanding = estimate.Outstanding
	if d.req.HasPrompt {
		version := u.Version(d.req.Prompt.Model)
		c.CachedPrefix = d.gate.residency.CachedTokens(u.ID, cacheSalt(d.req, version), d.req.Prompt.Parts)
		if target := d.gate.view.targetVersion(d.req.Prompt.Model); version < target {
			c.Wait += oldWeightsPenalty
		}
		c.BlockTime = d.transferTime(u, version)
		if over := estimate.Memory + d.memoryTokens() - runningCapacity(d.req.group.Engine); over > 0 && estimate.Outstanding > 0 {
			c.Wait += fullMemoryWait + time.Duration(over)*d.workUnitTime()
		}
		if d.gate.rollout.isLoading(now, u.ID) {
			c.Wait += loadingPenalty
		}
	}
	return c
}

// runningCapacity returns how many tokens running requests may hold in an
// engine's memory.
func runningCapacity(e *loomcatalogue.EngineClass) int {
	if e == nil || e.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return int(float64(e.MemoryTokens) * runningShare)
}

const (
	// runningShare is the share of an engine's memory that running requests may
	// hold. Beyond it the engine preempts requests and evicts reusable parts.
	runningShare = 1.0
	// fullMemoryWait is approximately the time until a running request ends and
	// frees memory.
	fullMemoryWait = 300 * time.Millisecond
	// oldWeightsPenalty is added to the wait at engines that lack the target
	// version, so that up-to-date engines are preferred unless they are much
	// slower.
	oldWeightsPenalty = 60 * time.Millisecond
	// loadingPenalty is added to the wait at an engine that is loading weights,
	// so that it gets work only if all others are slower still.
	loadingPenalty = 2 * time.Second
)

// workUnitTime returns the estimated time of one unit of work: one prompt
// token, or one request to a plain service.
func (d *dispatch) workUnitTime() time.Duration {
	if !d.req.HasPrompt {
		return serviceTime
	}
	return d.gate.prefill.tokenTime(d.req.group.Name)
}

// policyRequest returns the parameters of the request for the routing policy.
func (d *dispatch) policyRequest() loomroute.Request {
	req := loomroute.Request{
		BlockTokens:     1,
		FailureDomain:   d.gate.settings.FailureDomain,
		TokenTime:       d.workUnitTime(),
		RecomputeWeight: recomputeWeight,
	}
	if !d.req.HasPrompt {
		return req
	}
	req.Tokens = d.req.Prompt.Tokens
	req.BlockTime = linkTokenTime(d.req.group.Engine) * transferWeight
	return req
}
