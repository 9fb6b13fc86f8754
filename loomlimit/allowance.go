package loomlimit

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponentially decaying average
// of the demand.
const demandTimeConstant = time.Second

// Demand measures the rate at which tokens are requested, as an exponentially
// decaying average. It is not safe for concurrent use. The zero value has a rate
// of zero.
type Demand struct {
	// sum is the decayed sum of the requested tokens at the time at.
	sum float64
	at  time.Time
}

// Add adds a request for n tokens.
func (d *Demand) Add(now time.Time, n float64) {
	d.decay(now)
	d.sum += n
}

// Rate returns the average demand in tokens per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.sum / demandTimeConstant.Seconds()
}

func (d *Demand) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	d.sum *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	d.at = now
}

// Allowance is the holder's side of a rate lease. It is not safe for concurrent
// use. The zero value holds no lease.
type Allowance struct {
	rate float64
	// lease is the number of the latest lease.
	lease uint64
	// expiresAt is read on the monotonic clock of this process.
	expiresAt time.Time
}

// Accept stores a grant that was requested at requestedAt. The lease is counted
// from the request, so that it expires here no later than at the lender.
func (a *Allowance) Accept(requestedAt time.Time, g Grant) {
	a.rate = g.Rate
	a.lease = g.Lease
	a.expiresAt = requestedAt.Add(g.For)
}

// Rate returns the leased rate in tokens per second, or zero once the lease has
// expired. The result holds only for now; callers must not keep it.
func (a *Allowance) Rate(now time.Time) float64 {
	if !now.Before(a.expiresAt) {
		return 0
	}
	return a.rate
}

// Request returns the request that renews the lease, for a demand in tokens per
// second.
func (a *Allowance) Request(now time.Time, holder string, demand float64) LeaseRequest {
	return LeaseRequest{Holder: holder, Demand: demand, Held: a.Rate(now), Lease: a.lease}
}

// Credit is the number of tokens that an Instance may still spend for a
// ClientAccount without a call to the account's home instance. It is not safe
// for concurrent use. The zero value is empty.
type Credit struct {
	// balance expires at expiresAt when it is positive. A negative balance is
	// debt and does not expire.
	balance   float64
	expiresAt time.Time
}

// Add adds n tokens; the whole balance then expires at expiresAt.
func (c *Credit) Add(now time.Time, n float64, expiresAt time.Time) {
	c.expire(now)
	c.balance += n
	c.expiresAt = expiresAt
}

// Take deducts n tokens and returns true, or returns false when the balance is
// lower than n.
func (c *Credit) Take(now time.Time, n float64) bool {
	c.expire(now)
	if c.balance < n {
		return false
	}
	c.balance -= n
	return true
}

// Settle replaces the estimate that was taken for a request by the tokens that
// the request used.
func (c *Credit) Settle(now time.Time, taken, used float64) {
	c.expire(now)
	c.balance += taken - used
	if c.balance > 0 && !now.Before(c.expiresAt) {
		c.expiresAt = now.Add(refundLifetime)
	}
}

// Debt returns the tokens that were used beyond those taken, and resets the debt
// to zero.
func (c *Credit) Debt(now time.Time) float64 {
	c.expire(now)
	if c.balance >= 0 {
		return 0
	}
	debt := -c.balance
	c.balance = 0
	return debt
}

func (c *Credit) expire(now time.Time) {
	if c.balance > 0 && !now.Before(c.expiresAt) {
		c.balance = 0
	}
}

// refundLifetime is how long tokens that a request did not use stay available
// to later requests.
const refundLifetime = time.Second
