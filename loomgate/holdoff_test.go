package loomgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

// newHoldOffGate returns a gate with the engines e1 and e2.
func newHoldOffGate(t *testing.T, id string) *Gate {
	t.Helper()
	g := newTestGate(t, id, newFakeSource(), &fakeRunner{})
	now := time.Now()
	g.view.apply(now, TopicCatalogue, page(1, row("c", "routing 1", 1)), true)
	g.view.apply(now, TopicUpstreams, page(4, row("e1", "up 1", 3), row("e2", "up 1", 4)), true)
	return g
}

// TestCoordinatorSparesUpstreamsThatAskerHoldsOff guards against a choice for another instance
// by the hold-offs of the coordinator itself, or by none.
func TestCoordinatorSparesUpstreamsThatAskerHoldsOff(t *testing.T) {
	tests := []struct {
		name string
		held []string
		// own is an upstream that the coordinator itself holds off.
		own          string
		want         string
		wantReserved bool
		wantHeld     time.Duration
	}{
		{"one", []string{"e1"}, "", "e2", true, 0},
		{"the other", []string{"e2"}, "", "e1", true, 0},
		{"that of the coordinator is its own", []string{"e2"}, "e1", "e1", true, 0},
		{"all", []string{"e1", "e2"}, "", "", false, 700 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newHoldOffGate(t, "a")
			if tt.own != "" {
				g.hear(time.Now(), loommember.Upstream{ID: tt.own}, loomupstream.Statement{HoldOff: time.Minute}, "answer")
			}
			r := &loompb.PlaceRequest{From: "b", Group: "engines", StartTimeoutMs: 2000}
			for _, id := range tt.held {
				r.Held = append(r.Held, &loompb.HeldUpstream{UpstreamId: id, WaitMs: 700})
			}
			for range 20 {
				reply, err := (&peerService{gate: g}).Place(t.Context(), r)
				assert.NilError(t, err)
				assert.Equal(t, reply.GetIsReserved(), tt.wantReserved)
				assert.Equal(t, reply.GetHeldMicros(), tt.wantHeld.Microseconds())
				if tt.wantReserved {
					assert.Equal(t, reply.GetUpstreamId(), tt.want)
				}
			}
		})
	}
}

// TestPlacementAtHeldUpstreamIsNotUsed guards against a request to an upstream that has asked
// to be left alone while a coordinator was choosing it.
func TestPlacementAtHeldUpstreamIsNotUsed(t *testing.T) {
	g := newHoldOffGate(t, "a")
	u, ok := g.view.upstream("e1")
	assert.Assert(t, ok)
	d := &dispatch{placementQuery: placementQuery{gate: g, group: g.view.routing().Groups()[0]}}
	reply := &loompb.PlaceReply{UpstreamId: "e1", Version: 1, IsReserved: true}
	_, ok = d.placementOf(time.Now(), "c", reply)
	assert.Check(t, ok)
	g.hear(time.Now(), u, loomupstream.Statement{HoldOff: time.Second}, "answer")
	_, ok = d.placementOf(time.Now(), "c", reply)
	assert.Check(t, !ok)
}

// TestLeavingIsPassedOn guards against an instance that learns only by its own requests that
// an upstream leaves, also through one that joined later.
func TestLeavingIsPassedOn(t *testing.T) {
	a, b, c := newHoldOffGate(t, "a"), newHoldOffGate(t, "b"), newHoldOffGate(t, "c")
	u, ok := a.view.upstream("e1")
	assert.Assert(t, ok)
	now := time.Now()
	a.hear(now, u, loomupstream.Statement{IsLeaving: true}, "answer")
	b.view.applyLeaving(now.Add(50*time.Millisecond), "a", a.view.leavingReports(now.Add(50*time.Millisecond)))
	c.view.applyLeaving(now.Add(100*time.Millisecond), "b", b.view.leavingReports(now.Add(100*time.Millisecond)))
	for _, g := range []*Gate{a, b, c} {
		_, ok := g.view.upstream("e1")
		assert.Check(t, !ok, "%s still uses it", g.settings.ID)
		// The row that still says ready, and an older copy of it, change nothing.
		g.view.apply(time.Now(), TopicUpstreams, page(9, row("e1", "up 1", 8)), false)
		g.view.apply(time.Now(), TopicUpstreams, page(1<<50, row("e1", "up 1", 1<<49), row("e2", "up 1", 1<<49)), true)
		_, ok = g.view.upstream("e1")
		assert.Check(t, !ok, "%s uses it again", g.settings.ID)
	}
}
