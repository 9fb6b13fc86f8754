package loomgate

import (
	"context"
	"maps"
	"math"
	"strings"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loomlimit"
	"swiftloom/loompb"
	"swiftloom/loomschedule"
)

const (
	// maxEngineWait is the longest wait at the best engine with which a request
	// is still sent to it. It keeps the engine busy until the queue is checked
	// again, and no longer, so that the order of requests is decided here.
	// maxUrgentEngineWait is the limit for urgent requests, which the engine
	// processes first.
	maxEngineWait       = 120 * time.Millisecond
	maxUrgentEngineWait = 250 * time.Millisecond
	// maxUrgentRank is the highest rank that counts as urgent.
	maxUrgentRank = 1
	// queueInterval is the time between two checks of a queue when no other
	// event triggers one, and remoteQueueInterval the time if each check is a
	// call to a coordinator. That time doubles with each check in vain, up to
	// maxRemoteQueueInterval.
	queueInterval          = 20 * time.Millisecond
	remoteQueueInterval    = 60 * time.Millisecond
	maxRemoteQueueInterval = 240 * time.Millisecond
	// A caller abandons a stream that has not started after abandonFactor times
	// the objective or abandonPauseFactor times the pause objective of the
	// route, whichever is longer, but not before minAbandonTime.
	abandonFactor      = 4
	abandonPauseFactor = 8
	minAbandonTime     = 2 * time.Second
	// abandonMargin is reserved for the network time to the engine and back.
	abandonMargin = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused
	// caller is given.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// queues holds one queue for each upstream group.
type queues struct {
	gate *Gate

	mu sync.Mutex
	// byGroup is keyed by group and allowed regions, and restricted holds by group the queues of
	// requests that are restricted to regions.
	byGroup    map[string]*groupQueue
	restricted map[string][]*groupQueue

	// elsewhere holds the work that waits at other instances.
	elsewhere queuedWork
}

// groupQueue holds the requests of one group that wait for capacity.
type groupQueue struct {
	// regions are those that the requests are restricted to.
	regions loomcatalogue.Regions

	mu      sync.Mutex
	waiters loomlimit.DeadlineQueue
	wakeups map[string]chan struct{}
	// costs holds those of the waiting requests that start in the order of loomschedule, and
	// asking the ones whose calls for their turn are open.
	costs  loomschedule.List
	asking map[string]bool
	// outputTokenTime is the mean time to generate a token of output, or zero before any
	// answer.
	outputTokenTime time.Duration
	// heldDemand is the rate at which requests arrive that are held for limits.
	heldDemand loomlimit.Demand
	// isTicking is set while a goroutine checks the queue periodically.
	isTicking bool
	// isRemote is set if the latest check was a call to a coordinator, and vainChecks the
	// number of checks since a request last had its turn.
	isRemote   bool
	vainChecks int
}

func newQueues(g *Gate) *queues {
	return &queues{gate: g, byGroup: make(map[string]*groupQueue), restricted: make(map[string][]*groupQueue)}
}

// forRequest returns the queue in which a request waits. Requests that are restricted to regions
// have queues of their own, so that a full region doesn't hold up those that may go elsewhere.
func (q *queues) forRequest(p *placementQuery) *groupQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.get(p.group.Name, p.regions)
}

// get returns the queue of a group for requests that are restricted to regions, and creates it on
// first use. The caller holds mu.
func (q *queues) get(group string, r loomcatalogue.Regions) *groupQueue {
	key := group
	if r.IsRestricted() {
		key += queueKeySeparator + strings.Join(r.Names(), queueKeySeparator)
	}
	gq, ok := q.byGroup[key]
	if !ok {
		gq = &groupQueue{regions: r, wakeups: make(map[string]chan struct{}), asking: make(map[string]bool)}
		q.byGroup[key] = gq
		if r.IsRestricted() {
			q.restricted[group] = append(q.restricted[group], gq)
		}
	}
	return gq
}

// ofGroup returns the queue of a group, and those of its requests that are restricted to regions.
// The caller must not change the slice.
func (q *queues) ofGroup(group string) (all *groupQueue, restricted []*groupQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.get(group, loomcatalogue.Regions{}), q.restricted[group]
}

// length returns the number of requests that wait for a group.
func (q *queues) length(group string) int {
	all, restricted := q.ofGroup(group)
	n := all.length()
	for _, gq := range restricted {
		n += gq.length()
	}
	return n
}

