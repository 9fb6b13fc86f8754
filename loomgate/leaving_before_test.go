package loomgate

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleetStopsUsingUpstreamsRemovedBeforeOutage guards against requests to an upstream
// whose removal was acknowledged just before an outage of the platform, once the platform
// counts as stable again.
func TestFleetStopsUsingUpstreamsRemovedBeforeOutage(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		state     platformState
	}{
		{"one instance refused", 1, platformRefuses},
		{"one instance hangs", 1, platformHangs},
		{"seven instances refused", 7, platformRefuses},
		{"seven instances hang", 7, platformHangs},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(30) {
				random := rand.New(rand.NewPCG(seed, 2))
				var late time.Duration
				synctest.Test(t, func(t *testing.T) { late = latestUseAfterReturn(t, tt.instances, tt.state, random) })
				assert.Check(t, late <= contactTime, "seed %d: used %s after the platform's return", seed, late)
			}
		})
	}
}

// latestUseAfterReturn removes an upstream, lets the platform be away right after that and
// returns how long after its return an instance last used the upstream.
func latestUseAfterReturn(t *testing.T, instances int, state platformState, random *rand.Rand) time.Duration {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newVirtualFleet(ctx, t, instances, 12, random)
	time.Sleep(5*time.Second + upTo(time.Second))
	f.platform.put("leaving", "")
	time.Sleep(upTo(100 * time.Millisecond))
	f.platform.set(state)
	time.Sleep(leavingLimit + upTo(6*time.Second))
	f.platform.set(platformAnswers)
	back := time.Now()
	var late time.Duration
	for time.Since(back) < 2*contactTime {
		time.Sleep(10 * time.Millisecond)
		for i := range f.gates {
			if f.uses(i, "leaving") {
				late = time.Since(back)
			}
		}
	}
	return late
}
