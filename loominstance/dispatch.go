package loominstance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loomlimit"
	"swiftloom/loomlink"
	"swiftloom/loompb"
	"swiftloom/loomroute"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

const (
	// cancelTimeout bounds the call that cancels a run at an engine.
	cancelTimeout = 500 * time.Millisecond
	// importWaitTimeout bounds the wait for the same import by another request.
	importWaitTimeout = 200 * time.Millisecond
	// maxEmptyEvents bounds the events in a row that bring no new token, in addition
	// to the tokens that an attempt after the first one may send again.
	maxEmptyEvents = 1000
)

// usage counts the tokens of a finished completion, as the engine reported
// them.
type usage struct {
	promptTokens int
	cachedTokens int
	answerTokens int
}

// dispatch runs one prompt on engines, with retries and resumption. It is not
// safe for concurrent use. The owner calls nextToken until it returns an error
// or the end, and then finish.
type dispatch struct {
	instance  *Instance
	prompt    *prompt
	lifecycle *loomstream.Lifecycle
	plan      plan
	startedAt time.Time
	sentAt    time.Time
	// attemptFirstAt is when the current attempt brought its first token, or zero.
	attemptFirstAt time.Time

	attempts      int
	attemptID     string
	choice        loomroute.Choice
	engine        candidate
	answer        loomupstream.Answer
	cancel        context.CancelFunc
	loadTicket    loomroute.Ticket
	tried         []string
	hasFirstToken bool
	// emptyEvents counts the events since the last new token.
	emptyEvents int
	guard       *quarantineGuard
	// isResumed is set if the current attempt was opened again to resume its run.
	isResumed    bool
	reservations []linkReservation
	// finishImport wakes requests that wait for this import. It is nil when
	// this request is not importing.
	finishImport func()
	usage        usage
	// reservedTokens is the expected cost, in tokens, that was charged to the
	// account in advance.
	reservedTokens float64
}

// linkReservation is an import in bytes that counts against the budget of one
// link.
type linkReservation struct {
	budget *loomlink.Budget
	bytes  int64
}

// startDispatch passes a prompt through the deadline check, the account's quota
// and the fair queue, and sends it to an engine.
func (n *Instance) startDispatch(ctx context.Context, p *prompt) (*dispatch, error) {
	d := &dispatch{instance: n, prompt: p, guard: newPromptGuard(n, p), startedAt: time.Now()}
	d.lifecycle = loomstream.NewLifecycle(!p.notRepeatable, n.retryBudget, loomstream.NewBackoff(n.newRandom()))
	var err error
	if d.plan, err = n.bindVersion(ctx, p, 0); err != nil {
		return nil, err
	}
	d.reservedTokens = expectedCost(d.plan.expectedRecompute(len(p.tokens)), p.maxTokens)
	if err := n.checkDeadline(d); err != nil {
		return nil, err
	}
	if err := n.quotas.spend(ctx, p.account.Name, d.reservedTokens, p.deadline); err != nil {
		return nil, err
	}
	if err := d.enqueue(ctx); err != nil {
		n.quotas.settle(p.account.Name, d.reservedTokens, 0)
		return nil, err
	}
	err = d.sendAttempt(ctx)
	n.queues.markSent(p.group.Name)
	if err != nil {
		n.quotas.settle(p.account.Name, d.reservedTokens, 0)
		return nil, err
	}
	return d, nil
}

// checkDeadline rejects a prompt whose deadline passes before the prompt can be
// computed, even without any queueing.
func (n *Instance) checkDeadline(d *dispatch) error {
	p := d.prompt
	if p.deadline.IsZero() {
		return nil
	}
	minDuration := time.Duration(d.plan.expectedRecompute(len(p.tokens))) * tokenTime(p.model)
	if time.Now().Add(minDuration).After(p.deadline) {
		return loomerror.New(loomerror.DeadlineUnmeetable, "the deadline can't be met: computing the prompt takes at least %s, but %s are left", minDuration.Round(time.Millisecond), time.Until(p.deadline).Round(time.Millisecond)).WithRetryAfter(time.Second)
	}
	return nil
}

