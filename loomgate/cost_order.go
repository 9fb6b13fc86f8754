package loomgate

import (
	"context"
	"math"
	"time"

	"swiftloom/loomerror"
	"swiftloom/loomlimit"
	"swiftloom/loompb"
	"swiftloom/loomschedule"
)

const (
	// placeHoldTime is how long a coordinator keeps the call of a waiting request at most. A
	// coordinator that fails meanwhile is noticed placeTimeout later.
	placeHoldTime = 250 * time.Millisecond
	// maxOpenCalls is the number of waiting requests of a group for which an instance keeps
	// calls open: those that its own order puts first. A coordinator that sees the first ones
	// of all instances finds the first of all, and the second replaces one that starts.
	maxOpenCalls = 2
)

// StartOrder says in which order waiting requests start.
type StartOrder int

// The orders. OrderAutomatic is by cost in fleets with coordinators, for groups whose routes
// differ in rank or objective, and by rank otherwise.
const (
	OrderAutomatic StartOrder = iota
	OrderByRank
	OrderByCost
)

// ordersByCost reports whether the waiting requests of a group start in the order of loomschedule.
func (g *Gate) ordersByCost(group string) bool {
	switch g.settings.StartOrder {
	case OrderByCost:
		return true
	case OrderByRank:
		return false
	default:
		return g.view.routing().HasDifferentUrgency(group) && g.coordinators.elected() != nil
	}
}

// ordersByCost reports whether the request starts in the order of loomschedule. One that is
// restricted to regions doesn't: a full region must not hold up what may go elsewhere, and the
// requests of a wait list may go to any upstream of the group.
func (q *placementQuery) ordersByCost() bool {
	return !q.regions.IsRestricted() && q.gate.ordersByCost(q.group.Name)
}

// waitByCost waits until the request has its turn in the order of loomschedule and an upstream has
// capacity for it. It refuses at once a request that could not start in time.
func (d *dispatch) waitByCost(ctx context.Context, now time.Time) *loomerror.Error {
	d.outputTime = d.gate.queues.forRequest(&d.placementQuery).outputTime(d.prompt.ExpectedOutputTokens)
	if hasStarted, err := d.askToStart(ctx, now, 0); hasStarted || err != nil {
		return err
	}
	q := d.gate.queues.forRequest(&d.placementQuery)
	q.mu.Lock()
	waiter := d.waiter()
	d.expectedStart = now.Add(d.expectedWait(now, q))
	latest := d.latestStart(now, q, waiter)
	if d.expectedStart.After(latest) {
		q.mu.Unlock()
		return d.refuseWait(now, latest)
	}
	wake := make(chan struct{}, 1)
	q.push(waiter, d.costWaiter(), wake)
	q.isRemote = d.coordinator != ""
	q.startTicker()
	q.wakeHeads(now)
	q.mu.Unlock()
	return d.waitCostTurn(ctx, q, waiter, wake)
}

// refuseWait returns the error of a request that is expected to start too late. The time after
// which the caller may return is that in which the queue drains. It is spread, since callers that
// return together would be refused together.
func (d *dispatch) refuseWait(now, latest time.Time) *loomerror.Error {
	expected := d.expectedStart.Sub(now)
	drain := min(max(expected-maxEngineWait, minRetryAfter), maxRetryAfter)
	return loomerror.New(loomerror.DeadlineUnmeetable, "expected wait of %s exceeds the remaining %s",
		expected.Round(time.Millisecond), latest.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(drain + d.gate.randomDuration(drain/2))
}

// waitCostTurn is like waitTurn for a group whose order is by cost.
func (d *dispatch) waitCostTurn(ctx context.Context, q *groupQueue, waiter loomlimit.Waiter, wake chan struct{}) *loomerror.Error {
	defer q.removeAndWake(waiter.ID)
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
			d.expectedStart = now
			return d.refuseWait(now, waiter.Until)
		}
		d.prefersIdle = now.After(d.lastResortAt(waiter))
		asked := now
		q.setAsking(waiter.ID, true)
		hasStarted, err := d.askToStart(ctx, now, placeHoldTime)
		q.setAsking(waiter.ID, false)
		if err != nil {
			return err
		}
		now = time.Now()
		q.recordCheck(d.coordinator != "", hasStarted)
		if hasStarted {
			d.gate.metrics.waited(d.group.Name, now.Sub(d.expectedStart))
			q.recordStart(now, waiter.ID)
			return nil
		}
		if err := d.checkHopeless(now, q, waiter); err != nil {
			return err
		}
		if now.Sub(asked) >= placeHoldTime/2 {
			q.askAgain(now)
		}
	}
}

