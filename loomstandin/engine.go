package loomstandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

const (
	// abandonedRunTimeout is how long a run goes on without an open stream, so
	// that a caller can reconnect and resume it.
	abandonedRunTimeout = 2 * time.Second
	// reportInterval is the minimum time between two snapshots of the load.
	reportInterval    = 50 * time.Millisecond
	defaultBatchLimit = 16
	defaultQueueLimit = 64
	// prefillTokensPerStep bounds the prompt tokens that one step of the batch
	// computes, as chunked prefill does.
	prefillTokensPerStep = 512
	maxPromptTokens      = 32768
	idlePollInterval     = 20 * time.Millisecond
	// maxReports bounds the snapshots of the load; the oldest one is dropped.
	maxReports = 16
	// maxCountedRequests bounds the memory of runCounts. After that many requests
	// no further run is counted.
	maxCountedRequests = 1 << 20
)

// EngineOptions configures an Engine. If Address is empty, the engine listens on
// a free port of the loopback interface; BatchLimit and QueueLimit have defaults.
type EngineOptions struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	Model         string
	Version       uint64
	Seed          uint64
	// PrefillPerToken is the time to compute one prompt token, and StepTime is
	// the time of one decoding step of the whole batch.
	PrefillPerToken time.Duration
	StepTime        time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BatchLimit is the maximum number of runs in a batch, and QueueLimit the
	// maximum number of runs that wait for it.
	BatchLimit int
	QueueLimit int
	// BlockBytes is the nominal size of an exported block.
	BlockBytes int
	// ReportLag is the minimum age of the load in a report, as long as the
	// engine has a snapshot that old.
	ReportLag time.Duration
	// IgnoreFencing makes the engine accept orders with stale fencing tokens.
	IgnoreFencing bool
	// Weights serves the weights of other versions; if nil, they load without
	// delay.
	Weights WeightStore
	// EndsUnder reports whether the engine's process ends under a request, RestartDelay
	// before it starts again; nil means that it ends under none.
	EndsUnder    func(r *loompb.GenerateRequest) bool
	RestartDelay time.Duration
	// TokensBeforeEnd is the number of tokens of the answer to such a request that the engine
	// sends before its process ends.
	TokensBeforeEnd int
	// Dialer opens connections to KV cache stores; nil selects TCP.
	Dialer loomplatform.Dialer
}

// WeightStore serves model weights. The platform's gRPC client implements it.
type WeightStore interface {
	FetchWeights(ctx context.Context, r *loompb.FetchWeightsRequest, opts ...grpc.CallOption) (*loompb.FetchWeightsReply, error)
}

// Engine is a stand-in for a model engine with continuous batching, chunked
// prefill and a prefix cache. Its methods may be called concurrently.
type Engine struct {
	loompb.UnimplementedEngineServer
	process

	options EngineOptions
	cache   *prefixCache
	stores  storeClients

	mu      sync.Mutex
	model   string
	version uint64
	// loading is the order whose weights are being loaded, or nil.
	loading *loompb.OrderRequest
	// fencingToken is the highest fencing token of all accepted orders.
	fencingToken uint64
	leaving      bool
	role         string
	// waiting is ordered by priority, highest first, and then by arrival.
	waiting []*run
	running []*run
	// runs holds the runs by attempt ID. A run stays after its end until it is
	// abandoned, so that its answer can still be read.
	runs map[string]*run
	// reports holds snapshots of the load, oldest first.
	reports []reportSnapshot
	// runCounts counts the runs of each request ID, across restarts.
	runCounts map[string]int
	wakeup    chan struct{}
	orders    []AcceptedOrder
	cancel    context.CancelFunc
	done      chan struct{}
	// isEnding is set while the process ends under a request and until it starts again.
	isEnding atomic.Bool
	// computedTokens counts the prompt tokens that were computed rather than
	// taken from the cache or an import, across restarts.
	computedTokens uint64
}

// AcceptedOrder is an order that the engine has accepted.
type AcceptedOrder struct {
	At           time.Time
	FencingToken uint64
	Holder       string
	Version      uint64
	// Stale is set if an order with a higher fencing token was accepted before.
	Stale bool
}

// reportSnapshot is the load of an engine at a point in time.
type reportSnapshot struct {
	at     time.Time
	report *loompb.ReportReply
}

