package loommember

import "time"

const (
	// rampStep is the time after a hold-off in which the number of requests that an
	// instance may have in flight at the upstream grows by one, and rampTime the time
	// after which it is no longer bounded. A herd would fill the upstream again.
	rampStep = 50 * time.Millisecond
	rampTime = time.Second
)

// HoldOff is the time for which an upstream wants no requests from this instance, since it
// has refused one. It holds for one incarnation of the upstream. It is immutable; the zero
// value holds nothing off.
type HoldOff struct {
	incarnation uint64
	// since is when the upstream first asked for the current hold-off.
	since, until time.Time
}

// WithRefusal returns the hold-off after an incarnation of the upstream has refused a
// request and wants none for d. It never ends sooner than before.
func (h HoldOff) WithRefusal(now time.Time, incarnation uint64, d time.Duration) HoldOff {
	if incarnation < h.incarnation || d <= 0 {
		return h
	}
	if incarnation > h.incarnation || now.After(h.until) {
		h = HoldOff{incarnation: incarnation, since: now}
	}
	if until := now.Add(d); until.After(h.until) {
		h.until = until
	}
	return h
}

// Since returns when the upstream first asked for the current hold-off.
func (h HoldOff) Since() time.Time {
	return h.since
}

// Wait returns the time until an incarnation may get another request from this instance,
// which has a number of requests in flight there, or zero if it may now.
func (h HoldOff) Wait(now time.Time, incarnation uint64, inFlight int) time.Duration {
	if incarnation != h.incarnation || !now.Before(h.until.Add(rampTime)) {
		return 0
	}
	return max(h.until.Add(time.Duration(inFlight)*rampStep).Sub(now), 0)
}

// IsOver reports whether the hold-off and the ramp after it have ended.
func (h HoldOff) IsOver(now time.Time) bool {
	return !now.Before(h.until.Add(rampTime))
}
