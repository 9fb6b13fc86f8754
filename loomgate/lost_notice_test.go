package loomgate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

// noticePlatform is the platform's table of operators' rows in virtual time. Polls that wait are
// answered at a change.
type noticePlatform struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	changed chan struct{}
	// calls counts the polls of the catalogue.
	calls int
}

func (p *noticePlatform) put(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[key] = Row{Key: key, Value: []byte(value), Version: p.version}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *noticePlatform) after(version uint64) (Page, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := Page{Version: p.version}
	for _, row := range p.rows {
		if row.Version > version {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, p.changed
}

// noticeSource is the platform as one instance reaches it.
type noticeSource struct {
	*fakeSource

	platform *noticePlatform

	mu sync.Mutex
	// lossy is the number of answers with changes that are still to be lost, until the time
	// lossyUntil. lostAt is when one was lost last.
	lossy      int
	lossyUntil time.Time
	lostAt     time.Time
}

// lose makes the next answers with changes that are given before a time get lost.
func (s *noticeSource) lose(answers int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy, s.lossyUntil = answers, until
}

func (s *noticeSource) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lossy == 0 || time.Now().After(s.lossyUntil) {
		return false
	}
	s.lossy--
	s.lostAt = time.Now()
	return true
}

func (s *noticeSource) latestLoss() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAt
}

// Snapshot implements Source.
func (s *noticeSource) Snapshot(ctx context.Context, t Topic) (Page, error) {
	return s.Changes(ctx, t, 0, 0)
}

