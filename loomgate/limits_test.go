package loomgate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomlimit"
	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

// lateRefusalDivisor bounds the refused requests that were not refused at once: one of
// so many.
const lateRefusalDivisor = 20

// limitGrace is how long after an upstream first names a limit the limit must hold.
const limitGrace = 3 * time.Second

// limitedEngines are modelEngines that name limits.
type limitedEngines struct {
	*modelEngines

	mu sync.Mutex
	// limits holds the limit of each engine that names one, and namedAt when it
	// first did.
	limits  map[string]float64
	namedAt map[string]time.Time
	// arrivals holds the times of the requests to each engine, and stated the limit
	// that it named at each of them, or -1.
	arrivals map[string][]time.Time
	stated   map[string][]float64
}

func newLimitedEngines(n int) *limitedEngines {
	return &limitedEngines{
		modelEngines: newModelEngines(n, 50_000), limits: make(map[string]float64), namedAt: make(map[string]time.Time),
		arrivals: make(map[string][]time.Time), stated: make(map[string][]float64),
	}
}

// name sets the limit of an engine. A negative one withdraws it.
func (m *limitedEngines) name(engine string, limit float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if limit < 0 {
		delete(m.limits, engine)
		return
	}
	m.limits[engine] = limit
}

// Send implements loomupstream.Runner.
func (m *limitedEngines) Send(ctx context.Context, address string, s loomupstream.Send) (*loomupstream.Reply, error) {
	now := time.Now()
	m.mu.Lock()
	limit, isLimited := m.limits[s.Upstream]
	stated := limit
	if !isLimited {
		stated = -1
	} else if m.namedAt[s.Upstream].IsZero() {
		m.namedAt[s.Upstream] = now
	}
	m.arrivals[s.Upstream] = append(m.arrivals[s.Upstream], now)
	m.stated[s.Upstream] = append(m.stated[s.Upstream], stated)
	m.mu.Unlock()
	reply, err := m.modelEngines.Send(ctx, address, s)
	if reply != nil {
		reply.Said.Limit = loomupstream.RequestLimit{IsNamed: isLimited, PerSecond: limit}
	}
	return reply, err
}

// excess returns how many requests more than allowed an engine has got in the worst
// window: one and a half times the highest limit that it named there, and five. The
// time until the limit must hold is left out, and windows without a limit.
func (m *limitedEngines) excess(engine string) (excess float64, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	arrivals, stated := m.arrivals[engine], m.stated[engine]
	first := 0
	excess = math.Inf(-1)
	for i, end := range arrivals {
		for !arrivals[first].After(end.Add(-loomlimit.LimitWindow)) {
			first++
		}
		if m.namedAt[engine].IsZero() || end.Before(m.namedAt[engine].Add(limitGrace)) || slices.Contains(stated[first:i+1], -1) && end.Sub(m.namedAt[engine]) > limitGrace+loomlimit.LimitWindow {
			continue
		}
		allowed := 1.5*slices.Max(stated[first:i+1])*loomlimit.LimitWindow.Seconds() + 5
		if over := float64(i-first+1) - allowed; over > excess {
			excess, at = over, end.Sub(arrivals[0])
		}
	}
	return excess, at
}