// enqueue waits in the fair queue of the model's upstream group.
func (d *dispatch) enqueue(ctx context.Context) error {
	p := d.prompt
	queuedAt := time.Now()
	err := d.instance.queues.waitForGrant(ctx, p.group, p.account.MaxQueued, loomlimit.Item{
		ID:            p.requestID,
		ClientAccount: p.account.Name,
		Share:         p.account.Share,
		Cost:          int(d.reservedTokens),
		Priority:      p.priority,
		Deadline:      p.deadline,
	})
	d.instance.metrics.queueWait.RecordDuration(time.Since(queuedAt))
	return err
}

// sendAttempt routes the prompt and starts the next attempt.
func (d *dispatch) sendAttempt(ctx context.Context) error {
	n := d.instance
	now := time.Now()
	if err := d.guard.check(now, d.plan.version, d.attempts == 0); err != nil {
		return d.withNotRun(err)
	}
	choice, engine, err := n.chooseEngine(now, d.prompt, d.plan, d.tried)
	if err != nil {
		return d.withNotRun(err)
	}
	client, err := n.engines.client(engine.member.Address)
	if err != nil {
		return d.withNotRun(loomerror.Wrap(loomerror.NoUpstream, err, "the chosen engine can't be reached"))
	}
	d.attempts++
	d.attemptID = fmt.Sprintf("%s.%d", d.prompt.requestID, d.attempts)
	d.choice = choice
	d.engine = engine
	d.tried = append(d.tried, engine.member.ID)
	d.sentAt = now
	d.loadTicket = n.fleet.RecordSent(now, engine.member.ID, choice.Recompute)
	if d.beginImport(ctx) {
		d.reserveLinks(now)
	}
	d.lifecycle.Apply(time.Now(), loomstream.Dispatched{Attempt: d.attemptID, Version: d.plan.version})
	d.openStream(ctx, client, false)
	return nil
}

// withNotRun adds to an error whether the request is known not to have run
// so far.
func (d *dispatch) withNotRun(err error) error {
	return loomerror.From(err).WithNotRun(d.lifecycle.NotRun())
}

// openStream starts the call for the current attempt. An error of the call is
// returned by the first Recv, so that all failures take the same path.
func (d *dispatch) openStream(ctx context.Context, client loomupstream.Engine, resume bool) {
	call, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	d.isResumed = resume
	answer, err := client.Generate(call, d.generateRequest(resume))
	if err != nil {
		answer = failedAnswer{err: err}
	}
	d.answer = answer
}

// failedAnswer is the answer of an attempt that could not be sent.
type failedAnswer struct {
	err error
}

// Recv implements loomupstream.Answer.
func (a failedAnswer) Recv() (*loompb.GenerateEvent, error) {
	return nil, a.err
}

// Delivered implements loomupstream.Answer.
func (failedAnswer) Delivered() bool {
	return false
}

// generateRequest returns the message for the current attempt. To resume a run,
// it carries only the number of tokens already relayed and not the prompt.
func (d *dispatch) generateRequest(resume bool) *loompb.GenerateRequest {
	p := d.prompt
	r := &loompb.GenerateRequest{
		RequestId: p.requestID,
		AttemptId: d.attemptID,
		Model:     p.model.Name,
		Adapter:   p.adapter.Name,
		Version:   d.plan.version,
		CacheSalt: d.plan.salt.String(),
	}
	if resume {
		r.Resume = true
		r.ResumeOffset = uint32(d.lifecycle.Relayed())
		return r
	}
	r.Tokens = p.tokens
	r.MaxTokens = uint32(p.maxTokens)
	r.Priority = p.account.Rank()
	r.BlockKeys = keysToProto(d.plan.keys)
	r.Imports = d.plan.storedBlocks[:d.choice.Import]
	return r
}

