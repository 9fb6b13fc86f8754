package loominstance

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftloom/loomlease"
	"swiftloom/loomlimit"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	// borrowInterval is the time between two renewals of borrowed rates, and
	// poolLeaseInterval between two checks of the shard leases.
	borrowInterval    = 150 * time.Millisecond
	poolLeaseInterval = 600 * time.Millisecond
	// borrowLeaseDuration is how long a borrowed rate may be used without
	// renewal.
	borrowLeaseDuration = time.Second
	// poolShards is the number of shards, each with its own lender lease, that
	// the accounts' pools are divided into.
	poolShards        = 16
	poolLeaseDuration = 3 * time.Second
)

// pools manages the part of account limits beyond the floors of the failure
// domains. An instance has two roles. As the home of an account in its failure
// domain, it borrows for that account. As the holder of a shard's lease in the
// platform's table, it lends from the pools of the shard.
type pools struct {
	instance *Instance

	mu sync.Mutex
	// borrowers holds the accounts that have spent at this instance as their
	// home.
	borrowers map[string]*borrower
	// ledgers holds the accounts whose pool this instance lends.
	ledgers map[string]*loomlimit.Ledger
	leases  map[int]*loomlease.Lease
}

// borrower is the state of an account that this instance borrows for.
type borrower struct {
	allowance loomlimit.Allowance
	demand    loomlimit.Demand
}

func newPools(n *Instance) *pools {
	return &pools{
		instance:  n,
		borrowers: make(map[string]*borrower),
		ledgers:   make(map[string]*loomlimit.Ledger),
		leases:    make(map[int]*loomlease.Lease),
	}
}

// borrowedRate records demand in tokens and returns the borrowed rate of the
// account in tokens per second.
func (p *pools) borrowedRate(now time.Time, account string, demand float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.borrowers[account]
	if !ok {
		b = &borrower{}
		p.borrowers[account] = b
	}
	b.demand.Add(now, demand)
	return b.allowance.Rate(now)
}

// borrowAll renews the borrowed rates of all accounts with their lenders.
func (p *pools) borrowAll(ctx context.Context) {
	byLender := make(map[string][]*loompb.BorrowAsk)
	for _, a := range p.borrowAsks(time.Now()) {
		lender := p.lender(a.GetClientAccount())
		byLender[lender] = append(byLender[lender], a)
	}
	var wg sync.WaitGroup
	for lender, asks := range byLender {
		wg.Go(func() { p.borrowFrom(ctx, lender, asks) })
	}
	wg.Wait()
}

// borrowAsks returns the request for each account with demand, and drops idle
// accounts.
func (p *pools) borrowAsks(now time.Time) []*loompb.BorrowAsk {
	p.mu.Lock()
	defer p.mu.Unlock()
	var asks []*loompb.BorrowAsk
	for account, b := range p.borrowers {
		demand := b.demand.Rate(now)
		if demand < 1 {
			delete(p.borrowers, account)
			continue
		}
		if p.instance.quotaSplit(account).pool <= 0 {
			continue
		}
		ask := b.allowance.Request(now, "", demand)
		asks = append(asks, &loompb.BorrowAsk{
			ClientAccount: account,
			Demand:        uint64(ask.Demand),
			Held:          uint64(ask.Held),
			Lease:         ask.Lease,
		})
	}
	return asks
}

// borrowFrom asks one lender for the rates of several accounts. Without an
// answer, the present leases run out.
func (p *pools) borrowFrom(ctx context.Context, lender string, asks []*loompb.BorrowAsk) {
	n := p.instance
	request := &loompb.BorrowRequest{Holder: n.FailureDomain() + "/" + n.ID(), Asks: asks}
	requestedAt := time.Now()
	if lender == n.ID() {
		p.applyGrants(requestedAt, p.lend(requestedAt, request))
		return
	}
	client, err := n.peerClient(lender)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if reply, err := client.Borrow(call, request); err == nil {
		p.applyGrants(requestedAt, reply)
	}
}

