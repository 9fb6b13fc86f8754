package loomgate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomupstream"
)

// fakeKept notes what is freed.
type fakeKept struct {
	mu    sync.Mutex
	freed map[string]bool
}

// Watch implements loomupstream.KeptStores.
func (k *fakeKept) Watch(context.Context, string, uint64, time.Duration) (loomupstream.KeptEvents, error) {
	return loomupstream.KeptEvents{}, errDown
}

// Free implements loomupstream.KeptStores.
func (k *fakeKept) Free(_ context.Context, _ string, f loomupstream.KeptFree) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range f.Parts {
		k.freed[p.ID] = true
	}
	return nil
}

const testStore = "10.0.0.1:80"

// storeGate is a gate that knows one store, filled to nine tenths with parts
// whose last uses are a minute apart.
func storeGate(t *testing.T, id string, start time.Time) (*Gate, *fakeKept) {
	t.Helper()
	g := newTestGate(t, id, newFakeSource(), &fakeRunner{})
	kept := &fakeKept{freed: make(map[string]bool)}
	g.kept = kept
	g.beliefs.currentRouting.Store(routingWithStore())
	g.stores.index.SetStores(storeClasses(g.beliefs.routing()))
	g.stores.index.Restarted(testStore, 1)
	for i := range 9 {
		g.stores.index.Holds(start.Add(time.Duration(i)*time.Minute), testStore, "m/1", fmt.Sprint(i), 1000)
	}
	g.peers.followed = true
	return g, kept
}

func routingWithStore() *loomcatalogue.Routing {
	r := loomcatalogue.NewRouting(loomcatalogue.RoutingSource{
		Revision: 1,
		Groups:   []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{Models: []string{"m"}, BytesPerToken: 1}}},
		Stores:   []loomcatalogue.KeptStateStore{{Address: testStore, Managed: true, MemoryTokens: 10_000, LinkBitsPerSecond: 1e9}},
	})
	return &r
}

// Parts are freed only after all instances have heard of it, and the last fetch
// that one of them could have asked for before is over.
func TestRetireWaitsForAllInstances(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		id   string
		play func(p *peers, now time.Time)
		want int
	}{
		{"all have heard", "a", func(p *peers, now time.Time) { p.known["b"].heard, p.known["b"].heardAt = 1, now }, 4},
		{"one has heard, and is silent since", "a", func(p *peers, now time.Time) {
			if p.known["b"].heard == 0 {
				p.known["b"].heard, p.known["b"].heardAt = 1, now
			}
		}, 0},
		{"one has not heard", "a", func(*peers, time.Time) {}, 0},
		{"one is silent", "a", func(p *peers, _ time.Time) { p.known["b"].failed = 9 }, 0},
		{"another one ranks first", "c", func(p *peers, now time.Time) { p.known["b"].heard, p.known["b"].heardAt = 1, now }, 0},
		{"the list of instances may be old", "a", func(p *peers, now time.Time) {
			p.known["b"].heard, p.known["b"].heardAt, p.followed = 1, now, false
		}, 0},
		{"an instance that is not listed has called", "a", func(p *peers, now time.Time) {
			p.known["b"].heard, p.known["b"].heardAt = 1, now
			p.noteStranger(now, "z", 1)
		}, 0},
		{"an instance was started again", "a", func(p *peers, now time.Time) {
			p.known["b"].heard, p.known["b"].heardAt = 1, now
			p.noteStranger(now, "b", 2)
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, kept := storeGate(t, tt.id, start)
			g.peers.known["b"] = &peer{id: "b", row: instanceRow{Incarnation: 1}}
			now := start.Add(time.Hour)
			for end := now.Add(2 * freeDelay); now.Before(end); now = now.Add(freeInterval) {
				g.stores.retire(t.Context(), now)
				tt.play(g.peers, now)
				if now.Before(start.Add(time.Hour + freeDelay)) {
					assert.Equal(t, len(kept.freed), 0, "a fetch may be under way")
				}
			}
			assert.Equal(t, len(kept.freed), tt.want)
			if tt.want > 0 {
				assert.Assert(t, kept.freed["0"] && kept.freed["3"])
				_, found := g.stores.index.Source("m/1", Part{ID: "8", Tokens: 1000})
				assert.Assert(t, found, "what was used last is kept")
			}
		})
	}
}

// A peer fetches no part that it was told is about to be freed, and fetches it
// again when that was given up.
func TestPeerHearsOfRetirement(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first, _ := storeGate(t, "a", start)
	peer, _ := storeGate(t, "b", start)
	now := start.Add(time.Hour)
	first.stores.retire(t.Context(), now)
	told, round := first.stores.toldRetirements(now)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, round, uint64(1))
	old := Part{ID: "0", Tokens: 1000}

	peer.stores.heardRetirements(now, "a", told)
	_, found := peer.stores.index.Source("m/1", old)
	assert.Assert(t, !found)
	peer.stores.heardRetirements(now, "c", nil)
	_, found = peer.stores.index.Source("m/1", old)
	assert.Assert(t, !found, "another peer's silence says nothing")
	peer.stores.heardRetirements(now, "a", nil)
	_, found = peer.stores.index.Source("m/1", old)
	assert.Assert(t, found)
}

// Two instances may each hold themselves for the first, as when one was frozen.
// What one of them is about to free is no source because the other is done.
func TestTwoRetirements(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a, _ := storeGate(t, "a", start)
	b, _ := storeGate(t, "b", start)
	peer, _ := storeGate(t, "c", start)
	now := start.Add(time.Hour)
	a.stores.retire(t.Context(), now)
	b.stores.retire(t.Context(), now)
	ofA, _ := a.stores.toldRetirements(now)
	ofB, _ := b.stores.toldRetirements(now)
	peer.stores.heardRetirements(now, "a", ofA)
	peer.stores.heardRetirements(now, "b", ofB)
	peer.stores.heardRetirements(now, "b", nil)
	_, found := peer.stores.index.Source("m/1", Part{ID: "0", Tokens: 1000})
	assert.Assert(t, !found, "the first one may still free it")
}

// An instance that was frozen while it waited does not know what others did
// since, and waits anew.
func TestRetireAfterFreeze(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g, kept := storeGate(t, "a", start)
	b := &peer{id: "b", row: instanceRow{Incarnation: 1}, heard: 1}
	g.peers.known["b"] = b
	now := start.Add(time.Hour)
	step := func(after time.Duration) {
		now = now.Add(after)
		b.heardAt = now
		g.stores.retire(t.Context(), now)
	}
	step(0)
	step(time.Second)
	step(2 * freeDelay)
	assert.Equal(t, len(kept.freed), 0, "the wait counts anew")
	for range freeDelay / freeInterval {
		step(freeInterval)
	}
	assert.Equal(t, len(kept.freed), 0)
	step(freeInterval)
	assert.Equal(t, len(kept.freed), 4)
}

func TestRetirementIsGivenUp(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g, kept := storeGate(t, "a", start)
	g.peers.known["b"] = &peer{id: "b"}
	now := start.Add(time.Hour)
	g.stores.retire(t.Context(), now)
	g.stores.retire(t.Context(), now.Add(retireTimeout+time.Second))
	told, _ := g.stores.toldRetirements(now)
	assert.Equal(t, len(told), 0)
	assert.Equal(t, len(kept.freed), 0)
	_, found := g.stores.index.Source("m/1", Part{ID: "0", Tokens: 1000})
	assert.Assert(t, found)
}

