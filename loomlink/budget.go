// Package loomlink controls the admission of transfers to the link of a KV cache
// store. Imports, for which requests wait, have priority over exports, prefetches
// and rebalancing, in this order. Each class is admitted only while the backlog of
// the link is below a limit.
package loomlink

import (
	"sync"
	"time"
)

// Class is the priority class of a transfer.
type Class int

// The classes of transfers, highest priority first.
const (
	Import Class = iota
	Export
	Prefetch
	Rebalance
	classCount
)

// backlogLimits holds, for each class, the maximum backlog of the link at the
// start of a transfer, as the time that the link needs to drain it.
var backlogLimits = [classCount]time.Duration{
	Import:    time.Second,
	Export:    20 * time.Millisecond,
	Prefetch:  5 * time.Millisecond,
	Rebalance: time.Millisecond,
}

// Budget estimates the backlog of one link in one process and admits transfers
// by it. The methods are safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// rate is the bandwidth of the link in bytes per second. It is positive.
	rate float64
	// reported is the backlog in bytes that the store reported at reportedAt.
	reported   float64
	reportedAt time.Time
	// startedBytes is the number of bytes of the transfers that this process has
	// started since reportedAt.
	startedBytes float64
	// inFlight is the number of bytes of the unfinished transfers of this
	// process, by class.
	inFlight [classCount]int64
}

// NewBudget returns the budget of an idle link with the given bandwidth.
func NewBudget(bytesPerSecond int64) *Budget {
	return &Budget{rate: float64(max(bytesPerSecond, 1))}
}

// Report sets the backlog and the bandwidth to those that the store reported. A
// bandwidth of zero or less leaves the current one unchanged.
func (b *Budget) Report(now time.Time, backlogBytes, bytesPerSecond int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytesPerSecond > 0 {
		b.rate = float64(bytesPerSecond)
	}
	b.reported = float64(backlogBytes)
	b.reportedAt = now
	b.startedBytes = 0
}

// Wait returns the estimated time until a transfer that starts now gets the link.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait(now)
}

// wait is Wait for callers that hold mu.
func (b *Budget) wait(now time.Time) time.Duration {
	backlog := b.reported + b.startedBytes
	if !b.reportedAt.IsZero() {
		backlog -= b.rate * now.Sub(b.reportedAt).Seconds()
	}
	if backlog <= 0 {
		return 0
	}
	return time.Duration(backlog / b.rate * float64(time.Second))
}

// TransferTime returns the time to transfer n bytes on an idle link.
func (b *Budget) TransferTime(n int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(n) / b.rate * float64(time.Second))
}

// Begin reports whether a transfer of n bytes may start. If it returns true, the
// caller must call End with the same class and number of bytes. A transfer is
// admitted if the backlog is within the limit of its class and, for classes below
// Export, if no transfer of a higher class is in flight.
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
	b.startedBytes += float64(n)
	b.inFlight[c] += n
	return true
}

// End records the end of a transfer that Begin admitted.
func (b *Budget) End(c Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[c] -= n
}