// countBetween returns the number of requests to an engine in a span of the play.
func (m *limitedEngines) countBetween(engine string, from, to time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, at := range m.arrivals[engine] {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// limitPlay is a fleet before limitedEngines.
type limitPlay struct {
	gates, domains, engines int
	hasCoordinators         bool
	length                  time.Duration
	meanGap                 time.Duration
	// busy is the number of gates that get requests; zero stands for all.
	busy int
	// events are run at their times since the start.
	events []limitEvent
}

// limitEvent changes the engines or the fleet at a time.
type limitEvent struct {
	at  time.Duration
	run func(p *limitFleet)
}

// limitFleet is the state of a limitPlay.
type limitFleet struct {
	start   time.Time
	engines *limitedEngines
	gates   []*Gate
	down    func(id string, isDown bool)

	mu sync.Mutex
	// isCut is set while the failure domains are cut off from each other.
	isCut    bool
	frozen   map[string]bool
	served   int
	failures []*loomerror.Error
	// refusedAfter holds the times after which requests were refused.
	refusedAfter []time.Duration
}

func (f *limitFleet) setCut(isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
}

// separates reports whether a cut or a frozen gate prevents calls.
func (f *limitFleet) separates(from, to *Gate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[from.settings.ID] || f.frozen[to.settings.ID] || (f.isCut && from.settings.FailureDomain != to.settings.FailureDomain)
}

func (f *limitFleet) setFrozen(id string, isFrozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[id] = isFrozen
}

func (f *limitFleet) isFrozen(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[id]
}

// record records how a request ended.
func (f *limitFleet) record(w *streamResponder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.failure == nil {
		f.served++
		return
	}
	f.failures = append(f.failures, w.failure)
	f.refusedAfter = append(f.refusedAfter, time.Since(w.received))
}

// refusedLate returns the number of requests that were refused only after they had
// waited.
func (f *limitFleet) refusedLate() int {
	late := 0
	for _, after := range f.refusedAfter {
		if after > maxEngineWait {
			late++
		}
	}
	return late
}

func (p limitPlay) play(t *testing.T) *limitFleet {
	t.Helper()
	f := &limitFleet{start: time.Now(), engines: newLimitedEngines(p.engines), frozen: make(map[string]bool)}
	var stores []loomcatalogue.KVStore
	if p.hasCoordinators {
		stores = append(stores, loomcatalogue.KVStore{Name: "store", MaxWatches: 12})
	}
	for i := range p.gates {
		g := newModelGate(t, fmt.Sprint("i", i), f.engines.modelEngines, pauseObjective, stores...)
		g.runner = f.engines
		g.settings.FailureDomain = fmt.Sprint("d", i%p.domains)
		g.settings.ProcessorCores = 1
		f.gates = append(f.gates, g)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	isDown := connectCut(ctx, f.gates, f.separates)
	f.down = func(id string, down bool) { isDown[id].Store(down) }
	random := rand.New(rand.NewPCG(7, 1))
	busy := p.busy
	if busy == 0 {
		busy = p.gates
	}
	var running sync.WaitGroup
	next := 0
	for n := 0; time.Since(f.start) < p.length; n++ {
		for next < len(p.events) && time.Since(f.start) >= p.events[next].at {
			p.events[next].run(f)
			next++
		}
		g := f.gates[random.IntN(busy)]
		prompt := modelPrompt{Output: 20, Parts: []PromptPart{{ID: fmt.Sprint("session", random.IntN(40)), Tokens: 1500}, {ID: fmt.Sprint("request", n), Tokens: 300}}}
		if !f.isFrozen(g.settings.ID) {
			running.Go(func() { f.record(serveModel(t.Context(), t, g, "report", fmt.Sprint("r", n), prompt)) })
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(p.meanGap)))
	}
	running.Wait()
	return f
}

// nameAt returns an event at which engines name limits.
func nameAt(at time.Duration, limits ...float64) limitEvent {
	return limitEvent{at, func(f *limitFleet) {
		for i, limit := range limits {
			f.engines.name(fmt.Sprint("e", i), limit)
		}
	}}
}

// TestFleetKeepsLimits guards against an upstream that gets more than it takes while
// instances are cut off, frozen or replaced, and while limits change.
func TestFleetKeepsLimits(t *testing.T) {
	const second = time.Second
	cutAt := func(at time.Duration, isCut bool) limitEvent {
		return limitEvent{at, func(f *limitFleet) { f.setCut(isCut) }}
	}
	freezeAt := func(at time.Duration, isFrozen bool, ids ...string) limitEvent {
		return limitEvent{at, func(f *limitFleet) {
			for _, id := range ids {
				f.setFrozen(id, isFrozen)
			}
		}}
	}
	downAt := func(at time.Duration, count int) limitEvent {
		return limitEvent{at, func(f *limitFleet) {
			for _, id := range f.gates[0].coordinators.all()[:count] {
				f.down(id, true)
			}
		}}
	}
	small := limitPlay{gates: 7, domains: 4, engines: 12, length: 25 * second, meanGap: 9 * time.Millisecond}
	large := limitPlay{gates: 40, domains: 2, engines: 20, hasCoordinators: true, length: 25 * second, meanGap: 6 * time.Millisecond}
	tests := []struct {
		name   string
		play   limitPlay
		events []limitEvent
	}{
		{"two of twelve", small, []limitEvent{nameAt(4*second, 3.4, 4.1)}},
		{"a limit below one a second", small, []limitEvent{nameAt(4*second, 0.3, 0)}},
		{"lowered and raised", small, []limitEvent{nameAt(4*second, 8), nameAt(9*second, 2), nameAt(15*second, 8)}},
		{"all", small, []limitEvent{nameAt(4*second, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3)}},
		{"failure domains cut off from each other", small, []limitEvent{nameAt(4*second, 3.4, 4.1), cutAt(7*second, true), cutAt(20*second, false)}},
		{"named while failure domains are cut off", small, []limitEvent{cutAt(3*second, true), nameAt(4*second, 3.4, 4.1)}},
		{"callers at two instances", limitPlay{gates: 7, domains: 4, engines: 2, length: 25 * second, meanGap: 25 * time.Millisecond, busy: 2}, []limitEvent{nameAt(4*second, 6, 6)}},
		{"frozen instances", small, []limitEvent{nameAt(4*second, 3.4, 4.1), freezeAt(8*second, true, "i0", "i1"), freezeAt(13*second, false, "i0", "i1")}},
		{"large fleet", large, []limitEvent{nameAt(4*second, 3.4, 4.1)}},
		{"large fleet, failed coordinators", large, []limitEvent{nameAt(4*second, 3.4, 4.1), downAt(8*second, 2)}},
		{"large fleet, no coordinators", large, []limitEvent{nameAt(4*second, 3.4, 4.1), downAt(8*second, 4)}},
		{"large fleet, failure domains cut off from each other", large, []limitEvent{nameAt(4*second, 3.4, 4.1), cutAt(7*second, true), cutAt(20*second, false)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play.events = tt.events
				f := tt.play.play(t)
				for id := range f.engines.limits {
					excess, at := f.engines.excess(id)
					assert.Check(t, excess <= 0, "%s got %.0f requests too many in the window that ends at %s", id, excess, at)
					t.Logf("%s: %.0f above what is allowed at %s, %d requests after the grace time", id, excess, at,
						f.engines.countBetween(id, f.start.Add(7*time.Second), f.start.Add(tt.play.length)))
				}
				late := f.refusedLate()
				assert.Check(t, lateRefusalDivisor*late <= len(f.failures), "%d of %d refused requests had waited", late, len(f.failures))
				for _, err := range f.failures {
					assert.Check(t, err.NotRun() == loomerror.NotRunTrue && err.RetryAfter() > 0, err)
				}
				t.Logf("%d served, %d refused, %d of them not at once", f.served, len(f.failures), late)
			})
		})
	}
}

