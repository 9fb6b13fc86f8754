// Package loomlink decides what may use the link to a store of kept state:
// imports that a request waits for go first, then exports, prefetches and
// rebalancing, each only while the link has room for it.
package loomlink

import (
	"sync"
	"time"
)

// Class orders traffic by urgency.
type Class int

// The classes of traffic, most urgent first.
const (
	Import Class = iota
	Export
	Prefetch
	Rebalance
	classCount
)

// backlogLimits bounds, for each class, the time that the backlog of the link
// may take when a transfer of the class starts.
var backlogLimits = [classCount]time.Duration{
	Import:    time.Second,
	Export:    20 * time.Millisecond,
	Prefetch:  5 * time.Millisecond,
	Rebalance: time.Millisecond,
}

// Budget is what one process knows of one link. Its methods may be called
// concurrently.
type Budget struct {
	mu sync.Mutex
	// rate is in bytes a second and above zero.
	rate float64
	// reported is the backlog in bytes at reportedAt, as the store told.
	reported   float64
	reportedAt time.Time
	// begun is what this process has started since reportedAt, in bytes.
	begun float64
	// inFlight is what this process has started and not ended, by class.
	inFlight [classCount]int64
}

// NewBudget returns the budget of an idle link.
func NewBudget(bytesPerSecond int64) *Budget {
	return &Budget{rate: float64(max(bytesPerSecond, 1))}
}

// Report takes in the backlog and rate that the store told.
func (b *Budget) Report(now time.Time, backlogBytes, bytesPerSecond int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytesPerSecond > 0 {
		b.rate = float64(bytesPerSecond)
	}
	b.reported = float64(backlogBytes)
	b.reportedAt = now
	b.begun = 0
}

// Wait returns how long a transfer that starts now waits for the link.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait(now)
}

func (b *Budget) wait(now time.Time) time.Duration {
	backlog := b.reported + b.begun
	if !b.reportedAt.IsZero() {
		backlog -= b.rate * now.Sub(b.reportedAt).Seconds()
	}
	if backlog <= 0 {
		return 0
	}
	return time.Duration(backlog / b.rate * float64(time.Second))
}

// Time returns how long n bytes take on a free link.
func (b *Budget) Time(n int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(n) / b.rate * float64(time.Second))
}

// Begin asks for a transfer of n bytes. When it returns true, the caller must
// call End with the same values.
func (b *Budget) Begin(now time.Time, c Class, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wait(now) > backlogLimits[c] {
		return false
	}
	for urgent := Import; urgent < c; urgent++ {
		if c > Export && b.inFlight[urgent] > 0 {
			return false
		}
	}
	b.begun += float64(n)
	b.inFlight[c] += n
	return true
}

// End gives back what Begin granted.
func (b *Budget) End(c Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[c] -= n
}
