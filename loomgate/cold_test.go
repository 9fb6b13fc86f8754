package loomgate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomupstream"
)

const (
	coldDuration  = 3 * time.Second
	coldPerSecond = 6.0
	coldOver      = 1.5
	coldSlack     = 2.0
	// coldHearing is the longest time until all instances hear of a cold upstream from the
	// list alone: the time between two rows and that between two reads of the list.
	coldHearing = 2 * time.Second
)

// coldEngines are modelEngines that are cold after a start. They write their rows about as often
// as real ones.
type coldEngines struct {
	*modelEngines

	mu sync.Mutex
	// downUntil and coldUntil hold when an engine starts again and ceases to be cold.
	downUntil, coldUntil map[string]time.Time
	// rows holds the newest row of each engine, and version the newest version.
	rows    map[string]Row
	version uint64
	// arrivals holds the times of the requests to each engine.
	arrivals map[string][]time.Time
	// countFrom is when the bound begins to hold for an engine.
	countFrom map[string]time.Time
}

func newColdEngines(n int) *coldEngines {
	return &coldEngines{
		modelEngines: newModelEngines(n, 50_000),
		downUntil:    make(map[string]time.Time), coldUntil: make(map[string]time.Time),
		rows: make(map[string]Row), arrivals: make(map[string][]time.Time), countFrom: make(map[string]time.Time),
	}
}

// Send implements loomupstream.Runner.
func (m *coldEngines) Send(ctx context.Context, address string, s loomupstream.Send) (*loomupstream.Reply, error) {
	now := time.Now()
	m.mu.Lock()
	isDown := now.Before(m.downUntil[s.Upstream])
	if !isDown {
		m.arrivals[s.Upstream] = append(m.arrivals[s.Upstream], now)
	}
	m.mu.Unlock()
	if isDown {
		return nil, &loomupstream.SendError{Unreachable: true, Refused: true, Cause: syscall.ECONNREFUSED}
	}
	return m.modelEngines.Send(ctx, address, s)
}

// restart ends an engine, which listens again after a time and is cold then.
func (m *coldEngines) restart(engine string, after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	start := time.Now().Add(after)
	m.downUntil[engine], m.coldUntil[engine], m.countFrom[engine] = start, start.Add(coldDuration), start
}

// chill makes an engine cold that goes on.
func (m *coldEngines) chill(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coldUntil[engine], m.countFrom[engine] = time.Now().Add(coldDuration), time.Now().Add(coldHearing)
}

// writeRows writes the row of an engine each heartbeat until ctx ends.
func (m *coldEngines) writeRows(ctx context.Context, engine string, first time.Duration) {
	const heartbeat = 1200 * time.Millisecond
	for wait := first; sleep(ctx, wait) == nil; wait = heartbeat {
		m.mu.Lock()
		if now := time.Now(); !now.Before(m.downUntil[engine]) {
			m.version++
			left := max(m.coldUntil[engine].Sub(now), 0)
			m.rows[engine] = row(engine, fmt.Sprint("cold ", left.Milliseconds()), m.version)
		}
		m.mu.Unlock()
	}
}

// readRows lets a gate read the list until ctx ends.
func (m *coldEngines) readRows(ctx context.Context, g *Gate, first time.Duration, isCut func() bool) {
	for wait := first; sleep(ctx, wait) == nil; wait = upstreamsPollInterval {
		if isCut() {
			continue
		}
		now := time.Now()
		m.mu.Lock()
		p := Page{Version: m.version, AsOf: now}
		for _, r := range m.rows {
			if r.Version > g.view.upstreamsVersion.Load() {
				p.Rows = append(p.Rows, r)
			}
		}
		m.mu.Unlock()
		g.view.apply(now, TopicUpstreams, p, false)
	}
}

// most returns the largest number of requests to an engine in a second while it was cold.
func (m *coldEngines) most(engine string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := 0
	cold := slices.DeleteFunc(slices.Clone(m.arrivals[engine]), func(at time.Time) bool {
		return at.Before(m.countFrom[engine]) || !at.Before(m.coldUntil[engine])
	})
	for i, end := range cold {
		first, _ := slices.BinarySearchFunc(cold, end.Add(-time.Second), time.Time.Compare)
		most = max(most, i-first+1)
	}
	return most
}

// coldPlay is a fleet before coldEngines, whose callers ask for more than a cold engine sustains.
type coldPlay struct {
	gates, domains, engines int
	hasCoordinators         bool
	// hasPlainCallers is set if the requests carry no prompts that the gate knows.
	hasPlainCallers bool
	meanGap         time.Duration
	events          []coldEvent
}

// coldEvent changes the engines or the fleet at a time.
type coldEvent struct {
	at  time.Duration
	run func(p *coldFleet)
}

// coldFleet is the state of a coldPlay.
type coldFleet struct {
	*limitFleet

	engines *coldEngines
	// isDark is set while no gate reaches the platform.
	isDark atomic.Bool
}

