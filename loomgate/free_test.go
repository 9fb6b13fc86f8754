package loomgate

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomupstream"
)

// freeingStore is a store that records which parts are freed.
type freeingStore struct {
	freed []loomupstream.KVPart
}

// Watch implements loomupstream.KVStores.
func (s *freeingStore) Watch(context.Context, string, uint64, time.Duration) (loomupstream.KVEvents, error) {
	return loomupstream.KVEvents{}, errDown
}

// Free implements loomupstream.KVStores.
func (s *freeingStore) Free(_ context.Context, _ string, _ uint64, parts []loomupstream.KVPart) error {
	s.freed = append(s.freed, parts...)
	return nil
}

// hasFreed reports whether a part with a salt was freed.
func (s *freeingStore) hasFreed(salt string) bool {
	return slices.ContainsFunc(s.freed, func(p loomupstream.KVPart) bool { return p.Salt == salt })
}

// TestFreesPartsOfAbandonedWeights plays two sets of new weights in quick succession.
// The parts of the first weights must go soon after the last engine has left them,
// although another engine still has to load the newest ones: until then they take
// the room in which the parts of the new weights are saved. Parts that an engine may
// still use must stay.
func TestFreesPartsOfAbandonedWeights(t *testing.T) {
	const address = "10.0.0.1:1"
	store := &freeingStore{}
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.kvStores = store
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: 1,
		Groups:   []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{Models: []string{"m"}}}},
		Stores:   []loomcatalogue.KVStore{{Name: "store", Address: address, MemoryTokens: 1000, IsManaged: true}},
	})
	g.view.routingSnapshot.Store(&routing)
	g.stores.index.SetStores([]loomcache.StoreClass{{Address: address, Capacity: 1000}})
	for _, salt := range []string{"m/1", "m/2", "m/3"} {
		g.stores.index.AddPart(address, salt, "part", 100)
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	version := uint64(0)
	var listed []Row
	list := func(rows ...Row) {
		listed = rows
	}
	free := func(from, until time.Duration) {
		for at := from; at < until; at += freeInterval {
			version++
			for i := range listed {
				listed[i].Version = version
			}
			g.view.apply(start.Add(at), TopicUpstreams, page(version, listed...), true)
			g.stores.freeObsolete(t.Context(), start.Add(at))
		}
	}
	g.view.apply(start, TopicCatalogue, page(1, row("v", "weights 3", 1)), true)

	list(row("e1", "up 1", 1), row("e2", "up 3", 1))
	free(0, 10*time.Second)
	assert.Assert(t, !store.hasFreed("m/1"), "an engine still runs the first weights")
	assert.Assert(t, store.hasFreed("m/2"), "no engine runs the second weights")

	list(row("e1", "up 2", 1), row("e2", "up 3", 1))
	free(10*time.Second, 10*time.Second+freeDelay)
	assert.Assert(t, !store.hasFreed("m/1"), "a fetch for the first weights may still be in progress")
	free(10*time.Second+freeDelay, 15*time.Second)
	assert.Assert(t, store.hasFreed("m/1"), "no engine runs the first weights any more")
	assert.Assert(t, !store.hasFreed("m/3"), "the newest weights are in use")
}

// TestFreesNothingByAnOldList checks that parts stay while the list of upstreams is
// not up to date: engines that it lacks may still use them.
func TestFreesNothingByAnOldList(t *testing.T) {
	const address = "10.0.0.1:1"
	store := &freeingStore{}
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.kvStores = store
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: 1,
		Groups:   []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{Models: []string{"m"}}}},
		Stores:   []loomcatalogue.KVStore{{Name: "store", Address: address, MemoryTokens: 1000, IsManaged: true}},
	})
	g.view.routingSnapshot.Store(&routing)
	g.stores.index.SetStores([]loomcache.StoreClass{{Address: address, Capacity: 1000}})
	g.stores.index.AddPart(address, "m/1", "part", 100)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g.view.apply(start, TopicUpstreams, page(1, row("e1", "up 2", 1)), true)
	for at := g.maxUpstreamsAge(); at < time.Minute; at += freeInterval {
		g.stores.freeObsolete(t.Context(), start.Add(at))
	}
	assert.Equal(t, len(store.freed), 0)
}