func (q *groupQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// firstEventTimeout returns how long after its arrival a request's first event
// is still of use to the caller.
func firstEventTimeout(r loomcatalogue.Route) time.Duration {
	return max(minAbandonTime, abandonFactor*r.LatencyObjective, abandonPauseFactor*r.EventGapObjective)
}

// waiter returns the queue entry of a request. Its times are the latest start
// with which the first event meets the objective, and the latest start before
// the caller abandons the stream.
func (d *dispatch) waiter() loomlimit.Waiter {
	r := d.req
	work := time.Duration(d.choice.Recompute) * d.workUnitTime()
	fixed := d.gate.prefill.forGroup(r.group.Name).FixedTime()
	start := r.Received
	until := start.Add(firstEventTimeout(r.route) - work - fixed - abandonMargin)
	if end := r.deadline.Add(-work - fixed - abandonMargin); end.Before(until) {
		until = end
	}
	return loomlimit.Waiter{
		ID:      r.RequestID,
		Rank:    r.rank(),
		Arrived: start,
		Due:     start.Add(r.route.LatencyObjective - work - fixed - maxEngineWait),
		Until:   until,
		Work:    work,
	}
}

// waitForEngine selects an upstream and queues the request until an engine has
// capacity for it. It refuses at once a request that could not start in time.
func (d *dispatch) waitForEngine(ctx context.Context) *loomerror.Error {
	now := time.Now()
	if d.streamStatus != 0 {
		return d.placeContinuation(ctx, now)
	}
	if d.hasPrompt && d.ordersByCost() {
		return d.waitByCost(ctx, now)
	}
	q := d.gate.queues.forRequest(&d.placementQuery)
	hasTurn := q.hasTurn(now, d.rank)
	mode := placeIfFree
	if !hasTurn {
		mode = placeNever
	}
	if err := d.place(ctx, now, mode); err != nil {
		return err
	}
	if hasTurn && d.tryStart(now) {
		return nil
	}
	q.mu.Lock()
	waiter := d.waiter()
	expected := d.expectedWait(now, q)
	latest := d.latestStart(now, q, waiter)
	if now.Add(expected).After(latest) {
		q.mu.Unlock()
		format := "expected wait of %s exceeds the remaining %s"
		if d.limitDelay.wait > 0 {
			format = "the limits of all upstreams allow the request in %s, %s are left"
		}
		return loomerror.New(loomerror.DeadlineUnmeetable, format, expected.Round(time.Millisecond), latest.Sub(now).Round(time.Millisecond)).
			WithRetryAfter(min(max(expected-maxEngineWait, minRetryAfter), maxRetryAfter))
	}
	wake := make(chan struct{}, 1)
	q.waiters.Push(waiter)
	q.wakeups[waiter.ID] = wake
	q.isRemote = d.coordinator != ""
	q.startTicker()
	q.mu.Unlock()
	return d.waitTurn(ctx, q, waiter, wake)
}

// lastResortMargin is how long before a request would be refused it goes to any idle
// engine.
const lastResortMargin = 100 * time.Millisecond

// lastResortAt returns when a waiting request no longer waits for an engine that caches its
// prompt while others are idle: the latest time at which one of these can still
// compute the whole prompt before the caller leaves.
func (d *dispatch) lastResortAt(w loomlimit.Waiter) time.Time {
	whole := time.Duration(d.prompt.Tokens) * d.workUnitTime()
	return w.Until.Add(w.Work - max(whole, w.Work) - lastResortMargin)
}

// latestStart returns the latest start with which the request is worth queueing. While
// more requests arrive than the limits of the upstreams allow, one that can't meet its
// objective is overtaken by those that still can, until its caller leaves. The caller
// holds the queue's lock.
func (d *dispatch) latestStart(now time.Time, q *groupQueue, w loomlimit.Waiter) time.Time {
	if d.limitDelay.wait == 0 {
		return w.Until
	}
	q.heldDemand.Add(now, 1)
	isOverLimit := q.heldDemand.Rate(now)*d.limitDelay.interval.Seconds() > 1
	if isOverLimit && w.Due.After(now) && w.Due.Before(w.Until) {
		return w.Due
	}
	return w.Until
}

// hasTurn reports whether a new request of a rank goes before all that wait.
func (q *groupQueue) hasTurn(now time.Time, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	first, isWaiting := q.waiters.Next(now)
	return !isWaiting || first.Rank > rank
}

// tryStart reports whether the request may be sent to the selected upstream now. If
// so, it is counted against the limit of the upstream.
func (d *dispatch) tryStart(now time.Time) bool {
	return d.tryReserve(now, d.hasCapacity(d.placement))
}

// tryReserve is like tryStart for an upstream with or without capacity.
func (d *dispatch) tryReserve(now time.Time, hasCapacity bool) bool {
	if d.limitDelay.wait > 0 && d.heldAt.IsZero() {
		d.heldAt = now
		d.gate.metrics.held(d.group.Name)
	}
	isReserved := d.hasKVPlan
	if d.coordinator == "" {
		isReserved = hasCapacity && d.limitDelay.wait == 0 && d.gate.limits.take(now, d.upstream)
	}
	if isReserved {
		d.held += d.heldFor(now)
		d.heldAt = time.Time{}
	}
	return isReserved
}

// heldFor returns how long the request has been held for a limit since it was last
// sent.
func (d *dispatch) heldFor(now time.Time) time.Duration {
	if d.heldAt.IsZero() {
		return 0
	}
	return now.Sub(d.heldAt)
}

// placeContinuation selects the upstream that continues a stream. The stream has
// waited in the queue before, so it waits only for a limit, for as long as its caller
// waits for an event.
func (d *dispatch) placeContinuation(ctx context.Context, now time.Time) *loomerror.Error {
	until := now.Add(max(minAbandonTime, abandonPauseFactor*d.req.route.EventGapObjective) - abandonMargin)
	for {
		if err := d.place(ctx, now, placeAlways); err != nil {
			return err
		}
		if d.tryReserve(now, true) {
			return nil
		}
		interval := queueInterval
		if d.coordinator != "" {
			interval = remoteQueueInterval
		}
		if now.Add(max(d.limitDelay.wait, interval)).After(until) {
			return loomerror.New(loomerror.DeadlineUnmeetable, "the limits of all upstreams allow no request within %s", d.limitDelay.wait.Round(time.Millisecond))
		}
		if err := loomkernel.Sleep(ctx, interval); err != nil {
			return loomerror.From(err)
		}
		now = time.Now()
	}
}

// expectedWait returns how long the request would wait for its turn: the wait
// at the best engine plus the work ahead of it in the queues of all instances,
// divided among the engines. If all engines are at their limits, it is the time until
// these allow the requests ahead and this one. The caller holds the queue's lock.
func (d *dispatch) expectedWait(now time.Time, q *groupQueue) time.Duration {
	if d.limitDelay.wait > 0 {
		return d.limitDelay.wait + time.Duration(q.waiters.CountAhead(d.rank))*d.limitDelay.interval
	}
	engines := max(len(d.allowedUpstreams(now)), 1)
	if d.ordersByCost() {
		engines = d.gate.startingUpstreams(now, d.group.Name)
	}
	ahead := q.waiters.WorkAhead(d.rank)
	switch {
	case d.coordinator != "":
		ahead += d.queuedElsewhere
	case d.gate.coordinators.elected() == nil:
		// Each instance is assumed to have as much queued work as this one.
		ahead *= time.Duration(len(d.gate.peers.liveInstances()))
	default:
		ahead += d.gate.queues.elsewhere.ahead(now, d.req.group.Name, d.rank)
	}
	return d.wait + ahead/time.Duration(engines)
}

// work returns the work that waits at this instance.
func (q *queues) work() []*loompb.QueuedWork {
	q.mu.Lock()
	groups := maps.Clone(q.byGroup)
	q.mu.Unlock()
	var work []*loompb.QueuedWork
	for key, gq := range groups {
		gq.mu.Lock()
		for rank, d := range gq.waiters.WorkByRank() {
			work = append(work, &loompb.QueuedWork{Group: groupOfQueue(key), Rank: uint32(max(rank, 0)), Micros: uint32(min(d.Microseconds(), math.MaxUint32))})
		}
		gq.mu.Unlock()
	}
	return work
}

// waitTurn waits until the request has its turn and an engine has capacity for
// it.
func (d *dispatch) waitTurn(ctx context.Context, q *groupQueue, waiter loomlimit.Waiter, wake chan struct{}) *loomerror.Error {
	defer q.remove(waiter.ID)
	for {
		decision := d.gate.quarantine.nextDecision()
		if err := d.checkQuarantine(time.Now()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
		case <-d.gate.stop.waitsEnd:
			return newShuttingDown()
		case <-decision:
			continue
		case <-wake:
		}
		now := time.Now()
		if waiter.Until.Before(now) {
			return loomerror.New(loomerror.DeadlineUnmeetable, "no engine had capacity within %s", now.Sub(waiter.Arrived).Round(time.Millisecond)).
				WithRetryAfter(minRetryAfter)
		}
		d.prefersIdle = now.After(d.lastResortAt(waiter))
		if err := d.place(ctx, now, placeIfFree); err != nil {
			return err
		}
		hasStarted := d.tryStart(now)
		q.recordCheck(d.coordinator != "", hasStarted)
		if hasStarted {
			return nil
		}
	}
}

// recordCheck records a check of the queue, by way of a coordinator if isRemote is set, and
// whether a request had its turn.
func (q *groupQueue) recordCheck(isRemote, hasStarted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isRemote = isRemote
	q.vainChecks++
	if hasStarted {
		q.vainChecks = 0
	}
}

// checkInterval returns the time until the next check. A coordinator hears of capacity sooner
// than the instances that ask it, of which the next one takes it, so the checks of all of
// them in vain would only keep it busy.
func (q *groupQueue) checkInterval() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.isRemote {
		return queueInterval
	}
	const maxDoublings = 8
	return min(remoteQueueInterval<<min(q.vainChecks, maxDoublings), maxRemoteQueueInterval)
}

