package loominstance

import (
	"context"
	"slices"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loomkernel"
	"swiftloom/loomlimit"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	// quotaTimeout bounds one call to a home or a lender.
	quotaTimeout = 100 * time.Millisecond
	// maxQuotaWait bounds how long a request waits for its account's quota, and
	// maxQuotaWaiters how many requests of an account may wait at one instance.
	maxQuotaWait      = 2 * time.Second
	maxQuotaWaiters   = 16
	quotaPollInterval = 20 * time.Millisecond
	// homeRetryInterval is the pause before a home that did not answer is asked
	// again.
	homeRetryInterval = 50 * time.Millisecond
	// advanceWindow is the period of demand that an instance requests in
	// advance as credit, and creditLifetime how long it may use that credit.
	advanceWindow  = 200 * time.Millisecond
	creditLifetime = time.Second
	hundredPercent = 100
)

// quotas enforces the limits of accounts. An instance has two roles: it spends
// for the requests that it receives, and it is the home that grants the
// spending of some accounts in its failure domain.
type quotas struct {
	instance *Instance
	pools    *pools

	mu       sync.Mutex
	spenders map[string]*spender
	// buckets holds the token buckets of the accounts whose home in the failure
	// domain is this instance.
	buckets map[string]*loomlimit.Bucket
}

// spender is the state of an account that this instance spends for.
type spender struct {
	credit loomlimit.Credit
	demand loomlimit.Demand
	// unreported is the demand, in tokens, that has not been reported to the
	// home.
	unreported float64
	waiting    int
	lastUsed   time.Time
}

func newQuotas(n *Instance) *quotas {
	return &quotas{
		instance: n,
		pools:    newPools(n),
		spenders: make(map[string]*spender),
		buckets:  make(map[string]*loomlimit.Bucket),
	}
}

// spend charges cost, in tokens, to the account. It waits up to maxQuotaWait or
// the deadline, and fails at once when the expected wait is longer.
func (q *quotas) spend(ctx context.Context, account string, cost float64, deadline time.Time) error {
	started := time.Now()
	isCovered, err := q.tryCredit(started, account, cost)
	if err != nil || isCovered {
		return err
	}
	defer q.endWait(account)
	until := started.Add(maxQuotaWait)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	for {
		granted, wait := q.requestGrant(ctx, account, cost)
		if granted {
			return nil
		}
		if time.Now().Add(wait).After(until) {
			return quotaExceeded(wait)
		}
		if err := loomkernel.Sleep(ctx, min(wait, quotaPollInterval)); err != nil {
			return loomerror.From(err).WithNotRun(loomerror.NotRunTrue)
		}
	}
}

// quotaExceeded returns the error of an account without quota. The retry-after
// time is at least a second.
func quotaExceeded(wait time.Duration) error {
	return loomerror.New(loomerror.QuotaExceeded, "the account has exhausted its token quota").WithRetryAfter(max(wait, time.Second))
}

// tryCredit records the demand of a request and takes the cost from the credit
// if that suffices. Otherwise it returns false and counts the request as
// waiting, or fails when maxQuotaWaiters requests wait already.
func (q *quotas) tryCredit(now time.Time, account string, cost float64) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.spenders[account]
	if !ok {
		s = &spender{}
		q.spenders[account] = s
	}
	s.lastUsed = now
	s.unreported += cost
	s.demand.Add(now, cost)
	if s.credit.Take(now, cost) {
		return true, nil
	}
	if s.waiting >= maxQuotaWaiters {
		return false, quotaExceeded(maxQuotaWait)
	}
	s.waiting++
	return false, nil
}

// endWait decrements the number of waiting requests.
func (q *quotas) endWait(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.spenders[account]; ok {
		s.waiting--
	}
}

// settle corrects the reserved cost of a request to the actual one.
func (q *quotas) settle(account string, reserved, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.spenders[account]; ok {
		s.credit.Settle(time.Now(), reserved, actual)
	}
}

// requestGrant asks the home of an account for the cost of one request and for
// credit in advance. It returns whether the cost was granted, and otherwise how
// long to wait.
func (q *quotas) requestGrant(ctx context.Context, account string, cost float64) (bool, time.Duration) {
	n := q.instance
	requestedAt := time.Now()
	request := q.newSpendRequest(requestedAt, account, cost)
	home := q.domainHome(account)
	if home == n.ID() {
		return q.applyReply(requestedAt, request, q.grant(requestedAt, request))
	}
	client, err := n.peerClient(home)
	if err != nil {
		q.restoreUnreported(request)
		return false, homeRetryInterval
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Spend(call, request)
	if err != nil || !reply.GetHome() {
		q.restoreUnreported(request)
		return false, homeRetryInterval
	}
	return q.applyReply(requestedAt, request, reply)
}

// newSpendRequest returns the request for cost and for credit in advance. It
// includes the debt of earlier requests that cost more than reserved, and
// reports the demand since the previous request.
func (q *quotas) newSpendRequest(now time.Time, account string, cost float64) *loompb.SpendRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.spenders[account]
	r := &loompb.SpendRequest{
		ClientAccount: account,
		Need:          uint64(cost + s.credit.Debt(now)),
		Ahead:         uint64(s.demand.Rate(now) * advanceWindow.Seconds()),
		Fresh:         uint64(s.unreported),
	}
	s.unreported = 0
	return r
}

