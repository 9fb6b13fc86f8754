package loominstance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loomlease"
	"swiftloom/loomlimit"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	quotaInterval = 150 * time.Millisecond
	quotaTimeout  = 100 * time.Millisecond
	// quotaLease is how long a leased rate may be spent, and quotaQuiet how
	// long a new home lends nothing new.
	quotaLease   = time.Second
	quotaQuiet   = 1500 * time.Millisecond
	poolInterval = 400 * time.Millisecond
	// maxQuotaWait bounds how long a request waits for its account's rate.
	maxQuotaWait = 2 * time.Second
	quotaPoll    = 10 * time.Millisecond
	// poolShards is the number of leases among which the lenders of pools
	// divide the accounts.
	poolShards   = 16
	poolDuration = 3 * time.Second
	allPercent   = 100
)

// quotas holds the three roles in the limits of accounts: the spender of
// leased rates, the home of accounts in the own failure domain, and the lender
// of the pool that is left beside the floors of the domains.
type quotas struct {
	instance *Instance

	mu         sync.Mutex
	allowances map[string]*loomlimit.Allowance
	// ledgers are those of the accounts whose home in the domain this is.
	ledgers map[string]*loomlimit.Ledger
	// borrowed is what this home has from the pool of each account.
	borrowed map[string]*loomlimit.Allowance
	// pools are the ledgers that this instance lends from while it holds the
	// lease of their shard.
	pools  map[string]*loomlimit.Ledger
	leases map[int]*loomlease.Lease
	// renewing tells that a round is under way.
	renewing bool
}

func newQuotas(n *Instance) *quotas {
	return &quotas{
		instance:   n,
		allowances: make(map[string]*loomlimit.Allowance),
		ledgers:    make(map[string]*loomlimit.Ledger),
		borrowed:   make(map[string]*loomlimit.Allowance),
		pools:      make(map[string]*loomlimit.Ledger),
		leases:     make(map[int]*loomlease.Lease),
	}
}

// spend waits until the account may spend cost. It refuses at once when that
// takes too long.
func (q *quotas) spend(ctx context.Context, account string, cost float64, deadline time.Time) error {
	started := time.Now()
	q.note(started, account, cost)
	defer q.unnote(account, cost)
	renewed := false
	for {
		now := time.Now()
		wait, ok := q.try(now, account, cost)
		if ok {
			return nil
		}
		until := started.Add(maxQuotaWait)
		if !deadline.IsZero() && deadline.Before(until) {
			until = deadline
		}
		if now.Add(wait).After(until) {
			return loomerror.New(loomerror.QuotaExceeded, "the account has used up its rate").WithRetryAfter(max(wait, time.Second))
		}
		if !renewed {
			renewed = true
			q.renew(ctx)
			continue
		}
		timer := time.NewTimer(min(wait, quotaPoll))
		select {
		case <-ctx.Done():
			timer.Stop()
			return loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
		case <-timer.C:
		}
	}
}

func (q *quotas) allowance(now time.Time, account string) *loomlimit.Allowance {
	a, ok := q.allowances[account]
	if !ok {
		a = loomlimit.NewAllowance(now)
		q.allowances[account] = a
	}
	return a
}

func (q *quotas) note(now time.Time, account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.allowance(now, account)
	a.Ask(now, cost)
	a.Wait(cost)
}

func (q *quotas) unnote(account string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if a, ok := q.allowances[account]; ok {
		a.Wait(-cost)
	}
}

func (q *quotas) try(now time.Time, account string, cost float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allowance(now, account).Spend(now, cost)
}

// settle corrects what was spent by the actual cost.
func (q *quotas) settle(account string, reserved, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.allowance(now, account).Settle(now, reserved, actual)
}

// renew asks the homes of the active accounts for leases and, as a home, the
// lender of the pool for a part of it.
func (q *quotas) renew(ctx context.Context) {
	q.mu.Lock()
	if q.renewing {
		q.mu.Unlock()
		return
	}
	q.renewing = true
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		q.renewing = false
		q.mu.Unlock()
	}()
	now := time.Now()
	q.askAll(ctx, q.poolWishes(now), q.poolHome, true)
	q.askAll(ctx, q.wishes(now), q.domainHome, false)
}

