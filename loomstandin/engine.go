package loomstandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

const (
	runGrace       = 2 * time.Second
	reportSpacing  = 50 * time.Millisecond
	defaultBatch   = 16
	defaultQueue   = 64
	prefillChunk   = 512
	defaultWindow  = 32768
	idlePoll       = 20 * time.Millisecond
	historyLength  = 16
	ledgerCapacity = 1 << 20
)

// EngineOptions sets up an engine. Zero fields take defaults.
type EngineOptions struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	Model         string
	Version       uint64
	Seed          uint64
	// PrefillPerToken is the time to compute one prompt token, and StepTime
	// the time of one step of decoding for the whole batch.
	PrefillPerToken time.Duration
	StepTime        time.Duration
	CacheBlocks     int
	BatchLimit      int
	QueueLimit      int
	BlockBytes      int
	// ReportLag is how old a load report is at least.
	ReportLag time.Duration
	// IgnoresFencing makes the engine take orders with any fencing token.
	IgnoresFencing bool
	// Weights fetches new weights; nil means that they load at once.
	Weights WeightStore
	// Dialer opens connections to stores; nil means TCP.
	Dialer loomplatform.Dialer
}

// WeightStore serves weights. The grpc client of the platform implements it.
type WeightStore interface {
	FetchWeights(ctx context.Context, r *loompb.FetchWeightsRequest, opts ...grpc.CallOption) (*loompb.FetchWeightsReply, error)
}

// Engine stands in for a model engine.
type Engine struct {
	loompb.UnimplementedEngineServer
	process

	options EngineOptions
	cache   *prefixCache
	stores  storeClients

	mu      sync.Mutex
	model   string
	version uint64
	loading *loompb.OrderRequest
	// fencing is the highest token of an accepted order.
	fencing uint64
	leaving bool
	role    string
	waiting []*run
	running []*run
	runs    map[string]*run
	reports []datedReport
	// ledger counts the runs of each request; it outlives restarts.
	ledger map[string]int
	work   chan struct{}
	orders []AcceptedOrder
	cancel context.CancelFunc
	done   chan struct{}
	// computed counts prompt tokens that were worked out.
	computed uint64
}

// AcceptedOrder is an order that the engine has carried out.
type AcceptedOrder struct {
	At           time.Time
	FencingToken uint64
	Holder       string
	Version      uint64
	// Stale tells that a higher token had been accepted before.
	Stale bool
}

type datedReport struct {
	at     time.Time
	report *loompb.ReportReply
}

// NewEngine starts an engine.
func NewEngine(o EngineOptions) (*Engine, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.BatchLimit == 0 {
		o.BatchLimit = defaultBatch
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueue
	}
	e := &Engine{options: o, stores: storeClients{dialer: o.Dialer}, ledger: make(map[string]int), model: o.Model, version: o.Version}
	e.register = func(s *grpc.Server) { loompb.RegisterEngineServer(s, e) }
	return e, e.Restart()
}

// Restart starts the engine, again at its address if it ran before, with an
// empty cache and no runs.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.cache = newPrefixCache(e.options.CacheBlocks, rand.New(rand.NewPCG(e.options.Seed, 2)))
	e.waiting, e.running = nil, nil
	e.runs = make(map[string]*run)
	e.reports = nil
	e.loading = nil
	e.leaving = false
	e.work = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.done = make(chan struct{})
	done := e.done
	e.mu.Unlock()
	if err := e.start(e.options.Address); err != nil {
		cancel()
		close(done)
		return err
	}
	go func() {
		defer close(done)
		e.loop(ctx)
	}()
	return nil
}

// Kill ends the engine at once, with all its runs and its cache.
func (e *Engine) Kill() {
	e.mu.Lock()
	cancel, done := e.cancel, e.done
	e.mu.Unlock()
	cancel()
	e.kill()
	<-done
	e.stores.close()
}

// Member returns what the engine announces, or nil while it is down.
func (e *Engine) Member() *loompb.Member {
	if !e.up() {
		return nil
	}
	address, incarnation := e.identity()
	liveness := loompb.Liveness_LIVENESS_LIVE
	e.mu.Lock()
	if e.leaving {
		liveness = loompb.Liveness_LIVENESS_LEAVING
	}
	e.mu.Unlock()
	return &loompb.Member{
		Id:            e.options.ID,
		Kind:          "engine",
		Group:         e.options.Group,
		FailureDomain: e.options.FailureDomain,
		Address:       address,
		Incarnation:   incarnation,
		Liveness:      liveness,
	}
}

// Announce reports the engine to the platform until ctx ends.
func (e *Engine) Announce(ctx context.Context, a Announcer) {
	announce(ctx, a, e.Member)
}

// Leave makes the engine refuse new runs and announce that it leaves.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetEventLoss sets the part of cache events that is never published.
func (e *Engine) SetEventLoss(part float64) {
	e.cache.setLossRate(part)
}

// Runs returns how often the engine has run a request.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger[requestID]
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []AcceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]AcceptedOrder(nil), e.orders...)
}

// Version returns the weight version in use.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Computed returns how many prompt tokens the engine has worked out.
func (e *Engine) Computed() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed
}

