package loomgate

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loomquarantine"
	"swiftloom/loomroute"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

const (
	// maxBufferedAnswer is the maximum size in bytes of an answer that is not
	// streamed.
	maxBufferedAnswer = 8 << 20
	// defaultRetryAfter is the retry delay given to a refused caller when there
	// is no better estimate: approximately the time in which an engine
	// completes a full batch.
	defaultRetryAfter = 400 * time.Millisecond
)

// dispatch is the processing of one request across its attempts. Only one
// goroutine uses it.
type dispatch struct {
	placementQuery
	placement

	req       *request
	lifecycle *loomstream.Lifecycle
	w         Responder

	attempts  int
	attemptID string
	// isPartRecorded is set once a coordinator has counted the last part of the
	// prompt for the detection of reuse.
	isPartRecorded bool
	ticket         loomroute.Ticket
	hasTicket      bool
	sentAt         time.Time
	cancel         context.CancelFunc
	// start is the limit on the time until the attempt begins; nil before the first attempt.
	start *startLimit
	// resumedAfter is the event ID after which the current attempt continues the
	// answer, or empty.
	resumedAfter string

	// sequence checks the events that are relayed.
	sequence loomstream.Sequence
	// lastEventAt is when the last event arrived, and longestPause the longest
	// time between two events so far.
	lastEventAt  time.Time
	longestPause time.Duration
	// streamStatus is the status of the streamed answer, once its head has been
	// written. The answer can only continue with that status.
	streamStatus int
	firstAt      time.Time
	// relayedBefore is the number of events that were relayed before the current attempt.
	relayedBefore int
	// attemptFirstAt is when the first event of the current attempt arrived, or zero.
	attemptFirstAt time.Time
	// isTrial is set if the request is sent to show whether it is sound although it is
	// quarantined.
	isTrial bool
	// quarantineSuspectList is the result of quarantineSuspects, or nil before it is first
	// needed.
	quarantineSuspectList []loomquarantine.Suspect
	// placedAt is when the current upstream was selected, or earlier. What that counted is
	// not older.
	placedAt time.Time
	// status and framing are those of the response to the last attempt. They are
	// zero if it got none.
	status  int
	framing loomupstream.Framing
	// heldAt is when the request was first held for the limits of upstreams since
	// its last attempt, and held how long it was before that attempt.
	heldAt time.Time
	held   time.Duration
	// expectedStart is when a waiting request was expected to start, or zero.
	expectedStart time.Time
	// cause says why the last attempt failed.
	cause string
}

