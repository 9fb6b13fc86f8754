package loomstandin

import (
	"context"
	"sync"
	"time"

	"swiftloom/loomkernel"
)

// link models a link of limited bandwidth that serves transfers in order of
// arrival. Its methods may be called concurrently.
type link struct {
	mu sync.Mutex
	// bytesPerSecond is greater than zero.
	bytesPerSecond int64
	// idleAt is when the last reserved transfer ends.
	idleAt     time.Time
	movedBytes int64
	busy       time.Duration
}

func newLink(bytesPerSecond int64) *link {
	return &link{bytesPerSecond: bytesPerSecond}
}

// transfer blocks for the time that n bytes take on the link, including the
// transfers queued before it. It returns the error of ctx if that is done first;
// the reserved time stays taken.
func (l *link) transfer(ctx context.Context, n int) error {
	return sleepUntil(ctx, l.reserve(time.Now(), n))
}

// reserve queues a transfer of n bytes and returns the time of its end.
func (l *link) reserve(now time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	d := time.Duration(int64(n) * int64(time.Second) / l.bytesPerSecond)
	l.idleAt = l.idleAt.Add(d)
	l.movedBytes += int64(n)
	l.busy += d
	return l.idleAt
}

// backlog returns the number of reserved bytes that are not yet transferred.
func (l *link) backlog(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.idleAt.Sub(now)
	if wait <= 0 {
		return 0
	}
	return int64(wait.Seconds() * float64(l.bytesPerSecond))
}

func (l *link) setRate(bytesPerSecond int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

func (l *link) rate() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesPerSecond
}

// usage returns the total bytes and the total transfer time of all reservations.
func (l *link) usage() (moved int64, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.movedBytes, l.busy
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return sleep(ctx, time.Until(t))
}

// sleep waits for d or until ctx is done, and returns the error of ctx in the
// second case. Unlike loomkernel.Sleep it always reports a ctx that is already
// done, even if d is not positive.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return loomkernel.Sleep(ctx, d)
}
