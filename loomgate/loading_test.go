package loomgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

// TestPeersUseAnEngineOnceItHasLoaded guards against instances that keep away from an engine
// for some time after it has loaded weights.
func TestPeersUseAnEngineOnceItHasLoaded(t *testing.T) {
	tests := []struct {
		name string
		// isReplaced is whether newer weights are named while the engine loads.
		isReplaced bool
	}{
		{"target version", false},
		{"replaced version", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, r := newLoadingGate(t)
			other, _ := newLoadingGate(t)
			other.settings.ID = "b"
			reconcileUntilOrdered(t, g, r, "e1", 2)
			exchangeWith(t, g, other)
			assert.Assert(t, other.rollout.isLoading(time.Now(), "e1"), "the peer must know that e1 is loading")
			if tt.isReplaced {
				for _, gate := range []*Gate{g, other} {
					gate.view.apply(time.Now(), TopicCatalogue, page(7, row("v", "weights 3", 7)), false)
				}
			}
			r.complete("e1")
			loaded := reconcileUntil(t, g, time.Second, func() bool {
				u, ok := g.view.upstream("e1")
				return ok && u.Version("m") == 2
			})
			assert.Assert(t, loaded)
			for _, gate := range []*Gate{g, other} {
				exchangeWith(t, g, other)
				u, ok := gate.view.upstream("e1")
				assert.Assert(t, ok)
				assert.Equal(t, u.Version("m"), uint64(2), "instance %s", gate.settings.ID)
				assert.Assert(t, !gate.rollout.isLoading(time.Now(), "e1"), "instance %s takes e1 for loading", gate.settings.ID)
			}
		})
	}
}

// TestLateLoadingReports guards against reports that come in another order than they were made.
func TestLateLoadingReports(t *testing.T) {
	loading := func(version uint64) *loompb.WeightsSeen {
		return &loompb.WeightsSeen{UpstreamId: "e1", Model: "m", Version: version, Loading: true}
	}
	loaded := func(version uint64) *loompb.WeightsSeen {
		return &loompb.WeightsSeen{UpstreamId: "e1", Model: "m", Version: version}
	}
	tests := []struct {
		name    string
		reports []*loompb.WeightsSeen
		want    bool
	}{
		{"loading", []*loompb.WeightsSeen{loading(2)}, true},
		{"loaded", []*loompb.WeightsSeen{loading(2), loaded(2)}, false},
		{"loading report of an earlier holder", []*loompb.WeightsSeen{loading(2), loaded(2), loading(2)}, false},
		{"next order", []*loompb.WeightsSeen{loading(2), loaded(2), loading(3)}, true},
		{"loaded report of an earlier order", []*loompb.WeightsSeen{loading(2), loading(3), loaded(2)}, true},
		{"newer weights than reported", []*loompb.WeightsSeen{loading(2), loaded(3)}, false},
		{"another model", []*loompb.WeightsSeen{loading(2), {UpstreamId: "e1", Model: "n", Version: 2}}, true},
		{"another incarnation", []*loompb.WeightsSeen{loading(2), {UpstreamId: "e1", Incarnation: 1, Model: "m", Version: 2}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newLoadingGate(t)
			now := time.Now()
			for _, report := range tt.reports {
				g.rollout.applyPeerReports(now, []*loompb.WeightsSeen{report})
			}
			assert.Equal(t, g.rollout.isLoading(now, "e1"), tt.want)
			assert.Equal(t, g.rollout.isLoading(now.Add(loadingTTL), "e1"), false)
		})
	}
}
