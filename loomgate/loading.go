package loomgate

import (
	"context"
	"time"

	"swiftloom/loommember"
	"swiftloom/loompb"
)

// refreshVersion queries an engine for its weights after it refused a request
// because it runs other weights. It queries each engine at most once per
// engineCheckInterval.
func (r *rollout) refreshVersion(ctx context.Context, u loommember.Upstream, model string) {
	r.mu.Lock()
	now := time.Now()
	if now.Sub(r.versionRequestedAt[u.ID]) < engineCheckInterval || r.gate.holdOffs.wait(now, u) > 0 {
		r.mu.Unlock()
		return
	}
	r.versionRequestedAt[u.ID] = now
	r.mu.Unlock()
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderCallTimeout)
	defer cancel()
	state, err := r.report(call, u)
	if err != nil {
		r.gate.log.Warn("engine_unreported", "upstream", u.ID, "cause", err.Error())
		return
	}
	r.gate.view.recordVersion(time.Now(), u.ID, u.Incarnation, model, state.Version(model))
}

// setLoading records that an engine is loading weights, or that it has
// finished.
func (r *rollout) setLoading(id string, incarnation, version uint64, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !loading {
		delete(r.loadingEngines, id)
		return
	}
	r.loadingEngines[id] = loadingState{reportedAt: time.Now(), incarnation: incarnation, version: version, isLocal: true}
}

// isLoading reports whether an engine is known to be loading weights.
func (r *rollout) isLoading(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.loadingEngines[id]
	return ok && now.Sub(state.reportedAt) < loadingTTL
}

// loadingReports returns the engines that this instance knows from its own
// orders to be loading, for its peers. It drops expired entries.
func (r *rollout) loadingReports(now time.Time) []*loompb.WeightsSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []*loompb.WeightsSeen
	for id, state := range r.loadingEngines {
		if now.Sub(state.reportedAt) >= loadingTTL {
			delete(r.loadingEngines, id)
			continue
		}
		if state.isLocal {
			reports = append(reports, &loompb.WeightsSeen{UpstreamId: id, Incarnation: state.incarnation, Version: state.version, Loading: true})
		}
	}
	return reports
}

// applyPeerReports records the engines that a peer reports as loading.
func (r *rollout) applyPeerReports(now time.Time, reports []*loompb.WeightsSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		if report.GetLoading() {
			r.loadingEngines[report.GetUpstreamId()] = loadingState{reportedAt: now, incarnation: report.GetIncarnation(), version: report.GetVersion()}
		}
	}
}
