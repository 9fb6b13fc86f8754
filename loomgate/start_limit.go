package loomgate

import (
	"context"
	"sync/atomic"
	"time"
)

// startLimit ends an attempt that has not begun when its weights expire. A nil startLimit
// never does.
type startLimit struct {
	timer     *time.Timer
	isReached atomic.Bool
}

// limitStart returns the limit of the current attempt, which calls cancel, or nil if its
// weights are current. The choice of the upstream expects the caller to leave before then;
// one that stays must not let the request begin later.
func (d *dispatch) limitStart(now time.Time, cancel context.CancelFunc) *startLimit {
	expiry, ok := d.gate.view.weightsExpiry(d.prompt.Model, d.version)
	if !d.hasPrompt || !ok {
		return nil
	}
	l := &startLimit{}
	l.timer = time.AfterFunc(expiry.Sub(now), func() {
		l.isReached.Store(true)
		cancel()
	})
	return l
}

// stop ends the limit, since the attempt has begun or is over.
func (l *startLimit) stop() {
	if l != nil {
		l.timer.Stop()
	}
}

// hasPassed reports whether the limit has ended the attempt.
func (l *startLimit) hasPassed() bool {
	return l != nil && l.isReached.Load()
}
