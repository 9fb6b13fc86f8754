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
	borrowInterval = 150 * time.Millisecond
	poolInterval   = 600 * time.Millisecond
	// borrowLease is how long a borrowed rate may be used.
	borrowLease = time.Second
	// poolShards is the number of leases among which the lenders of pools
	// divide the accounts.
	poolShards   = 16
	poolDuration = 3 * time.Second
)

// pools holds two roles in the part of limits beside the floors of the failure
// domains: the borrower, which is the home of an account in its domain, and the
// lender, which must hold the lease of the account's shard in the platform's
// table.
type pools struct {
	instance *Instance

	mu sync.Mutex
	// borrowers are those of the accounts that were spent for here.
	borrowers map[string]*borrower
	// ledgers are those of the accounts whose pool this instance lends.
	ledgers map[string]*loomlimit.Ledger
	leases  map[int]*loomlease.Lease
}

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

// borrowed notes a demand and returns the rate that the domain has beyond its
// floor.
func (p *pools) borrowed(now time.Time, account string, demand float64) float64 {
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

// borrow asks the lenders for what the accounts of this home want.
func (p *pools) borrow(ctx context.Context) {
	byLender := make(map[string][]*loompb.BorrowAsk)
	for _, a := range p.wishes(time.Now()) {
		lender := p.lender(a.GetClientAccount())
		byLender[lender] = append(byLender[lender], a)
	}
	var wait sync.WaitGroup
	for lender, asks := range byLender {
		wait.Go(func() { p.ask(ctx, lender, asks) })
	}
	wait.Wait()
}

// wishes returns the demand of each account, and forgets idle ones.
func (p *pools) wishes(now time.Time) []*loompb.BorrowAsk {
	p.mu.Lock()
	defer p.mu.Unlock()
	var asks []*loompb.BorrowAsk
	for account, b := range p.borrowers {
		demand := b.demand.Rate(now)
		if demand < 1 {
			delete(p.borrowers, account)
			continue
		}
		if p.instance.division(account).pool <= 0 {
			continue
		}
		w := b.allowance.Request(now, "", demand)
		asks = append(asks, &loompb.BorrowAsk{
			ClientAccount: account,
			Demand:        uint64(w.Demand),
			Held:          uint64(w.Held),
			Lease:         w.Lease,
		})
	}
	return asks
}

func (p *pools) ask(ctx context.Context, lender string, asks []*loompb.BorrowAsk) {
	n := p.instance
	request := &loompb.BorrowRequest{Holder: n.FailureDomain() + "/" + n.ID(), Asks: asks}
	askedAt := time.Now()
	if lender == n.ID() {
		p.take(askedAt, p.lend(askedAt, request))
		return
	}
	client, err := n.peerByID(lender)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	if reply, err := client.Borrow(call, request); err == nil {
		p.take(askedAt, reply)
	}
}

func (p *pools) take(askedAt time.Time, reply *loompb.BorrowReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range reply.GetGrants() {
		if b, ok := p.borrowers[g.GetClientAccount()]; ok {
			b.allowance.Accept(askedAt, loomlimit.Grant{
				Rate:  float64(g.GetRate()),
				Lease: g.GetLease(),
				For:   time.Duration(g.GetLeaseMs()) * time.Millisecond,
			})
		}
	}
}

// lend answers borrowers as the lender of the pools whose leases this instance
// holds.
func (p *pools) lend(now time.Time, r *loompb.BorrowRequest) *loompb.BorrowReply {
	reply := &loompb.BorrowReply{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range r.GetAsks() {
		l, ok := p.ledger(now, a.GetClientAccount())
		if !ok {
			continue
		}
		g := l.Grant(now, p.instance.division(a.GetClientAccount()).pool, loomlimit.LeaseRequest{
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

// ledger returns the ledger of an account's pool while this instance holds the
// lease of its shard.
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
		l = loomlimit.NewLedger(now, borrowLease, borrowLease+borrowLease/10)
		p.ledgers[account] = l
	}
	return l, true
}

// lender returns the instance that should lend the pool of an account.
func (p *pools) lender(account string) string {
	n := p.instance
	return firstRanked(poolKey(poolShard(account)), n.view.Load().LiveIDs(loommember.KindInstance, ""), n.ID())
}

func poolShard(account string) int {
	return int(xxhash.Sum64String(account) % poolShards)
}

func poolKey(shard int) string {
	return "quota_pool/" + string(rune('a'+shard))
}

// hold takes and renews the leases of the pools whose lender this instance
// should be, and drops the ledgers of those that it has lost.
func (p *pools) hold(ctx context.Context) {
	n := p.instance
	ids := n.view.Load().LiveIDs(loommember.KindInstance, "")
	for shard := range poolShards {
		if firstRanked(poolKey(shard), ids, "") != n.ID() {
			continue
		}
		p.mu.Lock()
		lease, ok := p.leases[shard]
		if !ok {
			l := loomlease.New(poolKey(shard), n.holderName(), poolDuration)
			lease = &l
			p.leases[shard] = lease
		}
		p.mu.Unlock()
		n.holdLease(ctx, lease, &p.mu)
	}
	p.dropLost(time.Now())
}

func (p *pools) dropLost(now time.Time) {
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

// status returns the borrowed rates of the accounts of this home.
func (p *pools) status(now time.Time) []QuotaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []QuotaStatus
	for account, b := range p.borrowers {
		all = append(all, QuotaStatus{
			ClientAccount: account,
			Demand:        b.demand.Rate(now),
			Floor:         p.instance.division(account).floor,
			Borrowed:      b.allowance.Rate(now),
			Lender:        p.lender(account),
		})
	}
	return all
}
