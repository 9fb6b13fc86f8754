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
	quotaTimeout = 100 * time.Millisecond
	// maxQuotaWait bounds how long a request waits for its account's rate, and
	// maxQuotaWaiters how many of an account may wait here.
	maxQuotaWait    = 2 * time.Second
	maxQuotaWaiters = 16
	quotaPoll       = 20 * time.Millisecond
	// homePoll is how long to wait before a home that did not answer is asked
	// again.
	homePoll = 50 * time.Millisecond
	// aheadTime is how much of its demand an instance asks for ahead, and
	// creditTime how long it may use that.
	aheadTime  = 200 * time.Millisecond
	creditTime = time.Second
	allPercent = 100
)

// quotas holds two roles in the limits of accounts: the spender, and the home
// of accounts in the own failure domain.
type quotas struct {
	instance *Instance
	pools    *pools

	mu       sync.Mutex
	spenders map[string]*spender
	// buckets are those of the accounts whose home in the domain this is.
	buckets map[string]*loomlimit.Bucket
}

// spender is what an instance knows of an account that it spends for.
type spender struct {
	credit loomlimit.Credit
	demand loomlimit.Demand
	// fresh is what was asked for since the home was last told.
	fresh   float64
	waiting int
	usedAt  time.Time
}

func newQuotas(n *Instance) *quotas {
	return &quotas{
		instance: n,
		pools:    newPools(n),
		spenders: make(map[string]*spender),
		buckets:  make(map[string]*loomlimit.Bucket),
	}
}

// spend waits until the account may spend cost. It refuses at once when that
// takes too long.
func (q *quotas) spend(ctx context.Context, account string, cost float64, deadline time.Time) error {
	started := time.Now()
	done, err := q.begin(started, account, cost)
	if err != nil || done {
		return err
	}
	defer q.end(account)
	until := started.Add(maxQuotaWait)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	for {
		granted, wait := q.ask(ctx, account, cost)
		if granted {
			return nil
		}
		if time.Now().Add(wait).After(until) {
			return quotaExceeded(wait)
		}
		if err := loomkernel.Sleep(ctx, min(wait, quotaPoll)); err != nil {
			return loomerror.From(err).WithNotRun(loomerror.NotRunTrue)
		}
	}
}

func quotaExceeded(wait time.Duration) error {
	return loomerror.New(loomerror.QuotaExceeded, "the account has used up its rate").WithRetryAfter(max(wait, time.Second))
}

// begin notes a request and serves it from credit when there is enough.
func (q *quotas) begin(now time.Time, account string, cost float64) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.spenders[account]
	if !ok {
		s = &spender{}
		q.spenders[account] = s
	}
	s.usedAt = now
	s.fresh += cost
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

func (q *quotas) end(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.spenders[account]; ok {
		s.waiting--
	}
}

// settle corrects what was spent by the actual cost.
func (q *quotas) settle(account string, reserved, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.spenders[account]; ok {
		s.credit.Settle(time.Now(), reserved, actual)
	}
}

// ask asks the home of an account for the cost of one request, and for some
// credit ahead.
func (q *quotas) ask(ctx context.Context, account string, cost float64) (bool, time.Duration) {
	n := q.instance
	askedAt := time.Now()
	request := q.request(askedAt, account, cost)
	home := q.domainHome(account)
	if home == n.ID() {
		return q.take(askedAt, request, q.grant(askedAt, request))
	}
	client, err := n.peerByID(home)
	if err != nil {
		q.takeBack(request)
		return false, homePoll
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := client.Spend(call, request)
	if err != nil || !reply.GetHome() {
		q.takeBack(request)
		return false, homePoll
	}
	return q.take(askedAt, request, reply)
}

func (q *quotas) request(now time.Time, account string, cost float64) *loompb.SpendRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.spenders[account]
	r := &loompb.SpendRequest{
		ClientAccount: account,
		Need:          uint64(cost + s.credit.Debt(now)),
		Ahead:         uint64(s.demand.Rate(now) * aheadTime.Seconds()),
		Fresh:         uint64(s.fresh),
	}
	s.fresh = 0
	return r
}

// takeBack notes that the home was not told.
func (q *quotas) takeBack(r *loompb.SpendRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spenders[r.GetClientAccount()].fresh += float64(r.GetFresh())
}

