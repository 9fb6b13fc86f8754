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
	// grpcOverhead is the number of bytes that a call adds to its messages on the
	// wire in both directions, for HTTP/2 frames and compressed headers.
	grpcOverhead = 140
)

// gossipDomain simulates the gossip of the instances of one failure domain.
type gossipDomain struct {
	ids      []string
	trackers []*loommember.Tracker
	dead     map[int]bool
	// cut holds the pairs that do not reach each other, lower index first.
	cut    map[[2]int]bool
	random *rand.Rand
	// bytes counts the bytes of all messages sent.
	bytes int
}

func newGossipDomain(n int) *gossipDomain {
	d := &gossipDomain{dead: make(map[int]bool), cut: make(map[[2]int]bool), random: rand.New(rand.NewPCG(1, 3))}
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

// round lets every live instance exchange rumours with gossipTargets peers.
func (d *gossipDomain) round(now time.Time) {
	for i := range d.trackers {
		if d.dead[i] {
			continue
		}
		for range gossipTargets {
			d.exchange(now, i, d.random.IntN(len(d.trackers)))
		}
	}
}

func (d *gossipDomain) exchange(now time.Time, i, j int) {
	if i == j {
		return
	}
	rumours := d.trackers[i].Rumours(now)
	d.bytes += d.messageSize(now, i, rumours)
	if d.dead[j] || d.cut[[2]int{min(i, j), max(i, j)}] {
		d.trackers[i].Apply(now, loommember.Unanswered{ID: d.ids[j]})
		return
	}
	replyRumours := d.trackers[j].Rumours(now)
	d.bytes += d.messageSize(now, j, replyRumours)
	d.trackers[j].Apply(now, loommember.Alive{ID: d.ids[i], Incarnation: 1796331234307})
	d.trackers[i].Apply(now, loommember.Alive{ID: d.ids[j], Incarnation: 1796331234307})
	d.applyRumours(now, j, rumours)
	d.applyRumours(now, i, replyRumours)
}

func (d *gossipDomain) applyRumours(now time.Time, i int, rumours []loommember.Rumour) {
	for _, r := range rumours {
		d.trackers[i].Apply(now, r)
		if r.ID == d.ids[i] {
			d.trackers[i].Apply(now, loommember.Alive{ID: r.ID, Incarnation: r.Incarnation})
		}
	}
}

func (d *gossipDomain) messageSize(now time.Time, i int, rumours []loommember.Rumour) int {
	m := &loompb.GossipRequest{InstanceId: d.ids[i], CatalogueRevision: 82_000 * 365, Incarnation: 1796331234307}
	for _, r := range rumours {
		m.Rumours = append(m.Rumours, &loompb.Rumour{Id: r.ID, Incarnation: r.Incarnation, Unanswered: r.Unanswered, AgeMs: uint64(now.Sub(r.At).Milliseconds())})
	}
	return proto.Size(m) + grpcOverhead/2
}

// viewsWith returns the number of live instances whose view has member j.
func (d *gossipDomain) viewsWith(now time.Time, j int) int {
	n := 0
	for i, t := range d.trackers {
		if !d.dead[i] && t.Status(now, d.ids[j]) != loommember.Dead {
			n++
		}
	}
	return n
}

func TestDeadMemberLeavesAllViews(t *testing.T) {
	tests := []struct{ members int }{{2}, {9}, {60}, {200}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.members), func(t *testing.T) {
			d := newGossipDomain(tt.members)
			now := start
			for range 8 {
				now = now.Add(gossipPeriod)
				d.round(now)
			}
			d.dead[0] = true
			for range 5 * time.Second / gossipPeriod {
				now = now.Add(gossipPeriod)
				d.round(now)
			}
			assert.Equal(t, d.viewsWith(now, 0), 0)
			for j := 1; j < tt.members; j++ {
				assert.Equal(t, d.viewsWith(now, j), tt.members-1, "live member %s is missing from a view", d.ids[j])
			}
		})
	}
}

// A member that some of its peers can't reach stays in the views of the others.
func TestPartialCutKeepsMember(t *testing.T) {
	const members = 20
	d := newGossipDomain(members)
	for i := 1; i < 6; i++ {
		d.cut[[2]int{0, i}] = true
	}
	now := start
	for range 40 {
		now = now.Add(gossipPeriod)
		d.round(now)
	}
	assert.Assert(t, d.viewsWith(now, 0) >= members-5, "%d views have the member", d.viewsWith(now, 0))
}

// BenchmarkGossip measures the gossip traffic of an instance in bytes per second,
// from the size of encoded messages plus the overhead of gRPC, and the time until
// a dead member has left every view.
func BenchmarkGossip(b *testing.B) {
	for _, members := range []int{8, 200, 1400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			var slowestRemoval time.Duration
			var bytes, seconds float64
			for b.Loop() {
				d := newGossipDomain(members)
				now := start
				for range 8 {
					now = now.Add(gossipPeriod)
					d.round(now)
				}
				d.dead[0] = true
				died := now
				for d.viewsWith(now, 0) > 0 {
					now = now.Add(gossipPeriod)
					d.round(now)
				}
				slowestRemoval = max(slowestRemoval, now.Sub(died))
				bytes += float64(d.bytes) / float64(members)
				seconds += now.Sub(start).Seconds()
			}
			// Each byte counts twice: for the sender and for the receiver.
			b.ReportMetric(2*bytes/seconds, "B/s/node")
			b.ReportMetric(slowestRemoval.Seconds(), "s/death")
		})
	}
}

// BenchmarkView measures the time to build the view of all members, most of which
// are engines.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{40, 1400, 13_400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			d := newGossipDomain(1)
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
