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
	// grantInterval is the time between two checks for free engines while items
	// are waiting.
	grantInterval = 5 * time.Millisecond
	// maxEngineWait is the expected wait at an engine beyond which requests
	// stay in the fair queue instead.
	maxEngineWait    = 100 * time.Millisecond
	defaultMaxQueued = 1000
)

// queues holds one weighted fair queue for each group of engines.
type queues struct {
	instance *Instance
	signal   chan struct{}

	mu     sync.Mutex
	groups map[string]*groupQueue
}

// groupQueue is the queue of one group of engines.
type groupQueue struct {
	queue *loomlimit.Queue
	// waiters holds a channel for each queued item, by its ID. The channel is
	// closed when the item may be dispatched.
	waiters map[string]chan struct{}
	// granted counts the items that were granted but not yet sent.
	granted int
}

func newQueues(n *Instance) *queues {
	return &queues{instance: n, signal: make(chan struct{}, 1), groups: make(map[string]*groupQueue)}
}

// wake makes run check for free engines.
func (q *queues) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// run grants queued items until ctx ends, on each wake and every grantInterval
// while items are waiting.
func (q *queues) run(ctx context.Context) error {
	for {
		var poll <-chan time.Time
		if q.length() > 0 {
			poll = time.After(grantInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.signal:
		case <-poll:
		}
		q.grantQueued(time.Now())
	}
}

// grantQueued grants one item for each free engine, less those that were
// granted and not yet sent.
func (q *queues) grantQueued(now time.Time) {
	s := q.instance.catalogue.Snapshot()
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, g := range q.groups {
		if g.queue.Len() == 0 {
			continue
		}
		room := q.instance.countFreeEngines(now, s, name) - g.granted
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
		g.granted++
		close(w)
	}
}

// countFreeEngines returns the number of engines of a group that could start on
// a prompt within maxEngineWait.
func (n *Instance) countFreeEngines(now time.Time, s loomcatalogue.Snapshot, group string) int {
	tokenTime := groupTokenTime(s, group)
	free := 0
	for _, member := range n.groupEngines(group) {
		e := n.fleet.Estimate(now, member.ID, tokenTime)
		if member.Status != loommember.Leaving && e.Known && e.Wait < maxEngineWait {
			free++
		}
	}
	return free
}

// groupTokenTime returns the time to compute one prompt token of the group's
// first model.
func groupTokenTime(s loomcatalogue.Snapshot, group string) time.Duration {
	for _, e := range s.Entries(loomcatalogue.KindModel) {
		if m, ok := e.(loomcatalogue.Model); ok && m.UpstreamGroup == group {
			return tokenTime(m)
		}
	}
	return time.Microsecond
}

// tokenTime returns the time to compute one prompt token, from the catalogue's
// prefill rate.
func tokenTime(m loomcatalogue.Model) time.Duration {
	return time.Second / time.Duration(max(m.PrefillTokensPerSecond, 1))
}

// waitForGrant waits until the item may be dispatched. After a nil error, the
// caller must call markSent once the item has been sent or abandoned.
// accountLimit bounds the queued items of the item's account.
func (q *queues) waitForGrant(ctx context.Context, group loomcatalogue.UpstreamGroup, accountLimit int, item loomlimit.Item) error {
	granted := make(chan struct{})
	q.mu.Lock()
	g, ok := q.groups[group.Name]
	if !ok {
		g = &groupQueue{queue: loomlimit.NewQueue(loomlimit.QueueOptions{}), waiters: make(map[string]chan struct{})}
		q.groups[group.Name] = g
	}
	limit := group.MaxQueued
	if limit == 0 {
		limit = defaultMaxQueued
	}
	g.queue.SetOptions(loomlimit.QueueOptions{MaxQueued: limit})
	err := g.queue.Push(item, accountLimit)
	if err == nil {
		g.waiters[item.ID] = granted
	}
	q.mu.Unlock()
	if err != nil {
		return err
	}
	q.wake()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return q.cancelWait(ctx, g, item, granted)
	}
}

// cancelWait removes an item whose context has ended. An item that was granted
// in the meantime gives its grant back.
func (q *queues) cancelWait(ctx context.Context, g *groupQueue, item loomlimit.Item, granted chan struct{}) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-granted:
		g.granted--
	default:
		g.queue.Remove(item.ClientAccount, item.ID)
		delete(g.waiters, item.ID)
	}
	return loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
}

// markSent records that a granted item has been sent or abandoned.
func (q *queues) markSent(group string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g, ok := q.groups[group]; ok {
		g.granted--
	}
}

// length returns the number of waiting items in all queues.
func (q *queues) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := 0
	for _, g := range q.groups {
		sum += g.queue.Len()
	}
	return sum
}
