package loomgate

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomroute"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

const (
	// maxWholeAnswer bounds an answer that is not a stream.
	maxWholeAnswer = 8 << 20
	// refusedRetryAfter is when a refused caller should come back while no
	// better estimate is at hand: about one round of a full batch.
	refusedRetryAfter = 400 * time.Millisecond
)

// dispatch is one request on its way through upstreams. One goroutine uses it.
type dispatch struct {
	gate *Gate
	req  *request
	life *loomstream.Life
	w    Responder

	attempts int
	attempt  string
	upstream loommember.Upstream
	choice   loomroute.Choice
	// wait is the expected wait at the chosen upstream.
	wait    time.Duration
	version uint64
	kept    keptPlan
	// lastReturns tells that the last part of the prompt may come back.
	lastReturns bool
	ticket      loomroute.Ticket
	ticketed    bool
	sentAt      time.Time
	tried       []string
	cancel      context.CancelFunc

	// lastEvent is the ID of the last event that was passed on.
	lastEvent string
	started   bool
	firstAt   time.Time
	status    int
	cause     string
}

// Serve answers one request. It returns when the answer is complete or given up.
func (g *Gate) Serve(ctx context.Context, in Incoming, w Responder) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.metrics.requests.Inc(1)
	r, err := g.admit(in)
	if err != nil {
		g.refused(in, err)
		w.Refuse(in.RequestID, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.until)
	defer cancel()
	d := &dispatch{gate: g, req: r, w: w}
	d.life = loomstream.NewLife(r.repeatable(), g.retries.of(r.group.Name), loomstream.NewBackoff(g.newRandom())).WithMaxRuns(r.route.Attempts)
	if parts := in.Prompt.Parts; len(parts) > 0 {
		d.lastReturns = g.returns.See(r.route.Name, parts[len(parts)-1].ID)
	}
	failure := d.run(ctx)
	d.endAttempt()
	if failure != nil {
		d.fail(ctx, failure)
	}
	g.logDone(d, failure)
}

// refused logs a request that was refused before an upstream was chosen.
func (g *Gate) refused(in Incoming, err *loomerror.Error) {
	g.metrics.failed("", err.Kind())
	g.log.Info("request_refused", "request_id", in.RequestID, "host", in.Host, "path", in.Path,
		"kind", err.Kind().String(), "revision", g.beliefs.routing().Revision())
}

// fail writes the error of a request.
func (d *dispatch) fail(ctx context.Context, failure *loomerror.Error) {
	if ctx.Err() == context.Canceled {
		d.w.Abort()
		return
	}
	d.w.Refuse(d.req.RequestID, failure)
}

// run makes attempts until the request is answered. It returns the error that
// the caller gets, or nil.
func (d *dispatch) run(ctx context.Context) *loomerror.Error {
	for {
		if err := d.await(ctx); err != nil {
			return err.WithNotRun(d.life.NotRun())
		}
		action := d.try(ctx)
		switch a := action.(type) {
		case loomstream.Retry:
			d.endAttempt()
			d.gate.metrics.retries.Inc(1)
			if err := loomkernel.Pause(ctx, a.After); err != nil {
				return d.ended(ctx)
			}
		case loomstream.Fail:
			return a.Err
		case loomstream.Complete, loomstream.Cancel:
			return nil
		default:
			return d.ended(ctx)
		}
	}
}

// ended returns the error of a request whose context has ended.
func (d *dispatch) ended(ctx context.Context) *loomerror.Error {
	cause := ctx.Err()
	if cause == nil {
		cause = errors.New("no action is left")
	}
	return loomerror.From(cause).WithNotRun(d.life.NotRun()).WithRetryAfter(refusedRetryAfter)
}

