package loomgate

import (
	"slices"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

const (
	// serviceTime is the assumed time of one request at a plain service,
	// divided among its slots. It only serves to rank upstreams, so it need not
	// be accurate.
	serviceTime = 3 * time.Millisecond
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

// candidateSet holds the upstreams that may take the next attempt.
type candidateSet struct {
	// upstreams are those from which the set was made. The view may change meanwhile.
	upstreams []loommember.Upstream
	// fresh were not tried yet, tried were, and held may get no request now because
	// of their limits.
	fresh, tried, held []loomroute.Candidate
	// delay is how long requests to the held ones have to wait.
	delay limitDelay
	// versions holds the version of the weights of each.
	versions map[string]uint64
}

// add adds a candidate with the delay for its limit.
func (s *candidateSet) add(c loomroute.Candidate, isTried bool, delay limitDelay) {
	switch {
	case delay.wait > 0:
		s.held = append(s.held, c)
		s.delay = s.delay.join(delay)
	case isTried:
		s.tried = append(s.tried, c)
	default:
		s.fresh = append(s.fresh, c)
	}
}

// best returns the candidates to choose from, and for how long a request to them is
// held. Upstreams that were tried are among them only if there are no fresh ones. A
// request is held for a limit only if all other upstreams are unreachable.
func (s *candidateSet) best() ([]loomroute.Candidate, limitDelay) {
	open := s.fresh
	if len(open) == 0 {
		open = s.tried
	}
	if len(open) == 0 || (allSuspect(open) && !allSuspect(s.held)) {
		return s.held, s.delay
	}
	return open, limitDelay{}
}

// candidates returns the upstreams that may take the next attempt.
func (q *placementQuery) candidates(now time.Time) candidateSet {
	upstreams := q.allowedUpstreams(now)
	ids := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	ejected := make(map[string]bool)
	for _, id := range q.gate.fleet.Ejected(now, ids) {
		ejected[id] = true
	}
	set := candidateSet{upstreams: upstreams, fresh: make([]loomroute.Candidate, 0, len(upstreams)), versions: make(map[string]uint64, len(upstreams))}
	q.weights = make(map[uint64]*weightsOption)
	for _, u := range upstreams {
		version := u.Version(q.prompt.Model)
		set.versions[u.ID] = version
		weights := q.weightsOption(now, version)
		if weights.isExpired {
			continue
		}
		c := q.candidate(now, u, weights)
		c.Suspect = c.Suspect || ejected[u.ID] || slices.Contains(q.suspectIDs, u.ID)
		delay := q.gate.limits.delay(now, u).atLeast(q.connectionDelay(now, u.ID, c.Outstanding)).atLeast(q.holdOffDelay(now, u)).atLeast(q.returnDelay(now, u, c.Outstanding))
		set.add(c, slices.Contains(q.triedIDs, u.ID), delay)
	}
	return set
}

// hasExpiredWeights reports whether the weights of an upstream could expire
// before the request starts there. The request may wait at the upstream for as
// long as its caller does.
func (q *placementQuery) hasExpiredWeights(now time.Time, u loommember.Upstream) bool {
	return q.weightsHaveExpired(now, u.Version(q.prompt.Model))
}

func (q *placementQuery) weightsHaveExpired(now time.Time, version uint64) bool {
	return q.hasPrompt && q.gate.view.weightsExpired(now, q.startTimeout, q.prompt.Model, version)
}

// weightsOption is what a choice needs to know of one version of the weights. It is the same
// for all upstreams that have them.
type weightsOption struct {
	isExpired, isOutdated bool
	keys                  loomcache.PartKeys
	// source is the store that holds the last reusable part, if there is one.
	source    loomcache.StoreClass
	hasSource bool
}

// weightsOption returns the option of a version, which it determines once for each choice.
func (q *placementQuery) weightsOption(now time.Time, version uint64) *weightsOption {
	if o, ok := q.weights[version]; ok {
		return o
	}
	o := &weightsOption{isExpired: q.weightsHaveExpired(now, version)}
	q.weights[version] = o
	if !q.hasPrompt {
		return o
	}
	o.isOutdated = version < q.gate.view.targetVersion(q.prompt.Model)
	salt := q.cacheSalt(version)
	o.keys = loomcache.NewPartKeys(salt, q.prompt.Parts)
	if n := len(q.prompt.Parts); n > 0 {
		o.source, o.hasSource = q.gate.stores.index.SourceAmong(q.storeFilter(), salt, q.prompt.Parts[max(q.reusableParts(), 1)-1])
	}
	return o
}

// allSuspect reports whether every candidate is suspect.
func allSuspect(candidates []loomroute.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c loomroute.Candidate) bool { return !c.Suspect })
}

// candidate returns an upstream as a candidate for the routing policy, with the
// expected wait and the cached tokens. Penalties are added to the wait.
func (q *placementQuery) candidate(now time.Time, u loommember.Upstream, weights *weightsOption) loomroute.Candidate {
	c := loomroute.Candidate{ID: u.ID, FailureDomain: u.FailureDomain}
	unit := q.unitTimeAt(u.ID)
	estimate := q.gate.fleet.Estimate(now, u.ID, unit)
	c.TokenTime = unit
	c.Wait = estimate.Wait
	c.TokensAhead = int(estimate.Wait / unit)
	c.Outstanding = estimate.Outstanding
	c.Suspect = estimate.IsSuspect
	if q.hasPrompt {
		c.CachedPrefix = q.gate.residency.CachedTokensOf(u.ID, weights.keys, q.prompt.Parts)
		if weights.isOutdated {
			c.Wait += oldWeightsPenalty
		}
		c.BlockTime = q.transferTime(u, weights)
		if over := estimate.Memory + q.memoryTokens() - runningCapacity(q.group.Engine); over > 0 && estimate.Outstanding > 0 {
			c.Wait += fullMemoryWait + time.Duration(over)*q.workUnitTime()
		}
		if q.gate.rollout.isLoading(now, u.ID) {
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
func (q *placementQuery) workUnitTime() time.Duration {
	if !q.hasPrompt {
		return serviceTime
	}
	return q.gate.prefill.forGroup(q.group.Name).TokenTime()
}

// unitTimeAt is like workUnitTime for one upstream.
func (q *placementQuery) unitTimeAt(upstream string) time.Duration {
	if !q.hasPrompt {
		return serviceTime
	}
	return q.gate.prefill.forGroup(q.group.Name).EngineTokenTime(upstream)
}

// policyRequest returns the parameters of the request for the routing policy.
func (q *placementQuery) policyRequest() loomroute.Request {
	req := loomroute.Request{
		BlockTokens:     1,
		FailureDomain:   q.failureDomain,
		TokenTime:       q.workUnitTime(),
		RecomputeWeight: recomputeWeight,
	}
	if !q.hasPrompt {
		return req
	}
	req.Tokens = q.prompt.Tokens
	req.PauseObjective = q.pauseObjective
	req.BlockTime = linkTokenTime(q.group.Engine) * transferWeight
	return req
}