// beginImport reports whether this request should import the stored blocks. It
// returns false when another request has made the same import into the same
// engine meanwhile, so that the engine has the blocks. If the other import takes
// longer than importWaitTimeout, both requests import.
func (d *dispatch) beginImport(ctx context.Context) bool {
	if d.choice.Import == 0 {
		return true
	}
	last := d.plan.keys[d.choice.Import-1]
	end, ended := d.instance.importFlights.Begin(d.engine.member.ID, last)
	if end != nil {
		d.finishImport = end
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, importWaitTimeout)
	defer cancel()
	select {
	case <-ended:
		return false
	case <-ctx.Done():
		return true
	}
}

// reserveLinks reserves the expected import on the links of the stores. If any
// link has no room, the request imports nothing and recomputes instead.
func (d *dispatch) reserveLinks(now time.Time) {
	if d.choice.Import == 0 {
		return
	}
	cached := cachedBlocks(d.plan, d.engine)
	for address, bytes := range bytesByStore(d.plan.storedBlocks[:d.choice.Import], cached) {
		budget, ok := d.instance.stores.budget(address)
		if !ok || !budget.Begin(now, loomlink.Import, bytes) {
			d.endImport()
			d.choice.Import = 0
			return
		}
		d.reservations = append(d.reservations, linkReservation{budget: budget, bytes: bytes})
	}
}

// bytesByStore returns the total size of the blocks after the first skip ones,
// by store address.
func bytesByStore(refs []*loompb.BlockRef, skip int) map[string]int64 {
	bytes := make(map[string]int64)
	for _, ref := range refs[min(skip, len(refs)):] {
		bytes[ref.GetStoreAddress()] += int64(ref.GetLength())
	}
	return bytes
}

// endImport releases the reserved links and wakes requests that wait for this
// import.
func (d *dispatch) endImport() {
	if d.finishImport != nil {
		d.finishImport()
		d.finishImport = nil
	}
	for _, l := range d.reservations {
		l.budget.End(loomlink.Import, l.bytes)
	}
	d.reservations = nil
}

// nextToken returns the next token of the completion. The second result is
// false after the last token. Failed attempts are retried or resumed on the
// way.
func (d *dispatch) nextToken(ctx context.Context) (uint32, bool, error) {
	for {
		event, err := d.answer.Recv()
		if err == nil {
			err = d.checkEvent(event)
		}
		action, actionErr := d.applyReceived(ctx, time.Now(), event, err)
		if actionErr != nil {
			return 0, false, actionErr
		}
		switch a := action.(type) {
		case loomstream.Relay:
			d.emptyEvents = 0
			return a.Value, true, nil
		case loomstream.Complete:
			return 0, false, nil
		case loomstream.Fail:
			return 0, false, a.Err
		case loomstream.Retry:
			if err := d.retry(ctx, a); err != nil {
				return 0, false, err
			}
		case loomstream.Resume:
			if err := d.resume(ctx); err != nil {
				return 0, false, err
			}
		}
	}
}

// checkEvent returns an error, which breaks the attempt, if the engine sends more tokens
// than the request allows or too many events without a new one.
func (d *dispatch) checkEvent(e *loompb.GenerateEvent) error {
	d.emptyEvents++
	token, isToken := e.GetEvent().(*loompb.GenerateEvent_Token)
	var err error
	switch {
	case isToken && e.GetAttemptId() == d.attemptID && int(token.Token.GetOffset()) >= d.prompt.maxTokens:
		err = fmt.Errorf("token %d of an answer of at most %d tokens", token.Token.GetOffset()+1, d.prompt.maxTokens)
	case d.emptyEvents > d.prompt.maxTokens+maxEmptyEvents:
		err = fmt.Errorf("%d events in a row without a new token", d.emptyEvents)
		d.emptyEvents = 0
	default:
		return nil
	}
	d.instance.log.Warn("answer without end", "request_id", d.prompt.requestID, "engine", d.engine.member.ID, "error", err)
	return err
}