// checkHopeless returns an error if the request is late and is not expected to start before its
// caller leaves. Requests that can meet their objectives go first, so one that is late starts no
// sooner than all work ahead of it is done.
func (d *dispatch) checkHopeless(now time.Time, q *groupQueue, w loomlimit.Waiter) *loomerror.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	expected := now.Add(d.expectedWait(now, q))
	if !w.Due.Before(now) || !expected.After(w.Until) || d.gate.coordinators.elected() == nil {
		// Without coordinators the work that waits at other instances is only a guess.
		return nil
	}
	d.expectedStart = expected
	return d.refuseWait(now, w.Until)
}

// costWaiter returns the request as loomschedule knows it. Its times are those of waiter.
func (d *dispatch) costWaiter() loomschedule.Waiter {
	w := d.waiter()
	return loomschedule.Waiter{ID: d.req.RequestID, Rank: w.Rank, Account: d.req.account.Name, Arrived: w.Arrived, Due: w.Due, Until: w.Until, Work: w.Work + d.outputShare()}
}

// askToStart asks a coordinator, or the wait list of this instance if it has none, whether the
// request may start, and waits up to hold for that. If so, the placement is where.
func (d *dispatch) askToStart(ctx context.Context, now time.Time, hold time.Duration) (bool, *loomerror.Error) {
	var t turn
	isAnswered := false
	choices := d.gate.coordinators.choices()
	if len(choices) > 0 && !d.gate.view.isGroupEvacuated(now, d.group.Name) {
		t, isAnswered = d.askForTurn(ctx, now, choices[:min(len(choices), maxPlaceCalls)], hold)
	}
	if !isAnswered && ctx.Err() == nil {
		t = d.askOwnList(ctx, now, hold)
	}
	switch {
	case ctx.Err() != nil:
		return false, loomerror.From(ctx.Err()).WithNotRun(d.lifecycle.NotRun())
	case t.err != nil:
		return false, t.err
	case t.hasStarted || t.hasEstimate:
		d.placement = t.placement
		d.placedAt = t.at
	}
	d.recordHold(time.Now(), t.hasStarted)
	return t.hasStarted, nil
}

// recordHold records whether the request is held for a limit.
func (d *dispatch) recordHold(now time.Time, hasStarted bool) {
	if d.limitDelay.wait > 0 && d.heldAt.IsZero() {
		d.heldAt = now
		d.gate.metrics.held(d.group.Name)
	}
	if hasStarted {
		d.held += d.heldFor(now)
		d.heldAt = time.Time{}
	}
}

// askOwnList asks the wait list of this instance.
func (d *dispatch) askOwnList(ctx context.Context, now time.Time, hold time.Duration) turn {
	list := d.gate.waitLists.forGroup(d.group.Name)
	w := d.costWaiter()
	w.ID = d.gate.settings.ID + "/" + w.ID
	var t turn
	if hold == 0 {
		t = list.tryStart(now, &d.placementQuery, w)
	} else {
		t = list.wait(ctx, &d.placementQuery, w, hold)
	}
	if t.hasStarted {
		// The attempt counts from here on.
		d.gate.fleet.Done(t.reservation)
	}
	return t
}

