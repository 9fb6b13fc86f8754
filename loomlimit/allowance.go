package loomlimit

import (
	"math"
	"time"
)

// demandTime is the time over which demand is averaged.
const demandTime = time.Second

// Demand averages what is asked for in a second. Its owner must guard it; the
// zero value has seen nothing.
type Demand struct {
	sum float64
	at  time.Time
}

// Ask notes that n was asked for.
func (d *Demand) Ask(now time.Time, n float64) {
	d.decay(now)
	d.sum += n
}

// Rate returns what was lately asked for in a second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.sum / demandTime.Seconds()
}

func (d *Demand) decay(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 {
		return
	}
	d.sum *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	d.at = now
}

// Allowance is a rate that a holder has on lease. Its owner must guard it; the
// zero value has no lease.
type Allowance struct {
	rate  float64
	lease uint64
	// until is when the lease lapses on this process's monotonic clock.
	until time.Time
}

// Lease takes in a grant that was asked for at askedAt.
func (a *Allowance) Lease(askedAt time.Time, g Grant) {
	a.rate = g.Rate
	a.lease = g.Lease
	a.until = askedAt.Add(g.For)
}

// Rate returns the leased rate, or zero after the lease has lapsed. The caller
// must ask at the moment of use.
func (a *Allowance) Rate(now time.Time) float64 {
	if !now.Before(a.until) {
		return 0
	}
	return a.rate
}

// Wish returns what to ask the lender for.
func (a *Allowance) Wish(now time.Time, holder string, demand float64) Wish {
	return Wish{Holder: holder, Demand: demand, Held: a.Rate(now), Lease: a.lease}
}

// Credit is what an instance may still spend for an account without asking the
// account's home. Its owner must guard it; the zero value is empty.
type Credit struct {
	// amount is above zero only until it lapses; below zero it is debt, which
	// never lapses.
	amount float64
	until  time.Time
}

// Add puts in n that lapses at until.
func (c *Credit) Add(now time.Time, n float64, until time.Time) {
	c.lapse(now)
	c.amount += n
	c.until = until
}

// Take takes n if there is as much.
func (c *Credit) Take(now time.Time, n float64) bool {
	c.lapse(now)
	if c.amount < n {
		return false
	}
	c.amount -= n
	return true
}

// Settle corrects what was taken by what was used.
func (c *Credit) Settle(now time.Time, taken, used float64) {
	c.lapse(now)
	c.amount += taken - used
	if c.amount > 0 && !now.Before(c.until) {
		c.until = now.Add(creditLife)
	}
}

// Debt returns and clears what was used beyond what was taken.
func (c *Credit) Debt(now time.Time) float64 {
	c.lapse(now)
	if c.amount >= 0 {
		return 0
	}
	debt := -c.amount
	c.amount = 0
	return debt
}

func (c *Credit) lapse(now time.Time) {
	if c.amount > 0 && !now.Before(c.until) {
		c.amount = 0
	}
}

// creditLife is how long what a request did not use may be used by the next.
const creditLife = time.Second
