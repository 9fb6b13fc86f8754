package loomgate

import (
	"sync"
	"time"

	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

// holdOffs keeps for how long upstreams want no requests of this instance. An upstream says
// so to each instance by itself, so it is not passed on to peers.
type holdOffs struct {
	gate *Gate

	mu   sync.RWMutex
	byID map[string]loommember.HoldOff
}

func newHoldOffs(g *Gate) *holdOffs {
	return &holdOffs{gate: g, byID: make(map[string]loommember.HoldOff)}
}

// holdOffSpread is the time over which the ends of hold-offs are spread, since instances that
// were refused together would otherwise return together.
const holdOffSpread = 250 * time.Millisecond

// hear holds an upstream off for d. It writes a line only if a hold-off begins, since each
// request that was on its way may bring a refusal.
func (h *holdOffs) hear(now time.Time, u loommember.Upstream, d time.Duration, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.byID[u.ID]
	after := before.WithRefusal(now, u.Incarnation, d+h.gate.randomDuration(holdOffSpread))
	h.byID[u.ID] = after
	for id, held := range h.byID {
		if held.IsOver(now) {
			delete(h.byID, id)
		}
	}
	if !after.Since().Equal(before.Since()) {
		h.gate.metrics.holdOffs.Inc(1)
		h.gate.log.Info("upstream_held_off", "upstream", u.ID, "incarnation", u.Incarnation, "for_ms", d.Milliseconds(), "source", source)
	}
}

// wait returns the time until an upstream may get another request of this instance, or zero
// if it may now.
func (h *holdOffs) wait(now time.Time, u loommember.Upstream) time.Duration {
	h.mu.RLock()
	held, ok := h.byID[u.ID]
	h.mu.RUnlock()
	if !ok {
		return 0
	}
	return held.Wait(now, u.Incarnation, h.gate.fleet.InFlight(u.ID))
}

// reports returns the upstreams of a group that want no request of this instance, for a
// coordinator.
func (h *holdOffs) reports(now time.Time, group string) []*loompb.HeldUpstream {
	h.mu.RLock()
	n := len(h.byID)
	h.mu.RUnlock()
	if n == 0 {
		return nil
	}
	var reports []*loompb.HeldUpstream
	for _, u := range h.gate.usableUpstreams(now, group) {
		if wait := h.wait(now, u); wait > 0 {
			reports = append(reports, &loompb.HeldUpstream{UpstreamId: u.ID, WaitMs: max(uint32(wait.Milliseconds()), 1)})
		}
	}
	return reports
}

// heldOffIn returns how long upstreams want no request of the instance that sent r.
func heldOffIn(r *loompb.PlaceRequest) map[string]time.Duration {
	if len(r.GetHeld()) == 0 {
		return nil
	}
	held := make(map[string]time.Duration, len(r.GetHeld()))
	for _, u := range r.GetHeld() {
		held[u.GetUpstreamId()] = milliseconds(u.GetWaitMs())
	}
	return held
}

// holdOffDelay returns how long a request to an upstream is held since the upstream wants
// none of the instance that has the request.
func (q *placementQuery) holdOffDelay(now time.Time, u loommember.Upstream) limitDelay {
	wait := q.heldOff[u.ID]
	if !q.isRemote {
		wait = q.gate.holdOffs.wait(now, u)
	}
	if wait <= 0 {
		return limitDelay{}
	}
	return limitDelay{wait: wait, interval: queueInterval}
}

// hear applies what an upstream has said of itself in a response. The source names the kind
// of the response.
func (g *Gate) hear(now time.Time, u loommember.Upstream, said loomupstream.Statement, source string) {
	if said.IsLeaving {
		g.view.hearLeaving(now, now, u.ID, u.Incarnation, source)
	}
	if said.HoldOff > 0 {
		g.holdOffs.hear(now, u, said.HoldOff, source)
	}
	if said.ColdLeft > 0 {
		g.cold.mark(now, u, said.ColdLeft, source)
	}
}
