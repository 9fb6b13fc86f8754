package loomlimit

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits until an upstream has room for it. It is
// immutable.
type Waiter struct {
	ID string
	// Rank orders kinds of requests; lower goes first.
	Rank    int
	Arrived time.Time
	// Due is the latest start with which the answer is on time.
	Due time.Time
	// Until is the latest start with which the answer is of use at all.
	Until time.Time
	// Work is the time that an upstream takes for it.
	Work time.Duration
}

// Line holds the requests that wait for one group of upstreams. Within a rank,
// requests that can still be on time go first, the most pressing one ahead;
// those that are late already follow in the order of their arrival, so that one
// late request does not make the next one late as well. Its owner must guard
// it; the zero value is empty.
type Line struct {
	waiting []Waiter
}

// Push adds a request.
func (l *Line) Push(w Waiter) {
	l.waiting = append(l.waiting, w)
}

// Len returns the number of requests.
func (l *Line) Len() int {
	return len(l.waiting)
}

// Remove takes a request out and reports whether it was there.
func (l *Line) Remove(id string) bool {
	i := slices.IndexFunc(l.waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Next returns the request that goes first at now, without taking it out.
func (l *Line) Next(now time.Time) (Waiter, bool) {
	if len(l.waiting) == 0 {
		return Waiter{}, false
	}
	return slices.MinFunc(l.waiting, func(a, b Waiter) int { return compareWaiters(now, a, b) }), true
}

func compareWaiters(now time.Time, a, b Waiter) int {
	lateA, lateB := a.Due.Before(now), b.Due.Before(now)
	switch {
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	case lateA:
		return a.Arrived.Compare(b.Arrived)
	default:
		return a.Due.Compare(b.Due)
	}
}

// TakeExpired takes out and returns the requests whose answer would be of no
// use any more.
func (l *Line) TakeExpired(now time.Time) []Waiter {
	var expired []Waiter
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if w.Until.Before(now) {
			expired = append(expired, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	return expired
}

// Ahead returns the work of the requests that go before a new one of a rank.
func (l *Line) Ahead(rank int) time.Duration {
	var work time.Duration
	for _, w := range l.waiting {
		if w.Rank <= rank {
			work += w.Work
		}
	}
	return work
}
