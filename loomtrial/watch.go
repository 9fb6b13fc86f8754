package loomtrial

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	watchInterval  = 20 * time.Millisecond
	longestSpread  = int64(time.Minute / time.Millisecond)
	spreadAccuracy = 3
)

// watcher follows the catalogue revisions of all instances.
type watcher struct {
	trial  *Trial
	cancel context.CancelFunc
	wait   sync.WaitGroup

	// The goroutine of the watcher alone uses the fields below until it ends.
	seen    map[string]uint64
	spread  *hdrhistogram.Histogram
	reverts int
	newest  uint64
}

// watch starts to follow the revisions; stop must be called.
func (t *Trial) watch(ctx context.Context) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{
		trial:  t,
		cancel: cancel,
		seen:   make(map[string]uint64),
		spread: hdrhistogram.New(1, longestSpread, spreadAccuracy),
	}
	w.wait.Go(func() { w.run(ctx) })
	return w
}

func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.look(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look compares each instance with what it had before. The time to take a
// revision in counts from when the platform accepted it, or from the end of a
// cut of the whole failure domain. What a newborn instance takes in first is
// not counted.
func (w *watcher) look(now time.Time) {
	for _, r := range w.trial.running() {
		id := r.instance.ID()
		revision := r.instance.Revision()
		before, known := w.seen[id]
		if revision < before {
			w.reverts++
		}
		w.seen[id] = revision
		w.newest = max(w.newest, revision)
		if !known || before == 0 {
			continue
		}
		for v := before + 1; v <= revision; v++ {
			from := w.trial.acceptedAt(v, now)
			if healed := w.trial.network.lastHealed(r.node.domain); healed.After(from) {
				from = healed
			}
			_ = w.spread.RecordValue(now.Sub(from).Milliseconds())
		}
	}
}

func (w *watcher) stop(r *Report) {
	w.cancel()
	w.wait.Wait()
	r.CatalogueReverts = w.reverts
	r.CatalogueSecondsP99 = float64(w.spread.ValueAtQuantile(99)) / 1000
}

// acceptedAt returns when the platform accepted a revision, or now when that
// is not known.
func (t *Trial) acceptedAt(revision uint64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.accepted[revision]; ok {
		return at
	}
	return now
}

// running returns the instances that have not ended.
func (t *Trial) running() []*runningInstance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*runningInstance
	for _, r := range t.instances {
		select {
		case <-r.done:
		default:
			all = append(all, r)
		}
	}
	return all
}
