package loomgate

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"swiftloom/loomcatalogue"
)

// startLimit ends an attempt that has not begun when its weights expire, or when another
// attempt is to follow. A nil startLimit never does.
type startLimit struct {
	timers []*time.Timer
	// cause says why the attempt was ended; nil if it was not.
	cause atomic.Pointer[string]
}

// after ends the attempt by a call of end once a time has passed, if mayEnd then allows it.
func (l *startLimit) after(d time.Duration, cause string, mayEnd func() bool, end func()) {
	l.timers = append(l.timers, time.AfterFunc(d, func() {
		if mayEnd() && l.cause.CompareAndSwap(nil, &cause) {
			end()
		}
	}))
}

// stop ends the limit, since the attempt has begun or is over.
func (l *startLimit) stop() {
	if l == nil {
		return
	}
	for _, t := range l.timers {
		t.Stop()
	}
}

// passed returns why the limit has ended the attempt, or false if it has not.
func (l *startLimit) passed() (cause string, ok bool) {
	if l == nil {
		return "", false
	}
	if c := l.cause.Load(); c != nil {
		return *c, true
	}
	return "", false
}

// minSilence is the shortest time without an answer after which an attempt is given up for
// another one. Slow but sound upstreams usually answer sooner.
const minSilence = 600 * time.Millisecond

// silenceLimit returns how long an attempt may stay without an answer if another one may
// follow it. Nothing else shows that a connection passes nothing on, or that the upstream
// reads no more from it. Half of the time is left for the other attempt.
func silenceLimit(r loomcatalogue.Route, left time.Duration) time.Duration {
	return max(min(firstEventTimeout(r), left)/2, minSilence)
}

// maxStartTimeout bounds startTimeout. An upstream gets a quarter of a second of work ahead,
// and a full one was seen to begin a request 1.9 s after it was sent.
const maxStartTimeout = 2 * time.Second

// startTimeout returns how long before its weights expire an upstream gets its last requests
// of a route. It makes it rare that an attempt has not begun by then; startLimit ends those.
// The patience of the caller doesn't matter: with callers that wait for five seconds, engines
// would stand idle for as long before the end of their weights.
func startTimeout(r loomcatalogue.Route) time.Duration {
	return min(firstEventTimeout(r), maxStartTimeout)
}

// limitStart returns the limit of the current attempt, which calls cancel. The choice of the
// upstream expects the caller to leave before the weights expire; one that stays must not
// let the request begin later.
func (d *dispatch) limitStart(now time.Time, cancel context.CancelFunc) *startLimit {
	l := &startLimit{}
	if expiry, ok := d.gate.view.weightsExpiry(d.prompt.Model, d.version); ok && d.hasPrompt {
		l.after(expiry.Sub(now), "weights expired before the request began", func() bool { return true }, cancel)
	}
	left := d.req.deadline.Sub(now)
	if silence := silenceLimit(d.req.route, left); silence < left && d.lifecycle.CanRunAgain() {
		budget := d.gate.retries.forGroup(d.req.group.Name)
		canRetry := func() bool { return budget.Balance() >= 1 }
		l.after(silence, fmt.Sprintf("no answer within %s", silence.Round(time.Millisecond)), canRetry, cancel)
	}
	return l
}
