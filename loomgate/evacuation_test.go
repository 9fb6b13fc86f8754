package loomgate

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// newZonesGate returns a gate with the engines e1 and e2 in the failure domain z1, and e3 in z2.
func newZonesGate(t *testing.T, id string, now time.Time) *Gate {
	t.Helper()
	g := newTestGate(t, id, newFakeSource(), &fakeRunner{})
	g.view.apply(now, TopicCatalogue, page(1, row("c", "routing 1", 1)), true)
	g.view.apply(now, TopicUpstreams, page(4, row("e1@z1", "up 1", 2), row("e2@z1", "up 1", 3), row("e3@z2", "up 1", 4)), true)
	return g
}

func evacuate(domain string, version uint64) Row {
	return row("evacuate/"+domain, "{}", version)
}

// revoke returns the deletion of the row for z1.
func revoke(version uint64) Row {
	return Row{Key: "evacuate/z1", Version: version, Deleted: true}
}

func usableIDs(g *Gate, now time.Time) string {
	var ids []string
	for _, u := range g.usableUpstreams(now, "engines") {
		ids = append(ids, u.ID)
	}
	return strings.Join(ids, " ")
}

// TestEvacuationFollowsRows guards against an evacuated failure domain that is used, by way of
// each kind of word that an instance gets of it, and against one that stays out of service.
func TestEvacuationFollowsRows(t *testing.T) {
	const all, rest = "e1@z1 e2@z1 e3@z2", "e3@z2"
	routing := row("c", "routing 1", 1)
	type word struct {
		after time.Duration
		page  Page
		full  bool
	}
	later := func(version uint64) uint64 { return loomplatform.Position(1, version) }
	started := word{0, page(6, evacuate("z1", 6)), false}
	tests := []struct {
		name  string
		words []word
		// want are the usable engines after each further second.
		want []string
	}{
		{"row", []word{started}, []string{rest, rest}},
		{"row of a snapshot", []word{{0, page(6, routing, evacuate("z1", 6)), true}}, []string{rest}},
		{"deletion", []word{started, {0, page(7, revoke(7)), false}}, []string{all}},
		{"later list without the row", []word{started, {0, page(9, routing), true}}, []string{all}},
		{"older list without the row", []word{started, {0, page(5, routing), true}}, []string{rest}},
		{"row and deletion in one page", []word{{0, page(7, evacuate("z1", 6), revoke(7)), false}}, []string{all}},
		{"evacuated again", []word{started, {0, page(8, revoke(7), evacuate("z1", 8)), false}}, []string{rest}},
		{"list of an older copy", []word{started, {0, page(later(5), row("c", "routing 1", later(1))), true}}, []string{rest, rest, rest, rest, all}},
		{"row written again after an older copy", []word{
			started, {0, page(later(5), row("c", "routing 1", later(1))), true}, {3 * time.Second, page(later(6), evacuate("z1", later(6))), false},
		}, []string{rest, rest, rest, rest, rest, rest}},
		{"older copy with a row that was deleted", []word{
			started, {0, page(7, revoke(7)), false}, {0, page(later(6), evacuate("z1", later(6))), true},
		}, []string{rest, rest, rest, rest, rest, rest}},
		{"deletion after an older copy", []word{
			started, {0, page(later(6), evacuate("z1", later(6))), true}, {0, page(later(7), revoke(later(7))), false},
		}, []string{all}},
		{"row of a peer from before the store's return", []word{{0, page(later(5), evacuate("z1", 6)), true}}, []string{rest, rest, rest, rest, all}},
		{"all domains", []word{{0, page(6, evacuate("z1", 5), evacuate("z2", 6)), false}}, []string{""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			g := newZonesGate(t, "a", now)
			for _, w := range tt.words {
				now = now.Add(w.after)
				g.view.evictExpired(now)
				g.view.apply(now, TopicCatalogue, w.page, w.full)
			}
			for i, want := range tt.want {
				at := now.Add(time.Duration(i) * time.Second)
				g.view.evictExpired(at)
				assert.Equal(t, usableIDs(g, at), want, "after %d s", i)
			}
		})
	}
}

// TestPeerPassesEvacuationOn guards against an instance that can't reach the store and uses an
// evacuated domain, or never uses one again.
func TestPeerPassesEvacuationOn(t *testing.T) {
	now := time.Now()
	g, peer := newZonesGate(t, "a", now), newZonesGate(t, "b", now)
	peer.view.apply(now, TopicCatalogue, page(6, evacuate("z1", 6)), false)
	g.view.apply(now, TopicCatalogue, peer.view.snapshot(TopicCatalogue), true)
	assert.Equal(t, usableIDs(g, now), "e3@z2")
	peer.view.apply(now, TopicCatalogue, page(9, row("c", "routing 1", 1)), true)
	g.view.apply(now, TopicCatalogue, peer.view.snapshot(TopicCatalogue), true)
	assert.Equal(t, usableIDs(g, now), "e1@z1 e2@z1 e3@z2")
}

