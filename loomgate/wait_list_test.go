package loomgate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loompb"
)

// heldRequest returns a request that waits for its turn.
func heldRequest(id string, rank uint32, hold time.Duration) *loompb.PlaceRequest {
	return &loompb.PlaceRequest{
		From: "other", Group: "engines", Route: "report", Rank: rank, StartTimeoutMs: 5000,
		Prompt: &loompb.Prompt{Model: "m", Tokens: 1000, ExpectedOutputTokens: 10},
		Wait:   &loompb.WaitTerms{RequestId: id, HoldMs: uint32(hold.Milliseconds()), DueMs: 400, UntilMs: 3000, WorkMicros: 10_000},
	}
}

// newBusyGate returns a gate before one engine that has work for a second, and what ends the work.
func newBusyGate(t *testing.T) (g *Gate, free func()) {
	t.Helper()
	g = newModelGate(t, "a", newModelEngines(1, 50_000), pauseObjective)
	unit := g.prefill.forGroup("engines").TokenTime()
	work := g.fleet.RecordSent(time.Now(), "e0", int(time.Second/unit))
	return g, func() { g.fleet.Done(work) }
}

// TestWaitListAnswersHeldCalls guards against calls that a coordinator keeps longer than it may, or
// entries that outlive their calls.
func TestWaitListAnswersHeldCalls(t *testing.T) {
	const hold = 200 * time.Millisecond
	tests := []struct {
		name       string
		after      func(g *Gate, free, leave func())
		isReserved bool
		isWaiting  bool
		took       time.Duration
	}{
		{"no capacity", func(*Gate, func(), func()) {}, false, true, hold},
		{"capacity", func(_ *Gate, free, _ func()) { free() }, true, false, waitListInterval},
		{"caller leaves", func(_ *Gate, _, leave func()) { leave() }, false, true, 0},
		{"coordinator stops", func(g *Gate, _, _ func()) { g.MarkStopping() }, false, false, waitListInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, free := newBusyGate(t)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				const delay = 50 * time.Millisecond
				time.AfterFunc(delay, func() { tt.after(g, free, leave) })
				start := time.Now()
				reply, err := (&peerService{gate: g}).Place(ctx, heldRequest("r", 1, hold))
				assert.NilError(t, err)
				assert.Equal(t, reply.GetIsReserved(), tt.isReserved)
				assert.Equal(t, reply.GetIsWaiting(), tt.isWaiting)
				assert.Assert(t, time.Since(start) <= max(delay+tt.took, tt.took), "the call took %s", time.Since(start))
				time.Sleep(2 * waitListInterval)
				assert.Equal(t, g.waitLists.length("engines"), 0)
				assert.Assert(t, !g.waitLists.forGroup("engines").isTicking)
			})
		})
	}
}

// TestSlotGoesToMostUrgent guards against capacity that goes to the request that asks next: a new
// one waits while a more urgent one does that no upstream had capacity for.
func TestSlotGoesToMostUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, free := newBusyGate(t)
		service := &peerService{gate: g}
		replies := make(map[uint32]*loompb.PlaceReply)
		var mu sync.Mutex
		var calls sync.WaitGroup
		for _, rank := range []uint32{3, 2} {
			r := heldRequest(string(rune('a'+rank)), rank, placeHoldTime)
			// One prompt fills the engine.
			r.Prompt.Tokens = 50_000
			calls.Go(func() {
				reply, err := service.Place(t.Context(), r)
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, err)
				replies[rank] = reply
			})
		}
		synctest.Wait()
		free()
		time.Sleep(reservationTTL / 2)
		// A new request doesn't overtake the ones that wait.
		reply, err := service.Place(t.Context(), heldRequest("new", 4, 0))
		assert.NilError(t, err)
		assert.Assert(t, reply.GetIsWaiting())
		calls.Wait()
		assert.Assert(t, replies[2].GetIsReserved())
		assert.Assert(t, replies[3].GetIsWaiting())
		time.Sleep(2 * waitListInterval)
	})
}

// TestOrderTakesEffectWhereAskedFor guards against another order in fleets without coordinators, or
// before routes that are alike.
func TestOrderTakesEffectWhereAskedFor(t *testing.T) {
	tests := []struct {
		name            string
		order           StartOrder
		ranks           [2]int
		hasCoordinators bool
		want            bool
	}{
		{"coordinators and two ranks", OrderAutomatic, [2]int{0, 1}, true, true},
		{"one rank", OrderAutomatic, [2]int{1, 1}, true, false},
		{"no coordinators", OrderAutomatic, [2]int{0, 1}, false, false},
		{"set by rank", OrderByRank, [2]int{0, 1}, true, false},
		{"set by cost", OrderByCost, [2]int{1, 1}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stores []loomcatalogue.KVStore
			if tt.hasCoordinators {
				stores = append(stores, loomcatalogue.KVStore{Name: "store", MaxWatches: 1})
			}
			g := newShortageGate(t, "a", newModelEngines(1, 50_000), []*shortageKind{{route: "a", rank: tt.ranks[0]}, {route: "b", rank: tt.ranks[1]}}, stores...)
			g.settings.StartOrder = tt.order
			g.peers.byID["b"] = &peer{id: "b"}
			assert.Equal(t, g.ordersByCost("engines"), tt.want)
		})
	}
}
