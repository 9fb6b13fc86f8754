package loomgate

import (
	"slices"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

// placementQuery holds what the choice of an upstream depends on, apart from the
// state of the upstreams. Another instance may make the choice on behalf of the
// one that has the request.
type placementQuery struct {
	gate *Gate
	// failureDomain is that of the instance that has the request.
	failureDomain string
	group         loomcatalogue.Group
	rank          int
	prompt        Prompt
	hasPrompt     bool
	// account is that of a request of this instance, and remoteScope the scope of the KV cache
	// of a request of another one, whose catalogue may have another revision.
	account     loomcatalogue.RoutedAccount
	remoteScope string
	// regions are those whose upstreams may serve the request.
	regions loomcatalogue.Regions
	// pauseObjective is the shortest objective for the pauses of streams among the
	// routes to the group, or zero.
	pauseObjective time.Duration
	// startTimeout is how long the request may wait at an upstream that is to begin it.
	startTimeout time.Duration
	// isLastPartReusable is set if requests on this route have used the last
	// part of an earlier prompt again, so that they may also use this one's.
	isLastPartReusable bool
	// triedIDs are the upstreams of earlier attempts, suspectIDs those that the
	// instance that has the request considers unreachable.
	triedIDs   []string
	suspectIDs []string
	// isRemote is set if another instance has the request, and heldOff then holds how long
	// upstreams want none of that instance.
	isRemote bool
	heldOff  map[string]time.Duration
	// prefersIdle is set once the request has waited for so long that it would be refused
	// soon. It then goes to an upstream without any work, if there is one.
	prefersIdle bool
	// weights holds the options of the versions of the weights, during a choice.
	weights map[uint64]*weightsOption
	// isWanted is set once the demand of the attempt has been counted at the upstream
	// that it would go to without limits.
	isWanted bool
	// outputTime is the expected time to generate the output, or zero if it is not known.
	outputTime time.Duration
}

// placement is the upstream that was selected for an attempt, and what is
// expected of it.
type placement struct {
	upstream loommember.Upstream
	choice   loomroute.Choice
	// wait is the expected wait at the upstream.
	wait time.Duration
	// tokensAhead is the number of prompt tokens that the upstream is expected
	// to process before those of this request, and cachedTokens the number of
	// leading tokens that it is expected to have cached.
	tokensAhead  int
	cachedTokens int
	// version is the version of the weights that the attempt will use.
	version uint64
	// kv is the plan for the KV cache. It is made when the attempt is sent, or
	// with the choice if a coordinator chose; hasKVPlan is set once it is made.
	kv        kvPlan
	hasKVPlan bool
	// coordinator is the ID of the instance that made the choice, or empty if
	// this instance did.
	coordinator string
	// limitDelay is how long the request has to wait because the limits of all
	// suitable upstreams allow no more now. It is zero if one of them is free.
	limitDelay limitDelay
	// heldUpstreams is the number of upstreams that were left out because of their
	// limits, as far as this instance made the choice.
	heldUpstreams int
	// queuedElsewhere is the work ahead of the request at other instances, as the
	// coordinator knows it.
	queuedElsewhere time.Duration
}

func newPlacementQuery(g *Gate, r *request) placementQuery {
	q := placementQuery{
		gate:          g,
		failureDomain: g.settings.FailureDomain,
		group:         r.group,
		regions:       r.regions,
		rank:          r.rank(),
		prompt:        r.Prompt,
		hasPrompt:     r.HasPrompt,
		startTimeout:  startTimeout(r.route),
		account:       r.account,
	}
	q.pauseObjective = g.view.routing().PauseObjective(r.group.Name)
	return q
}

// choose selects the upstream of the next attempt.
func (q *placementQuery) choose(now time.Time) (placement, *loomerror.Error) {
	g := q.gate
	set := q.candidates(now)
	candidates, delay := set.best()
	if q.prefersIdle {
		candidates = preferIdle(candidates)
	}
	if len(candidates) == 0 {
		return placement{}, q.noUpstream(len(set.upstreams))
	}
	if len(q.triedIDs) > 0 && allSuspect(candidates) {
		// Do not wait for another attempt to fail: an instance that is cut off
		// from its upstreams refuses the request, so that the caller turns to
		// another instance.
		return placement{}, loomerror.New(loomerror.NoUpstream, "no reachable upstream in group %q after %d attempts", q.group.Name, len(q.triedIDs)).WithRetryAfter(defaultRetryAfter)
	}
	sources := candidates
	if len(set.held) > 0 && delay.wait == 0 {
		sources = slices.Concat(candidates, set.held)
	}
	q.setStoredTokens(candidates, sources, set.versions)
	p := placement{limitDelay: delay, heldUpstreams: len(set.held), choice: g.policy.Choose(q.policyRequest(), candidates, g.newRand())}
	for _, u := range set.upstreams {
		if u.ID == p.choice.ID {
			p.upstream = u
		}
	}
	q.countDemand(now, set.upstreams, p, sources)
	for _, c := range candidates {
		if c.ID == p.choice.ID {
			p.wait = c.Wait
			p.cachedTokens = c.CachedPrefix
			p.tokensAhead = c.TokensAhead
		}
	}
	p.version = p.upstream.Version(q.prompt.Model)
	return p, nil
}

// countDemand counts the request at the upstream that it would go to if there were no
// limits. The candidates include those that limits exclude.
func (q *placementQuery) countDemand(now time.Time, upstreams []loommember.Upstream, p placement, candidates []loomroute.Candidate) {
	if q.isWanted {
		return
	}
	q.isWanted = true
	wanted := p.choice.ID
	if p.heldUpstreams > 0 && p.limitDelay.wait == 0 {
		wanted = q.gate.policy.Choose(q.policyRequest(), candidates, q.gate.newRand()).ID
	}
	for _, u := range upstreams {
		if u.ID == wanted {
			q.gate.limits.want(now, u)
		}
	}
}

// hasCapacity reports whether the wait at the selected upstream is short enough
// to send the request there now.
func (q *placementQuery) hasCapacity(p placement) bool {
	limit := maxEngineWait
	if q.rank <= maxUrgentRank {
		limit = maxUrgentEngineWait
	}
	return !q.hasPrompt || q.group.Engine == nil || p.wait <= limit
}

// preferIdle returns the reachable candidates without any work, or all if there are none.
func preferIdle(candidates []loomroute.Candidate) []loomroute.Candidate {
	var idle []loomroute.Candidate
	for _, c := range candidates {
		if c.Outstanding == 0 && !c.Suspect {
			idle = append(idle, c)
		}
	}
	if len(idle) == 0 {
		return candidates
	}
	return idle
}

// expectedWork returns the expected work of an attempt: the number of prompt
// tokens to compute, or one for a request without a prompt.
func (q *placementQuery) expectedWork(c loomroute.Choice) int {
	if !q.hasPrompt {
		return 1
	}
	return c.Recompute
}

// memoryTokens returns how many tokens the request is expected to hold in an
// engine's memory.
func (q *placementQuery) memoryTokens() int {
	if !q.hasPrompt {
		return 0
	}
	return q.prompt.Tokens + q.prompt.ExpectedOutputTokens
}

// cacheScope returns the scope of the KV cache that the request may use. It follows the catalogue
// while the request waits, since a scope must not be used any more once an account has left it.
func (q *placementQuery) cacheScope() string {
	if q.isRemote {
		return q.remoteScope
	}
	return q.gate.view.routing().CacheScope(q.account)
}

// isolatedAccount returns the name of the request's account if that shares no KV cache with others,
// or nothing.
func (q *placementQuery) isolatedAccount() string {
	if !q.gate.view.routing().IsIsolated(q.account) {
		return ""
	}
	return q.account.Name
}

// cacheSalt returns the salt of the KV cache that the request may use: the model and version, the
// scope, and the regions if these are restricted.
func (q *placementQuery) cacheSalt(version uint64) string {
	salt := modelSalt(q.prompt.Model, version)
	if scope := q.cacheScope(); scope != "" {
		salt += "/" + scope
	}
	return salt + q.regionSalt()
}