// remove removes a request from the queue.
func (q *groupQueue) remove(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.Remove(id)
	q.costs.Remove(id)
	delete(q.wakeups, id)
}

// push adds a request that starts in the order of loomschedule. The caller holds mu.
func (q *groupQueue) push(w loomlimit.Waiter, c loomschedule.Waiter, wake chan struct{}) {
	q.waiters.Push(w)
	q.costs.Push(c)
	q.wakeups[w.ID] = wake
}

// removeAndWake removes a request and lets the next ones ask for their turn.
func (q *groupQueue) removeAndWake(id string) {
	q.remove(id)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeHeads(time.Now())
}

// askAgain lets the next requests ask for their turn after a call that was held in vain.
func (q *groupQueue) askAgain(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeHeads(now)
}

// recordStart records that a request starts, for the order of those that remain.
func (q *groupQueue) recordStart(now time.Time, id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.costs.Start(now, id)
}

// setAsking records whether the call of a request for its turn is open.
func (q *groupQueue) setAsking(id string, isAsking bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isAsking {
		q.asking[id] = true
		return
	}
	delete(q.asking, id)
}

// wakeHeads lets the first requests in the order of loomschedule ask for their turn, up to
// maxOpenCalls. The caller holds mu.
func (q *groupQueue) wakeHeads(now time.Time) {
	open := len(q.asking)
	for _, w := range q.costs.First(now, maxOpenCalls, loomschedule.Capacity{Upstreams: 1}) {
		if open >= maxOpenCalls {
			return
		}
		if !q.asking[w.ID] {
			q.signal(w.ID)
			open++
		}
	}
}