// restoreUnreported adds the demand of a request that did not reach the home
// back to the unreported demand.
func (q *quotas) restoreUnreported(r *loompb.SpendRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spenders[r.GetClientAccount()].unreported += float64(r.GetFresh())
}

// applyReply adds the credit that the home granted in advance. Its lifetime
// counts from the time of the request.
func (q *quotas) applyReply(requestedAt time.Time, r *loompb.SpendRequest, reply *loompb.SpendReply) (bool, time.Duration) {
	if !reply.GetGranted() {
		return false, time.Duration(reply.GetWaitMs()) * time.Millisecond
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply.GetAhead() > 0 {
		until := requestedAt.Add(time.Duration(reply.GetValidMs()) * time.Millisecond)
		q.spenders[r.GetClientAccount()].credit.Add(time.Now(), float64(reply.GetAhead()), until)
	}
	return true, 0
}

// grant decides a request to spend as the home of the account in this failure
// domain. Credit that is granted in advance counts as spent, whether or not it
// is used, and never takes the bucket below half of its burst.
func (q *quotas) grant(now time.Time, r *loompb.SpendRequest) *loompb.SpendReply {
	account := r.GetClientAccount()
	if q.domainHome(account) != q.instance.ID() {
		return &loompb.SpendReply{}
	}
	split := q.instance.quotaSplit(account)
	rate := split.floor + q.pools.borrowedRate(now, account, float64(r.GetFresh()))
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.buckets[account]
	if !ok {
		b = q.newBucket(now, rate, split.burst)
		q.buckets[account] = b
	}
	b.SetRate(now, rate, split.burst)
	wait, granted := b.Reserve(now, float64(r.GetNeed()))
	reply := &loompb.SpendReply{Home: true, Granted: granted, WaitMs: uint64(wait.Milliseconds()) + 1}
	ahead := min(float64(r.GetAhead()), b.Balance(now)-split.burst/2)
	if granted && ahead > 0 {
		if _, ok := b.Reserve(now, ahead); ok {
			reply.Ahead = uint64(ahead)
			reply.ValidMs = uint64(creditLifetime.Milliseconds())
		}
	}
	return reply
}

// newBucket returns the bucket of an account that is new at this home. The
// bucket is full if the homes have been stable for homesSettleTime, since then
// no other home can have granted from the same burst recently. Otherwise it
// starts empty.
func (q *quotas) newBucket(now time.Time, rate, burst float64) *loomlimit.Bucket {
	if now.Sub(q.instance.homesChangedAt()) < homesSettleTime {
		burst = 0
	}
	b := loomlimit.NewBucket(now, rate, burst)
	return &b
}

// homesSettleTime is how long the homes must have been stable before an
// instance assumes that it is the only home of its accounts.
const homesSettleTime = 1500 * time.Millisecond

// quotaSplit is the division of an account's limit among failure domains.
type quotaSplit struct {
	// floor is the rate that is guaranteed to each domain, and pool the rest of
	// the account's rate, both in tokens per second.
	floor float64
	pool  float64
	// burst is the capacity of the bucket in each domain, in tokens.
	burst float64
}

// quotaSplit returns the division of an account's limit according to the
// catalogue. An unknown account has no quota.
func (n *Instance) quotaSplit(account string) quotaSplit {
	s := n.catalogue.Snapshot()
	a, ok := s.ClientAccount(account)
	if !ok {
		return quotaSplit{}
	}
	limit := float64(a.TokensPerSecond)
	deployment, ok := s.Deployment(n.settings.Deployment.Name)
	if !ok || len(deployment.FailureDomains) == 0 {
		return quotaSplit{floor: limit, burst: float64(a.BurstTokens)}
	}
	domains := float64(len(deployment.FailureDomains))
	floor := limit * float64(deployment.MinDomainShare) / hundredPercent
	return quotaSplit{floor: floor, pool: limit - floor*domains, burst: float64(a.BurstTokens) / domains}
}

// domainHome returns the home of an account in this instance's failure domain.
func (q *quotas) domainHome(account string) string {
	n := q.instance
	return firstRanked("quota/"+account, n.view.Load().LiveIDs(loommember.KindInstance, n.FailureDomain()), n.ID())
}

// evictIdle drops the accounts that have been idle for idleRetention, and the
// buckets of accounts that have another home now.
func (q *quotas) evictIdle(context.Context) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for account, s := range q.spenders {
		if s.waiting == 0 && now.Sub(s.lastUsed) > idleRetention {
			delete(q.spenders, account)
		}
	}
	for account := range q.buckets {
		if q.domainHome(account) != q.instance.ID() {
			delete(q.buckets, account)
		}
	}
}

// firstRanked returns the first of ids in rendezvous order for a key, or
// fallback if there are none.
func firstRanked(key string, ids []string, fallback string) string {
	first := loomhome.Rank([]byte(key), ids, 1)
	if len(first) == 0 {
		return fallback
	}
	return first[0]
}

// expectedCost returns the expected cost of a request: tokens to recompute plus
// tokens to generate.
func expectedCost(recompute, maxTokens int) float64 {
	return float64(recompute + maxTokens)
}

// canUseModel reports whether an account may use a model. An empty list allows
// all models.
func canUseModel(a loomcatalogue.ClientAccount, model string) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, model)
}
