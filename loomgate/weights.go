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
		delete(r.words, id)
		return
	}
	r.words[id] = weightsWord{at: time.Now(), incarnation: incarnation, version: version, own: true, loading: true}
}

// noteEmptying remembers that an engine gets its order in a while.
func (r *rollout) noteEmptying(u loommember.Upstream, version uint64, in time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.words[u.ID] = weightsWord{at: now, incarnation: u.Incarnation, version: version, own: true, due: now.Add(max(in, 0))}
}

// loading reports whether an engine is known to load weights.
func (r *rollout) loading(now time.Time, id string) bool {
	w, ok := r.word(now, id)
	return ok && w.loading
}

// emptying returns the time until an engine is ordered to load weights, if that
// is planned.
func (r *rollout) emptying(now time.Time, id string) (time.Duration, bool) {
	w, ok := r.word(now, id)
	return max(w.due.Sub(now), 0), ok && !w.loading
}

func (r *rollout) word(now time.Time, id string) (weightsWord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.words[id]
	return w, ok && now.Sub(w.at) < toldMemory
}

// told returns what peers should know of weights: what loads and what soon will.
func (r *rollout) told(now time.Time) []*loompb.WeightsSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	var words []*loompb.WeightsSeen
	for id, w := range r.words {
		if now.Sub(w.at) >= toldMemory {
			delete(r.words, id)
			continue
		}
		if w.own {
			in := max(w.due.Sub(now), 0).Milliseconds()
			words = append(words, &loompb.WeightsSeen{UpstreamId: id, Incarnation: w.incarnation, Version: w.version, Loading: w.loading, OrderInMs: uint32(in)})
		}
	}
	return words
}

// heard takes in what a peer told of weights.
func (r *rollout) heard(now time.Time, words []*loompb.WeightsSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range words {
		in := time.Duration(w.GetOrderInMs()) * time.Millisecond
		r.words[w.GetUpstreamId()] = weightsWord{at: now, incarnation: w.GetIncarnation(), version: w.GetVersion(), loading: w.GetLoading(), due: now.Add(in)}
	}
}
