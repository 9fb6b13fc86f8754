package loomlimit

import "time"

// Bucket is a token bucket that may go into debt, so that a request larger than
// the burst can still be served. It is not safe for concurrent use. The zero
// value is empty and has a rate of zero.
type Bucket struct {
	// rate is in tokens per second, burst in tokens.
	rate  float64
	burst float64
	// balance is the number of tokens at filledAt. It is at most burst, and
	// negative while the bucket is in debt.
	balance  float64
	filledAt time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: burst, balance: burst, filledAt: now}
}

// SetRate changes rate and burst from now on. A balance above the new burst is
// cut to it.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.balance = min(b.balance, burst)
}

// fill adds the tokens that have accrued since the last call. A clock that steps
// back adds none.
func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.balance = min(b.balance+b.rate*d.Seconds(), b.burst)
		b.filledAt = now
	}
}

// Reserve takes n tokens and returns true when the balance is positive and at
// least min(n, burst). Otherwise it returns the time until a call could succeed,
// between one millisecond and maxWait, and false.
func (b *Bucket) Reserve(now time.Time, n float64) (time.Duration, bool) {
	b.fill(now)
	need := min(n, b.burst)
	if b.balance >= need && b.balance > 0 {
		b.balance -= n
		return 0, true
	}
	if b.rate <= 0 {
		return maxWait, false
	}
	wait := time.Duration((need - b.balance) / b.rate * float64(time.Second))
	return min(max(wait, time.Millisecond), maxWait), false
}

// Balance returns the number of tokens at now; it is negative in debt.
func (b *Bucket) Balance(now time.Time) float64 {
	b.fill(now)
	return b.balance
}

// maxWait bounds the wait that Reserve returns, also when the rate is zero.
const maxWait = time.Hour