// Changes implements Source.
func (s *noticeSource) Changes(ctx context.Context, t Topic, after uint64, wait time.Duration) (Page, error) {
	const latency = 4 * time.Millisecond
	if sleep(ctx, latency) != nil {
		return Page{}, ctx.Err()
	}
	if t == TopicUpstreams {
		return Page{Version: 1}, nil
	}
	s.platform.mu.Lock()
	s.platform.calls++
	s.platform.mu.Unlock()
	ends := time.Now().Add(wait)
	page, changed := s.platform.after(after)
	for len(page.Rows) == 0 && time.Now().Before(ends) {
		select {
		case <-changed:
		case <-time.After(time.Until(ends)):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
		page, changed = s.platform.after(after)
	}
	if len(page.Rows) == 0 || !s.isLost() {
		return page, sleep(ctx, latency)
	}
	if wait == 0 {
		return Page{}, cmpErr(sleep(ctx, platformCallTimeout), errDown)
	}
	return Page{}, cmpErr(sleep(ctx, time.Until(ends)+400*time.Millisecond), ErrPollOverdue)
}

// cmpErr returns the first error that is not nil.
func cmpErr(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// noticeFleet is a number of instances in virtual time that follow the operators' rows.
type noticeFleet struct {
	platform *noticePlatform
	gates    []*Gate
	sources  []*noticeSource
}

func newNoticeFleet(ctx context.Context, t *testing.T, instances, watches int, random *rand.Rand, isCut func(from, to *Gate) bool) *noticeFleet {
	f := &noticeFleet{platform: &noticePlatform{rows: make(map[string]Row), changed: make(chan struct{})}}
	f.platform.put("config", "routing 1")
	for i := range instances {
		s := &noticeSource{fakeSource: newFakeSource(), platform: f.platform}
		g := newTestGate(t, fmt.Sprint("i", i), newFakeSource(), &fakeRunner{})
		g.source = s
		g.random = rand.New(rand.NewPCG(random.Uint64(), 1))
		g.settings.FailureDomain = fmt.Sprint("d", i%4)
		routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{Groups: []loomcatalogue.Group{{Name: "engines"}}, Stores: []loomcatalogue.KVStore{{Name: "store", MaxWatches: watches}}})
		g.view.routingSnapshot.Store(&routing)
		f.gates, f.sources = append(f.gates, g), append(f.sources, s)
	}
	connectCut(ctx, f.gates, isCut)
	for _, g := range f.gates {
		go func() { _ = g.view.watchUpstreams(ctx) }()
		go func() { _ = g.view.watchCatalogue(ctx) }()
	}
	return f
}

// lacking returns the instances that don't know routing 2 and weights 2.
func (f *noticeFleet) lacking() []int {
	var lacking []int
	for i, g := range f.gates {
		if g.view.routing().Revision() != 2 || g.view.targetVersion("m") != 2 {
			lacking = append(lacking, i)
		}
	}
	return lacking
}

// noticeAllowance is the time from when an instance learns of a change until no request that was
// handled without it arrives any more.
const noticeAllowance = 400 * time.Millisecond

// TestLostNoticesAreLearntInTime guards against a change of the catalogue that instances don't learn
// of since the answers that told of it were lost, and nothing else was: a changed route, a key that
// was taken away, or new weights. An instance must know it contactTime after the latest loss.
func TestLostNoticesAreLearntInTime(t *testing.T) {
	never := func(*Gate, *Gate) bool { return false }
	tests := []struct {
		name               string
		instances, watches int
		// answers is the number of answers that each instance loses.
		answers int
		isCut   func(from, to *Gate) bool
	}{
		{"one instance", 1, 12, 1, never},
		{"one instance, twice", 1, 12, 2, never},
		{"seven instances", 7, 12, 1, never},
		{"seven instances, twice", 7, 12, 2, never},
		{"seven instances, one without peers", 7, 12, 1, func(from, to *Gate) bool { return from.settings.ID == "i3" || to.settings.ID == "i3" }},
		{"seven instances, none with peers", 7, 12, 1, func(*Gate, *Gate) bool { return true }},
		{"eight instances, failure domains cut off from each other", 8, 12, 1, func(from, to *Gate) bool { return from.settings.FailureDomain != to.settings.FailureDomain }},
		{"with coordinators", 40, 8, 1, never},
		{"with coordinators, twice", 40, 8, 2, never},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10) {
				random := rand.New(rand.NewPCG(seed, 3))
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newNoticeFleet(ctx, t, tt.instances, tt.watches, random, tt.isCut)
					time.Sleep(30*time.Second + time.Duration(random.Int64N(int64(30*time.Second))))
					// A change that all learn of aligns their polls.
					f.platform.put("weights", "weights 1")
					time.Sleep(time.Duration(random.Int64N(int64(8 * time.Second))))
					const losses = 4500 * time.Millisecond
					for _, s := range f.sources {
						s.lose(tt.answers, time.Now().Add(losses))
					}
					changedAt := time.Now()
					f.platform.put("config", "routing 2")
					f.platform.put("weights", "weights 2")
					for {
						time.Sleep(10 * time.Millisecond)
						disturbed := changedAt
						for _, s := range f.sources {
							if at := s.latestLoss(); at.After(disturbed) {
								disturbed = at
							}
						}
						lacking := f.lacking()
						if len(lacking) == 0 {
							return
						}
						if since := time.Since(disturbed); since > contactTime-noticeAllowance {
							t.Errorf("seed %d: instances %v lack the change %s after the latest loss, %s after it was made", seed, lacking, since, time.Since(changedAt))
							return
						}
					}
				})
			}
		})
	}
}

// TestCatalogueIsPolledRarely guards against polls of the catalogue that load the platform, whose
// calls are limited: in a fleet of any size they are at most one in an interval, or one in the
// longest wait for each instance.
func TestCatalogueIsPolledRarely(t *testing.T) {
	for _, instances := range []int{1, 7, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				random := rand.New(rand.NewPCG(1, 1))
				f := newNoticeFleet(ctx, t, instances, 12, random, func(*Gate, *Gate) bool { return false })
				time.Sleep(30 * time.Second)
				f.platform.mu.Lock()
				before := f.platform.calls
				f.platform.mu.Unlock()
				const watched = 100 * time.Second
				time.Sleep(watched)
				f.platform.mu.Lock()
				calls := f.platform.calls - before
				f.platform.mu.Unlock()
				most := max(watched.Seconds()/catalogueCheckInterval.Seconds(), float64(instances)*watched.Seconds()/cataloguePollTimeout.Seconds())
				t.Logf("%d calls in %s", calls, watched)
				assert.Assert(t, float64(calls) <= most*1.1+2, "%d calls in %s, want at most %.0f", calls, watched, most)
			})
		})
	}
}
