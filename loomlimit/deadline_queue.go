package loomlimit

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits until an Upstream has capacity for it. It is
// immutable.
type Waiter struct {
	ID string
	// Rank is the priority class; lower ranks go first.
	Rank    int
	Arrived time.Time
	// Due is the latest start time that still meets the latency objective.
	Due time.Time
	// Until is the latest start time at which the request is still worth
	// serving; a request that waits past it expires.
	Until time.Time
	// Work is the time that an Upstream needs to serve the request.
	Work time.Duration
}

// DeadlineQueue is a queue of the requests that wait for one group of upstreams.
// Lower ranks go first. Within a rank, requests that can still meet their due
// time go first, earliest due time first. Late requests follow in order of
// arrival, so that serving a late request does not make the next one late as
// well. A DeadlineQueue is not safe for concurrent use. The zero value is empty.
type DeadlineQueue struct {
	waiting []Waiter
}

// Push adds a request.
func (q *DeadlineQueue) Push(w Waiter) {
	q.waiting = append(q.waiting, w)
}

// Len returns the number of waiting requests.
func (q *DeadlineQueue) Len() int {
	return len(q.waiting)
}

// Remove removes a request and reports whether it was waiting.
func (q *DeadlineQueue) Remove(id string) bool {
	i := slices.IndexFunc(q.waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Next returns the first request at now without removing it.
func (q *DeadlineQueue) Next(now time.Time) (Waiter, bool) {
	if len(q.waiting) == 0 {
		return Waiter{}, false
	}
	return slices.MinFunc(q.waiting, func(a, b Waiter) int { return compareWaiters(now, a, b) }), true
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

// TakeExpired removes and returns the requests whose Until has passed.
func (q *DeadlineQueue) TakeExpired(now time.Time) []Waiter {
	var expired []Waiter
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.Until.Before(now) {
			expired = append(expired, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return expired
}

// CountAhead returns the number of waiting requests of this rank and of lower ones,
// which a new request of the rank waits for.
func (q *DeadlineQueue) CountAhead(rank int) int {
	count := 0
	for _, w := range q.waiting {
		if w.Rank <= rank {
			count++
		}
	}
	return count
}

// WorkByRank returns the total work of the waiting requests of each rank.
func (q *DeadlineQueue) WorkByRank() map[int]time.Duration {
	work := make(map[int]time.Duration)
	for _, w := range q.waiting {
		work[w.Rank] += w.Work
	}
	return work
}

// WorkAhead returns the total work of the waiting requests of this rank and of
// lower ones, which a new request of the rank is expected to wait for.
func (q *DeadlineQueue) WorkAhead(rank int) time.Duration {
	var work time.Duration
	for _, w := range q.waiting {
		if w.Rank <= rank {
			work += w.Work
		}
	}
	return work
}