func (p coldPlay) play(t *testing.T) *coldFleet {
	t.Helper()
	const length = 16 * time.Second
	f := &coldFleet{limitFleet: &limitFleet{start: time.Now(), frozen: make(map[string]bool)}, engines: newColdEngines(p.engines)}
	var stores []loomcatalogue.KVStore
	if p.hasCoordinators {
		stores = append(stores, loomcatalogue.KVStore{Name: "store", MaxWatches: 12})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(7, 1))
	for i := range p.gates {
		g := newModelGate(t, fmt.Sprint("i", i), f.engines.modelEngines, pauseObjective, stores...)
		g.runner = f.engines
		g.settings.FailureDomain = fmt.Sprint("d", i%p.domains)
		g.settings.ProcessorCores = 1
		g.settings.ColdOver, g.settings.ColdSlack = coldOver, coldSlack
		setColdBound(g)
		f.gates = append(f.gates, g)
		go f.engines.readRows(ctx, g, time.Duration(random.Int64N(int64(upstreamsPollInterval))), func() bool {
			return f.isDark.Load() || f.isFrozen(g.settings.ID)
		})
	}
	f.engines.version = uint64(p.engines + 1)
	for e := range f.engines.engines {
		go f.engines.writeRows(ctx, e, time.Duration(random.Int64N(int64(time.Second))))
	}
	isDown := connectCut(ctx, f.gates, f.separates)
	f.down = func(id string, down bool) { isDown[id].Store(down) }
	var running sync.WaitGroup
	next := 0
	for n := 0; time.Since(f.start) < length; n++ {
		for next < len(p.events) && time.Since(f.start) >= p.events[next].at {
			p.events[next].run(f)
			next++
		}
		g := f.gates[random.IntN(p.gates)]
		prompt := modelPrompt{Output: 8, Parts: []PromptPart{{ID: fmt.Sprint("request", n), Tokens: 300}}}
		serve := func() *streamResponder { return serveModel(t.Context(), t, g, "report", fmt.Sprint("r", n), prompt) }
		if p.hasPlainCallers {
			serve = func() *streamResponder {
				return serveNow(t.Context(), g, newPlainRequest(t, "report", fmt.Sprint("r", n), prompt))
			}
		}
		if !f.isFrozen(g.settings.ID) {
			running.Go(func() { f.record(serve()) })
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(p.meanGap)))
	}
	running.Wait()
	return f
}

// setColdBound makes the engines state what they sustain while cold.
func setColdBound(g *Gate) {
	old := g.view.routing()
	spec := loomcatalogue.RoutingSpec{Revision: old.Revision(), Stores: old.Stores(), Groups: old.Groups()}
	for i := range spec.Groups {
		spec.Groups[i].ColdDuration, spec.Groups[i].ColdRequestsPerSecond = coldDuration, coldPerSecond
	}
	for _, name := range []string{"chat", "report"} {
		if r, ok := old.Match("h", "/"+name+"/x"); ok {
			spec.Routes = append(spec.Routes, r)
		}
	}
	routing := loomcatalogue.NewRouting(spec)
	g.view.routingSnapshot.Store(&routing)
}