// NewEngine starts an engine. The caller must end it with Kill.
func NewEngine(o EngineOptions) (*Engine, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.BatchLimit == 0 {
		o.BatchLimit = defaultBatchLimit
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	e := &Engine{options: o, stores: storeClients{dialer: o.Dialer}, runCounts: make(map[string]int), model: o.Model, version: o.Version}
	e.register = func(s *grpc.Server) { loompb.RegisterEngineServer(s, e) }
	return e, e.Restart()
}

// Restart starts the engine with an empty cache and no runs, on its previous
// address if it has run before. The engine must not be running.
func (e *Engine) Restart() error {
	e.mu.Lock()
	e.cache = newPrefixCache(e.options.CacheBlocks, rand.New(rand.NewPCG(e.options.Seed, 2)))
	e.waiting, e.running = nil, nil
	e.runs = make(map[string]*run)
	e.reports = nil
	e.loading = nil
	e.leaving = false
	e.wakeup = make(chan struct{}, 1)
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
		e.runSteps(ctx)
	}()
	return nil
}

// Kill stops the engine like a crash: it closes all connections and drops all
// runs without notice to their callers. The cache is lost at the next start.
func (e *Engine) Kill() {
	e.mu.Lock()
	cancel, done := e.cancel, e.done
	e.mu.Unlock()
	cancel()
	e.kill()
	<-done
	e.stores.close()
}

// endForAWhile ends the engine's process unless another request does so, and starts it again.
func (e *Engine) endForAWhile() {
	if !e.isEnding.CompareAndSwap(false, true) {
		return
	}
	defer e.isEnding.Store(false)
	e.Kill()
	time.Sleep(e.options.RestartDelay)
	_ = e.Restart()
}

// Member returns the engine's announcement, or nil while the engine is down.
func (e *Engine) Member() *loompb.Member {
	if !e.isUp() {
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

// Announce announces the engine to the platform at regular intervals until ctx
// is done.
func (e *Engine) Announce(ctx context.Context, a Announcer) {
	announce(ctx, a, e.Member)
}

// Leave makes the engine refuse new runs and announce itself as leaving. Runs
// that it has accepted go on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetEventLossRate sets the fraction of cache events, from 0 to 1, that are
// never published. A restart resets it to the default.
func (e *Engine) SetEventLossRate(fraction float64) {
	e.cache.setLossRate(fraction)
}

// RunCount returns the number of runs that the engine has accepted for a
// request.
func (e *Engine) RunCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[requestID]
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []AcceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]AcceptedOrder(nil), e.orders...)
}

// Version returns the version of the loaded weights.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ComputedTokens returns the number of prompt tokens that the engine has
// computed rather than taken from its cache or from imported blocks.
func (e *Engine) ComputedTokens() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computedTokens
}

// Generate implements loompb.EngineServer. It starts a run, or resumes the run
// of the same attempt, and streams the answer.
func (e *Engine) Generate(r *loompb.GenerateRequest, stream grpc.ServerStreamingServer[loompb.GenerateEvent]) error {
	n, refused := e.admit(r, time.Now())
	if refused != nil {
		return stream.Send(&loompb.GenerateEvent{
			AttemptId: r.GetAttemptId(),
			Version:   refused.GetVersion(),
			Event:     &loompb.GenerateEvent_Refused{Refused: refused},
		})
	}
	n.addStream()
	defer func() { n.removeStream(time.Now()) }()
	if e.options.EndsUnder != nil && e.options.EndsUnder(r) {
		stream = &endingStream{ServerStreamingServer: stream, left: e.options.TokensBeforeEnd, end: e.endForAWhile}
		if e.options.TokensBeforeEnd == 0 {
			return stream.Send(nil)
		}
	}
	if !r.GetResume() {
		e.importBlocks(stream.Context(), n)
		e.enqueue(n)
	}
	return sendEvents(n, int(r.GetResumeOffset()), stream)
}

// admit registers a new run, or returns the run to resume. A refusal holds the
// reason and the version of the loaded weights.
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
	case len(r.GetTokens()) > maxPromptTokens:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_TOO_LONG)
	case len(e.waiting) >= e.options.QueueLimit:
		return refuse(loompb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	}
	n = newRun(r, e.version, now)
	e.runs[r.GetAttemptId()] = n
	if len(e.runCounts) < maxCountedRequests {
		e.runCounts[r.GetRequestId()]++
	}
	return n, nil
}

