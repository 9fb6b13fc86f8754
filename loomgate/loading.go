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
	if now.Sub(r.versionRequestedAt[u.ID]) < engineCheckInterval || r.gate.holdOffs.wait(now, u) > 0 || r.gate.view.isEvacuated(u.FailureDomain) {
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

// recordLoading records that an engine is loading weights.
func (r *rollout) recordLoading(now time.Time, u loommember.Upstream, model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadingEngines[u.ID] = loadingState{reportedAt: now, incarnation: u.Incarnation, model: model, version: version, isLocal: true}
}

// recordLoaded records that an engine has loaded weights.
func (r *rollout) recordLoaded(now time.Time, u loommember.Upstream, model string, version uint64) {
	r.gate.view.recordVersion(now, u.ID, u.Incarnation, model, version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadingEngines[u.ID] = loadingState{reportedAt: now, incarnation: u.Incarnation, model: model, version: version, isLoaded: true, isLocal: true}
}

// isLoading reports whether an engine is known to be loading weights.
func (r *rollout) isLoading(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.loadingEngines[id]
	return ok && !state.isLoaded && now.Sub(state.reportedAt) < loadingTTL
}

// loadingReports returns the engines that this instance knows from its own orders to be
// loading or to have loaded, for its peers. It drops expired entries.
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
			reports = append(reports, &loompb.WeightsSeen{UpstreamId: id, Incarnation: state.incarnation, Model: state.model, Version: state.version, Loading: !state.isLoaded})
		}
	}
	return reports
}

// applyPeerReports records the engines that a peer reports as loading or loaded.
func (r *rollout) applyPeerReports(now time.Time, reports []*loompb.WeightsSeen) {
	for _, report := range reports {
		r.applyPeerReport(now, report)
	}
}

func (r *rollout) applyPeerReport(now time.Time, report *loompb.WeightsSeen) {
	id := report.GetUpstreamId()
	if !report.GetLoading() {
		r.gate.view.recordVersion(now, id, report.GetIncarnation(), report.GetModel(), report.GetVersion())
	}
	// A former holder of the lease goes on reporting for loadingTTL.
	u, ok := r.gate.view.upstream(id)
	isLoaded := ok && u.Incarnation == report.GetIncarnation() && u.Version(report.GetModel()) >= report.GetVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isLoaded {
		if report.GetLoading() {
			r.loadingEngines[id] = loadingState{reportedAt: now, incarnation: report.GetIncarnation(), model: report.GetModel(), version: report.GetVersion()}
		}
		return
	}
	old, ok := r.loadingEngines[id]
	if ok && old.incarnation == report.GetIncarnation() && old.model == report.GetModel() && old.version <= report.GetVersion() {
		delete(r.loadingEngines, id)
	}
}