// Serve processes one request. It returns when the answer is complete or the
// request has been abandoned.
func (g *Gate) Serve(ctx context.Context, in IncomingRequest, w Responder) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.metrics.requests.Inc(1)
	r, err := g.admit(in)
	if err == nil {
		err = g.checkStop(time.Now(), r)
	}
	if err != nil {
		g.recordRefusal(in, err)
		w.WriteError(in.RequestID, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	d := &dispatch{placementQuery: newPlacementQuery(g, r), req: r, w: w}
	if r.isRepeatable() {
		d.sequence = loomstream.NewSequence(r.ResumeAfter)
	}
	d.lifecycle = loomstream.NewLifecycle(r.isRepeatable(), g.retries.forGroup(r.group.Name), loomstream.NewBackoff(g.newRand())).WithMaxRuns(r.route.MaxAttempts)
	if parts := in.Prompt.Parts; len(parts) > 0 && in.Prompt.UntrackedParts == 0 {
		d.isLastPartReusable = g.partReuse.Record(r.route.Name, parts[len(parts)-1].ID)
	}
	failure := d.run(ctx)
	d.releaseAttempt()
	if failure != nil {
		d.writeError(ctx, failure)
	}
	g.logDone(d, failure)
}

// recordRefusal logs and counts a request that was refused before an upstream
// was selected.
func (g *Gate) recordRefusal(in IncomingRequest, err *loomerror.Error) {
	g.metrics.failed("", err.Kind())
	g.log.Info("request_refused", "request_id", in.RequestID, "host", in.Host, "path", in.Path,
		"kind", err.Kind().String(), "message", err.Message(), "revision", g.view.routing().Revision())
}

// writeError writes the error of a request, or aborts the answer if the caller
// has left.
func (d *dispatch) writeError(ctx context.Context, failure *loomerror.Error) {
	if ctx.Err() == context.Canceled {
		d.w.Abort()
		return
	}
	d.w.WriteError(d.req.RequestID, failure)
}

// run makes attempts until the request is answered. It returns the error for
// the caller, or nil.
func (d *dispatch) run(ctx context.Context) *loomerror.Error {
	for {
		if err := d.checkQuarantine(time.Now()); err != nil {
			return err
		}
		if err := d.waitForEngine(ctx); err != nil {
			return err.WithNotRun(d.lifecycle.NotRun())
		}
		if d.isGrantLate(time.Now()) {
			continue
		}
		action := d.sendAttempt(ctx)
		switch a := action.(type) {
		case loomstream.Retry:
			d.releaseAttempt()
			d.gate.metrics.retries.Inc(1)
			d.gate.logAttemptEnded(d, a.After)
			if err := loomkernel.Sleep(ctx, a.After); err != nil {
				return d.contextError(ctx)
			}
		case loomstream.Fail:
			return a.Err
		case loomstream.Complete, loomstream.Cancel:
			return nil
		default:
			return d.contextError(ctx)
		}
	}
}

// contextError returns the error of a request that ended without an answer,
// usually because its context has ended.
func (d *dispatch) contextError(ctx context.Context) *loomerror.Error {
	cause := ctx.Err()
	if cause == nil {
		cause = errors.New("request ended without an outcome")
	}
	return loomerror.From(cause).WithNotRun(d.lifecycle.NotRun()).WithRetryAfter(defaultRetryAfter)
}

// place selects the upstream of the next attempt, by way of a coordinator where
// the fleet has them.
func (d *dispatch) place(ctx context.Context, now time.Time, mode placeMode) *loomerror.Error {
	d.placedAt = now
	if p, ok := d.askCoordinator(ctx, now, mode); ok {
		d.placement = p
		return nil
	}
	p, err := d.choose(now)
	if err != nil {
		return err
	}
	d.placement = p
	return nil
}

// sendAttempt sends the request to the selected upstream and relays the answer.
func (d *dispatch) sendAttempt(ctx context.Context) loomstream.Action {
	now := time.Now()
	d.attempts++
	d.attemptID = strconv.Itoa(d.attempts)
	d.sentAt = now
	d.relayedBefore = d.lifecycle.Relayed()
	d.attemptFirstAt = time.Time{}
	d.status, d.framing, d.cause = 0, loomupstream.FramingUnknown, ""
	d.triedIDs = append(d.triedIDs, d.upstream.ID)
	d.isWanted = false
	d.ticket = d.gate.fleet.RecordSentWithMemory(now, d.upstream.ID, d.expectedWork(d.choice), d.memoryTokens())
	d.hasTicket = true
	d.lifecycle.Apply(now, loomstream.Dispatched{Attempt: d.attemptID, Version: d.version})
	if !d.hasKVPlan {
		d.kv = d.planKV(now, d.placement)
		d.recordPlacement(d.placement)
	}
	d.gate.logDispatch(d, now)
	d.gate.queues.wakeFirst(d.req.group.Name)
	call, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	d.start = d.limitStart(now, cancel)
	send := d.newSend(now)
	d.resumedAfter = send.ResumeAfter
	reply, err := d.gate.runner.Send(call, d.upstream.Address, send)
	if err != nil {
		return d.handleAttemptError(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	d.status, d.framing = reply.Status, reply.Framing
	return d.handleReply(ctx, reply)
}

// newSend returns the message of an attempt for the upstream.
func (d *dispatch) newSend(now time.Time) loomupstream.Send {
	r := d.req
	s := loomupstream.Send{
		RequestID:   r.RequestID,
		Host:        r.RawHost,
		Method:      r.Method,
		Target:      r.RequestTarget,
		Header:      r.Header,
		Body:        r.Body,
		TimeLeft:    r.deadline.Sub(now),
		Upstream:    d.upstream.ID,
		Account:     r.account.Name,
		ResumeAfter: d.sequence.LastID(),
		StartBy:     d.startBy(now),
	}
	if !r.HasPrompt {
		return s
	}
	s.Version = d.version
	s.Salt = d.cacheSalt(d.version)
	s.Rank = r.rank()
	s.Fetch = d.withinRegions(now, d.withoutEvacuated(d.kv.fetch))
	s.Save = d.withinRegions(now, d.withoutEvacuated(d.kv.save))
	s.FetchUntil = d.kv.fetchUntil
	return s
}

// modelSalt returns the leading part of a salt, which identifies the weights.
func modelSalt(model string, version uint64) string {
	return url.QueryEscape(model) + "/" + strconv.FormatUint(version, 10)
}

// handleAttemptError records a failed attempt and returns the next action.
func (d *dispatch) handleAttemptError(ctx context.Context, err error) loomstream.Action {
	now := time.Now()
	d.cause = err.Error()
	var sendErr *loomupstream.SendError
	if errors.As(err, &sendErr) {
		d.gate.hear(now, d.upstream, sendErr.Said, "interim answer")
		if sendErr.Delivered {
			d.lifecycle.Apply(now, loomstream.Delivered{Attempt: d.attemptID})
		}
	}
	if ctx.Err() != nil {
		return d.abandon(ctx, now)
	}
	if cause, ok := d.start.passed(); ok {
		d.cause = cause
		return d.breakAttempt(now)
	}
	if sendErr != nil && sendErr.Delivered {
		d.gate.logAttemptBroken(d)
	}
	d.gate.cold.hearFailure(now, d.upstream, sendErr)
	if sendErr != nil && (sendErr.Unreachable || d.gate.fleet.IsSilent(now, d.upstream.ID)) {
		d.gate.fleet.Unreachable(now, d.upstream.ID)
	}
	d.gate.fleet.RecordFailure(now, d.upstream.ID)
	if sendErr != nil && sendErr.Delivered && d.recordUpstreamEnd(ctx, now) {
		return d.lifecycle.Apply(now, loomstream.Broken{Attempt: d.attemptID, Final: true})
	}
	return d.breakAttempt(now)
}

// breakAttempt ends an attempt that has brought no complete answer. A stream that has
// begun can only be continued after an event whose ID allows it.
func (d *dispatch) breakAttempt(now time.Time) loomstream.Action {
	return d.lifecycle.Apply(now, loomstream.Broken{Attempt: d.attemptID, Final: d.streamStatus != 0 && !d.sequence.CanResume()})
}

// abandon ends a request whose caller has left or whose deadline has passed.
func (d *dispatch) abandon(ctx context.Context, now time.Time) loomstream.Action {
	notRun := d.lifecycle.NotRun()
	d.lifecycle.Apply(now, loomstream.CallerGone{})
	err := loomerror.From(ctx.Err()).WithNotRun(notRun).WithRetryAfter(defaultRetryAfter)
	return loomstream.Fail{Err: err}
}

// releaseAttempt releases the ticket and the context of the current attempt.
func (d *dispatch) releaseAttempt() {
	if d.hasTicket {
		d.gate.fleet.Done(d.ticket)
		d.hasTicket = false
	}
	d.start.stop()
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
}
