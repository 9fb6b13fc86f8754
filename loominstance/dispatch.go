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
	cancelTimeout = 500 * time.Millisecond
	// flightPatience bounds the wait for another request's import.
	flightPatience = 200 * time.Millisecond
)

// usage is what a complete answer cost.
type usage struct {
	promptTokens int
	cachedTokens int
	answerTokens int
}

// dispatch is one prompt on its way through the engines. One goroutine may use
// it: it calls next until an error or the end, and then finish.
type dispatch struct {
	instance *Instance
	prompt   *prompt
	life     *loomstream.Lifecycle
	plan     plan
	started  time.Time
	sentAt   time.Time

	attempts int
	attempt  string
	choice   loomroute.Choice
	engine   candidate
	answer   loomupstream.Answer
	cancel   context.CancelFunc
	ticket   loomroute.Ticket
	tried    []string
	observed bool
	linked   []linkUse
	// endFlight ends the import that other requests wait for, if it is this
	// one's.
	endFlight func()
	usage     usage
	// reserved is what was taken from the account's allowance.
	reserved float64
}

type linkUse struct {
	budget *loomlink.Budget
	bytes  int64
}

// begin takes a prompt through limits and queue, and sends it to an engine.
func (n *Instance) begin(ctx context.Context, p *prompt) (*dispatch, error) {
	d := &dispatch{instance: n, prompt: p, started: time.Now()}
	d.life = loomstream.NewLifecycle(!p.notRepeatable, n.retries, loomstream.NewBackoff(n.newRandom()))
	var err error
	if d.plan, err = n.bind(ctx, p, 0); err != nil {
		return nil, err
	}
	d.reserved = reserveCost(d.plan.expectedRecompute(len(p.tokens)), p.maxTokens)
	if err := n.checkDeadline(d); err != nil {
		return nil, err
	}
	if err := n.quotas.spend(ctx, p.account.Name, d.reserved, p.deadline); err != nil {
		return nil, err
	}
	if err := d.enqueue(ctx); err != nil {
		n.quotas.settle(p.account.Name, d.reserved, 0)
		return nil, err
	}
	err = d.send(ctx)
	n.queues.sent(p.group.Name)
	if err != nil {
		n.quotas.settle(p.account.Name, d.reserved, 0)
		return nil, err
	}
	return d, nil
}

// checkDeadline refuses a prompt whose deadline surely can't be met.
func (n *Instance) checkDeadline(d *dispatch) error {
	p := d.prompt
	if p.deadline.IsZero() {
		return nil
	}
	least := time.Duration(d.plan.expectedRecompute(len(p.tokens))) * tokenTime(p.model)
	if time.Now().Add(least).After(p.deadline) {
		return loomerror.New(loomerror.DeadlineUnmeetable, "the prompt alone takes %s", least.Round(time.Millisecond)).WithRetryAfter(time.Second)
	}
	return nil
}

func (d *dispatch) enqueue(ctx context.Context) error {
	p := d.prompt
	queuedAt := time.Now()
	err := d.instance.queues.enter(ctx, p.group, p.account.MaxQueued, loomlimit.Item{
		ID:            p.requestID,
		ClientAccount: p.account.Name,
		Share:         p.account.Share,
		Cost:          int(d.reserved),
		Priority:      p.priority,
		Deadline:      p.deadline,
	})
	d.instance.metrics.queueWait.RecordDuration(time.Since(queuedAt))
	return err
}

// send starts the next attempt.
func (d *dispatch) send(ctx context.Context) error {
	n := d.instance
	now := time.Now()
	choice, engine, err := n.route(now, d.prompt, d.plan, d.tried)
	if err != nil {
		return d.withPromise(err)
	}
	client, err := n.engines.client(engine.member.Address)
	if err != nil {
		return d.withPromise(loomerror.Wrap(loomerror.NoUpstream, err, "the engine can't be reached"))
	}
	d.attempts++
	d.attempt = fmt.Sprintf("%s.%d", d.prompt.requestID, d.attempts)
	d.choice = choice
	d.engine = engine
	d.tried = append(d.tried, engine.member.ID)
	d.sentAt = now
	d.ticket = n.fleet.RecordSent(now, engine.member.ID, choice.Recompute)
	if d.joinFlight(ctx) {
		d.useLink(now)
	}
	d.life.Apply(time.Now(), loomstream.Dispatched{Attempt: d.attempt, Version: d.plan.version})
	d.open(ctx, client, false)
	return nil
}

// withPromise adds to an error what is known of the work so far.
func (d *dispatch) withPromise(err error) error {
	return loomerror.From(err).WithNotRun(d.life.NotRun())
}

