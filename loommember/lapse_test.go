package loommember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// pollInterval, firstRetryInterval and retryInterval are the longest times between
	// two calls of an instance, and callTimeout that until a hanging call has failed.
	pollInterval       = 800 * time.Millisecond
	firstRetryInterval = 240 * time.Millisecond
	retryInterval      = 840 * time.Millisecond
	callTimeout        = 1500 * time.Millisecond
	// leavingLimit is the time from the removal of an entry until its upstream must get
	// no more requests, and relistLimit that from the platform's return until the
	// entries of living upstreams are back.
	leavingLimit = 2 * time.Second
	relistLimit  = 2 * time.Second
	// stableAfter is the time since an outage from which removals are judged.
	stableAfter = 3 * time.Second
	longOutage  = 8 * time.Second
	// renewalInterval is the time between two renewals of an entry.
	renewalInterval = 1200 * time.Millisecond
)

// history is a random life of one entry of a platform that is out for a while. Times are
// offsets from listedAt.
type history struct {
	outage, back time.Duration
	hangs        bool
	// removed is when the entry is removed, and relisted when it is back, if it is.
	removed, relisted time.Duration
	isBack            bool
}

func drawHistory(t *rapid.T) history {
	duration := func(name string, from, to time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, name))
	}
	h := history{outage: duration("outage", 2*time.Second, 4*time.Second), hangs: rapid.Bool().Draw(t, "hangs")}
	h.back = h.outage + duration("length", 0, longOutage)
	h.removed = duration("removed", h.outage, h.back+6*time.Second)
	// An entry expires only if its upstream could not renew it.
	canExpire := h.removed < h.back && h.back-h.outage > renewalInterval
	if h.isBack = canExpire && rapid.Bool().Draw(t, "is_back"); h.isBack {
		h.relisted = h.back + duration("relisted", 0, relistLimit)
	}
	return h
}

func (h history) isOut(at time.Duration) bool {
	return at >= h.outage && at < h.back
}

func (h history) isListed(at time.Duration) bool {
	return at < h.removed || (h.isBack && at >= h.relisted)
}

// play lets an instance poll through the history and calls check every 20 ms with the
// time and whether the upstream is usable.
func (h history) play(t *rapid.T, check func(at time.Duration, usable bool)) {
	d := NewDirectory(leavingLimit, renewalInterval)
	d.Put(listedAt, upstream(1), false, 1)
	var contact Contact
	version, isKnownListed := uint64(1), true
	listed := time.Duration(0)
	next := time.Duration(rapid.Int64Range(0, int64(pollInterval)).Draw(t, "phase"))
	var handled time.Duration
	var handle func()
	isFailing := false
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < h.back+12*time.Second; at += step {
		now := listedAt.Add(at)
		if handle != nil && at >= handled {
			handle()
			handle = nil
		}
		if handle == nil && at >= next {
			sent, sentAt := at, now
			switch {
			case h.isOut(at) && h.hangs:
				handled = at + callTimeout
				handle = func() { contact = contact.WithFailure(sentAt) }
				next = handled + step
			case h.isOut(at):
				contact = contact.WithFailure(sentAt)
				next = at + retryInterval
				if !isFailing {
					next = at + firstRetryInterval
				}
				isFailing = true
			default:
				isFailing = false
				handled = at + step
				handle = func() {
					answeredAt := listedAt.Add(handled)
					contact = contact.WithAnswer(sentAt, answeredAt)
					since, _ := contact.AnswersSince()
					version++
					if isListed := h.isListed(sent); isListed != isKnownListed {
						isKnownListed = isListed
						if isListed {
							d.Put(answeredAt, upstream(1), false, version)
						} else {
							d.Remove(answeredAt, removal(version, listedAt.Add(listed), since))
						}
					}
					listed = sent
				}
				next = at + pollInterval
			}
		}
		d.RemoveExpired(now)
		check(at, len(d.Usable(now)) > 0)
	}
}

// TestRemovedEntriesAreGoneInTime plays random outages: no upstream is used longer than
// its bound after a removal that an outage does not explain, or long after the platform's
// return, and a living one is not dropped for longer than its bound.
func TestRemovedEntriesAreGoneInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		var droppedAt time.Duration
		h.play(t, func(at time.Duration, usable bool) {
			if !h.isBack && usable {
				assert.Assert(t, h.removed < h.back+stableAfter || at <= h.removed+leavingLimit, "%+v: used %s after the removal", h, at-h.removed)
				assert.Assert(t, at <= max(h.back, h.removed)+stableAfter, "%+v: used at %s", h, at)
			}
			if usable {
				droppedAt = 0
			} else if droppedAt == 0 {
				droppedAt = at
			}
			if h.isBack && droppedAt > 0 {
				assert.Assert(t, at-droppedAt <= leavingLimit, "%+v: dropped for %s", h, at-droppedAt)
			}
		})
	})
}