// wishes returns what this instance would spend, and forgets idle accounts.
func (q *quotas) wishes(now time.Time) []*loompb.QuotaAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	var asks []*loompb.QuotaAsk
	for account, a := range q.allowances {
		if a.Idle(now) {
			if !a.Valid(now) {
				delete(q.allowances, account)
			}
			continue
		}
		asks = append(asks, askOf(account, a.Wish(now, "")))
	}
	return asks
}

// poolWishes returns what the accounts of this home want beyond its floor.
func (q *quotas) poolWishes(now time.Time) []*loompb.QuotaAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	var asks []*loompb.QuotaAsk
	for account, l := range q.ledgers {
		floor, pool := q.division(account)
		demand := l.Demand(now) - floor
		if demand <= 0 || pool <= 0 {
			continue
		}
		b, ok := q.borrowed[account]
		if !ok {
			b = loomlimit.NewAllowance(now)
			q.borrowed[account] = b
		}
		w := b.Wish(now, "")
		w.Demand = demand
		asks = append(asks, askOf(account, w))
	}
	return asks
}

func askOf(account string, w loomlimit.Wish) *loompb.QuotaAsk {
	return &loompb.QuotaAsk{
		ClientAccount: account,
		Demand:        uint64(w.Demand),
		Held:          uint64(w.Held),
		Lease:         w.Lease,
	}
}

// askAll sends the wishes to the homes of their accounts, one message a home.
func (q *quotas) askAll(ctx context.Context, asks []*loompb.QuotaAsk, home func(account string) string, pool bool) {
	byHome := make(map[string][]*loompb.QuotaAsk)
	for _, a := range asks {
		h := home(a.GetClientAccount())
		byHome[h] = append(byHome[h], a)
	}
	var wait sync.WaitGroup
	for h, part := range byHome {
		wait.Go(func() { q.ask(ctx, h, part, pool) })
	}
	wait.Wait()
}

func (q *quotas) ask(ctx context.Context, home string, asks []*loompb.QuotaAsk, pool bool) {
	n := q.instance
	request := &loompb.QuotaRequest{Holder: n.ID(), Pool: pool, Asks: asks}
	if pool {
		request.Holder = n.FailureDomain() + "/" + n.ID()
	}
	askedAt := time.Now()
	if home == n.ID() {
		q.take(askedAt, q.lend(askedAt, request), pool)
		return
	}
	client, err := n.peerByID(home)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if reply, err := client.Quota(call, request); err == nil {
		q.take(askedAt, reply, pool)
	}
}

func (q *quotas) take(askedAt time.Time, reply *loompb.QuotaReply, pool bool) {
	now := time.Now()
	s := q.instance.keeper.Snapshot()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, g := range reply.GetGrants() {
		account, _ := s.ClientAccount(g.GetClientAccount())
		holders := q.allowances
		if pool {
			holders = q.borrowed
		}
		if a, ok := holders[g.GetClientAccount()]; ok {
			a.Lease(now, askedAt, loomlimit.Grant{
				Rate:  float64(g.GetRate()),
				Lease: g.GetLease(),
				For:   time.Duration(g.GetLeaseMs()) * time.Millisecond,
			}, float64(account.BurstTokens))
		}
	}
}

// lend answers the wishes of other instances, as their accounts' home in this
// failure domain or as the lender of the pool.
func (q *quotas) lend(now time.Time, r *loompb.QuotaRequest) *loompb.QuotaReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := &loompb.QuotaReply{}
	for _, a := range r.GetAsks() {
		w := loomlimit.Wish{
			Holder: r.GetHolder(),
			Demand: float64(a.GetDemand()),
			Held:   float64(a.GetHeld()),
			Lease:  a.GetLease(),
		}
		g, ok := q.lendOne(now, a.GetClientAccount(), r.GetPool(), w)
		if !ok {
			continue
		}
		reply.Grants = append(reply.Grants, &loompb.QuotaGrant{
			ClientAccount: a.GetClientAccount(),
			Rate:          uint64(g.Rate),
			Lease:         g.Lease,
			LeaseMs:       uint64(g.For.Milliseconds()),
		})
	}
	return reply
}