func (d *dispatch) open(ctx context.Context, client loomupstream.Engine, resume bool) {
	call, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	answer, err := client.Generate(call, d.request(resume))
	if err != nil {
		answer = brokenAnswer{err: err}
	}
	d.answer = answer
}

// brokenAnswer is the answer of an attempt that was never sent.
type brokenAnswer struct {
	err error
}

// Recv implements loomupstream.Answer.
func (a brokenAnswer) Recv() (*loompb.GenerateEvent, error) {
	return nil, a.err
}

// Delivered implements loomupstream.Answer.
func (brokenAnswer) Delivered() bool {
	return false
}

func (d *dispatch) request(resume bool) *loompb.GenerateRequest {
	p := d.prompt
	r := &loompb.GenerateRequest{
		RequestId: p.requestID,
		AttemptId: d.attempt,
		Model:     p.model.Name,
		Adapter:   p.adapter.Name,
		Version:   d.plan.version,
		CacheSalt: d.plan.salt.String(),
	}
	if resume {
		r.Resume = true
		r.ResumeOffset = uint32(d.life.Relayed())
		return r
	}
	r.Tokens = p.tokens
	r.MaxTokens = uint32(p.maxTokens)
	r.Priority = p.account.Rank()
	r.BlockKeys = rawKeys(d.plan.keys)
	r.Imports = d.plan.stored[:d.choice.Import]
	return r
}

// joinFlight reports whether this request makes the import itself. Otherwise
// another request has made it meanwhile, and the engine has the blocks.
func (d *dispatch) joinFlight(ctx context.Context) bool {
	if d.choice.Import == 0 {
		return true
	}
	last := d.plan.keys[d.choice.Import-1]
	end, ended := d.instance.flights.Begin(d.engine.member.ID, last)
	if end != nil {
		d.endFlight = end
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flightPatience)
	defer cancel()
	select {
	case <-ended:
		return false
	case <-ctx.Done():
		return true
	}
}

// useLink charges the expected import to the budgets of the links. When one
// has no room, nothing is imported.
func (d *dispatch) useLink(now time.Time) {
	if d.choice.Import == 0 {
		return
	}
	held := heldBlocks(d.plan, d.engine)
	for address, bytes := range bytesByStore(d.plan.stored[:d.choice.Import], held) {
		budget, ok := d.instance.stores.budget(address)
		if !ok || !budget.Begin(now, loomlink.Import, bytes) {
			d.endLink()
			d.choice.Import = 0
			return
		}
		d.linked = append(d.linked, linkUse{budget: budget, bytes: bytes})
	}
}

// bytesByStore adds up the blocks after the first skip ones by store address.
func bytesByStore(refs []*loompb.BlockRef, skip int) map[string]int64 {
	bytes := make(map[string]int64)
	for _, ref := range refs[min(skip, len(refs)):] {
		bytes[ref.GetStoreAddress()] += int64(ref.GetLength())
	}
	return bytes
}

func (d *dispatch) endLink() {
	if d.endFlight != nil {
		d.endFlight()
		d.endFlight = nil
	}
	for _, l := range d.linked {
		l.budget.End(loomlink.Import, l.bytes)
	}
	d.linked = nil
}