// TestColdEnginesAreNotOverloaded guards against an engine that gets more than it sustains after
// a start, from all instances together, while these are cut off, frozen or replaced, and
// against callers that wait for a cold engine although others are free.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	const second = time.Second
	restartAt := func(at, after time.Duration, count int) coldEvent {
		return coldEvent{at, func(f *coldFleet) {
			for i := range count {
				f.engines.restart(fmt.Sprint("e", i), after)
			}
		}}
	}
	chillAt := func(at time.Duration) coldEvent {
		return coldEvent{at, func(f *coldFleet) {
			for i := range 3 {
				f.engines.chill(fmt.Sprint("e", i))
			}
		}}
	}
	cutAt := func(at time.Duration, isCut bool) coldEvent {
		return coldEvent{at, func(f *coldFleet) { f.setCut(isCut) }}
	}
	freezeAt := func(at time.Duration, isFrozen bool, ids ...string) coldEvent {
		return coldEvent{at, func(f *coldFleet) {
			for _, id := range ids {
				f.setFrozen(id, isFrozen)
			}
		}}
	}
	darkAt := func(at time.Duration, isDark bool) coldEvent {
		return coldEvent{at, func(f *coldFleet) { f.isDark.Store(isDark) }}
	}
	downAt := func(at time.Duration, count int) coldEvent {
		return coldEvent{at, func(f *coldFleet) {
			for _, id := range f.gates[0].coordinators.all()[:count] {
				f.down(id, true)
			}
		}}
	}
	small := coldPlay{gates: 7, domains: 4, engines: 6, meanGap: 8 * time.Millisecond}
	large := coldPlay{gates: 40, domains: 2, engines: 9, hasCoordinators: true, meanGap: 6 * time.Millisecond}
	plain := large
	plain.hasPlainCallers = true
	few := small
	few.engines = 2
	tests := []struct {
		name   string
		play   coldPlay
		events []coldEvent
		// maxFailures is the share of the requests that may fail.
		maxFailures float64
	}{
		{"one restarts", small, []coldEvent{restartAt(5*second, second, 1)}, 0.001},
		{"one restarts at once", small, []coldEvent{restartAt(5*second, 200*time.Millisecond, 1)}, 0.001},
		{"cold without a restart", small, []coldEvent{chillAt(5 * second)}, 0.001},
		{"half restart together", small, []coldEvent{restartAt(5*second, second, 3)}, 0.001},
		{"all restart", few, []coldEvent{restartAt(5*second, second, 2)}, 0.5},
		{"while failure domains are cut off", small, []coldEvent{cutAt(4*second, true), restartAt(5*second, second, 2), cutAt(12*second, false)}, 0.001},
		{"while the platform is out", small, []coldEvent{darkAt(4*second, true), restartAt(5*second, second, 1), darkAt(12*second, false)}, 0.001},
		{"frozen instances go on", small, []coldEvent{freezeAt(4*second, true, "i0", "i1"), restartAt(5*second, second, 1), freezeAt(7*second, false, "i0", "i1")}, 0.001},
		{"large fleet", large, []coldEvent{restartAt(5*second, second, 3)}, 0.001},
		{"large fleet, plain requests", plain, []coldEvent{restartAt(5*second, second, 3)}, 0.001},
		{"large fleet, failed coordinators", large, []coldEvent{downAt(4*second, 2), restartAt(5*second, second, 3)}, 0.001},
		{"large fleet, no coordinators", large, []coldEvent{downAt(4*second, 4), restartAt(5*second, second, 3)}, 0.001},
		{"large fleet, cut off", large, []coldEvent{cutAt(4*second, true), restartAt(5*second, second, 3)}, 0.001},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play.events = tt.events
				f := tt.play.play(t)
				for id, from := range f.engines.countFrom {
					most := f.engines.most(id)
					assert.Check(t, float64(most) <= coldPerSecond*coldOver+coldSlack, "%s got %d requests in a second while cold", id, most)
					t.Logf("%s: at most %d in a second, from %s", id, most, from.Sub(f.start))
				}
				share := float64(len(f.failures)) / float64(len(f.failures)+f.served)
				assert.Check(t, share <= tt.maxFailures, "%.3f of the requests failed", share)
				for _, err := range f.failures {
					assert.Check(t, err.NotRun() == loomerror.NotRunTrue && err.RetryAfter() > 0, err)
				}
				t.Logf("%d served, %d refused", f.served, len(f.failures))
			})
		})
	}
}

// TestEnginesAreColdAfterEvacuation guards against the full load on upstreams that return to
// service together, and against a bound that outlasts a row that says otherwise.
func TestEnginesAreColdAfterEvacuation(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	listAt := func(at time.Time, version uint64) {
		p := page(version, row("e1", "cold 0", version))
		p.AsOf = at
		g.view.apply(at, TopicUpstreams, p, false)
	}
	g.view.apply(at, TopicCatalogue, page(1, row("c", "routing 1", 1)), true)
	setColdBound(g)
	listAt(at, 2)
	upstreams := g.usableUpstreams(at, "engines")
	assert.Assert(t, !g.cold.hasBound(at, "engines"), "the first list says that the engine is warm")
	g.cold.markAll(at.Add(time.Second), upstreams, "evacuation_ended")
	assert.Assert(t, g.cold.hasBound(at.Add(time.Second), "engines"))
	listAt(at.Add(1500*time.Millisecond), 3)
	assert.Assert(t, g.cold.end("e1").After(at.Add(2*time.Second)), "the row may be older than the end of the evacuation")
	listAt(at.Add(2300*time.Millisecond), 4)
	assert.Assert(t, !g.cold.end("e1").After(at.Add(2300*time.Millisecond)), "the row is newer than the end of the evacuation")
}

// TestLateGrantIsPlacedAnew guards against a request that a process sends to a cold engine long
// after it was counted, since the process was suspended or the coordinator was slow.
func TestLateGrantIsPlacedAnew(t *testing.T) {
	now := time.Now()
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(now, TopicCatalogue, page(1, row("c", "routing 1", 1)), true)
	g.view.apply(now, TopicUpstreams, page(2, row("e1", "cold 0", 2)), true)
	u := g.usableUpstreams(now, "engines")[0]
	d := &dispatch{placementQuery: placementQuery{gate: g}, placement: placement{upstream: u}, req: &request{}, placedAt: now}
	tests := []struct {
		name     string
		hasBound bool
		after    time.Duration
		want     bool
	}{
		{"no bound", false, time.Second, false},
		{"in time", true, coldGrantTTL, false},
		{"late", true, coldGrantTTL + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.hasBound {
				setColdBound(g)
				g.cold.markAll(now, []loommember.Upstream{u}, "test")
			}
			assert.Equal(t, d.isGrantLate(now.Add(tt.after)), tt.want)
		})
	}
	g.cold.update(now.Add(time.Minute))
	assert.Assert(t, !g.cold.isBound(now.Add(time.Minute), u))
	assert.Assert(t, g.cold.isBound(now.Add(2*time.Minute), u), "the process was suspended: any upstream may be cold")
}
