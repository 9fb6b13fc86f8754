package loomgate

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftloom/loomerror"
	"swiftloom/loomroute"
	"swiftloom/loomschedule"
)

const (
	// waitListInterval is the time between two checks of a wait list that is not empty.
	waitListInterval = 20 * time.Millisecond
	// maxCandidates bounds the requests that may start in one check, and maxMisses those for
	// which no upstream has capacity. A choice among many upstreams takes up to a tenth of a
	// millisecond of the processor.
	maxCandidates = 8
	maxMisses     = 3
	// upstreamTurn is how long it is one coordinator's turn to give away the capacity of an
	// upstream. Coordinators report their loads to each other several times meanwhile.
	upstreamTurn = 400 * time.Millisecond
	// idleSoon is the wait at an upstream below which any coordinator may use it.
	idleSoon = 20 * time.Millisecond
)

// waitLists holds the wait list of each upstream group at an instance that chooses upstreams: for
// the instances that ask it, and for its own requests.
type waitLists struct {
	gate *Gate

	mu      sync.Mutex
	byGroup map[string]*waitList
}

// waitList holds the requests of one group that wait here for their turn. Each belongs to a call
// that is open, so that a slot goes to the request that should have it and not to the next that
// asks.
type waitList struct {
	gate  *Gate
	group string

	mu      sync.Mutex
	list    loomschedule.List
	entries map[string]*waitEntry
	// isTicking is set while a goroutine checks the list periodically.
	isTicking bool
}

// waitEntry is a request in a wait list.
type waitEntry struct {
	query *placementQuery
	// from is the instance that has the request.
	from, requestID string
	// answer receives one turn.
	answer chan turn
}

// turn is the answer to a request that asks for its turn.
type turn struct {
	// hasStarted is set if the request is to start at the upstream of the placement, where it
	// is counted by reservation until reservationTTL has passed.
	hasStarted bool
	placement  placement
	// at is when the request was given its turn, or earlier. It is zero if it has none.
	at          time.Time
	reservation loomroute.Ticket
	// hasEstimate is set if the request has to wait and the placement is where it would go.
	hasEstimate bool
	// isDismissed is set if this instance does not order the request, or not any more.
	isDismissed bool
	err         *loomerror.Error
}

// forGroup returns the wait list of a group and creates it on first use.
func (l *waitLists) forGroup(group string) *waitList {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, ok := l.byGroup[group]
	if !ok {
		list = &waitList{gate: l.gate, group: group, entries: make(map[string]*waitEntry)}
		l.byGroup[group] = list
	}
	return list
}

// length returns the number of requests in the wait list of a group.
func (l *waitLists) length(group string) int {
	list := l.forGroup(group)
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.list.Len()
}

// tryStart lets a request start at once if it is among the first of the list and an upstream has
// capacity. Otherwise it returns an estimate.
func (l *waitList) tryStart(now time.Time, q *placementQuery, w loomschedule.Waiter) turn {
	p, err := q.choose(now)
	if err != nil {
		return turn{err: err}
	}
	w = q.withWork(w, p.choice)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, isWaiting := l.entries[w.ID]; isWaiting {
		return turn{placement: p, hasEstimate: true}
	}
	l.list.Push(w)
	defer l.list.Remove(w.ID)
	for _, first := range l.list.First(now, maxCandidates, l.capacity(now)) {
		if first.ID == w.ID && l.canStart(now, q, p) {
			return l.start(now, q, w, p)
		}
	}
	return turn{placement: p, hasEstimate: true}
}

// wait keeps a request in the list until it has its turn, hold has passed or ctx ends.
func (l *waitList) wait(ctx context.Context, q *placementQuery, w loomschedule.Waiter, hold time.Duration) turn {
	from, requestID, _ := strings.Cut(w.ID, "/")
	e := &waitEntry{query: q, from: from, requestID: requestID, answer: make(chan turn, 1)}
	l.mu.Lock()
	if _, isWaiting := l.entries[w.ID]; isWaiting {
		l.mu.Unlock()
		// The instance has given up the call that the entry belongs to, which is about to end.
		return turn{}
	}
	l.list.Push(w)
	l.entries[w.ID] = e
	l.startTicker()
	l.mu.Unlock()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case t := <-e.answer:
		return t
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[w.ID] == e {
		l.list.Remove(w.ID)
		delete(l.entries, w.ID)
		return turn{}
	}
	t := <-e.answer
	if t.hasStarted && ctx.Err() != nil {
		l.gate.fleet.Done(t.reservation)
	}
	return t
}

// startTicker starts the goroutine that checks the list for as long as it is not empty. The caller
// holds mu.
func (l *waitList) startTicker() {
	if l.isTicking {
		return
	}
	l.isTicking = true
	go func() {
		for {
			time.Sleep(waitListInterval)
			if !l.check(time.Now()) {
				return
			}
		}
	}()
}

// check lets the requests start whose turn it is and reports whether any remains.
func (l *waitList) check(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.list.TakeExpired(now) {
		l.answer(w.ID, turn{})
	}
	if l.gate.IsStopping() || !l.gate.coordinators.isCoordinator() {
		l.dismiss()
	}
	first := l.list.First(now, maxCandidates, l.capacity(now))
	misses := 0
	for _, w := range first {
		if misses >= maxMisses {
			break
		}
		if !l.tryEntry(now, w) {
			misses++
		}
	}
	l.isTicking = l.list.Len() > 0
	return l.isTicking
}