// Generate implements the engine.
func (e *Engine) Generate(r *loompb.GenerateRequest, stream grpc.ServerStreamingServer[loompb.GenerateEvent]) error {
	n, refused := e.admit(r, time.Now())
	if refused != nil {
		return stream.Send(&loompb.GenerateEvent{
			AttemptId: r.GetAttemptId(),
			Version:   refused.GetVersion(),
			Event:     &loompb.GenerateEvent_Refused{Refused: refused},
		})
	}
	n.attach()
	defer func() { n.detach(time.Now()) }()
	if !r.GetResume() {
		e.fetch(stream.Context(), n)
		e.enqueue(n)
	}
	return relay(n, int(r.GetResumeOffset()), stream)
}

// admit registers a new run, or finds the one to resume.
func (e *Engine) admit(r *loompb.GenerateRequest, now time.Time) (*run, *loompb.Refused) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refuse := func(reason loompb.RefusalReason) (*run, *loompb.Refused) {
		return nil, &loompb.Refused{Reason: reason, Version: e.version}
	}
	n, known := e.runs[r.GetAttemptId()]
	switch {
	case r.GetResume() && known:
		return n, nil
	case r.GetResume() || known:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN)
	case e.leaving:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_LEAVING)
	case r.GetModel() != e.model || r.GetVersion() != e.version:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_VERSION)
	case len(r.GetTokens()) > defaultWindow:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_TOO_LONG)
	case len(e.waiting) >= e.options.QueueLimit:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	}
	n = newRun(r, e.version, now)
	e.runs[r.GetAttemptId()] = n
	if len(e.ledger) < ledgerCapacity {
		e.ledger[r.GetRequestId()]++
	}
	return n, nil
}

func (e *Engine) enqueue(n *run) {
	e.mu.Lock()
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].request.GetPriority() < n.request.GetPriority() {
		at--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = n
	work := e.work
	e.mu.Unlock()
	select {
	case work <- struct{}{}:
	default:
	}
}

func relay(n *run, offset int, stream grpc.ServerStreamingServer[loompb.GenerateEvent]) error {
	id := n.request.GetAttemptId()
	for {
		tokens, finished, closed, changed := n.from(offset)
		for _, t := range tokens {
			event := &loompb.GenerateEvent{
				AttemptId: id,
				Version:   n.version,
				Event:     &loompb.GenerateEvent_Token{Token: &loompb.AnswerToken{Offset: uint32(offset), Token: t}},
			}
			if err := stream.Send(event); err != nil {
				return err
			}
			offset++
		}
		if closed && finished != nil {
			return stream.Send(&loompb.GenerateEvent{
				AttemptId: id,
				Version:   n.version,
				Event:     &loompb.GenerateEvent_Finished{Finished: finished},
			})
		}
		if closed {
			return status.Error(codes.Canceled, "run was canceled")
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		}
	}
}

// Cancel implements the engine: it ends a run.
func (e *Engine) Cancel(_ context.Context, r *loompb.CancelRequest) (*loompb.CancelReply, error) {
	e.mu.Lock()
	n, ok := e.runs[r.GetAttemptId()]
	e.mu.Unlock()
	if ok {
		n.cancel()
	}
	return &loompb.CancelReply{}, nil
}

// loop runs the steps of continuous batching until ctx ends.
func (e *Engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		e.snapshotReport(time.Now())
		batch, prefill := e.plan(time.Now())
		if len(batch) == 0 {
			e.idle(ctx)
			continue
		}
		d := e.options.StepTime + time.Duration(prefill)*e.options.PrefillPerToken
		if sleep(ctx, d) != nil {
			return
		}
		e.step(batch, time.Now())
	}
}

func (e *Engine) idle(ctx context.Context) {
	timer := time.NewTimer(idlePoll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.work:
	}
}

// plan fills the batch and hands out the prefill of one step. It returns the
// batch and the number of prompt tokens that the step computes.
func (e *Engine) plan(now time.Time) ([]*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAbandoned(now)
	for len(e.running) < e.options.BatchLimit && len(e.waiting) > 0 {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		n.begin(e.cache)
		e.running = append(e.running, n)
	}
	left := prefillChunk
	for _, n := range e.running {
		take := min(left, n.prefillLeft)
		n.prefillLeft -= take
		left -= take
	}
	e.computed += uint64(prefillChunk - left)
	return append([]*run(nil), e.running...), prefillChunk - left
}

func (e *Engine) dropAbandoned(now time.Time) {
	for id, n := range e.runs {
		if n.abandoned(now, runGrace) {
			n.cancel()
			delete(e.runs, id)
		}
	}
	e.running = withoutClosed(e.running)
	e.waiting = withoutClosed(e.waiting)
}

func withoutClosed(runs []*run) []*run {
	open := runs[:0]
	for _, n := range runs {
		if !n.isClosed() {
			open = append(open, n)
		}
	}
	return open
}

// step ends a step: runs whose prompt is computed get one more token.
func (e *Engine) step(batch []*run, now time.Time) {
	for _, n := range batch {
		if n.prefillLeft > 0 || n.isClosed() {
			continue
		}
		if len(n.answer) == 0 {
			n.complete(e.cache, now)
		}
		n.emit()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = withoutClosed(e.running)
}
