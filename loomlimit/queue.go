package loomlimit

import (
	"slices"
	"sync"
	"time"

	"swiftloom/loomerror"
)

// Item is a queued request. It is immutable.
type Item struct {
	ID            string
	ClientAccount string
	// Share is the weight of the account; values below one count as one.
	Share int
	// Cost is the expected cost in tokens; values below one count as one.
	Cost int
	// Priority orders the requests of one account; higher goes first.
	Priority uint32
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
}

// QueueOptions holds the limits of a Queue.
type QueueOptions struct {
	// MaxQueued is the largest number of items of all accounts together.
	MaxQueued int
}

// Queue is a weighted fair queue over client accounts. The share of an idle
// account goes to the others, and the account earns no credit for it. A Queue is
// safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	options QueueOptions
	// virtualTime is the start tag of the item popped last; it never decreases.
	virtualTime float64
	flows       map[string]*flow
	size        int
}

// flow holds the queued items of one account.
type flow struct {
	// finishTag is the virtual time at which the items popped so far finish.
	finishTag float64
	// items is ordered by priority, then by arrival.
	items []Item
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	return &Queue{options: o, flows: make(map[string]*flow)}
}

// SetOptions replaces the limits. Items that are already queued stay, also above
// the new limits.
func (q *Queue) SetOptions(o QueueOptions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options = o
}

// Push adds an item. It returns a QueueFull error when the queue holds MaxQueued
// items or the account has maxPerAccount items queued.
func (q *Queue) Push(i Item, maxPerAccount int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f, ok := q.flows[i.ClientAccount]
	if !ok {
		f = &flow{}
		q.flows[i.ClientAccount] = f
	}
	if q.size >= q.options.MaxQueued {
		return loomerror.New(loomerror.QueueFull, "the queue is full with %d requests, the limit is %d", q.size, q.options.MaxQueued).WithRetryAfter(queueRetryAfter)
	}
	if len(f.items) >= maxPerAccount {
		return loomerror.New(loomerror.QueueFull, "the account has %d requests waiting, the limit is %d", len(f.items), maxPerAccount).WithRetryAfter(queueRetryAfter)
	}
	at := len(f.items)
	for at > 0 && f.items[at-1].Priority < i.Priority {
		at--
	}
	f.items = slices.Insert(f.items, at, i)
	q.size++
	return nil
}

// Pop removes and returns the next item of the account with the lowest start
// tag, which is the account furthest behind its share.
func (q *Queue) Pop() (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *flow
	var bestStart float64
	var bestName string
	for name, f := range q.flows {
		if len(f.items) == 0 {
			if f.finishTag <= q.virtualTime {
				delete(q.flows, name)
			}
			continue
		}
		start := max(f.finishTag, q.virtualTime)
		if best == nil || start < bestStart || (start == bestStart && name < bestName) {
			best, bestStart, bestName = f, start, name
		}
	}
	if best == nil {
		return Item{}, false
	}
	item := best.items[0]
	best.items = best.items[1:]
	q.size--
	q.virtualTime = bestStart
	best.finishTag = bestStart + float64(max(item.Cost, 1))/float64(max(item.Share, 1))
	return item, true
}

// Remove removes an item, for instance when its caller has disconnected, and
// reports whether it was queued.
func (q *Queue) Remove(account, id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	f, ok := q.flows[account]
	if !ok {
		return false
	}
	for n, i := range f.items {
		if i.ID == id {
			f.items = slices.Delete(f.items, n, n+1)
			q.size--
			return true
		}
	}
	return false
}

// Len returns the number of items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size
}

// queueRetryAfter is the retry delay that a QueueFull error carries.
const queueRetryAfter = time.Second