// tryEntry lets a waiting request start if an upstream has capacity for it. The caller holds mu.
func (l *waitList) tryEntry(now time.Time, w loomschedule.Waiter) bool {
	e := l.entries[w.ID]
	p, err := e.query.choose(now)
	if err != nil {
		l.list.Remove(w.ID)
		l.answer(w.ID, turn{err: err})
		return false
	}
	if !l.canStart(now, e.query, p) {
		return false
	}
	t := l.start(now, e.query, w, p)
	l.answer(w.ID, t)
	l.gate.log.Info("turn_given", "request_id", e.requestID, "from", e.from, "rank", w.Rank, "upstream", p.upstream.ID,
		"waited_ms", now.Sub(w.Arrived).Milliseconds(), "due_ms", w.Due.Sub(now).Milliseconds(), "waiting", l.list.Len())
	return true
}

// canStart reports whether an upstream has capacity for a request, and counts it against the
// upstream's limit if so.
func (l *waitList) canStart(now time.Time, q *placementQuery, p placement) bool {
	return p.limitDelay.wait == 0 && q.hasCapacity(p) && l.isOwnTurn(now, q, p) && l.gate.limits.take(now, p.upstream)
}

// isOwnTurn reports whether this coordinator may give away the capacity of an upstream now. Those
// that see the same capacity come free would each give it away before they hear of each other, so
// for requests that aren't urgent they take turns. Out of its turn a coordinator only uses an
// upstream that would soon be idle.
func (l *waitList) isOwnTurn(now time.Time, q *placementQuery, p placement) bool {
	if q.rank <= maxUrgentRank || p.wait <= idleSoon || !l.gate.coordinators.isCoordinator() {
		return true
	}
	all := l.gate.coordinators.all()
	failing := l.gate.peers.failing(all)
	all = slices.DeleteFunc(all, func(id string) bool { return slices.Contains(failing, id) })
	if len(all) < 2 {
		return true
	}
	turn := hashString(p.upstream.ID) + uint64(now.UnixMilli()/upstreamTurn.Milliseconds())
	return all[turn%uint64(len(all))] == l.gate.settings.ID
}

// start records that a request starts. The caller holds mu.
func (l *waitList) start(now time.Time, q *placementQuery, w loomschedule.Waiter, p placement) turn {
	l.list.Remove(w.ID)
	l.list.RecordStart(now, w)
	if q.isRemote {
		p.kv = q.planKV(now, p)
		q.recordPlacement(p)
	}
	return turn{hasStarted: true, placement: p, at: now, reservation: l.gate.reserve(now, q, p)}
}

// answer answers an entry, which has been removed from the list. The caller holds mu.
func (l *waitList) answer(id string, t turn) {
	if e, ok := l.entries[id]; ok {
		delete(l.entries, id)
		e.answer <- t
	}
}

// dismiss answers all requests of other instances, which then ask another coordinator. The caller
// holds mu.
func (l *waitList) dismiss() {
	for id, e := range l.entries {
		if e.query.isRemote {
			l.list.Remove(id)
			l.answer(id, turn{isDismissed: true})
		}
	}
}

// capacity returns what serves the requests of the list. Upstreams that load weights start none.
func (l *waitList) capacity(now time.Time) loomschedule.Capacity {
	return loomschedule.Capacity{Upstreams: l.gate.startingUpstreams(now, l.group), Waiting: l.gate.queuedWork(now, l.group)}
}

// startingUpstreams returns the number of upstreams of a group that do not load weights.
func (g *Gate) startingUpstreams(now time.Time, group string) int {
	n := 0
	for _, u := range g.usableUpstreams(now, group) {
		if !g.rollout.isLoading(now, u.ID) {
			n++
		}
	}
	return max(n, 1)
}

// queuedWork returns the work of all ranks that is known to wait for a group anywhere.
func (g *Gate) queuedWork(now time.Time, group string) time.Duration {
	total := time.Duration(0)
	for _, w := range g.queues.elsewhere.total(now, g.queues.work(), func(string) bool { return true }) {
		if w.GetGroup() == group {
			total += time.Duration(w.GetMicros()) * time.Microsecond
		}
	}
	if g.coordinators.elected() == nil {
		// Each instance is assumed to have as much queued work as this one.
		total *= time.Duration(len(g.peers.liveInstances()))
	}
	return total
}

// withWork returns w with the work of a choice, and with its latest starts moved by the
// difference.
func (q *placementQuery) withWork(w loomschedule.Waiter, c loomroute.Choice) loomschedule.Waiter {
	compute := time.Duration(c.Recompute) * q.workUnitTime()
	more := compute + q.outputShare() - w.Work
	w.Work += more
	w.Due, w.Until = w.Due.Add(-more), w.Until.Add(-more)
	return w
}

// outputShare returns the part of an upstream's time that generating the output takes.
func (q *placementQuery) outputShare() time.Duration {
	slots := 1
	if q.group.Engine != nil && q.group.Engine.Slots > 0 {
		slots = q.group.Engine.Slots
	}
	return q.outputTime / time.Duration(slots)
}