// TestUnusedPartsOfLimitsAreLent guards against limits of which most is wasted because
// only a few instances have callers.
func TestUnusedPartsOfLimitsAreLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, named, length = 6.0, 4 * time.Second, 25 * time.Second
		f := limitPlay{
			gates: 7, domains: 4, engines: 2, length: length, meanGap: 25 * time.Millisecond, busy: 2,
			events: []limitEvent{nameAt(named, limit, limit)},
		}.play(t)
		for id := range f.engines.limits {
			got := f.engines.countBetween(id, f.start.Add(named+limitGrace), f.start.Add(length))
			allowed := limit * (length - named - limitGrace).Seconds()
			assert.Check(t, float64(got) >= allowed*3/4, "%s got %d requests, its limit allows %.0f", id, got, allowed)
		}
	})
}

// TestWithdrawnLimitEnds checks that an upstream gets work as before once it no longer
// names a limit, also from instances that have sent it nothing meanwhile.
func TestWithdrawnLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, named, withdrawn, length = 2.0, 4 * time.Second, 9 * time.Second, 25 * time.Second
		f := limitPlay{
			gates: 7, domains: 4, engines: 4, length: length, meanGap: 20 * time.Millisecond,
			events: []limitEvent{nameAt(named, limit), nameAt(withdrawn, -1)},
		}.play(t)
		limited := f.engines.countBetween("e0", f.start.Add(named+limitGrace), f.start.Add(withdrawn))
		free := f.engines.countBetween("e0", f.start.Add(withdrawn+limitGrace), f.start.Add(length))
		limitedRate, freeRate := float64(limited)/(withdrawn-named-limitGrace).Seconds(), float64(free)/(length-withdrawn-limitGrace).Seconds()
		assert.Check(t, limitedRate <= 1.5*limit, "%.1f requests a second with a limit of %.0f", limitedRate, limit)
		assert.Check(t, freeRate > limit, "%.1f requests a second after the limit of %.0f was withdrawn", freeRate, limit)
		for _, g := range f.gates {
			assert.Check(t, g.limits.summary(time.Now(), "engines").upstreams == 0, "%s still knows a limit", g.settings.ID)
		}
	})
}

// TestLimitBelongsToIncarnation guards against the limit of an earlier incarnation of an
// upstream that counts for the present one, and against the reverse.
func TestLimitBelongsToIncarnation(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(at, TopicUpstreams, page(1, row("e1", "up 1", 1)), true)
	u, ok := g.view.upstream("e1")
	assert.Assert(t, ok)
	limitOf := func() float64 { return g.limits.summary(at, "engines").perSecond }
	report := func(incarnation uint64, limit float64, ageMs uint32) {
		g.limits.apply(at, "b", []*loompb.UpstreamLimit{{UpstreamId: "e1", Incarnation: incarnation, IsLimited: true, RequestsPerSecond: limit, AgeMs: ageMs}})
	}
	u.Incarnation = 1
	g.limits.hear(at, u, &loomupstream.Reply{Said: loomupstream.Statement{Limit: loomupstream.RequestLimit{IsNamed: true, PerSecond: 5}}})
	assert.Equal(t, limitOf(), 5.0)
	u.Incarnation = 2
	g.limits.hear(at, u, &loomupstream.Reply{})
	assert.Equal(t, limitOf(), 0.0, "the limit of the earlier incarnation")
	report(1, 5, 0)
	assert.Equal(t, limitOf(), 0.0, "a peer's word on the earlier incarnation")
	report(2, 3, 100)
	assert.Equal(t, limitOf(), 3.0, "a peer's word on the present incarnation")
	g.limits.hear(at, u, &loomupstream.Reply{NotRun: true})
	assert.Equal(t, limitOf(), 3.0, "a refusal does not withdraw a limit")
	g.limits.hear(at, u, &loomupstream.Reply{Said: loomupstream.Statement{Limit: loomupstream.RequestLimit{IsUnreadable: true}}})
	assert.Equal(t, limitOf(), 3.0, "an unreadable limit changes nothing")
}
