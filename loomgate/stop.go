package loomgate

import (
	"sync"
	"time"

	"swiftloom/loomerror"
)

const (
	// lateAfter is the time from the beginning of a stop after which a request that may not be
	// answered in time is refused. By then callers have turned to other instances.
	lateAfter = 3 * time.Second
	// stopMargin is the time before the end of a stop at which requests that wait are refused,
	// so that their callers get the answer.
	stopMargin = 250 * time.Millisecond
	// stoppingRetryAfter is the retry delay given to a caller, which reaches another instance.
	stoppingRetryAfter = 50 * time.Millisecond
)

// stopPlan is the time that a stop leaves to requests. It is immutable.
type stopPlan struct {
	// begunAt is when the stop began, and endsAt when the connections of callers are cut.
	begunAt, endsAt time.Time
}

// canFinish reports whether a request ends before the stop does, or came so early that it is given
// what there is. It has arrived when its body has been read.
func (p stopPlan) canFinish(arrivedAt, deadline time.Time) bool {
	return arrivedAt.Sub(p.begunAt) <= lateAfter || !deadline.After(p.endsAt)
}

// stopState holds the plan of a stop once it has begun. Its methods may be called concurrently.
type stopState struct {
	mu    sync.Mutex
	plan  stopPlan
	begun bool
	// waitsEnd is closed when requests that wait must be refused.
	waitsEnd chan struct{}
}

// begin begins a stop.
func (s *stopState) begin(p stopPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.plan, s.begun = p, true
	time.AfterFunc(p.endsAt.Add(-stopMargin).Sub(p.begunAt), func() { close(s.waitsEnd) })
}

// current returns the plan of the stop, or false if there is none.
func (s *stopState) current() (stopPlan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan, s.begun
}

// StopBy makes IsReady report false, as MarkStopping does, and refuses requests that can't be
// answered before the connections of callers are cut at endsAt.
func (g *Gate) StopBy(now, endsAt time.Time) {
	g.stop.begin(stopPlan{begunAt: now, endsAt: endsAt})
	g.MarkStopping()
}

// checkStop returns the error with which a request that has arrived now is refused since it would
// not be answered before a stop ends, or nil.
func (g *Gate) checkStop(now time.Time, r *request) *loomerror.Error {
	plan, ok := g.stop.current()
	if !ok || plan.canFinish(now, r.deadline) {
		return nil
	}
	return newShuttingDown()
}

// newShuttingDown returns the error of a request that the instance can't answer before it ends.
func newShuttingDown() *loomerror.Error {
	return loomerror.New(loomerror.ShuttingDown, "the instance ends before the request may").WithRetryAfter(stoppingRetryAfter)
}