func (q *quotas) lendOne(now time.Time, account string, pool bool, w loomlimit.Wish) (loomlimit.Grant, bool) {
	floor, left := q.division(account)
	if pool {
		l, ok := q.poolLedger(now, account)
		if !ok {
			return loomlimit.Grant{}, false
		}
		return l.Lend(now, left, w), true
	}
	if q.domainHome(account) != q.instance.ID() {
		return loomlimit.Grant{}, false
	}
	l, ok := q.ledgers[account]
	if !ok {
		l = loomlimit.NewLedger(now, quotaLease, q.quiet(now))
		q.ledgers[account] = l
	}
	budget := floor
	if b, ok := q.borrowed[account]; ok {
		budget += b.Rate(now)
	}
	return l.Lend(now, budget, w), true
}

// quiet returns how long a new ledger lends nothing new: until every lease of
// an earlier home has lapsed.
func (q *quotas) quiet(now time.Time) time.Duration {
	return max(quotaQuiet-now.Sub(q.instance.homesSince()), 0)
}

// division returns the floor of an account in each failure domain and the pool
// that is left.
func (q *quotas) division(account string) (floor, pool float64) {
	s := q.instance.keeper.Snapshot()
	a, ok := s.ClientAccount(account)
	if !ok {
		return 0, 0
	}
	limit := float64(a.TokensPerSecond)
	d, ok := s.Deployment(q.instance.settings.Deployment.Name)
	if !ok || len(d.FailureDomains) == 0 {
		return limit, 0
	}
	floor = limit * float64(d.MinDomainShare) / allPercent
	return floor, limit - floor*float64(len(d.FailureDomains))
}

// domainHome returns the home of an account in the own failure domain.
func (q *quotas) domainHome(account string) string {
	n := q.instance
	return firstRanked("quota/"+account, n.view.Load().LiveIDs(loommember.KindInstance, n.FailureDomain()), n.ID())
}

// poolHome returns the instance that should lend the pool of an account.
func (q *quotas) poolHome(account string) string {
	n := q.instance
	return firstRanked(poolKey(poolShard(account)), n.view.Load().LiveIDs(loommember.KindInstance, ""), n.ID())
}

func firstRanked(key string, ids []string, otherwise string) string {
	first := loomhome.Rank([]byte(key), ids, 1)
	if len(first) == 0 {
		return otherwise
	}
	return first[0]
}

func poolShard(account string) int {
	return int(xxhash.Sum64String(account) % poolShards)
}

func poolKey(shard int) string {
	return "quota_pool/" + string(rune('a'+shard))
}

// poolLedger returns the ledger of an account's pool while this instance holds
// the lease of its shard.
func (q *quotas) poolLedger(now time.Time, account string) (*loomlimit.Ledger, bool) {
	lease, ok := q.leases[poolShard(account)]
	if !ok {
		return nil, false
	}
	if _, held := lease.Held(now); !held {
		return nil, false
	}
	l, ok := q.pools[account]
	if !ok {
		l = loomlimit.NewLedger(now, quotaLease, quotaLease+quotaLease/10)
		q.pools[account] = l
	}
	return l, true
}

// holdPools takes and renews the leases of the pools whose lender this
// instance should be, and drops the ledgers of those that it has lost.
func (q *quotas) holdPools(ctx context.Context) {
	n := q.instance
	ids := n.view.Load().LiveIDs(loommember.KindInstance, "")
	for shard := range poolShards {
		if firstRanked(poolKey(shard), ids, "") != n.ID() {
			continue
		}
		q.mu.Lock()
		lease, ok := q.leases[shard]
		if !ok {
			l := loomlease.New(poolKey(shard), n.holderName(), poolDuration)
			lease = &l
			q.leases[shard] = lease
		}
		q.mu.Unlock()
		n.holdLease(ctx, lease, &q.mu)
	}
	q.dropLostPools(time.Now())
}

func (q *quotas) dropLostPools(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for account := range q.pools {
		lease, ok := q.leases[poolShard(account)]
		held := false
		if ok {
			_, held = lease.Held(now)
		}
		if !held {
			delete(q.pools, account)
		}
	}
}

// reserveCost returns the expected cost of a request in units.
func reserveCost(recompute, maxTokens int) float64 {
	return float64(recompute + maxTokens)
}

// mayUse tells whether an account may use a model.
func mayUse(a loomcatalogue.ClientAccount, model string) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, model)
}
