package loomlimit

import "time"

// Bucket is a token bucket that may go into debt, so that a request larger than
// the burst is served at all. Its owner must guard it. The zero value is empty
// and has no rate.
type Bucket struct {
	rate  float64
	burst float64
	// balance is at most burst; below zero it is debt.
	balance float64
	at      time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: burst, balance: burst, at: now}
}

// SetRate changes rate and burst from now on.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.balance = min(b.balance, burst)
}

// fill adds what has come since the last call. Time that runs backwards adds
// nothing.
func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.balance = min(b.balance+b.rate*d.Seconds(), b.burst)
		b.at = now
	}
}

// Reserve takes n when the bucket is not in debt and holds n or is full, and
// otherwise returns how long it takes until it would.
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

// Balance returns what could be spent now.
func (b *Bucket) Balance(now time.Time) float64 {
	b.fill(now)
	return b.balance
}

const maxWait = time.Hour
