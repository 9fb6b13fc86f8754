package loominstance

import (
	"context"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomlimit"
	"swiftloom/loommember"
)

const (
	pumpInterval = 5 * time.Millisecond
	// maxEngineWait is the expected wait at an engine above which requests
	// wait in the fair queue instead.
	maxEngineWait   = 100 * time.Millisecond
	defaultMaxQueue = 1000
)

// queues holds a fair queue for each group of engines.
type queues struct {
	instance *Instance
	signal   chan struct{}

	mu     sync.Mutex
	groups map[string]*groupQueue
}

type groupQueue struct {
	queue *loomlimit.Queue
	// waiters holds a channel for each queued item; it is closed when the
	// item may be dispatched.
	waiters map[string]chan struct{}
	// transit counts items that were granted and not yet sent.
	transit int
}

func newQueues(n *Instance) *queues {
	return &queues{instance: n, signal: make(chan struct{}, 1), groups: make(map[string]*groupQueue)}
}

// wake makes the pump look at the queues.
func (q *queues) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// run grants queued items until ctx ends.
func (q *queues) run(ctx context.Context) error {
	for {
		var again <-chan time.Time
		if q.length() > 0 {
			again = time.After(pumpInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.signal:
		case <-again:
		}
		q.pump(time.Now())
	}
}

func (q *queues) pump(now time.Time) {
	s := q.instance.keeper.Snapshot()
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, g := range q.groups {
		if g.queue.Len() == 0 {
			continue
		}
		room := q.instance.freeEngines(now, s, name) - g.transit
		for ; room > 0; room-- {
			item, ok := g.queue.Pop()
			if !ok {
				break
			}
			g.grant(item.ID)
		}
	}
}

func (g *groupQueue) grant(id string) {
	if w, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		g.transit++
		close(w)
	}
}

// freeEngines counts the engines of a group that could start on a prompt soon.
func (n *Instance) freeEngines(now time.Time, s loomcatalogue.Snapshot, group string) int {
	tokenTime := groupTokenTime(s, group)
	free := 0
	for _, b := range n.groupEngines(group) {
		e := n.fleet.Estimate(now, b.ID, tokenTime)
		if b.Status != loommember.Leaving && e.Known && e.Wait < maxEngineWait {
			free++
		}
	}
	return free
}

func groupTokenTime(s loomcatalogue.Snapshot, group string) time.Duration {
	for _, e := range s.Entries(loomcatalogue.KindModel) {
		if m, ok := e.(loomcatalogue.Model); ok && m.UpstreamGroup == group {
			return tokenTime(m)
		}
	}
	return time.Microsecond
}

func tokenTime(m loomcatalogue.Model) time.Duration {
	return time.Second / time.Duration(max(m.PrefillTokensPerSecond, 1))
}

// enter waits until the item may be dispatched. After a nil error the caller
// must call sent once the item was sent or given up.
func (q *queues) enter(ctx context.Context, group loomcatalogue.UpstreamGroup, maxOfAccount int, item loomlimit.Item) error {
	w := make(chan struct{})
	q.mu.Lock()
	g, ok := q.groups[group.Name]
	if !ok {
		g = &groupQueue{queue: loomlimit.NewQueue(loomlimit.QueueOptions{}), waiters: make(map[string]chan struct{})}
		q.groups[group.Name] = g
	}
	limit := group.MaxQueued
	if limit == 0 {
		limit = defaultMaxQueue
	}
	g.queue.SetOptions(loomlimit.QueueOptions{MaxQueued: limit})
	err := g.queue.Push(item, maxOfAccount)
	if err == nil {
		g.waiters[item.ID] = w
	}
	q.mu.Unlock()
	if err != nil {
		return err
	}
	q.wake()
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return q.giveUp(ctx, g, item, w)
	}
}

func (q *queues) giveUp(ctx context.Context, g *groupQueue, item loomlimit.Item, w chan struct{}) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w:
		g.transit--
	default:
		g.queue.Remove(item.ClientAccount, item.ID)
		delete(g.waiters, item.ID)
	}
	return loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
}

// sent notes that a granted item has been sent or given up.
func (q *queues) sent(group string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g, ok := q.groups[group]; ok {
		g.transit--
	}
}

// length returns the number of items that wait.
func (q *queues) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := 0
	for _, g := range q.groups {
		sum += g.queue.Len()
	}
	return sum
}