// applyReceived converts what the engine sent, or the error of its stream, to a
// lifecycle event and returns the action to take.
func (d *dispatch) applyReceived(ctx context.Context, now time.Time, event *loompb.GenerateEvent, err error) (loomstream.Action, error) {
	if err == nil {
		return d.applyEvent(ctx, now, event), nil
	}
	if ctx.Err() != nil {
		d.cancelRun(ctx, now)
		return nil, d.withNotRun(ctx.Err())
	}
	if d.answer.Delivered() {
		d.lifecycle.Apply(now, loomstream.Delivered{Attempt: d.attemptID})
	}
	d.instance.fleet.RecordFailure(now, d.engine.member.ID)
	if d.answer.Delivered() && d.guard.recordBroken(ctx, now, d.attemptEnd()) {
		return d.lifecycle.Apply(now, loomstream.Broken{Attempt: d.attemptID, Final: true}), nil
	}
	resumable := d.lifecycle.Relayed() > 0 || errors.Is(err, io.EOF)
	return d.lifecycle.Apply(now, loomstream.Broken{Attempt: d.attemptID, Resumable: resumable}), nil
}

// attemptEnd describes the break of the current attempt.
func (d *dispatch) attemptEnd() attemptEnd {
	return attemptEnd{member: d.engine.member.Member, version: d.plan.version, sentAt: d.sentAt, firstAt: d.attemptFirstAt}
}

// applyEvent converts one message of the engine to a lifecycle event and
// returns the action to take.
func (d *dispatch) applyEvent(ctx context.Context, now time.Time, e *loompb.GenerateEvent) loomstream.Action {
	id := e.GetAttemptId()
	switch v := e.GetEvent().(type) {
	case *loompb.GenerateEvent_Refused:
		return d.lifecycle.Apply(now, d.refusalEvent(now, id, v.Refused))
	case *loompb.GenerateEvent_Token:
		d.recordFirstToken(ctx, id)
		return d.lifecycle.Apply(now, loomstream.Token{
			Attempt: id,
			Version: e.GetVersion(),
			Offset:  int(v.Token.GetOffset()),
			Value:   v.Token.GetToken(),
		})
	case *loompb.GenerateEvent_Finished:
		d.recordUsage(ctx, v.Finished)
		d.guard.recordSound(now, d.plan.version)
		return d.lifecycle.Apply(now, loomstream.Finished{Attempt: id, Tokens: int(v.Finished.GetAnswerTokens())})
	default:
		return loomstream.Wait{}
	}
}

// refusalEvent converts a refusal to a lifecycle event. When the engine refuses
// to resume a run, the event is Broken and not Refused, since the attempt was
// delivered before and may have run.
func (d *dispatch) refusalEvent(now time.Time, id string, r *loompb.Refused) loomstream.Event {
	switch r.GetReason() {
	case loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN:
		return loomstream.Broken{Attempt: id}
	case loompb.RefusalReason_REFUSAL_REASON_LEAVING:
		d.instance.markLeaving(now, d.engine.member.Member)
	default:
	}
	if d.isResumed {
		return loomstream.Broken{Attempt: id}
	}
	return loomstream.Refused{Attempt: id}
}

// recordFirstToken handles the first token of an attempt. At that point the
// engine has computed the prompt and caches its blocks, so the import
// reservation ends and the homes of the prompt are notified.
func (d *dispatch) recordFirstToken(ctx context.Context, attempt string) {
	if d.hasFirstToken || attempt != d.attemptID {
		return
	}
	d.hasFirstToken = true
	d.attemptFirstAt = time.Now()
	d.endImport()
	n := d.instance
	n.fleet.Started(d.loadTicket)
	n.queues.wake()
	if d.lifecycle.Relayed() == 0 {
		n.metrics.firstToken.RecordDuration(time.Since(d.startedAt))
		n.log.Debug("first token",
			"request_id", d.prompt.requestID,
			"engine", d.engine.member.ID,
			"queued_ms", d.sentAt.Sub(d.startedAt).Milliseconds(),
			"expected_ms", d.choice.Expected.Milliseconds(),
			"actual_ms", time.Since(d.sentAt).Milliseconds(),
			"recompute", d.choice.Recompute,
			"import", d.choice.Import,
			"tokens", len(d.prompt.tokens))
	}
	n.observe(ctx, d.plan, d.engine)
}