// enqueue inserts a run behind all waiting runs of the same or a higher priority
// and wakes the step loop.
func (e *Engine) enqueue(n *run) {
	e.mu.Lock()
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].request.GetPriority() < n.request.GetPriority() {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = n
	wakeup := e.wakeup
	e.mu.Unlock()
	select {
	case wakeup <- struct{}{}:
	default:
	}
}

// sendEvents streams the answer of a run from offset on, until the run ends or
// the stream's context is done.
func sendEvents(n *run, offset int, stream grpc.ServerStreamingServer[loompb.GenerateEvent]) error {
	id := n.request.GetAttemptId()
	for {
		tokens, finished, closed, changed := n.progressFrom(offset)
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

// endingStream is a stream on which the engine's process ends in place of an event.
type endingStream struct {
	grpc.ServerStreamingServer[loompb.GenerateEvent]

	// left is the number of events that are sent before.
	left int
	end  func()
}

// Send implements grpc.ServerStreamingServer.
func (s *endingStream) Send(e *loompb.GenerateEvent) error {
	if s.left > 0 {
		s.left--
		return s.ServerStreamingServer.Send(e)
	}
	go s.end()
	<-s.Context().Done()
	return s.Context().Err()
}

// Cancel implements loompb.EngineServer. It ends the run of an attempt; an
// unknown attempt is not an error.
func (e *Engine) Cancel(_ context.Context, r *loompb.CancelRequest) (*loompb.CancelReply, error) {
	e.mu.Lock()
	n, ok := e.runs[r.GetAttemptId()]
	e.mu.Unlock()
	if ok {
		n.cancel()
	}
	return &loompb.CancelReply{}, nil
}

// runSteps is the step loop of continuous batching. It returns when ctx is done.
func (e *Engine) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		e.recordReport(time.Now())
		batch, prefill := e.planStep(time.Now())
		if len(batch) == 0 {
			e.waitForWork(ctx)
			continue
		}
		d := e.options.StepTime + time.Duration(prefill)*e.options.PrefillPerToken
		if sleep(ctx, d) != nil {
			return
		}
		e.finishStep(batch, time.Now())
	}
}

// waitForWork blocks until a run is queued, but at most for idlePollInterval, so
// that snapshots of the load and the check for abandoned runs go on.
func (e *Engine) waitForWork(ctx context.Context) {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wakeup:
	}
}

// planStep fills the batch from the queue and divides the prefill budget of one
// step among its runs. It returns the batch and the number of prompt tokens that
// the step computes.
func (e *Engine) planStep(now time.Time) ([]*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned(now)
	for len(e.running) < e.options.BatchLimit && len(e.waiting) > 0 {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		n.beginPrefill(e.cache)
		e.running = append(e.running, n)
	}
	budget := prefillTokensPerStep
	for _, n := range e.running {
		tokens := min(budget, n.prefillRemaining)
		n.prefillRemaining -= tokens
		budget -= tokens
	}
	e.computedTokens += uint64(prefillTokensPerStep - budget)
	return append([]*run(nil), e.running...), prefillTokensPerStep - budget
}

// cancelAbandoned cancels the runs that no stream reads any more and removes all
// ended runs from the batch and the queue. The caller must hold e.mu.
func (e *Engine) cancelAbandoned(now time.Time) {
	for id, n := range e.runs {
		if n.isAbandoned(now, abandonedRunTimeout) {
			n.cancel()
			delete(e.runs, id)
		}
	}
	e.running = removeClosed(e.running)
	e.waiting = removeClosed(e.waiting)
}

// removeClosed filters out closed runs in place.
func removeClosed(runs []*run) []*run {
	open := runs[:0]
	for _, n := range runs {
		if !n.isClosed() {
			open = append(open, n)
		}
	}
	return open
}

// finishStep applies the results of a step: each run whose prompt is computed
// generates one token.
func (e *Engine) finishStep(batch []*run, now time.Time) {
	for _, n := range batch {
		if n.prefillRemaining > 0 || n.isClosed() {
			continue
		}
		if len(n.answer) == 0 {
			n.completePrefill(e.cache, now)
		}
		n.emitToken()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = removeClosed(e.running)
}
