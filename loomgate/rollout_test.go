package loomgate

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomupstream"
)

// slowOrders is a fakeRunner whose calls take a time, and that records when orders come.
type slowOrders struct {
	fakeRunner

	latency time.Duration
	// silent holds the addresses of engines that never answer.
	silent map[string]bool

	orderedMu sync.Mutex
	ordered   []time.Time
}

// Report implements loomupstream.Runner.
func (r *slowOrders) Report(ctx context.Context, address, upstream string) (loomupstream.EngineState, error) {
	if err := r.wait(ctx, address); err != nil {
		return loomupstream.EngineState{}, err
	}
	return r.fakeRunner.Report(ctx, address, upstream)
}

// Order implements loomupstream.Runner.
func (r *slowOrders) Order(ctx context.Context, address string, o loomupstream.Order) (loomupstream.OrderReply, error) {
	if err := r.wait(ctx, address); err != nil {
		return loomupstream.OrderReply{}, err
	}
	r.orderedMu.Lock()
	r.ordered = append(r.ordered, time.Now())
	r.orderedMu.Unlock()
	return r.fakeRunner.Order(ctx, address, o)
}

func (r *slowOrders) wait(ctx context.Context, address string) error {
	if r.silent[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, r.latency)
}

// TestRolloutKeepsItsPaceInLargeGroups answers the load of new weights at a group of 192
// engines: orders come evenly over the share of the time that is meant for them, however
// many engines there are and whether some of them don't answer.
func TestRolloutKeepsItsPaceInLargeGroups(t *testing.T) {
	t.Parallel()
	const (
		engines = 192
		ttl     = 5 * time.Second
	)
	for _, silent := range []int{0, 20} {
		t.Run(fmt.Sprintf("%d silent engines", silent), func(t *testing.T) {
			t.Parallel()
			runner := &slowOrders{fakeRunner: fakeRunner{versions: make(map[string]uint64)}, latency: 4 * time.Millisecond, silent: make(map[string]bool)}
			s := newFakeSource()
			g, err := New(Settings{ID: "a", OldWeightsTTL: ttl, LeavingLimit: 2 * time.Second, RenewalInterval: 1200 * time.Millisecond},
				Options{Log: slog.New(slog.DiscardHandler), Source: s, Runner: runner})
			assert.NilError(t, err)
			t.Cleanup(func() { _ = g.metrics.Close() })
			var rows []Row
			for i := range engines {
				id := fmt.Sprintf("e%03d", i)
				runner.versions[id] = 1
				runner.silent[id] = i < silent
				rows = append(rows, row(id, "up 1", uint64(i+1)))
			}
			g.view.apply(time.Now(), TopicCatalogue, page(1, row("c", "routing 1", 1)), true)
			g.view.apply(time.Now(), TopicUpstreams, page(engines, rows...), true)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				_ = g.rollout.run(ctx)
				close(done)
			}()
			named := time.Now()
			g.view.apply(named, TopicCatalogue, page(2, row("v", "weights 2", 2)), false)
			time.Sleep(ttl)
			cancel()
			<-done
			runner.orderedMu.Lock()
			defer runner.orderedMu.Unlock()
			var times []time.Duration
			for _, at := range runner.ordered {
				times = append(times, at.Sub(named))
			}
			slices.Sort(times)
			assert.Equal(t, len(times), engines-silent)
			last := times[len(times)-1]
			assert.Check(t, last < time.Duration(0.8*float64(ttl)), "the last order came %s after the name", last)
			for _, end := range times {
				n, _ := slices.BinarySearch(times, end)
				first, _ := slices.BinarySearch(times, end-time.Second)
				share := float64(n-first) / engines
				assert.Check(t, share < 0.5, "%.2f of the engines were ordered in the second before %s", share, end)
			}
		})
	}
}
