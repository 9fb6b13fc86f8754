package loomlimit

import (
	"math"
	"time"
)

const (
	// demandMaxAge is how long a holder's demand counts after its latest request.
	demandMaxAge = 2 * time.Second
	// demandHeadroom multiplies the demand of a holder, so that a rising demand
	// is not throttled until the next renewal.
	demandHeadroom = 1.2
	// minTargetShare is the smallest target rate of a holder with any demand, as
	// a fraction of the budget.
	minTargetShare = 0.02
	// spareShare is the fraction of the budget left over by all targets that is
	// granted in addition.
	spareShare = 0.5
	// clockDriftDivisor bounds the drift between two clocks: over a duration d
	// they differ by at most d/clockDriftDivisor.
	clockDriftDivisor = 20
)

// LeaseRequest is a holder's request to a Ledger for a new lease.
type LeaseRequest struct {
	Holder string
	// Demand is the holder's measured demand, in tokens per second.
	Demand float64
	// Held is the rate of the holder's unexpired lease, or zero, and Lease the
	// number of its latest lease.
	Held  float64
	Lease uint64
}

// Grant is a lease on a rate.
type Grant struct {
	// Rate is in tokens per second.
	Rate float64
	// Lease is the number of the lease.
	Lease uint64
	// For is the duration of the lease, counted from the holder's request.
	For time.Duration
}

// Ledger divides the rate of one account among holders by leases. A lease counts
// against the budget until it has expired on the holder's clock even if that
// clock is slow. A Ledger is not safe for concurrent use.
type Ledger struct {
	lease time.Duration
	// takeoverUntil is when all leases of an earlier ledger have expired; until
	// then no holder is granted more than it already holds.
	takeoverUntil time.Time
	holders       map[string]*holder
	// lastLease is the number of the latest lease. It starts at the time in
	// nanoseconds, so that numbers of an earlier ledger are not used again.
	lastLease uint64
}

type holder struct {
	demand      float64
	requestedAt time.Time
	// current is the latest lease. The reply that granted it may be lost, so
	// earlier leases count as well until they expire or the holder names the
	// current one.
	current rateLease
	earlier []rateLease
}

type rateLease struct {
	rate      float64
	number    uint64
	expiresAt time.Time
}

// NewLedger returns a ledger that grants leases of the given duration. For the
// duration of takeover it grants holders no more than they already hold, because
// leases of an earlier ledger may still be in use.
func NewLedger(now time.Time, lease, takeover time.Duration) *Ledger {
	return &Ledger{
		lease:         lease,
		takeoverUntil: now.Add(takeover),
		holders:       make(map[string]*holder),
		lastLease:     uint64(now.UnixNano()),
	}
}

// Grant grants a new lease on a part of budget. The sum of all unexpired leases
// does not exceed budget, except after a cut of the budget until the earlier
// leases have expired.
func (l *Ledger) Grant(now time.Time, budget float64, r LeaseRequest) Grant {
	h := l.updateHolder(now, r)
	others := l.leasedToOthers(now, r.Holder)
	target := l.fairShare(now, budget, r.Holder)
	rate := math.Max(math.Min(target, budget-others), 0)
	if now.Before(l.takeoverUntil) {
		rate = math.Min(rate, r.Held)
	}
	if old := h.current; old.expiresAt.After(now) {
		h.earlier = append(h.earlier, old)
	}
	l.lastLease++
	h.current = rateLease{rate: rate, number: l.lastLease, expiresAt: now.Add(l.lease + l.lease/clockDriftDivisor)}
	return Grant{Rate: rate, Lease: l.lastLease, For: l.lease}
}

// updateHolder stores the demand of a holder and drops its superseded and
// expired leases. A holder that is not known yet keeps the lease that it names,
// which an earlier ledger granted.
func (l *Ledger) updateHolder(now time.Time, r LeaseRequest) *holder {
	h, ok := l.holders[r.Holder]
	if !ok {
		h = &holder{}
		l.holders[r.Holder] = h
		if r.Held > 0 {
			h.earlier = []rateLease{{rate: r.Held, number: r.Lease, expiresAt: now.Add(l.lease + l.lease/clockDriftDivisor)}}
		}
	}
	h.demand = r.Demand
	h.requestedAt = now
	kept := h.earlier[:0]
	for _, e := range h.earlier {
		if e.expiresAt.After(now) && (r.Lease != h.current.number || h.current.number == 0) {
			kept = append(kept, e)
		}
	}
	h.earlier = kept
	return h
}

// Leased returns the total rate that holders may be using.
func (l *Ledger) Leased(now time.Time) float64 {
	return l.leasedToOthers(now, "")
}

// leasedToOthers returns the total rate that all holders except the named one
// may be using. It removes holders without a lease whose demand has aged out.
func (l *Ledger) leasedToOthers(now time.Time, name string) float64 {
	sum := 0.0
	for other, h := range l.holders {
		if other == name {
			continue
		}
		rate := h.maxRate(now)
		if rate == 0 && now.Sub(h.requestedAt) > demandMaxAge {
			delete(l.holders, other)
			continue
		}
		sum += rate
	}
	return sum
}

// maxRate returns the highest rate that the holder may be using.
func (h *holder) maxRate(now time.Time) float64 {
	highest := 0.0
	if h.current.expiresAt.After(now) {
		highest = h.current.rate
	}
	for _, e := range h.earlier {
		if e.expiresAt.After(now) {
			highest = math.Max(highest, e.rate)
		}
	}
	return highest
}

// fairShare returns the max-min fair share of a holder: no holder gets more than
// its target rate while another one gets less than an equal share. When all
// targets are met, spareShare of the remaining budget is divided evenly to leave
// room for bursts, and the rest is kept for new holders.
func (l *Ledger) fairShare(now time.Time, budget float64, name string) float64 {
	self := l.holders[name]
	var active []*holder
	for _, h := range l.holders {
		if now.Sub(h.requestedAt) <= demandMaxAge && h.demand > 0 {
			active = append(active, h)
		}
	}
	if self.demand <= 0 {
		return 0
	}
	remaining := budget
	unmet := active
	for len(unmet) > 0 {
		share := remaining / float64(len(unmet))
		var above []*holder
		for _, h := range unmet {
			if h.target(budget) <= share {
				remaining -= h.target(budget)
			} else {
				above = append(above, h)
			}
		}
		if len(above) == len(unmet) {
			return cappedTarget(self, budget, share)
		}
		unmet = above
	}
	return self.target(budget) + remaining*spareShare/float64(len(active))
}

// cappedTarget returns the rate of a holder when the budget does not cover all
// targets.
func cappedTarget(h *holder, budget, share float64) float64 {
	return math.Min(h.target(budget), share)
}

// target returns the rate that meets the demand of the holder, with headroom.
func (h *holder) target(budget float64) float64 {
	return math.Max(h.demand*demandHeadroom, budget*minTargetShare)
}