// recordUsage records the token counts that the engine reports at the end of a
// completion. If stored blocks could not be imported, it notifies their homes.
func (d *dispatch) recordUsage(ctx context.Context, f *loompb.Finished) {
	d.usage = usage{
		promptTokens: int(f.GetPromptTokens()),
		cachedTokens: int(f.GetCachedTokens()),
		answerTokens: int(f.GetAnswerTokens()),
	}
	d.instance.fleet.RecordSuccess(d.engine.member.ID)
	d.instance.metrics.importedTokens.Inc(int64(f.GetImportedTokens()))
	d.instance.metrics.failedImports.Inc(int64(f.GetFailedImports()))
	if f.GetFailedImports() > 0 {
		d.instance.notifyImportFailed(ctx, d.plan, d.choice.Import)
	}
}

// releaseAttempt releases the reservations and the stream of the current
// attempt.
func (d *dispatch) releaseAttempt() {
	d.endImport()
	d.instance.fleet.Done(d.loadTicket)
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	d.hasFirstToken = false
	d.attemptFirstAt = time.Time{}
}

// retry sends the prompt again after a pause. A pinned retry keeps the version,
// because tokens of that version have been relayed.
func (d *dispatch) retry(ctx context.Context, a loomstream.Retry) error {
	d.instance.metrics.retries.Inc(1)
	d.releaseAttempt()
	if err := loomkernel.Sleep(ctx, a.After); err != nil {
		return d.withNotRun(err)
	}
	version := uint64(0)
	if a.Pinned {
		version = d.plan.version
	}
	pl, err := d.instance.bindVersion(ctx, d.prompt, version)
	if err != nil {
		return d.withNotRun(err)
	}
	d.plan = pl
	return d.sendAttempt(ctx)
}

// resume opens a new stream to the same engine to continue the run.
func (d *dispatch) resume(ctx context.Context) error {
	d.instance.metrics.resumes.Inc(1)
	if d.cancel != nil {
		d.cancel()
	}
	client, err := d.instance.engines.client(d.engine.member.Address)
	if err != nil {
		return d.withNotRun(err)
	}
	d.openStream(ctx, client, true)
	return nil
}

// cancelRun cancels the run at the engine after the caller has gone away.
func (d *dispatch) cancelRun(ctx context.Context, now time.Time) {
	a, ok := d.lifecycle.Apply(now, loomstream.CallerGone{}).(loomstream.Cancel)
	if !ok {
		return
	}
	client, err := d.instance.engines.client(d.engine.member.Address)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = client.Cancel(call, a.Attempt)
}

// finish releases the last attempt and corrects the reserved cost of the account
// to the actual one. err is the error that the caller received, or nil.
func (d *dispatch) finish(err error) {
	d.releaseAttempt()
	n := d.instance
	n.queues.wake()
	actual := float64(d.choice.Recompute + d.lifecycle.Relayed())
	if d.usage.promptTokens > 0 {
		actual = float64(d.usage.promptTokens - d.usage.cachedTokens + d.usage.answerTokens)
		n.metrics.promptTokens.Inc(int64(d.usage.promptTokens))
		n.metrics.recomputedTokens.Inc(int64(d.usage.promptTokens - d.usage.cachedTokens))
		n.metrics.answerTokens.Inc(int64(d.usage.answerTokens))
	}
	n.quotas.settle(d.prompt.account.Name, d.reservedTokens, actual)
	if err == nil {
		n.metrics.answered.Inc(1)
	}
}
