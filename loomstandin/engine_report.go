package loomstandin

import (
	"context"
	"time"

	"swiftloom/loompb"
)

// Report implements loompb.EngineServer. The load is that of ReportLag ago; the
// weight versions, the role and the fencing token are current.
func (e *Engine) Report(_ context.Context, r *loompb.ReportRequest) (*loompb.ReportReply, error) {
	now := time.Now()
	reply := e.laggedReport(now)
	reply.LastEvent = e.cache.lastPublished(now)
	if r.GetWithEvents() {
		reply.Events = e.cache.eventsAfter(now, r.GetAfterEvent())
	}
	return reply, nil
}

// laggedReport returns a report with the newest snapshot of the load that is at
// least ReportLag old. Without such a snapshot it takes the oldest one, and
// without any snapshot the current load.
func (e *Engine) laggedReport(now time.Time) *loompb.ReportReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := now.Add(-e.options.ReportLag)
	snapshot := reportSnapshot{at: now, report: e.currentReport()}
	for i := len(e.reports) - 1; i >= 0; i-- {
		snapshot = e.reports[i]
		if !snapshot.at.After(asOf) {
			break
		}
	}
	load := snapshot.report
	return &loompb.ReportReply{
		EngineId:       load.GetEngineId(),
		Incarnation:    load.GetIncarnation(),
		Leaving:        e.leaving,
		Model:          e.model,
		Version:        e.version,
		LoadingModel:   e.loading.GetModel(),
		LoadingVersion: e.loading.GetVersion(),
		QueuedRequests: load.GetQueuedRequests(),
		QueuedTokens:   load.GetQueuedTokens(),
		Running:        load.GetRunning(),
		BatchLimit:     load.GetBatchLimit(),
		AgeUs:          uint64(now.Sub(snapshot.at).Microseconds()),
		CacheBlocks:    uint64(e.cache.size()),
		CacheCapacity:  uint64(e.options.CacheBlocks),
		Role:           e.role,
		FencingToken:   e.fencingToken,
	}
}

// currentReport returns the current load. The caller must hold e.mu.
func (e *Engine) currentReport() *loompb.ReportReply {
	_, incarnation := e.identity()
	report := &loompb.ReportReply{
		EngineId:       e.options.ID,
		Incarnation:    incarnation,
		QueuedRequests: uint32(len(e.waiting)),
		Running:        uint32(len(e.running)),
		BatchLimit:     uint32(e.options.BatchLimit),
	}
	for _, n := range e.waiting {
		report.QueuedTokens += uint64(len(n.request.GetTokens()))
	}
	for _, n := range e.running {
		report.QueuedTokens += uint64(n.prefillRemaining)
	}
	return report
}

// recordReport adds a snapshot of the load for later reports, at most one for
// each reportInterval.
func (e *Engine) recordReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportInterval {
		return
	}
	e.reports = append(e.reports, reportSnapshot{at: now, report: e.currentReport()})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
}

// Order implements loompb.EngineServer. It sets the role and starts loading
// weights in the background. An order whose fencing token is below the highest
// accepted one is refused, unless IgnoreFencing is set. An order that comes
// while weights are loading is accepted but starts no further load.
func (e *Engine) Order(_ context.Context, r *loompb.OrderRequest) (*loompb.OrderReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := r.GetFencingToken() < e.fencingToken
	if stale && !e.options.IgnoreFencing {
		return &loompb.OrderReply{FencingToken: e.fencingToken}, nil
	}
	e.fencingToken = max(e.fencingToken, r.GetFencingToken())
	if r.GetRole() != "" {
		e.role = r.GetRole()
	}
	e.orders = append(e.orders, AcceptedOrder{
		At:           time.Now(),
		FencingToken: r.GetFencingToken(),
		Holder:       r.GetHolder(),
		Version:      r.GetVersion(),
		Stale:        stale,
	})
	if e.loading == nil && (r.GetModel() != e.model || r.GetVersion() != e.version) {
		e.loading = r
		go e.loadWeights(r) //nolint:gosec // the load outlives the call
	}
	return &loompb.OrderReply{Accepted: true, FencingToken: e.fencingToken}, nil
}

// loadWeights fetches the weights of an order and switches to them, which clears
// the prefix cache. If the fetch fails or times out, the engine keeps its
// weights. The result is dropped if the engine was restarted in the meantime.
func (e *Engine) loadWeights(r *loompb.OrderRequest) {
	var err error
	if e.options.Weights != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		_, err = e.options.Weights.FetchWeights(ctx, &loompb.FetchWeightsRequest{Model: r.GetModel(), Version: r.GetVersion()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading != r {
		return
	}
	e.loading = nil
	if err != nil {
		return
	}
	e.model = r.GetModel()
	e.version = r.GetVersion()
	e.cache.clear(time.Now())
}
