package loomlimit

import (
	"math"
	"time"
)

const (
	// burstTime is how long an unused rate is saved up.
	burstTime = 250 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
)

// Allowance is what one instance may spend for one account under its lease.
// Its owner must guard it.
type Allowance struct {
	bucket Bucket
	rate   float64
	lease  uint64
	// until is when the lease lapses on this process's monotonic clock.
	until time.Time

	asked   float64
	askedAt time.Time
	// backlog is the cost of the requests that wait for allowance.
	backlog float64
}

// NewAllowance returns an allowance without a lease.
func NewAllowance(now time.Time) *Allowance {
	return &Allowance{bucket: NewBucket(now, 0, 0), askedAt: now}
}

// Lease takes in a grant that was asked for at askedAt. At most burst is saved
// up.
func (a *Allowance) Lease(now, askedAt time.Time, g Grant, burst float64) {
	a.rate = g.Rate
	a.lease = g.Lease
	a.until = askedAt.Add(g.For)
	a.bucket.SetRate(now, g.Rate, math.Min(g.Rate*burstTime.Seconds(), burst))
}

// Valid reports whether the lease may be used at now.
func (a *Allowance) Valid(now time.Time) bool {
	return now.Before(a.until) && a.rate > 0
}

// Spend reserves n under the lease, which is checked at this moment. When it
// can't, it returns how long to wait before asking again.
func (a *Allowance) Spend(now time.Time, n float64) (time.Duration, bool) {
	if !a.Valid(now) {
		a.bucket.SetRate(now, 0, 0)
		return leaseWait, false
	}
	return a.bucket.Reserve(now, n)
}

// Ask notes that n was asked for, whether or not it could be spent.
func (a *Allowance) Ask(now time.Time, n float64) {
	a.decay(now)
	a.asked += n
}

// Wait notes that n starts, or with a negative value ends, to wait.
func (a *Allowance) Wait(n float64) {
	a.backlog = math.Max(a.backlog+n, 0)
}

func (a *Allowance) decay(now time.Time) {
	d := now.Sub(a.askedAt)
	if d <= 0 {
		return
	}
	a.asked *= math.Exp(-d.Seconds() / demandTime.Seconds())
	a.askedAt = now
}

// Settle corrects a reservation by the actual cost.
func (a *Allowance) Settle(now time.Time, reserved, actual float64) {
	a.bucket.Settle(now, reserved, actual)
}

// Wish returns what to ask the home for.
func (a *Allowance) Wish(now time.Time, holder string) Wish {
	a.decay(now)
	w := Wish{Holder: holder, Demand: a.asked/demandTime.Seconds() + a.backlog, Lease: a.lease}
	if a.Valid(now) {
		w.Held = a.rate
	}
	return w
}

// Idle reports whether the account is not asked for any more.
func (a *Allowance) Idle(now time.Time) bool {
	a.decay(now)
	return a.asked < 1 && a.backlog == 0
}

// Rate returns the leased rate, or zero after the lease has lapsed.
func (a *Allowance) Rate(now time.Time) float64 {
	if !a.Valid(now) {
		return 0
	}
	return a.rate
}

// leaseWait is how long to wait for a lease before asking again.
const leaseWait = 5 * time.Millisecond
