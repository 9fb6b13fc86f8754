package loommember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	gossipPeriod  = 450 * time.Millisecond
	gossipTargets = 2
	// grpcOverhead is what a call adds to its messages on the wire, in both
	// directions: HTTP/2 frames and compressed headers, measured by try
	// --scenario idle.
	grpcOverhead = 140
)

// domain is the trackers of the instances of one failure domain, which tell
// each other what the real ones do.
type domain struct {
	ids      []string
	trackers []*loommember.Tracker
	dead     map[int]bool
	// deaf pairs do not reach each other.
	deaf   map[[2]int]bool
	random *rand.Rand
	bytes  int
}

func newDomain(n int) *domain {
	d := &domain{dead: make(map[int]bool), deaf: make(map[[2]int]bool), random: rand.New(rand.NewPCG(1, 3))}
	var list loommember.Listed
	for i := range n {
		id := fmt.Sprintf("entry-%04d", i)
		d.ids = append(d.ids, id)
		m := loommember.Member{ID: id, Kind: loommember.KindInstance, Address: "127.0.0.1:1", Incarnation: 1796331234307}
		list.Members = append(list.Members, loommember.Listing{Member: m})
	}
	for range n {
		t := loommember.NewTracker(loommember.DefaultOptions())
		t.Apply(start, list)
		d.trackers = append(d.trackers, t)
	}
	return d
}

// step lets every living instance tell some others.
func (d *domain) step(now time.Time) {
	for i := range d.trackers {
		if d.dead[i] {
			continue
		}
		for range gossipTargets {
			d.exchange(now, i, d.random.IntN(len(d.trackers)))
		}
	}
}

func (d *domain) exchange(now time.Time, i, j int) {
	if i == j {
		return
	}
	news := d.trackers[i].News(now)
	d.bytes += d.size(now, i, news)
	if d.dead[j] || d.deaf[[2]int{min(i, j), max(i, j)}] {
		d.trackers[i].Apply(now, loommember.Unanswered{ID: d.ids[j]})
		return
	}
	answer := d.trackers[j].News(now)
	d.bytes += d.size(now, j, answer)
	d.trackers[j].Apply(now, loommember.Heard{ID: d.ids[i], Incarnation: 1796331234307})
	d.trackers[i].Apply(now, loommember.Heard{ID: d.ids[j], Incarnation: 1796331234307})
	d.take(now, j, news)
	d.take(now, i, answer)
}

func (d *domain) take(now time.Time, i int, news []loommember.Rumour) {
	for _, r := range news {
		d.trackers[i].Apply(now, r)
		if r.ID == d.ids[i] {
			d.trackers[i].Apply(now, loommember.Heard{ID: r.ID, Incarnation: r.Incarnation})
		}
	}
}

func (d *domain) size(now time.Time, i int, news []loommember.Rumour) int {
	m := &loompb.GossipRequest{InstanceId: d.ids[i], CatalogueRevision: 82_000 * 365, Incarnation: 1796331234307}
	for _, r := range news {
		m.Rumours = append(m.Rumours, &loompb.Rumour{Id: r.ID, Incarnation: r.Incarnation, Unanswered: r.Unanswered, AgeMs: uint64(now.Sub(r.At).Milliseconds())})
	}
	return proto.Size(m) + grpcOverhead/2
}

// believers counts the living instances that have a member in their view.
func (d *domain) believers(now time.Time, j int) int {
	n := 0
	for i, t := range d.trackers {
		if !d.dead[i] && t.Status(now, d.ids[j]) != loommember.Dead {
			n++
		}
	}
	return n
}

func TestDeadIsOutOfEveryView(t *testing.T) {
	tests := []struct{ members int }{{2}, {9}, {60}, {200}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.members), func(t *testing.T) {
			d := newDomain(tt.members)
			now := start
			for range 8 {
				now = now.Add(gossipPeriod)
				d.step(now)
			}
			d.dead[0] = true
			for range 5 * time.Second / gossipPeriod {
				now = now.Add(gossipPeriod)
				d.step(now)
			}
			assert.Equal(t, d.believers(now, 0), 0)
			for j := 1; j < tt.members; j++ {
				assert.Equal(t, d.believers(now, j), tt.members-1, "%s is wrongly out of a view", d.ids[j])
			}
		})
	}
}

// A member that a part of the others can't reach stays in the views of those
// that can.
func TestPartialCutDoesNotRemove(t *testing.T) {
	const members = 20
	d := newDomain(members)
	for i := 1; i < 6; i++ {
		d.deaf[[2]int{0, i}] = true
	}
	now := start
	for range 40 {
		now = now.Add(gossipPeriod)
		d.step(now)
	}
	assert.Assert(t, d.believers(now, 0) >= members-5, "%d believe", d.believers(now, 0))
}

// BenchmarkGossip measures the bytes that membership costs an instance in a
// second, counted on encoded messages with the overhead of grpc, and how long a
// death takes to reach every view.
func BenchmarkGossip(b *testing.B) {
	for _, members := range []int{8, 200, 1400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var slowest time.Duration
			var bytes, seconds float64
			for b.Loop() {
				d := newDomain(members)
				now := start
				for range 8 {
					now = now.Add(gossipPeriod)
					d.step(now)
				}
				d.dead[0] = true
				died := now
				for d.believers(now, 0) > 0 {
					now = now.Add(gossipPeriod)
					d.step(now)
				}
				slowest = max(slowest, now.Sub(died))
				bytes += float64(d.bytes) / float64(members)
				seconds += now.Sub(start).Seconds()
			}
			// Each byte is sent by one node and received by another.
			b.ReportMetric(2*bytes/seconds, "B/s/node")
			b.ReportMetric(slowest.Seconds(), "s/death")
		})
	}
}

// BenchmarkView measures what an instance spends on its view of all members, of
// which only a part are instances.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{40, 1400, 13_400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			d := newDomain(1)
			var list loommember.Listed
			for i := range members {
				m := loommember.Member{ID: fmt.Sprintf("member-%05d", i), Kind: loommember.KindEngine, Group: "g", Address: "127.0.0.1:1", Incarnation: 1}
				list.Members = append(list.Members, loommember.Listing{Member: m})
			}
			t := d.trackers[0]
			t.Apply(start, list)
			b.ReportAllocs()
			for b.Loop() {
				t.View(start)
			}
		})
	}
}
