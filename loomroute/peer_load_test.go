package loomroute_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"swiftloom/loomroute"
)

// TestPeerLoadsAddUp checks that the load of an upstream is the sum of the latest reports of
// all peers that are no older than 1.5 s, in any order of reports.
func TestPeerLoadsAddUp(t *testing.T) {
	const ttl = 1500 * time.Millisecond
	type report struct {
		at    time.Time
		loads map[string]loomroute.PeerLoad
	}
	rapid.Check(t, func(t *rapid.T) {
		f := loomroute.NewFleet()
		latest := make(map[string]report)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause_ms")) * time.Millisecond)
			peer := fmt.Sprint("p", rapid.IntRange(1, 4).Draw(t, "peer"))
			r := report{at: now, loads: make(map[string]loomroute.PeerLoad)}
			var loads []loomroute.PeerLoad
			for _, id := range []string{"a", "b", "c"} {
				if !rapid.Bool().Draw(t, "has "+id) {
					continue
				}
				l := loomroute.PeerLoad{ID: id, Outstanding: rapid.IntRange(0, 5).Draw(t, "outstanding"), Memory: rapid.IntRange(0, 900).Draw(t, "memory")}
				loads = append(loads, l)
				r.loads[id] = l
			}
			f.SetPeerLoads(now, peer, loads)
			latest[peer] = r
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "asked for")
			outstanding, memory := 0, 0
			for _, r := range latest {
				if now.Sub(r.at) <= ttl {
					outstanding += r.loads[id].Outstanding
					memory += r.loads[id].Memory
				}
			}
			if e := f.Estimate(now, id, time.Microsecond); e.Outstanding != outstanding || e.Memory != memory {
				t.Fatalf("load of %s is %d requests and %d tokens, want %d and %d", id, e.Outstanding, e.Memory, outstanding, memory)
			}
		}
	})
}