// TestStartKnowsEvacuationsBeforeRoutes guards against requests that are admitted between the
// manifest and the rows after it, when the list of upstreams is read first.
func TestStartKnowsEvacuationsBeforeRoutes(t *testing.T) {
	for range 200 {
		g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
		g.view.apply(time.Now(), TopicUpstreams, page(4, row("e1@z1", "up 1", 2)), true)
		var reader sync.WaitGroup
		reader.Go(func() {
			for g.view.routing().Revision() == 0 {
				continue
			}
			assert.Check(t, usableIDs(g, time.Now()) == "")
		})
		g.view.apply(time.Now(), TopicCatalogue, page(6, row("c", "routing 1", 1), evacuate("z1", 6)), true)
		reader.Wait()
		_ = g.metrics.Close()
	}
}

// TestEvacuationKeepsRunningRequestsCounted guards against an upstream that looks idle when its
// evacuation ends, since the load and the KV cache were forgotten.
func TestEvacuationKeepsRunningRequestsCounted(t *testing.T) {
	now := time.Now()
	g := newZonesGate(t, "a", now)
	part := []PromptPart{{ID: "p", Tokens: 10}}
	g.fleet.RecordSent(now, "e1@z1", 100)
	g.residency.RecordPrompt("e1@z1", "m/1", part, 1000)
	g.view.apply(now, TopicCatalogue, page(6, evacuate("z1", 6)), false)
	g.view.apply(now, TopicUpstreams, page(7, row("e3@z2", "up 1", 7)), false)
	assert.Equal(t, g.fleet.InFlight("e1@z1"), 1)
	assert.Equal(t, g.residency.CachedTokens("e1@z1", "m/1", part), 10)
	assert.Equal(t, g.view.evacuatedCount("engines"), 2)
}

// TestLastResortsAreEvacuated guards against an upstream of an evacuated domain that says that
// it leaves, in a group without others.
func TestLastResortsAreEvacuated(t *testing.T) {
	now := time.Now()
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(now, TopicUpstreams, page(4, row("e1@z1", "up 1", 2), row("e3@z2", "up 1", 4)), true)
	for _, id := range []string{"e1@z1", "e3@z2"} {
		g.view.hearLeaving(now, now, id, 0, "answer")
	}
	assert.Equal(t, usableIDs(g, now), "e1@z1 e3@z2")
	g.view.apply(now, TopicCatalogue, page(6, evacuate("z1", 6)), false)
	assert.Equal(t, usableIDs(g, now), "e3@z2")
}

// TestStaleCoordinatorIsNotFollowed guards against requests and transfers of KV cache that a
// coordinator with an older view sends into an evacuated domain.
func TestStaleCoordinatorIsNotFollowed(t *testing.T) {
	now := time.Now()
	g := newZonesGate(t, "a", now)
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{Revision: 2, Stores: []loomcatalogue.KVStore{
		{Address: "s1", FailureDomain: "z1"}, {Address: "s2", FailureDomain: "z2"},
	}})
	g.view.routingSnapshot.Store(&routing)
	d := &dispatch{placementQuery: placementQuery{gate: g, group: loomcatalogue.Group{Name: "engines"}}, req: &request{IncomingRequest: IncomingRequest{HasPrompt: true}}}
	addresses := []string{"e1@z1", "", "s1", "s2", "e3@z2"}
	_, ok := d.placementOf(now, "c", &loompb.PlaceReply{UpstreamId: "e1@z1", Version: 1, IsReserved: true})
	assert.Assert(t, ok)
	d.kv = kvPlan{fetch: addresses, save: addresses}
	assert.DeepEqual(t, d.newSend(now).Fetch, addresses)
	g.view.apply(now, TopicCatalogue, page(6, evacuate("z1", 6)), false)
	_, ok = d.placementOf(now, "c", &loompb.PlaceReply{UpstreamId: "e1@z1", Version: 1, IsReserved: true})
	assert.Check(t, !ok)
	kept := []string{"", "", "", "s2", "e3@z2"}
	assert.DeepEqual(t, d.newSend(now).Fetch, kept)
	assert.DeepEqual(t, d.newSend(now).Save, kept)
}

// TestRolloutLeavesEvacuatedEnginesOut guards against orders to evacuated engines, a rollout that
// waits for them, and engines that keep older weights after their evacuation.
func TestRolloutLeavesEvacuatedEnginesOut(t *testing.T) {
	r := &fakeRunner{versions: map[string]uint64{"e1@z1": 1, "e2@z1": 1, "e3@z2": 1}}
	now := time.Now()
	g := newZonesGate(t, "a", now)
	g.runner = r
	g.view.apply(now, TopicCatalogue, page(7, evacuate("z1", 6), row("v", "weights 2", 7)), false)
	done := func() bool { return len(g.rollout.pendingUpdates(time.Now())) == 0 }
	assert.Assert(t, reconcileUntil(t, g, 3*time.Second, done), "the rollout waits for evacuated engines")
	assert.Equal(t, r.orderCount(), 1)
	assert.Equal(t, r.orders[0].Upstream, "e3@z2")
	for len(g.rollout.wakeups) > 0 {
		<-g.rollout.wakeups
	}
	// Until the evacuation ends, the older weights have expired.
	g.settings.OldWeightsTTL = time.Millisecond
	g.view.apply(time.Now(), TopicCatalogue, page(8, revoke(8)), false)
	assert.Equal(t, len(g.rollout.wakeups), 1, "the rollout is not told")
	ended := time.Now()
	assert.Assert(t, reconcileUntil(t, g, 3*time.Second, done))
	assert.Check(t, time.Since(ended) < time.Second, "ordered after %s", time.Since(ended))
	assert.Check(t, r.orderCount() == 3)
}