// next returns the next token. The result is false after the last one.
func (d *dispatch) next(ctx context.Context) (uint32, bool, error) {
	for {
		event, err := d.answer.Recv()
		action, actionErr := d.apply(ctx, time.Now(), event, err)
		if actionErr != nil {
			return 0, false, actionErr
		}
		switch a := action.(type) {
		case loomstream.Relay:
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

// apply turns what came from the engine into an event of the request's life.
func (d *dispatch) apply(ctx context.Context, now time.Time, event *loompb.GenerateEvent, err error) (loomstream.Action, error) {
	if err == nil {
		return d.applyEvent(ctx, now, event), nil
	}
	if ctx.Err() != nil {
		d.callerGone(ctx, now)
		return nil, d.withPromise(ctx.Err())
	}
	if d.answer.Delivered() {
		d.life.Apply(now, loomstream.Delivered{Attempt: d.attempt})
	}
	d.instance.fleet.RecordFailure(now, d.engine.member.ID)
	resumable := d.life.Relayed() > 0 || errors.Is(err, io.EOF)
	return d.life.Apply(now, loomstream.Broken{Attempt: d.attempt, Resumable: resumable}), nil
}

func (d *dispatch) applyEvent(ctx context.Context, now time.Time, e *loompb.GenerateEvent) loomstream.Action {
	id := e.GetAttemptId()
	switch v := e.GetEvent().(type) {
	case *loompb.GenerateEvent_Refused:
		return d.life.Apply(now, d.refusal(now, id, v.Refused))
	case *loompb.GenerateEvent_Token:
		d.noteStarted(ctx, id)
		return d.life.Apply(now, loomstream.Token{
			Attempt: id,
			Version: e.GetVersion(),
			Offset:  int(v.Token.GetOffset()),
			Value:   v.Token.GetToken(),
		})
	case *loompb.GenerateEvent_Finished:
		d.noteUsage(ctx, v.Finished)
		return d.life.Apply(now, loomstream.Finished{Attempt: id, Tokens: int(v.Finished.GetAnswerTokens())})
	default:
		return loomstream.Wait{}
	}
}

// refusal turns a refusal into an event. A run that can't be resumed is lost,
// not refused: it did run.
func (d *dispatch) refusal(now time.Time, id string, r *loompb.Refused) loomstream.Event {
	switch r.GetReason() {
	case loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN:
		return loomstream.Broken{Attempt: id}
	case loompb.RefusalReason_REFUSAL_REASON_LEAVING:
		d.instance.markLeaving(now, d.engine.member.Member)
	default:
	}
	return loomstream.Refused{Attempt: id}
}

// noteStarted notes the first token of an attempt: the prompt is computed, and
// its blocks are in the engine's cache.
func (d *dispatch) noteStarted(ctx context.Context, attempt string) {
	if d.observed || attempt != d.attempt {
		return
	}
	d.observed = true
	d.endLink()
	n := d.instance
	n.fleet.Started(d.ticket)
	n.queues.wake()
	if d.life.Relayed() == 0 {
		n.metrics.firstToken.RecordDuration(time.Since(d.started))
		n.log.Debug("first token",
			"request_id", d.prompt.requestID,
			"engine", d.engine.member.ID,
			"queued_ms", d.sentAt.Sub(d.started).Milliseconds(),
			"expected_ms", d.choice.Expected.Milliseconds(),
			"actual_ms", time.Since(d.sentAt).Milliseconds(),
			"recompute", d.choice.Recompute,
			"import", d.choice.Import,
			"tokens", len(d.prompt.tokens))
	}
	n.observe(ctx, d.plan, d.engine)
}

func (d *dispatch) noteUsage(ctx context.Context, f *loompb.Finished) {
	d.usage = usage{
		promptTokens: int(f.GetPromptTokens()),
		cachedTokens: int(f.GetCachedTokens()),
		answerTokens: int(f.GetAnswerTokens()),
	}
	d.instance.fleet.RecordSuccess(d.engine.member.ID)
	d.instance.metrics.imported.Inc(int64(f.GetImportedTokens()))
	d.instance.metrics.failedImports.Inc(int64(f.GetFailedImports()))
	if f.GetFailedImports() > 0 {
		d.instance.importFailed(ctx, d.plan, d.choice.Import)
	}
}

// endAttempt gives up what the attempt holds here.
func (d *dispatch) endAttempt() {
	d.endLink()
	d.instance.fleet.Done(d.ticket)
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	d.observed = false
}

func (d *dispatch) retry(ctx context.Context, a loomstream.Retry) error {
	d.instance.metrics.retries.Inc(1)
	d.endAttempt()
	if err := loomkernel.Sleep(ctx, a.After); err != nil {
		return d.withPromise(err)
	}
	version := uint64(0)
	if a.Pinned {
		version = d.plan.version
	}
	pl, err := d.instance.bind(ctx, d.prompt, version)
	if err != nil {
		return d.withPromise(err)
	}
	d.plan = pl
	return d.send(ctx)
}

func (d *dispatch) resume(ctx context.Context) error {
	d.instance.metrics.resumes.Inc(1)
	if d.cancel != nil {
		d.cancel()
	}
	client, err := d.instance.engines.client(d.engine.member.Address)
	if err != nil {
		return d.withPromise(err)
	}
	d.open(ctx, client, true)
	return nil
}

// callerGone ends the run at the engine, since nobody waits for it.
func (d *dispatch) callerGone(ctx context.Context, now time.Time) {
	a, ok := d.life.Apply(now, loomstream.CallerGone{}).(loomstream.Cancel)
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

// finish ends the dispatch; err is the error that its caller got, or nil.
func (d *dispatch) finish(err error) {
	d.endAttempt()
	n := d.instance
	n.queues.wake()
	actual := float64(d.choice.Recompute + d.life.Relayed())
	if d.usage.promptTokens > 0 {
		actual = float64(d.usage.promptTokens - d.usage.cachedTokens + d.usage.answerTokens)
		n.metrics.promptTokens.Inc(int64(d.usage.promptTokens))
		n.metrics.recomputed.Inc(int64(d.usage.promptTokens - d.usage.cachedTokens))
		n.metrics.answerTokens.Inc(int64(d.usage.answerTokens))
	}
	n.quotas.settle(d.prompt.account.Name, d.reserved, actual)
	if err == nil {
		n.metrics.answered.Inc(1)
	}
}