// busyStore is a store that answers the first watch and refuses all others for load.
type busyStore struct {
	freeingStore

	watches int
}

// Watch implements loomupstream.KVStores.
func (s *busyStore) Watch(context.Context, string, uint64, time.Duration) (loomupstream.KVEvents, error) {
	s.watches++
	if s.watches > 1 {
		return loomupstream.KVEvents{}, loomupstream.ErrBusy
	}
	part := loomupstream.KVPart{Salt: "m/1", ID: "part"}
	return loomupstream.KVEvents{Epoch: 1, Next: 1, Events: []loomupstream.KVEvent{{Part: part, Tokens: 100}}}, nil
}

// TestRefusedWatchIsNoOutage checks that a store that refuses a watch for load stays
// in use, but not for longer than a restart of the store may go unnoticed.
func TestRefusedWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
		g.kvStores = &busyStore{}
		g.stores.index.SetStores([]loomcache.StoreClass{{Address: "s", Capacity: 1000}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.stores.watch(ctx, "s")
		isUsed := func() bool {
			_, ok := g.stores.index.Source("m/1", PromptPart{ID: "part", Tokens: 100})
			return ok
		}
		time.Sleep(time.Second)
		assert.Assert(t, isUsed(), "the store has answered a second ago")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !isUsed(), "the store has not answered for eleven seconds")
	})
}

// TestFetchesEndBeforeTheirPartsAreFreed checks that no fetch may last until its part
// could be freed, also where engines are so slow that computing takes longer.
func TestFetchesEndBeforeTheirPartsAreFreed(t *testing.T) {
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	now := time.Now()
	g.stores.index.SetStores([]loomcache.StoreClass{{Address: "s", Capacity: 1000}})
	const clock = 1000 * time.Second
	g.stores.applyEvents(now, "s", 0, loomupstream.KVEvents{Epoch: 1, Clock: clock})
	for _, compute := range []time.Duration{time.Millisecond, time.Second, time.Minute} {
		deadline := g.stores.fetchDeadline(now, compute)
		assert.Assert(t, deadline > clock && deadline < clock+freeDelay, "fetch for %s of work until %s", compute, deadline-clock)
	}
}

// TestRepeatedEventsOfStoreAreIgnored guards against a response to an earlier watch that
// arrives again and brings back parts that the store has removed since.
func TestRepeatedEventsOfStoreAreIgnored(t *testing.T) {
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	now := time.Now()
	g.stores.index.SetStores([]loomcache.StoreClass{{Address: "s", Capacity: 1000}})
	part := loomupstream.KVEvent{Part: loomupstream.KVPart{Salt: "m/1", ID: "part"}, Tokens: 100}
	stored := loomupstream.KVEvents{Epoch: 1, Next: 2, Events: []loomupstream.KVEvent{part}, Clock: time.Second}
	part.Gone = true
	removed := loomupstream.KVEvents{Epoch: 1, Next: 3, Events: []loomupstream.KVEvent{part}, Clock: 2 * time.Second}
	since := g.stores.applyEvents(now, "s", 0, stored)
	since = g.stores.applyEvents(now, "s", since, removed)
	deadline := g.stores.fetchDeadline(now, time.Millisecond)
	since = g.stores.applyEvents(now, "s", since, stored)
	assert.Equal(t, since, uint64(3))
	assert.Equal(t, g.stores.fetchDeadline(now, time.Millisecond), deadline)
	_, ok := g.stores.index.Source("m/1", PromptPart{ID: "part", Tokens: 100})
	assert.Assert(t, !ok, "the store has removed the part")
}
