package loomroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomroute"
)

func TestSuspect(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name  string
		setup func(f *loomroute.Fleet)
		want  bool
	}{
		{"unknown", func(*loomroute.Fleet) {}, false},
		{"within the unreachable time", func(f *loomroute.Fleet) { f.Unreachable(at.Add(-time.Millisecond), "a") }, true},
		{"unreachable time expired", func(f *loomroute.Fleet) { f.Unreachable(at.Add(-time.Second), "a") }, false},
		{"received data since", func(f *loomroute.Fleet) {
			f.Unreachable(at.Add(-2*time.Millisecond), "a")
			f.RecordReceived(at.Add(-time.Millisecond), "a")
		}, false},
		{"second failure doubles the time", func(f *loomroute.Fleet) {
			f.Unreachable(at.Add(-2*time.Second), "a")
			f.Unreachable(at.Add(-time.Second), "a")
		}, true},
		{"probe in flight after the unreachable time", func(f *loomroute.Fleet) {
			f.Unreachable(at.Add(-time.Second), "a")
			f.RecordSent(at.Add(-time.Millisecond), "a", 1)
		}, true},
		{"requests in flight and no data", func(f *loomroute.Fleet) {
			f.RecordSent(at.Add(-time.Second), "a", 1)
			f.RecordSent(at.Add(-time.Second), "a", 1)
		}, true},
		{"requests just sent", func(f *loomroute.Fleet) {
			f.RecordSent(at.Add(-time.Millisecond), "a", 1)
			f.RecordSent(at.Add(-time.Millisecond), "a", 1)
		}, false},
		{"requests in flight and recent data", func(f *loomroute.Fleet) {
			f.RecordSent(at.Add(-time.Second), "a", 1)
			f.RecordSent(at.Add(-time.Second), "a", 1)
			f.RecordReceived(at.Add(-time.Millisecond), "a")
		}, false},
		{"idle", func(f *loomroute.Fleet) { f.RecordReceived(at.Add(-time.Hour), "a") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := loomroute.NewFleet()
			tt.setup(f)
			assert.Equal(t, f.IsSuspect(at, "a"), tt.want)
		})
	}
}

func TestEstimateCountsPeers(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := loomroute.NewFleet()
	f.RecordSentWithMemory(at, "a", 1000, 1200)
	f.SetPeerLoads(at, "p", []loomroute.PeerLoad{{ID: "a", Outstanding: 2, Tokens: 500, Memory: 900}})
	got := f.Estimate(at, "a", time.Microsecond)
	assert.Equal(t, got.Outstanding, 3)
	assert.Equal(t, got.Memory, 2100)
	assert.Equal(t, got.Wait, 1500*time.Microsecond)
	f.SetPeerLoads(at, "p", nil)
	assert.Equal(t, f.Estimate(at, "a", time.Microsecond).Outstanding, 1)
	f.SetPeerLoads(at, "p", []loomroute.PeerLoad{{ID: "a", Outstanding: 2}})
	assert.Equal(t, f.Estimate(at.Add(time.Minute), "a", time.Microsecond).Outstanding, 1, "the report of a peer expires")
}
