package loomgate

import (
	"context"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomlimit"
)

const (
	// roomWait is the wait at the best engine up to which it still has room: it
	// keeps an engine busy until the next look, and no more, so that the order
	// of requests is decided here. Urgent requests may wait longer at an engine,
	// which takes them first.
	roomWait       = 120 * time.Millisecond
	urgentRoomWait = 250 * time.Millisecond
	// urgentRank is the last rank that counts as urgent.
	urgentRank = 1
	// queueTick is the time between two looks at a line while nothing happens.
	queueTick = 20 * time.Millisecond
	// abandonFactor, abandonPauses and abandonLeast give when a caller abandons
	// a stream that has not begun.
	abandonFactor = 4
	abandonPauses = 8
	abandonLeast  = 2 * time.Second
	// abandonMargin is kept for the way to the engine and back.
	abandonMargin = 150 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound when a refused caller is asked to
	// come back.
	leastRetryAfter = 300 * time.Millisecond
	mostRetryAfter  = 4 * time.Second
)

// queues holds one line for each group of engines.
type queues struct {
	gate *Gate

	mu    sync.Mutex
	lines map[string]*line
}

// line is the requests of one group that wait for room.
type line struct {
	mu     sync.Mutex
	order  loomlimit.Line
	waking map[string]chan struct{}
	// ticking tells that a goroutine looks after the line.
	ticking bool
}

func newQueues(g *Gate) *queues {
	return &queues{gate: g, lines: make(map[string]*line)}
}

func (q *queues) line(group string) *line {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.lines[group]
	if !ok {
		l = &line{waking: make(map[string]chan struct{})}
		q.lines[group] = l
	}
	return l
}

// length returns how many requests wait in the line of a group.
func (q *queues) length(group string) int {
	l := q.line(group)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order.Len()
}

// patience returns how long after its arrival a request's first event is still
// of use.
func patience(r loomcatalogue.Route) time.Duration {
	return max(abandonLeast, abandonFactor*r.Objective, abandonPauses*r.PauseObjective)
}

// waiter returns what the line needs to know of a dispatch.
func (d *dispatch) waiter() loomlimit.Waiter {
	r := d.req
	work := time.Duration(d.choice.Recompute) * d.unitTime()
	start := r.Received
	return loomlimit.Waiter{
		ID:      r.RequestID,
		Rank:    r.rank(),
		Arrived: start,
		Due:     start.Add(r.route.Objective - work - paceFixed - roomWait),
		Until:   start.Add(patience(r.route) - work - paceFixed - abandonMargin),
		Work:    work,
	}
}

// hasRoom reports whether the chosen upstream takes the request without delay.
func (d *dispatch) hasRoom() bool {
	room := roomWait
	if d.req.rank() <= urgentRank {
		room = urgentRoomWait
	}
	return !d.req.HasPrompt || d.req.group.Engine == nil || d.wait <= room
}

// await holds a request in the line until an engine has room for it. It refuses
// at once what could not begin in time.
func (d *dispatch) await(ctx context.Context) *loomerror.Error {
	now := time.Now()
	if err := d.choose(now); err != nil {
		return err
	}
	if d.started {
		// A stream that goes on at another upstream has had its turn.
		return nil
	}
	l := d.gate.queues.line(d.req.group.Name)
	l.mu.Lock()
	w := d.waiter()
	first, some := l.order.Next(now)
	if d.hasRoom() && (!some || first.Rank > w.Rank) {
		l.mu.Unlock()
		return nil
	}
	expected := d.expectedWait(l)
	if now.Add(expected).After(w.Until) {
		l.mu.Unlock()
		return loomerror.New(loomerror.DeadlineUnmeetable, "the first event would take %s", expected.Round(time.Millisecond)).
			WithRetryAfter(min(max(expected-roomWait, leastRetryAfter), mostRetryAfter))
	}
	wake := make(chan struct{}, 1)
	l.order.Push(w)
	l.waking[w.ID] = wake
	l.startTicking()
	l.mu.Unlock()
	return d.inLine(ctx, l, w, wake)
}

// expectedWait returns how long the request would wait for its turn: the wait at
// the best engine, and the work ahead in this line, of which each instance has
// about as much. The caller holds the line's lock.
func (d *dispatch) expectedWait(l *line) time.Duration {
	engines := max(len(d.gate.usable(time.Now(), d.req.group.Name)), 1)
	instances := len(d.gate.peers.live())
	return d.wait + l.order.Ahead(d.req.rank())*time.Duration(instances)/time.Duration(engines)
}

// inLine waits for the turn of a request.
func (d *dispatch) inLine(ctx context.Context, l *line, w loomlimit.Waiter, wake chan struct{}) *loomerror.Error {
	defer l.leave(w.ID)
	for {
		select {
		case <-ctx.Done():
			return loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
		case <-wake:
		}
		now := time.Now()
		if w.Until.Before(now) {
			return loomerror.New(loomerror.DeadlineUnmeetable, "no engine had room in %s", now.Sub(w.Arrived).Round(time.Millisecond)).
				WithRetryAfter(leastRetryAfter)
		}
		if err := d.choose(now); err != nil {
			return err
		}
		if d.hasRoom() {
			return nil
		}
	}
}

func (l *line) leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order.Remove(id)
	delete(l.waking, id)
}

// startTicking starts the goroutine that looks after the line while requests
// wait in it. The caller holds the lock.
func (l *line) startTicking() {
	if l.ticking {
		return
	}
	l.ticking = true
	go func() {
		ticker := time.NewTicker(queueTick)
		defer ticker.Stop()
		for range ticker.C {
			if !l.look(time.Now()) {
				return
			}
		}
	}()
}

// look wakes the first in line and those whose time has passed. It reports
// whether any request waits.
func (l *line) look(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.order.TakeExpired(now) {
		l.signal(w.ID)
	}
	first, ok := l.order.Next(now)
	if !ok {
		l.ticking = false
		return false
	}
	l.signal(first.ID)
	return true
}

func (l *line) signal(id string) {
	if wake, ok := l.waking[id]; ok {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// wake lets the first in the line of a group look for room.
func (q *queues) wake(group string) {
	l := q.line(group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.order.Next(time.Now()); ok {
		l.signal(first.ID)
	}
}