func (q *quotas) take(askedAt time.Time, r *loompb.SpendRequest, reply *loompb.SpendReply) (bool, time.Duration) {
	if !reply.GetGranted() {
		return false, time.Duration(reply.GetWaitMs()) * time.Millisecond
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply.GetAhead() > 0 {
		until := askedAt.Add(time.Duration(reply.GetValidMs()) * time.Millisecond)
		q.spenders[r.GetClientAccount()].credit.Add(time.Now(), float64(reply.GetAhead()), until)
	}
	return true, 0
}

// grant answers a spender as the home of the account in this failure domain.
// What is granted ahead counts as spent, whether or not it is used.
func (q *quotas) grant(now time.Time, r *loompb.SpendRequest) *loompb.SpendReply {
	account := r.GetClientAccount()
	if q.domainHome(account) != q.instance.ID() {
		return &loompb.SpendReply{}
	}
	d := q.instance.division(account)
	rate := d.floor + q.pools.borrowed(now, account, float64(r.GetFresh()))
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.buckets[account]
	if !ok {
		b = q.newBucket(now, rate, d.burst)
		q.buckets[account] = b
	}
	b.SetRate(now, rate, d.burst)
	wait, granted := b.Reserve(now, float64(r.GetNeed()))
	reply := &loompb.SpendReply{Home: true, Granted: granted, WaitMs: uint64(wait.Milliseconds()) + 1}
	ahead := min(float64(r.GetAhead()), b.Balance(now)-d.burst/2)
	if granted && ahead > 0 {
		if _, ok := b.Reserve(now, ahead); ok {
			reply.Ahead = uint64(ahead)
			reply.ValidMs = uint64(creditTime.Milliseconds())
		}
	}
	return reply
}

// newBucket returns the bucket of an account that is new here. It is full when
// this instance has been the home for long, so that no other one can have
// granted anything of it; else it starts empty.
func (q *quotas) newBucket(now time.Time, rate, burst float64) *loomlimit.Bucket {
	if now.Sub(q.instance.homesSince()) < homesQuiet {
		burst = 0
	}
	b := loomlimit.NewBucket(now, rate, burst)
	return &b
}

// homesQuiet is how long homes must not have moved before an instance takes
// itself for the only home of its accounts.
const homesQuiet = 1500 * time.Millisecond

// division is how the limit of an account is divided among failure domains.
type division struct {
	// floor is the rate that each domain keeps, and pool the rate that is left.
	floor float64
	pool  float64
	// burst is what each domain may save up.
	burst float64
}

func (n *Instance) division(account string) division {
	s := n.keeper.Snapshot()
	a, ok := s.ClientAccount(account)
	if !ok {
		return division{}
	}
	limit := float64(a.TokensPerSecond)
	d, ok := s.Deployment(n.settings.Deployment.Name)
	if !ok || len(d.FailureDomains) == 0 {
		return division{floor: limit, burst: float64(a.BurstTokens)}
	}
	domains := float64(len(d.FailureDomains))
	floor := limit * float64(d.MinDomainShare) / allPercent
	return division{floor: floor, pool: limit - floor*domains, burst: float64(a.BurstTokens) / domains}
}

// domainHome returns the home of an account in the own failure domain.
func (q *quotas) domainHome(account string) string {
	n := q.instance
	return firstRanked("quota/"+account, n.view.Load().LiveIDs(loommember.KindInstance, n.FailureDomain()), n.ID())
}

// tidy forgets accounts that are not used any more.
func (q *quotas) tidy(context.Context) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for account, s := range q.spenders {
		if s.waiting == 0 && now.Sub(s.usedAt) > forgetIdle {
			delete(q.spenders, account)
		}
	}
	for account := range q.buckets {
		if q.domainHome(account) != q.instance.ID() {
			delete(q.buckets, account)
		}
	}
}

func firstRanked(key string, ids []string, otherwise string) string {
	first := loomhome.Rank([]byte(key), ids, 1)
	if len(first) == 0 {
		return otherwise
	}
	return first[0]
}

// reserveCost returns the expected cost of a request in tokens.
func reserveCost(recompute, maxTokens int) float64 {
	return float64(recompute + maxTokens)
}

// mayUse tells whether an account may use a model.
func mayUse(a loomcatalogue.ClientAccount, model string) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, model)
}
