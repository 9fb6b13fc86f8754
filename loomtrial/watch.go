package loomtrial

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	watchInterval = 20 * time.Millisecond
	// maxPropagationMillis is the longest time that the histogram can record.
	maxPropagationMillis = int64(time.Minute / time.Millisecond)
	// propagationDigits is the number of significant digits of the histogram.
	propagationDigits = 3
)

// revisionWatcher polls the catalogue revisions of all instances. It measures how
// long revisions take to reach them and counts reverts to older revisions.
type revisionWatcher struct {
	trial  *Trial
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The goroutine of run owns the fields below until it ends.

	// revisions maps instance IDs to the last observed revision.
	revisions   map[string]uint64
	propagation *hdrhistogram.Histogram
	reverts     int
	newest      uint64
}

// watchRevisions starts a revisionWatcher. The caller must call its stop method.
func (t *Trial) watchRevisions(ctx context.Context) *revisionWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &revisionWatcher{
		trial:       t,
		cancel:      cancel,
		revisions:   make(map[string]uint64),
		propagation: hdrhistogram.New(1, maxPropagationMillis, propagationDigits),
	}
	w.wg.Go(func() { w.run(ctx) })
	return w
}

func (w *revisionWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		w.observe(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe compares the revision of each instance with the last observed one.
// Propagation time counts from the later of two events: the platform accepted the
// revision, or the last partition of the instance's failure domain ended. The
// first revision that an instance receives after its start is not counted.
func (w *revisionWatcher) observe(now time.Time) {
	for _, r := range w.trial.runningInstances() {
		id := r.instance.ID()
		revision := r.instance.Revision()
		previous, known := w.revisions[id]
		if revision < previous {
			w.reverts++
		}
		w.revisions[id] = revision
		w.newest = max(w.newest, revision)
		if !known || previous == 0 {
			continue
		}
		for v := previous + 1; v <= revision; v++ {
			start := w.trial.acceptTime(v, now)
			if healed := w.trial.network.lastHealed(r.node.domain); healed.After(start) {
				start = healed
			}
			_ = w.propagation.RecordValue(now.Sub(start).Milliseconds())
		}
	}
}

// stop ends the watcher and writes its measurements to the report.
func (w *revisionWatcher) stop(r *Report) {
	w.cancel()
	w.wg.Wait()
	r.CatalogueReverts = w.reverts
	r.CatalogueSecondsP99 = float64(w.propagation.ValueAtQuantile(99)) / 1000
}

// acceptTime returns when the platform accepted a revision, or now if that time
// is unknown.
func (t *Trial) acceptTime(revision uint64, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.acceptTimes[revision]; ok {
		return at
	}
	return now
}

// runningInstances returns the instances of the trial whose Run has not returned.
func (t *Trial) runningInstances() []*runningInstance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var running []*runningInstance
	for _, r := range t.instances {
		select {
		case <-r.done:
		default:
			running = append(running, r)
		}
	}
	return running
}
