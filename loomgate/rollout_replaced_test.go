package loomgate

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

// loadingEngines is a runner whose engines carry out an order until the test completes it.
type loadingEngines struct {
	fakeRunner

	loadingMu sync.Mutex
	loading   map[string]uint64
}

// Report implements loomupstream.Runner.
func (r *loadingEngines) Report(ctx context.Context, address, upstream string) (loomupstream.EngineState, error) {
	state, err := r.fakeRunner.Report(ctx, address, upstream)
	r.loadingMu.Lock()
	defer r.loadingMu.Unlock()
	state.Busy = r.loading[address] > 0
	return state, err
}

// Order implements loomupstream.Runner.
func (r *loadingEngines) Order(_ context.Context, address string, o loomupstream.Order) (loomupstream.OrderReply, error) {
	r.loadingMu.Lock()
	defer r.loadingMu.Unlock()
	if r.loading[address] > 0 {
		return loomupstream.OrderReply{Outcome: loomupstream.OrderUnchanged}, nil
	}
	r.loading[address] = o.Version
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	return loomupstream.OrderReply{Outcome: loomupstream.OrderAccepted}, nil
}

// complete completes the order of an engine, if it has one.
func (r *loadingEngines) complete(address string) {
	r.loadingMu.Lock()
	defer r.loadingMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[address] = max(r.versions[address], r.loading[address])
	r.loading[address] = 0
}

// hasOrder reports whether an engine was ordered to load a version.
func (r *loadingEngines) hasOrder(upstream string, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.orders, func(o loomupstream.Order) bool { return o.Upstream == upstream && o.Version == version })
}

// newLoadingGate returns a gate with four engines that run version 1 of a model whose target
// is version 2.
func newLoadingGate(t *testing.T) (*Gate, *loadingEngines) {
	t.Helper()
	r := &loadingEngines{fakeRunner: fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1, "e3": 1, "e4": 1}}, loading: make(map[string]uint64)}
	g := newTestGate(t, "a", newFakeSource(), &r.fakeRunner)
	g.runner = r
	now := time.Now()
	g.view.apply(now, TopicCatalogue, page(2, row("c", "routing 1", 1), row("v", "weights 2", 2)), true)
	g.view.apply(now, TopicUpstreams, page(6, row("e1", "up 1", 3), row("e2", "up 1", 4), row("e3", "up 1", 5), row("e4", "up 1", 6)), true)
	return g, r
}

// reconcileUntilOrdered reconciles without the time between two orders.
func reconcileUntilOrdered(t *testing.T, g *Gate, r *loadingEngines, upstream string, version uint64) {
	t.Helper()
	ok := reconcileUntil(t, g, 3*time.Second, func() bool {
		g.rollout.lastOrderAt = time.Time{}
		return r.hasOrder(upstream, version)
	})
	assert.Assert(t, ok, "no order of version %d to %s in %v", version, upstream, r.orders)
}

// TestReplacedOrderIsFollowedToItsEnd guards against an engine that loads weights a second
// time, while it still loads or just has loaded those before, ahead of engines with older ones.
func TestReplacedOrderIsFollowedToItsEnd(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// known is whether the instance that sends orders has sent the first one.
		known bool
	}{
		{"order of this instance", true},
		{"order of an earlier holder of the lease", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g, r := newLoadingGate(t)
			reconcileUntilOrdered(t, g, r, "e1", 2)
			if !tt.known {
				clear(g.rollout.orders)
			}
			g.view.apply(time.Now(), TopicCatalogue, page(7, row("v", "weights 3", 7)), false)
			reconcileUntilOrdered(t, g, r, "e2", 3)
			r.complete("e1")
			for _, next := range []string{"e3", "e4"} {
				reconcileUntilOrdered(t, g, r, next, 3)
				assert.Check(t, !r.hasOrder("e1", 3), "e1 was ordered again before %s", next)
				r.complete("e2")
				r.complete(next)
			}
			reconcileUntilOrdered(t, g, r, "e1", 3)
			assert.Equal(t, r.orderCount(), 5)
		})
	}
}

// renamingSource is a platform on which new weights are named while a lease is written.
type renamingSource struct {
	*fakeSource

	rename func()
}

// Transact implements Source.
func (s renamingSource) Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	reply, err := s.fakeSource.Transact(ctx, r)
	s.rename()
	return reply, err
}

// TestNoOrderOfReplacedWeights guards against an order of weights that were replaced while the
// platform took its time to renew the lease.
func TestNoOrderOfReplacedWeights(t *testing.T) {
	g, r := newLoadingGate(t)
	var once sync.Once
	g.source = renamingSource{fakeSource: newFakeSource(), rename: func() {
		once.Do(func() { g.view.apply(time.Now(), TopicCatalogue, page(7, row("v", "weights 3", 7)), false) })
	}}
	reconcileUntilOrdered(t, g, r, "e1", 3)
	assert.Assert(t, !r.hasOrder("e1", 2), "replaced weights were ordered")
}