// outputTokenMemory is the number of recent answers that determine the time to generate a token.
const outputTokenMemory = 50

// observeOutput records the time in which the output of an answer was generated.
func (q *groupQueue) observeOutput(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	perToken := took / time.Duration(tokens)
	if q.outputTokenTime == 0 {
		q.outputTokenTime = perToken
	}
	q.outputTokenTime += (perToken - q.outputTokenTime) / outputTokenMemory
}

// outputTime returns the expected time to generate a number of tokens.
func (q *groupQueue) outputTime(tokens int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(max(tokens, 0)) * q.outputTokenTime
}

// startTicker starts the goroutine that checks the queue at checkInterval for as long
// as it is not empty. The caller holds mu.
func (q *groupQueue) startTicker() {
	if q.isTicking {
		return
	}
	q.isTicking = true
	q.vainChecks = 0
	go func() {
		for {
			time.Sleep(q.checkInterval())
			if !q.wakeNext(time.Now()) {
				return
			}
		}
	}()
}

// wakeNext wakes the first request in the queue and those that have expired. It
// reports whether any request remains.
func (q *groupQueue) wakeNext(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters.TakeExpired(now) {
		q.signal(w.ID)
	}
	first, ok := q.waiters.Next(now)
	if !ok {
		q.isTicking = false
		return false
	}
	if q.costs.Len() > 0 {
		q.costs.TakeExpired(now)
		q.wakeHeads(now)
		return true
	}
	q.signal(first.ID)
	return true
}

// signal wakes the goroutine of a request without blocking. The caller holds mu.
func (q *groupQueue) signal(id string) {
	if wake, ok := q.wakeups[id]; ok {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// wakeStranded wakes the requests that wait for a group without any upstream for them.
func (q *queues) wakeStranded(now time.Time, group string) {
	all, restricted := q.ofGroup(group)
	for _, gq := range append([]*groupQueue{all}, restricted...) {
		p := placementQuery{gate: q.gate, group: loomcatalogue.Group{Name: group}, regions: gq.regions}
		if len(p.allowedUpstreams(now)) == 0 {
			gq.wakeAll()
		}
	}
}

func (q *groupQueue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.wakeups {
		q.signal(id)
	}
}

// wakeFirst wakes the first request in each queue of a group, which then checks
// for capacity.
func (q *queues) wakeFirst(group string) {
	now := time.Now()
	all, restricted := q.ofGroup(group)
	all.wakeFirst(now)
	for _, gq := range restricted {
		gq.wakeFirst(now)
	}
}

func (q *groupQueue) wakeFirst(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.costs.Len() > 0 {
		// The wait list that was asked lets requests start.
		return
	}
	if first, ok := q.waiters.Next(now); ok {
		q.signal(first.ID)
	}
}