// applyGrants records the granted leases. Their duration counts from the time
// of the request, so that they expire here before they do at the lender.
func (p *pools) applyGrants(requestedAt time.Time, reply *loompb.BorrowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range reply.GetGrants() {
		if b, ok := p.borrowers[g.GetClientAccount()]; ok {
			b.allowance.Accept(requestedAt, loomlimit.Grant{
				Rate:  float64(g.GetRate()),
				Lease: g.GetLease(),
				For:   time.Duration(g.GetLeaseMs()) * time.Millisecond,
			})
		}
	}
}

// lend grants borrowed rates from the pools whose shard leases this instance
// holds. Other accounts are left out of the reply.
func (p *pools) lend(now time.Time, r *loompb.BorrowRequest) *loompb.BorrowReply {
	reply := &loompb.BorrowReply{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range r.GetAsks() {
		l, ok := p.ledger(now, a.GetClientAccount())
		if !ok {
			continue
		}
		g := l.Grant(now, p.instance.quotaSplit(a.GetClientAccount()).pool, loomlimit.LeaseRequest{
			Holder: r.GetHolder(),
			Demand: float64(a.GetDemand()),
			Held:   float64(a.GetHeld()),
			Lease:  a.GetLease(),
		})
		reply.Grants = append(reply.Grants, &loompb.BorrowGrant{
			ClientAccount: a.GetClientAccount(),
			Rate:          uint64(g.Rate),
			Lease:         g.Lease,
			LeaseMs:       uint64(g.For.Milliseconds()),
		})
	}
	return reply
}

// ledger returns the ledger of an account's pool. The result is false when this
// instance does not hold the lease of its shard. The caller must hold mu.
func (p *pools) ledger(now time.Time, account string) (*loomlimit.Ledger, bool) {
	lease, ok := p.leases[poolShard(account)]
	if !ok {
		return nil, false
	}
	if _, held := lease.Held(now); !held {
		return nil, false
	}
	l, ok := p.ledgers[account]
	if !ok {
		l = loomlimit.NewLedger(now, borrowLeaseDuration, borrowLeaseDuration+borrowLeaseDuration/10)
		p.ledgers[account] = l
	}
	return l, true
}

// lender returns the instance that should lend the pool of an account: the first
// live one in rendezvous order for the pool's shard.
func (p *pools) lender(account string) string {
	n := p.instance
	return firstRanked(poolKey(poolShard(account)), n.view.Load().LiveIDs(loommember.KindInstance, ""), n.ID())
}

// poolShard returns the shard of an account's pool.
func poolShard(account string) int {
	return int(xxhash.Sum64String(account) % poolShards)
}

// poolKey returns the row key of a shard's lender lease.
func poolKey(shard int) string {
	return "quota_pool/" + string(rune('a'+shard))
}

// renewLeases acquires and renews the leases of the shards for which this
// instance ranks first, and drops the ledgers of lost shards.
func (p *pools) renewLeases(ctx context.Context) {
	n := p.instance
	ids := n.view.Load().LiveIDs(loommember.KindInstance, "")
	for shard := range poolShards {
		if firstRanked(poolKey(shard), ids, "") != n.ID() {
			continue
		}
		p.mu.Lock()
		lease, ok := p.leases[shard]
		if !ok {
			l := loomlease.New(poolKey(shard), n.holderName(), poolLeaseDuration)
			lease = &l
			p.leases[shard] = lease
		}
		p.mu.Unlock()
		n.maintainLease(ctx, lease, &p.mu)
	}
	p.dropLostLedgers(time.Now())
}

// dropLostLedgers drops the ledgers of shards whose lease this instance no
// longer holds.
func (p *pools) dropLostLedgers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for account := range p.ledgers {
		lease, ok := p.leases[poolShard(account)]
		if ok {
			_, ok = lease.Held(now)
		}
		if !ok {
			delete(p.ledgers, account)
		}
	}
}

// status returns the borrowed rates of the accounts whose home is this
// instance.
func (p *pools) status(now time.Time) []QuotaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []QuotaStatus
	for account, b := range p.borrowers {
		all = append(all, QuotaStatus{
			ClientAccount: account,
			Demand:        b.demand.Rate(now),
			Floor:         p.instance.quotaSplit(account).floor,
			Borrowed:      b.allowance.Rate(now),
			Lender:        p.lender(account),
		})
	}
	return all
}
