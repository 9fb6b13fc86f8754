package loomstream

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryShare is the number of retries that each request adds to the budget.
	retryShare = 0.2
	// retryReserve is the number of retries that are available without any
	// recent requests.
	retryReserve = 20
	// backoffBase is the maximum pause after the first attempt, and backoffMax
	// the maximum pause after any number of attempts.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// RetryBudget limits retries to a share of the requests, so that retries do not
// multiply the load when many upstreams fail. The methods are safe for concurrent
// use.
type RetryBudget struct {
	mu sync.Mutex
	// balance is the number of available retries. It is between zero and reserve
	// plus share times recent.
	balance float64
	// share is the number of retries that each request adds to the balance.
	share float64
	// reserve is the maximum balance without any recent requests.
	reserve float64
	// recent is the number of requests with exponential decay over recentWindow,
	// and updatedAt the time of its last update.
	recent    float64
	updatedAt time.Time
}

// recentWindow is the time constant of the decay of recent requests. These raise
// the maximum balance, which allows a burst of retries when several upstreams fail
// at the same time.
const recentWindow = 2500 * time.Millisecond

// NewRetryBudget returns a full budget with the default share and reserve.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetOf(retryShare, retryReserve)
}

// NewRetryBudgetOf returns a full budget to which each request adds share. Without
// recent requests the balance is at most reserve.
func NewRetryBudgetOf(share, reserve float64) *RetryBudget {
	return &RetryBudget{balance: reserve, share: share, reserve: reserve}
}

// SetReserve changes the reserve, for example when the number of instances that
// share a budget has changed. It never increases the balance.
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

// Deposit adds the share of one request to the balance.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decayRecent(now)
	b.recent++
	b.balance = min(b.balance+b.share, b.reserve+b.share*b.recent)
}

// decayRecent applies the decay up to now to the number of recent requests. It
// does nothing if now is not after the last update.
func (b *RetryBudget) decayRecent(now time.Time) {
	d := now.Sub(b.updatedAt)
	if d <= 0 {
		return
	}
	if !b.updatedAt.IsZero() {
		b.recent *= math.Exp(-d.Seconds() / recentWindow.Seconds())
	}
	b.updatedAt = now
}

// Withdraw takes one retry from the balance. It returns false if the balance is
// below one.
func (b *RetryBudget) Withdraw(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Backoff computes the pauses between attempts, which grow exponentially and are
// randomized.
type Backoff struct {
	random *rand.Rand
}

// NewBackoff returns a Backoff that takes its random numbers from random.
func NewBackoff(random *rand.Rand) Backoff {
	return Backoff{random: random}
}

// Pause returns the pause after a number of attempts. It is uniformly distributed
// between half and all of a maximum that doubles with each attempt, up to
// backoffMax.
func (b Backoff) Pause(attempts int) time.Duration {
	bound := backoffBase << min(max(attempts-1, 0), 10)
	bound = min(bound, backoffMax)
	return bound/2 + time.Duration(b.random.Int64N(int64(bound/2)+1))
}
