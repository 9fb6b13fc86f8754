package loomlimit

import (
	"math"
	"time"
)

const (
	// demandMemory is how long a holder's wish counts after it was heard.
	demandMemory = 2 * time.Second
	// headroom is added to a wish, so that a growing one is not held back
	// until the next renewal.
	headroom = 1.2
	// minGrant is the least rate that a holder with some demand is lent,
	// as a part of the budget.
	minGrant = 0.02
	// spareLent is the part of what all wishes leave that is lent as well.
	spareLent = 0.5
	// driftPart is the part of a duration that clocks may differ by.
	driftPart = 20
)

// Wish is what a holder asks of a ledger.
type Wish struct {
	Holder string
	// Demand is the rate that the holder is being asked for.
	Demand float64
	// Held is the rate of the unexpired lease that the holder has, and Lease
	// its number.
	Held  float64
	Lease uint64
}

// Grant is a lease of a rate.
type Grant struct {
	Rate  float64
	Lease uint64
	For   time.Duration
}

// Ledger divides the rate of one account among holders by leases. What is lent
// counts as spent until it has surely lapsed on the holder's clock. Its owner
// must guard it.
type Ledger struct {
	lease time.Duration
	// quietUntil is when leases of an earlier ledger have surely lapsed; until
	// then a holder gets no more than it already has.
	quietUntil time.Time
	holders    map[string]*holding
	next       uint64
}

type holding struct {
	demand  float64
	heardAt time.Time
	// current is the latest grant; earlier ones still count until the holder
	// names the latest or they lapse.
	current lent
	earlier []lent
}

type lent struct {
	rate  float64
	lease uint64
	until time.Time
}

// NewLedger returns the ledger of a home that has just become one.
func NewLedger(now time.Time, lease, quiet time.Duration) *Ledger {
	return &Ledger{
		lease:      lease,
		quietUntil: now.Add(quiet),
		holders:    make(map[string]*holding),
		next:       uint64(now.UnixNano()),
	}
}

// Lend answers a wish. The sum of all unexpired grants never exceeds budget,
// except while a falling budget's old grants run out.
func (l *Ledger) Lend(now time.Time, budget float64, w Wish) Grant {
	h := l.holding(now, w)
	others := l.lentToOthers(now, w.Holder)
	target := l.fairPart(now, budget, w.Holder)
	rate := math.Max(math.Min(target, budget-others), 0)
	if now.Before(l.quietUntil) {
		rate = math.Min(rate, w.Held)
	}
	if old := h.current; old.until.After(now) {
		h.earlier = append(h.earlier, old)
	}
	l.next++
	h.current = lent{rate: rate, lease: l.next, until: now.Add(l.lease + l.lease/driftPart)}
	return Grant{Rate: rate, Lease: l.next, For: l.lease}
}

func (l *Ledger) holding(now time.Time, w Wish) *holding {
	h, ok := l.holders[w.Holder]
	if !ok {
		h = &holding{}
		l.holders[w.Holder] = h
		if w.Held > 0 {
			h.earlier = []lent{{rate: w.Held, lease: w.Lease, until: now.Add(l.lease + l.lease/driftPart)}}
		}
	}
	h.demand = w.Demand
	h.heardAt = now
	kept := h.earlier[:0]
	for _, e := range h.earlier {
		if e.until.After(now) && (w.Lease != h.current.lease || h.current.lease == 0) {
			kept = append(kept, e)
		}
	}
	h.earlier = kept
	return h
}

// lentToOthers returns the sum of what all holders but one may still spend.
func (l *Ledger) lentToOthers(now time.Time, holder string) float64 {
	sum := 0.0
	for name, h := range l.holders {
		if name == holder {
			continue
		}
		rate := h.rate(now)
		if rate == 0 && now.Sub(h.heardAt) > demandMemory {
			delete(l.holders, name)
			continue
		}
		sum += rate
	}
	return sum
}

// rate returns the most that the holder may be spending.
func (h *holding) rate(now time.Time) float64 {
	most := 0.0
	if h.current.until.After(now) {
		most = h.current.rate
	}
	for _, e := range h.earlier {
		if e.until.After(now) {
			most = math.Max(most, e.rate)
		}
	}
	return most
}

// fairPart returns the max-min fair part of a holder: no holder gets more than
// it wishes while another gets less than an equal part. Of what all wishes
// leave, a part is divided evenly, so that bursts find room, and the rest is
// kept for holders that come next.
func (l *Ledger) fairPart(now time.Time, budget float64, holder string) float64 {
	self := l.holders[holder]
	var active []*holding
	for _, h := range l.holders {
		if now.Sub(h.heardAt) <= demandMemory && h.demand > 0 {
			active = append(active, h)
		}
	}
	if self.demand <= 0 {
		return 0
	}
	left := budget
	open := active
	for len(open) > 0 {
		part := left / float64(len(open))
		var rest []*holding
		for _, h := range open {
			if h.wish(budget) <= part {
				left -= h.wish(budget)
			} else {
				rest = append(rest, h)
			}
		}
		if len(rest) == len(open) {
			return fairRest(self, budget, part)
		}
		open = rest
	}
	return self.wish(budget) + left*spareLent/float64(len(active))
}

// fairRest returns the part of a holder when not all wishes can be met.
func fairRest(h *holding, budget, part float64) float64 {
	return math.Min(h.wish(budget), part)
}

func (h *holding) wish(budget float64) float64 {
	return math.Max(h.demand*headroom, budget*minGrant)
}
