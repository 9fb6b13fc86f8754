package loomgate

import (
	"context"
	"time"

	"swiftloom/loommember"
	"swiftloom/loompb"
)

// reportOf asks an engine for its weights after it refused a request for
// others, at most once in a while for each engine.
func (r *rollout) reportOf(ctx context.Context, u loommember.Upstream, model string) {
	r.mu.Lock()
	now := time.Now()
	if now.Sub(r.askedAt[u.ID]) < lookInterval {
		r.mu.Unlock()
		return
	}
	r.askedAt[u.ID] = now
	r.mu.Unlock()
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderCallTimeout)
	defer cancel()
	state, err := r.gate.runner.Report(call, u.Address, u.ID)
	if err != nil {
		r.gate.log.Warn("engine_unreported", "upstream", u.ID, "cause", err.Error())
		return
	}
	r.gate.beliefs.sawVersion(time.Now(), u.ID, u.Incarnation, model, state.Version(model))
}

// note remembers that an engine loads, or that it has loaded.
func (r *rollout) note(id string, incarnation, version uint64, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !loading {
		delete(r.loadingNow, id)
		return
	}
	r.loadingNow[id] = loadingWord{at: time.Now(), incarnation: incarnation, version: version, own: true}
}

// loading reports whether an engine is known to load weights.
func (r *rollout) loading(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.loadingNow[id]
	return ok && now.Sub(w.at) < toldMemory
}

// told returns what peers should know of weights: what loads, and the versions
// of engines that the platform's list may not show yet.
func (r *rollout) told(now time.Time) []*loompb.WeightsSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var words []*loompb.WeightsSeen
	for id, w := range r.loadingNow {
		if now.Sub(w.at) >= toldMemory {
			delete(r.loadingNow, id)
			continue
		}
		if w.own {
			words = append(words, &loompb.WeightsSeen{UpstreamId: id, Incarnation: w.incarnation, Version: w.version, Loading: true})
		}
	}
	return words
}

// heard takes in what a peer told of weights.
func (r *rollout) heard(now time.Time, words []*loompb.WeightsSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range words {
		if w.GetLoading() {
			r.loadingNow[w.GetUpstreamId()] = loadingWord{at: now, incarnation: w.GetIncarnation(), version: w.GetVersion()}
		}
	}
}
