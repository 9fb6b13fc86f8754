package loomstream

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryShare is the number of retries for each request.
	retryShare = 0.2
	// retryReserve is the number of retries that a quiet instance may make.
	retryReserve = 20
	backoffBase  = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

// RetryBudget bounds retries to a share of the requests, so that a failure of
// many upstreams is not answered by a multiple of the load. Its methods may be
// called concurrently.
type RetryBudget struct {
	mu sync.Mutex
	// balance is between zero and reserve plus the share of recent requests.
	balance float64
	share   float64
	reserve float64
	// recent is the number of requests, fading over recentTime, and at when it
	// was last brought up to date.
	recent float64
	at     time.Time
}

// recentTime is the time over which requests add to what may be saved up for a
// burst of retries, as when several upstreams fail together.
const recentTime = 2500 * time.Millisecond

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetOf(retryShare, retryReserve)
}

// NewRetryBudgetOf returns a full budget that grows by share with each request,
// up to reserve.
func NewRetryBudgetOf(share, reserve float64) *RetryBudget {
	return &RetryBudget{balance: reserve, share: share, reserve: reserve}
}

// SetReserve changes the reserve, as when the number of instances that share a
// budget has changed. The balance never grows by it.
func (b *RetryBudget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.balance = min(b.balance, reserve+b.share*b.recent)
}

// Balance returns the number of retries that may be made now.
func (b *RetryBudget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fade(now)
	b.recent++
	b.balance = min(b.balance+b.share, b.reserve+b.share*b.recent)
}

// fade brings the number of recent requests up to date. Time that runs backwards
// changes nothing.
func (b *RetryBudget) fade(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	if !b.at.IsZero() {
		b.recent *= math.Exp(-d.Seconds() / recentTime.Seconds())
	}
	b.at = now
}

// Withdraw takes one retry and reports whether there was one.
func (b *RetryBudget) Withdraw(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff draws the pauses between attempts.
type Backoff struct {
	random *rand.Rand
}

// NewBackoff returns a Backoff that draws from random.
func NewBackoff(random *rand.Rand) Backoff {
	return Backoff{random: random}
}

// Pause returns the pause after a number of attempts: between half and all of
// a bound that doubles.
func (b Backoff) Pause(attempts int) time.Duration {
	bound := backoffBase << min(max(attempts-1, 0), 10)
	bound = min(bound, backoffMax)
	return bound/2 + time.Duration(b.random.Int64N(int64(bound/2)+1))
}