// try sends the request to the chosen upstream and relays what comes back.
func (d *dispatch) try(ctx context.Context) loomstream.Action {
	now := time.Now()
	d.attempts++
	d.attempt = strconv.Itoa(d.attempts)
	d.sentAt = now
	d.tried = append(d.tried, d.upstream.ID)
	d.ticket = d.gate.fleet.SentWith(now, d.upstream.ID, d.work(), d.memory())
	d.ticketed = true
	d.life.Apply(now, loomstream.Dispatched{Attempt: d.attempt, Version: d.version})
	d.kept = d.planKept(now)
	d.noteParts()
	d.gate.logDispatch(d, now)
	d.gate.queues.wake(d.req.group.Name)
	call, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	reply, err := d.gate.runner.Send(call, d.upstream.Address, d.message(now))
	if err != nil {
		return d.broken(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	d.status = reply.Status
	return d.receive(ctx, reply)
}

// work returns the expected work of the attempt in units of the fleet: prompt
// tokens to compute, or one for a request without a prompt.
func (d *dispatch) work() int {
	if !d.req.HasPrompt {
		return 1
	}
	return d.choice.Recompute
}

// memory returns the tokens that the request holds at an engine.
func (d *dispatch) memory() int {
	if !d.req.HasPrompt {
		return 0
	}
	return d.req.Prompt.Tokens + d.req.Prompt.ExpectedOutput
}

func (d *dispatch) message(now time.Time) loomupstream.Send {
	r := d.req
	s := loomupstream.Send{
		RequestID:   r.RequestID,
		Host:        r.RawHost,
		Method:      r.Method,
		Target:      r.Target,
		Header:      r.Header,
		Body:        r.Body,
		Left:        r.until.Sub(now),
		Upstream:    d.upstream.ID,
		Account:     r.account.Name,
		ResumeAfter: d.lastEvent,
	}
	if d.lastEvent == "" {
		s.ResumeAfter = r.ResumeAfter
	}
	if !r.HasPrompt {
		return s
	}
	s.Version = d.version
	s.Salt = saltOf(r, d.version)
	s.Rank = r.rank()
	s.Fetch = d.kept.fetch
	s.Save = d.kept.save
	if d.kept.fetched > 0 {
		s.FetchUntil = d.gate.stores.fetchUntil(now, time.Duration(d.kept.fetched)*d.unitTime())
	}
	return s
}

// saltOf names the kept state that a request may use: of its model and version,
// and of its account alone if that is isolated.
func saltOf(r *request, version uint64) string {
	salt := modelSalt(r.Prompt.Model, version)
	if r.account.Isolated {
		salt += "/" + r.account.Name
	}
	return salt
}

// modelSalt is the part of a salt that names the weights.
func modelSalt(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

// broken turns the error of an attempt into what to do next.
func (d *dispatch) broken(ctx context.Context, err error) loomstream.Action {
	now := time.Now()
	d.cause = err.Error()
	var sendErr *loomupstream.SendError
	if errors.As(err, &sendErr) && sendErr.Delivered {
		d.life.Apply(now, loomstream.Delivered{Attempt: d.attempt})
	}
	if ctx.Err() != nil {
		return d.givenUp(ctx, now)
	}
	if sendErr != nil && (sendErr.Unreachable || d.gate.fleet.Quiet(now, d.upstream.ID)) {
		d.gate.fleet.Unreachable(now, d.upstream.ID)
	}
	d.gate.fleet.Broke(now, d.upstream.ID)
	return d.life.Apply(now, loomstream.Broken{Attempt: d.attempt})
}

// givenUp ends a request whose caller left or whose time has passed.
func (d *dispatch) givenUp(ctx context.Context, now time.Time) loomstream.Action {
	notRun := d.life.NotRun()
	d.life.Apply(now, loomstream.CallerGone{})
	err := loomerror.From(ctx.Err()).WithNotRun(notRun).WithRetryAfter(refusedRetryAfter)
	return loomstream.Fail{Err: err}
}

// endAttempt gives up what the attempt holds.
func (d *dispatch) endAttempt() {
	if d.ticketed {
		d.gate.fleet.Done(d.ticket)
		d.ticketed = false
	}
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
}

// wasTried reports whether an upstream had an attempt of this request.
func (d *dispatch) wasTried(id string) bool {
	return slices.Contains(d.tried, id)
}
