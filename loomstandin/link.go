package loomstandin

import (
	"context"
	"sync"
	"time"

	"swiftloom/loomkernel"
)

// link is a connection of limited capacity that serves transfers in order of
// arrival.
type link struct {
	mu sync.Mutex
	// bytesPerSecond is above zero.
	bytesPerSecond int64
	// freeAt is when the last accepted transfer ends.
	freeAt time.Time
	moved  int64
	busy   time.Duration
}

func newLink(bytesPerSecond int64) *link {
	return &link{bytesPerSecond: bytesPerSecond}
}

// transfer returns when n bytes have passed, or when ctx ends.
func (l *link) transfer(ctx context.Context, n int) error {
	return sleepUntil(ctx, l.accept(time.Now(), n))
}

func (l *link) accept(now time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	d := time.Duration(int64(n) * int64(time.Second) / l.bytesPerSecond)
	l.freeAt = l.freeAt.Add(d)
	l.moved += int64(n)
	l.busy += d
	return l.freeAt
}

// backlog returns the bytes that are accepted but have not passed.
func (l *link) backlog(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.freeAt.Sub(now)
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

func (l *link) usage() (moved int64, busy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moved, l.busy
}

func sleepUntil(ctx context.Context, t time.Time) error {
	return sleep(ctx, time.Until(t))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return loomkernel.Sleep(ctx, d)
}
