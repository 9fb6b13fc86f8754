package loomgate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomupstream"
)

// TestPlainCallsDoNotNeedCoordinators answers the load of a fleet in which a quarter of the
// requests are calls of a few milliseconds: only limits need more than an instance knows.
func TestPlainCallsDoNotNeedCoordinators(t *testing.T) {
	tests := []struct {
		name      string
		hasPrompt bool
		hasLimit  bool
		want      bool
	}{
		{"plain call", false, false, false},
		{"plain call while an upstream names a limit", false, true, true},
		{"prompt", true, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newHoldOffGate(t, "a")
			if tt.hasLimit {
				u, ok := g.view.upstream("e1")
				assert.Assert(t, ok)
				g.limits.hear(time.Now(), u, &loomupstream.Reply{Said: loomupstream.Statement{Limit: loomupstream.RequestLimit{IsNamed: true, PerSecond: 5}}})
			}
			d := &dispatch{placementQuery: placementQuery{gate: g, hasPrompt: tt.hasPrompt}}
			assert.Equal(t, d.needsCoordinator(time.Now()), tt.want)
		})
	}
}

// TestWatchesOfLargeFleetsArePolledLess answers the load of 192 engines and 41 stores that all
// have new events: one coordinator makes at most 170 calls a second, and each event is read
// within two seconds.
func TestWatchesOfLargeFleetsArePolledLess(t *testing.T) {
	tests := []struct {
		watches int
		want    time.Duration
	}{
		{1, busyWatchPause},
		{24, busyWatchPause},
		{72, 432 * time.Millisecond},
		{233, 1398 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.watches), func(t *testing.T) {
			g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
			for i := range tt.watches {
				g.stores.watched[fmt.Sprint(i)] = context.CancelFunc(func() {})
			}
			pause := g.stores.busyPause()
			assert.Equal(t, pause, tt.want)
			assert.Check(t, float64(tt.watches)/pause.Seconds() <= 170)
			assert.Check(t, pause < 2*time.Second)
		})
	}
}