// TestEvacuationStopsOrderUnderWay guards against an order that was planned before the
// evacuation and is sent after it, when the engine has reported its state late.
func TestEvacuationStopsOrderUnderWay(t *testing.T) {
	now := time.Now()
	g, r := newLoadingGate(t)
	g.view.apply(now, TopicUpstreams, page(9, row("e1@z1", "up 1", 8)), true)
	assert.Assert(t, g.rollout.ensureLease(t.Context(), bootTime()))
	updates := g.rollout.pendingUpdates(now)
	g.view.apply(now, TopicCatalogue, page(10, evacuate("z1", 10)), false)
	for _, update := range updates {
		g.rollout.sendOrders(t.Context(), update)
	}
	assert.Equal(t, r.orderCount(), 0)
}

// TestWaitingRequestsAreRefusedAtOnce guards against requests that wait until their callers leave
// for engines that are evacuated.
func TestWaitingRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newLoadGate(t)
		const requests = 40
		for _, u := range g.usableUpstreams(time.Now(), "engines") {
			defer g.fleet.Done(g.fleet.RecordSent(time.Now(), u.ID, 100_000))
		}
		var running sync.WaitGroup
		var evacuatedAt time.Time
		for n := range requests {
			running.Go(func() {
				_, w := serveRequest(t.Context(), g, "patient", n, 100)
				assert.Check(t, w.failure != nil && w.failure.Kind() == loomerror.NoUpstream && w.failure.NotRun() == loomerror.NotRunTrue && w.failure.RetryAfter() > 0, "%v", w.failure)
				assert.Check(t, !evacuatedAt.IsZero() && w.endedAt.Sub(evacuatedAt) <= queueInterval, "refused after %s", w.endedAt.Sub(evacuatedAt))
			})
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, g.queues.length("engines"), requests)
		evacuatedAt = time.Now()
		g.view.apply(evacuatedAt, TopicCatalogue, page(6, evacuate("", 6)), false)
		running.Wait()
		// The goroutine that checks the queue ends.
		time.Sleep(queueInterval)
	})
}

// TestLoadReturnsGently guards against a fleet that sends all its load to a domain at the moment
// when its evacuation ends, since its upstreams are idle.
func TestLoadReturnsGently(t *testing.T) {
	now := time.Now()
	const instances = 30
	var gates []*Gate
	for i := range instances {
		g := newZonesGate(t, fmt.Sprint("i", i), now)
		g.view.apply(now, TopicCatalogue, page(7, evacuate("z1", 6), revoke(7)), false)
		gates = append(gates, g)
	}
	// Each instance has ten requests at once, and none hears of those of the others.
	sentAt := func(at time.Time) int {
		sent := 0
		for _, g := range gates {
			for range 10 {
				q := placementQuery{gate: g, group: loomcatalogue.Group{Name: "engines"}}
				p, err := q.choose(at)
				assert.Assert(t, err == nil)
				defer g.fleet.Done(g.fleet.RecordSent(at, p.upstream.ID, 1))
				if p.limitDelay.wait == 0 && strings.HasSuffix(p.upstream.ID, "@z1") {
					sent++
				}
			}
		}
		return sent
	}
	const requests = 10 * instances
	assert.Check(t, sentAt(now.Add(20*time.Millisecond)) <= requests/10)
	assert.Check(t, sentAt(now.Add(500*time.Millisecond)) <= requests*2/3)
	assert.Check(t, sentAt(now.Add(2*time.Second)) >= requests/2)
}

// TestUpstreamsAreColdAfterAnEvacuation guards against the whole load of a failure domain at
// upstreams that have become cold while they were out of service and have not said so yet.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	now := time.Now()
	g := newZonesGate(t, "a", now)
	g.settings.ColdOver = 1
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: g.view.routing().Revision() + 1,
		Groups:   []loomcatalogue.Group{{Name: "engines", ColdDuration: 3 * time.Second, ColdRequestsPerSecond: 10}},
	})
	g.view.routingSnapshot.Store(&routing)
	u := g.usableUpstreams(now, "engines")[0]
	assert.Check(t, !g.cold.isBound(now, u))
	g.view.mu.Lock()
	g.view.evacuations.Start(u.FailureDomain, 100)
	change := g.view.evacuations.End(now, u.FailureDomain, 101)
	g.view.noteEvacuation(now, u.FailureDomain, 101, change, "row deleted")
	g.view.mu.Unlock()
	for _, other := range g.usableUpstreams(now, "engines") {
		assert.Check(t, g.cold.isBound(now, other) == (other.FailureDomain == u.FailureDomain), other.ID)
	}
	assert.Check(t, !g.cold.isBound(now.Add(5*time.Second), u))
}
