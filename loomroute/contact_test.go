package loomroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomroute"
)

func TestPeerContacts(t *testing.T) {
	at := time.Unix(1000, 0)
	after := at.Add
	fail := func(f *loomroute.Fleet, d time.Duration, peer string) {
		f.ApplyPeerContacts(after(d), peer, nil, []string{"a"})
	}
	tests := []struct {
		name  string
		setup func(f *loomroute.Fleet)
		now   time.Duration
		want  bool
	}{
		{"one peer may be cut off itself", func(f *loomroute.Fleet) { fail(f, 0, "p") }, 0, false},
		{"the same peer twice", func(f *loomroute.Fleet) { fail(f, 0, "p"); fail(f, 100*time.Millisecond, "p") }, 100 * time.Millisecond, false},
		{"two peers", func(f *loomroute.Fleet) { fail(f, 0, "p"); fail(f, time.Second, "q") }, time.Second, true},
		{"two peers, long after each other", func(f *loomroute.Fleet) { fail(f, 0, "p"); fail(f, 2*time.Second, "q") }, 2 * time.Second, false},
		{"a third has reached it", func(f *loomroute.Fleet) {
			f.ApplyPeerContacts(at, "r", []string{"a"}, nil)
			fail(f, 100*time.Millisecond, "p")
			fail(f, 200*time.Millisecond, "q")
		}, 200 * time.Millisecond, false},
		{"reached after it was suspect", func(f *loomroute.Fleet) {
			fail(f, 0, "p")
			fail(f, 0, "q")
			f.ApplyPeerContacts(after(100*time.Millisecond), "r", []string{"a"}, nil)
		}, 100 * time.Millisecond, false},
		{"this instance has reached it", func(f *loomroute.Fleet) {
			fail(f, 0, "p")
			fail(f, 0, "q")
			f.RecordReceived(after(100*time.Millisecond), "a")
		}, 100 * time.Millisecond, false},
		{"tried again after its time", func(f *loomroute.Fleet) { fail(f, 0, "p"); fail(f, 0, "q") }, 800 * time.Millisecond, false},
		{"one request at a time after its time", func(f *loomroute.Fleet) {
			fail(f, 0, "p")
			fail(f, 0, "q")
			f.RecordSent(after(750*time.Millisecond), "a", 1)
		}, 800 * time.Millisecond, true},
		{"one failure is enough after that", func(f *loomroute.Fleet) {
			fail(f, 0, "p")
			fail(f, 0, "q")
			fail(f, 1200*time.Millisecond, "p")
		}, 1200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := loomroute.NewFleet()
			f.Report(at, "a", loomroute.Report{BatchLimit: 16})
			tt.setup(f)
			assert.Equal(t, f.IsSuspect(after(tt.now), "a"), tt.want)
		})
	}
}

func TestContacts(t *testing.T) {
	at := time.Unix(1000, 0)
	f := loomroute.NewFleet()
	for _, id := range []string{"answers", "answered before", "refuses connections", "is slow", "is silent", "idle"} {
		f.Report(at, id, loomroute.Report{})
	}
	f.RecordReceived(at, "answered before")
	f.RecordSent(at, "answers", 1)
	f.RecordSent(at, "is silent", 1)
	f.RecordSent(at.Add(500*time.Millisecond), "is slow", 1)
	f.RecordReceived(at.Add(900*time.Millisecond), "answers")
	f.Unreachable(at.Add(900*time.Millisecond), "refuses connections")
	reached, failing := f.Contacts(at.Add(time.Second), at.Add(800*time.Millisecond), func(string) bool { return false })
	assert.DeepEqual(t, reached, []string{"answers"})
	assert.DeepEqual(t, failing, []string{"is silent", "refuses connections"})
}

// TestContactsIncludeRelayedReports guards against coordinators that each try a silent upstream
// by themselves, since none tells the others what its instances have found.
func TestContactsIncludeRelayedReports(t *testing.T) {
	at := time.Unix(1000, 0)
	after := at.Add
	tests := []struct {
		name             string
		setup            func(f *loomroute.Fleet)
		reached, failing []string
	}{
		{"a report of failure", func(f *loomroute.Fleet) { f.ApplyPeerContacts(after(time.Second), "i1", nil, []string{"a"}) }, nil, []string{"a"}},
		{"a report of contact", func(f *loomroute.Fleet) { f.ApplyPeerContacts(after(time.Second), "i1", []string{"a"}, nil) }, []string{"a"}, nil},
		{"of a peer that tells others itself", func(f *loomroute.Fleet) { f.ApplyPeerContacts(after(time.Second), "c", []string{"b"}, []string{"a"}) }, nil, nil},
		{"an earlier report", func(f *loomroute.Fleet) { f.ApplyPeerContacts(after(400*time.Millisecond), "i1", nil, []string{"a"}) }, nil, nil},
		{"a report that has been replaced", func(f *loomroute.Fleet) {
			f.ApplyPeerContacts(after(900*time.Millisecond), "i1", nil, []string{"a"})
			f.ApplyPeerContacts(after(time.Second), "i1", []string{"a"}, nil)
		}, []string{"a"}, nil},
		{"reports that differ", func(f *loomroute.Fleet) {
			f.ApplyPeerContacts(after(900*time.Millisecond), "i1", []string{"a"}, nil)
			f.ApplyPeerContacts(after(time.Second), "i2", nil, []string{"a"})
		}, []string{"a"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := loomroute.NewFleet()
			for _, id := range []string{"a", "b"} {
				f.Report(at, id, loomroute.Report{})
			}
			tt.setup(f)
			reached, failing := f.Contacts(after(1100*time.Millisecond), after(800*time.Millisecond), func(peer string) bool { return peer != "c" })
			assert.DeepEqual(t, reached, tt.reached)
			assert.DeepEqual(t, failing, tt.failing)
		})
	}
}
