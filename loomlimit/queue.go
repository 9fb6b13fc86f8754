package loomlimit

import (
	"slices"
	"sync"
	"time"

	"swiftloom/loomerror"
)

// Item is a request that waits for an upstream. It is immutable.
type Item struct {
	ID            string
	ClientAccount string
	// Share is the weight of the account; at least one.
	Share int
	// Cost is the expected number of tokens.
	Cost int
	// Priority orders the requests of one account; higher goes first.
	Priority uint32
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
}

// QueueOptions bounds a queue.
type QueueOptions struct {
	// MaxQueued bounds the items of all accounts.
	MaxQueued int
}

// Queue is a weighted fair queue over client accounts. An account that is idle
// leaves its share to the others and gains nothing for later. Its methods may
// be called concurrently.
type Queue struct {
	mu      sync.Mutex
	options QueueOptions
	// virtual is the start tag of the latest item that was taken; it never
	// falls.
	virtual float64
	flows   map[string]*flow
	size    int
}

type flow struct {
	// finish is the virtual time at which the account's work so far ends.
	finish float64
	items  []Item
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	return &Queue{options: o, flows: make(map[string]*flow)}
}

// SetOptions replaces the bounds; items that wait stay.
func (q *Queue) SetOptions(o QueueOptions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.options = o
}

// Push adds an item, or refuses it when the queue or the account's part of it
// is full.
func (q *Queue) Push(i Item, maxOfAccount int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f, ok := q.flows[i.ClientAccount]
	if !ok {
		f = &flow{}
		q.flows[i.ClientAccount] = f
	}
	if q.size >= q.options.MaxQueued {
		return loomerror.New(loomerror.QueueFull, "the queue is full").WithRetryAfter(queueRetryAfter)
	}
	if len(f.items) >= maxOfAccount {
		return loomerror.New(loomerror.QueueFull, "the account has %d requests waiting", len(f.items)).WithRetryAfter(queueRetryAfter)
	}
	at := len(f.items)
	for at > 0 && f.items[at-1].Priority < i.Priority {
		at--
	}
	f.items = slices.Insert(f.items, at, i)
	q.size++
	return nil
}

// Pop takes the item of the account that is furthest behind its share.
func (q *Queue) Pop() (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var best *flow
	var bestStart float64
	var bestName string
	for name, f := range q.flows {
		if len(f.items) == 0 {
			if f.finish <= q.virtual {
				delete(q.flows, name)
			}
			continue
		}
		start := max(f.finish, q.virtual)
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
	q.virtual = bestStart
	best.finish = bestStart + float64(max(item.Cost, 1))/float64(max(item.Share, 1))
	return item, true
}

// Remove takes an item out, as when its caller went away, and reports whether
// it was there.
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

// queueRetryAfter is how long a caller is told to wait after QueueFull.
const queueRetryAfter = time.Second