// askForTurn asks coordinators in order until one answers that it orders the request.
func (d *dispatch) askForTurn(ctx context.Context, now time.Time, choices []string, hold time.Duration) (turn, bool) {
	r := d.newPlaceRequest(now, placeIfFree)
	for _, id := range choices {
		sentAt := time.Now()
		r.Wait = d.waitTerms(sentAt, hold)
		reply, ok := d.gate.peers.placeWithin(ctx, id, r, placeTimeout+hold)
		if !ok {
			continue
		}
		d.isPartRecorded = true
		p, isUsable := d.placementOf(now, id, reply)
		switch {
		case reply.GetIsReserved() && isUsable:
			kept := time.Duration(reply.GetKeptMicros()) * time.Microsecond
			return turn{hasStarted: true, placement: p, at: sentAt.Add(kept)}, true
		case reply.GetIsWaiting() && !isUsable:
			d.queuedElsewhere = time.Duration(reply.GetQueuedMicros()) * time.Microsecond
			return turn{}, true
		case isUsable:
			return turn{placement: p, hasEstimate: true}, true
		}
	}
	return turn{}, false
}

// waitTerms returns the terms of the request for a coordinator.
func (d *dispatch) waitTerms(now time.Time, hold time.Duration) *loompb.WaitTerms {
	w := d.costWaiter()
	return &loompb.WaitTerms{
		RequestId:    d.req.RequestID,
		HoldMs:       uint32(hold.Milliseconds()),
		AgeMs:        uint32(min(max(now.Sub(w.Arrived).Milliseconds(), 0), math.MaxUint32)),
		DueMs:        clampMillis(w.Due.Sub(now)),
		UntilMs:      clampMillis(w.Until.Sub(now)),
		WorkMicros:   uint32(min(w.Work.Microseconds(), math.MaxUint32)),
		OutputMicros: uint32(min(d.outputTime.Microseconds(), math.MaxUint32)),
	}
}

func clampMillis(d time.Duration) int32 {
	return int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32))
}

// waiterOf returns the waiting request in a message. Its ID is unique among those of all senders.
func waiterOf(now time.Time, r *loompb.PlaceRequest) loomschedule.Waiter {
	t := r.GetWait()
	return loomschedule.Waiter{
		ID:      r.GetFrom() + "/" + t.GetRequestId(),
		Rank:    int(r.GetRank()),
		Account: r.GetIsolatedAccount(),
		Arrived: now.Add(-time.Duration(t.GetAgeMs()) * time.Millisecond),
		Due:     now.Add(time.Duration(t.GetDueMs()) * time.Millisecond),
		Until:   now.Add(time.Duration(t.GetUntilMs()) * time.Millisecond),
		Work:    time.Duration(t.GetWorkMicros()) * time.Microsecond,
	}
}

// placeInOrder answers a request that waits for its turn. It keeps the call for as long as the
// sender allows.
func (s *peerService) placeInOrder(ctx context.Context, now time.Time, r *loompb.PlaceRequest) *loompb.PlaceReply {
	g := s.gate
	if _, isKnown := g.view.routing().Group(r.GetGroup()); !isKnown || g.IsStopping() {
		return &loompb.PlaceReply{}
	}
	q := g.queryOf(r)
	q.outputTime = time.Duration(r.GetWait().GetOutputMicros()) * time.Microsecond
	list := g.waitLists.forGroup(q.group.Name)
	w := waiterOf(now, r)
	hold := min(time.Duration(r.GetWait().GetHoldMs())*time.Millisecond, placeHoldTime)
	var t turn
	if hold == 0 {
		t = list.tryStart(now, &q, w)
	} else {
		t = list.wait(ctx, &q, w, hold)
	}
	switch {
	case t.err != nil || t.isDismissed:
		return &loompb.PlaceReply{}
	case t.hasStarted:
		reply := newPlaceReply(t.placement)
		addReservation(reply, t.placement.kv)
		reply.KeptMicros = max(t.at.Sub(now), 0).Microseconds()
		return reply
	}
	reply := &loompb.PlaceReply{}
	if t.hasEstimate {
		reply = newPlaceReply(t.placement)
		g.addLimitDelay(reply, t.placement)
	}
	reply.IsWaiting = true
	reply.QueuedMicros = g.queuedFor(time.Now(), r).Microseconds()
	reply.AheadMicros = reply.QueuedMicros
	return reply
}
