package loomgate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// deadPrefix begins the IDs of the parts that end engines.
	deadPrefix = "dead"
	// crashDelay is the time after which a request with such a part ends its engine, and
	// crashRestart how long that is down.
	crashDelay   = 60 * time.Millisecond
	crashRestart = 2500 * time.Millisecond
)

// crashingEngines are engines that end under requests with certain parts.
type crashingEngines struct {
	*modelEngines

	mu sync.Mutex
	// downUntil is when an engine that has ended is back, and ended is closed at the next
	// end of an engine.
	downUntil map[string]time.Time
	ended     map[string]chan struct{}
	// ends are the times of ends under each such part, arrivals those of requests with it.
	ends     map[string][]time.Time
	arrivals map[string][]time.Time
	// isSound is set once no part ends engines any more.
	isSound bool
}

func newCrashingEngines(n int) *crashingEngines {
	c := &crashingEngines{
		modelEngines: newModelEngines(n, 50_000), downUntil: make(map[string]time.Time), ended: make(map[string]chan struct{}),
		ends: make(map[string][]time.Time), arrivals: make(map[string][]time.Time),
	}
	for id := range c.engines {
		c.ended[id] = make(chan struct{})
	}
	return c
}

// HasEnded implements loomupstream.Runner.
func (c *crashingEngines) HasEnded(_ context.Context, address string) (bool, error) {
	return c.isDown(address), nil
}

func (c *crashingEngines) isDown(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.downUntil[id])
}

// end ends an engine under a part, or for another reason if that is empty.
func (c *crashingEngines) end(id, part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[id]) {
		return
	}
	if part != "" {
		c.ends[part] = append(c.ends[part], time.Now())
	}
	c.downUntil[id] = time.Now().Add(crashRestart)
	close(c.ended[id])
	c.ended[id] = make(chan struct{})
}

// loadWeights gives all engines weights of a version, as all instances learn at once.
func (c *crashingEngines) loadWeights(gates []*Gate, version int, areSound bool) {
	c.mu.Lock()
	c.isSound = areSound
	c.mu.Unlock()
	for _, g := range gates {
		var rows []Row
		for id := range c.engines {
			rows = append(rows, row(id, fmt.Sprint("up ", version), uint64(1000*version+len(rows))))
		}
		g.view.apply(time.Now(), TopicUpstreams, page(uint64(1000*version+len(rows)), rows...), true)
	}
}

// Send implements loomupstream.Runner.
func (c *crashingEngines) Send(ctx context.Context, address string, s loomupstream.Send) (*loomupstream.Reply, error) {
	if c.isDown(s.Upstream) {
		return nil, &loomupstream.SendError{Unreachable: true, Cause: errDown}
	}
	var p modelPrompt
	if err := json.Unmarshal(s.Body, &p); err != nil {
		return nil, &loomupstream.SendError{Cause: err}
	}
	c.mu.Lock()
	ended := c.ended[s.Upstream]
	dead := ""
	for _, part := range p.Parts {
		if strings.HasPrefix(part.ID, deadPrefix) {
			dead = part.ID
			c.arrivals[dead] = append(c.arrivals[dead], time.Now())
		}
	}
	isDead := dead != "" && !c.isSound
	c.mu.Unlock()
	if isDead {
		time.AfterFunc(crashDelay, func() {
			select {
			case <-ended:
			default:
				c.end(s.Upstream, dead)
			}
		})
	}
	reply, err := c.modelEngines.Send(ctx, address, s)
	if err != nil {
		return nil, err
	}
	reply.Body = &breakingBody{ReadCloser: reply.Body, ended: ended, isSilent: isDead}
	return reply, nil
}

// breakingBody is a body that breaks when its engine ends.
type breakingBody struct {
	io.ReadCloser

	ended chan struct{}
	// isSilent is set if the engine ends before the first event.
	isSilent bool
}

// Read implements io.Reader.
func (b *breakingBody) Read(p []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	if b.isSilent {
		<-b.ended
		return 0, io.ErrUnexpectedEOF
	}
	read := make(chan result, 1)
	buffer := make([]byte, len(p))
	go func() {
		n, err := b.ReadCloser.Read(buffer)
		read <- result{n, err}
	}()
	select {
	case r := <-read:
		return copy(p, buffer[:r.n]), r.err
	case <-b.ended:
		return 0, io.ErrUnexpectedEOF
	}
}

// crashPlay is a load with requests that end engines.
type crashPlay struct {
	instances, domains, engines int
	hasCoordinators             bool
	// gap is the mean time between requests that end engines, soundGap that between others.
	gap, soundGap time.Duration
	// parts returns the parts of the requests that end engines, but for the last one, and
	// sound those of others.
	parts, sound func(n int) []string
	// newParts is set if no answer to the sound requests is complete before the first
	// request that ends an engine.
	newParts bool
	// cutAt is when the first failure domain is cut off from the others for four seconds, or
	// zero. Engines are reachable from everywhere.
	cutAt time.Duration
	// racksAt are times at which a third of the engines end at once.
	racksAt []time.Duration
	// newWeightsAt is when all engines have new weights, or zero, and areSound is set if no
	// part ends an engine with them.
	newWeightsAt time.Duration
	areSound     bool
	// isPlain is set if no request has a prompt that the instances know, and repeatsWhole if
	// the requests that end engines are the same each time. Sound ones that fail are then
	// sent again by their callers, up to maxReturns times.
	isPlain, repeatsWhole bool
	// repeatsSound is set if the sound requests with the same parts are the same.
	repeatsSound bool
	// singlesAt are times at which one engine ends for another reason.
	singlesAt []time.Duration
	length    time.Duration
}

// maxReturns is how often the caller of a sound request sends it again.
const maxReturns = 3

// knownEnds returns the number of ends after which what ends engines counts as known.
func (p crashPlay) knownEnds() int {
	if p.repeatsWhole {
		return 3
	}
	return 5
}

// crashCounts is the outcome of a crashPlay.
type crashCounts struct {
	ends int
	// late is the largest number of requests with one part that arrived too late.
	late int
	// served and all count the sound requests from twice contactTime after the end that made
	// the requests known.
	served, all int
	// refused is the number of sound requests that were refused as quarantined.
	refused int
	// servedDead is the number of requests with such a part that were answered.
	servedDead int
	// wrong are the quarantined sets without a part that ends engines.
	wrong []string
}

// play plays a load in virtual time.
func (p crashPlay) play(t *testing.T, random *rand.Rand) crashCounts {
	t.Helper()
	engines := newCrashingEngines(p.engines)
	var stores []loomcatalogue.KVStore
	if p.hasCoordinators {
		stores = append(stores, loomcatalogue.KVStore{Name: "store", MaxWatches: 12})
	}
	var gates []*Gate
	for i := range p.instances {
		g := newModelGate(t, fmt.Sprint("i", i), engines.modelEngines, pauseObjective, stores...)
		g.runner = engines
		g.settings.FailureDomain = fmt.Sprint("d", i%p.domains)
		g.settings.ProcessorCores = 1
		g.random = rand.New(rand.NewPCG(random.Uint64(), 1))
		gates = append(gates, g)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start := time.Now()
	isCut := func(at time.Time) bool {
		return p.cutAt > 0 && at.Sub(start) > p.cutAt && at.Sub(start) < p.cutAt+4*time.Second
	}
	connectCut(ctx, gates, func(from, to *Gate) bool {
		return isCut(time.Now()) && (from.settings.FailureDomain == "d0") != (to.settings.FailureDomain == "d0")
	})
	for _, at := range p.racksAt {
		time.AfterFunc(at, func() {
			for i := range p.engines / 3 {
				engines.end(fmt.Sprint("e", 3*i), "")
			}
		})
	}
	for n, at := range p.singlesAt {
		time.AfterFunc(at, func() { engines.end(fmt.Sprint("e", n%p.engines), "") })
	}
	if p.newWeightsAt > 0 {
		time.AfterFunc(p.newWeightsAt, func() { engines.loadWeights(gates, 2, p.areSound) })
	}
	var mu sync.Mutex
	type outcome struct {
		at     time.Time
		served bool
	}
	var outcomes []outcome
	refused, servedDead := 0, 0
	var running sync.WaitGroup
	var numbers atomic.Int64
	serve := func(g *Gate, prompt modelPrompt) *streamResponder {
		id := fmt.Sprint("r", numbers.Add(1))
		if p.isPlain {
			return serveNow(t.Context(), g, newPlainRequest(t, "report", id, prompt))
		}
		return serveModel(t.Context(), t, g, "report", id, prompt)
	}
	send := func(parts []string, isSound bool) {
		prompt := modelPrompt{Output: 12}
		if (isSound && !p.repeatsSound) || (!isSound && !p.repeatsWhole) {
			parts = append(slices.Clone(parts), fmt.Sprint("request", numbers.Add(1)))
		}
		for _, id := range parts {
			prompt.Parts = append(prompt.Parts, PromptPart{ID: id, Tokens: 300})
		}
		first, next := gates[random.IntN(len(gates))], gates[random.IntN(len(gates))]
		running.Go(func() {
			at := time.Now()
			w := serve(first, prompt)
			for range maxReturns {
				if w.failure == nil || !isSound || !p.repeatsWhole {
					break
				}
				time.Sleep(100 * time.Millisecond)
				w = serve(next, prompt)
			}
			mu.Lock()
			defer mu.Unlock()
			if !isSound && w.failure == nil {
				servedDead++
			}
			if isSound {
				outcomes = append(outcomes, outcome{at: at, served: w.failure == nil})
				if w.failure != nil && (w.failure.Kind() == loomerror.PromptQuarantined || w.failure.Kind() == loomerror.RequestQuarantined) {
					refused++
				}
			}
		})
	}
	deadFrom := 2 * time.Second
	if p.newParts {
		deadFrom = 0
	}
	nextSound, nextDead := start, start.Add(deadFrom)
	for n := 0; time.Since(start) < p.length; n++ {
		now := time.Now()
		if !now.Before(nextDead) {
			send(p.parts(n), false)
			nextDead = now.Add(time.Duration(random.ExpFloat64() * float64(p.gap)))
		}
		if !now.Before(nextSound) {
			send(p.sound(n), true)
			nextSound = now.Add(time.Duration(random.ExpFloat64() * float64(p.soundGap)))
		}
		time.Sleep(time.Millisecond)
	}
	running.Wait()
	result := crashCounts{refused: refused, servedDead: servedDead}
	var limit time.Time
	for part, ends := range engines.ends {
		result.ends += len(ends)
		known := ends[min(len(ends), p.knownEnds())-1]
		if known.After(limit) {
			limit = known
		}
		late := 0
		for _, at := range engines.arrivals[part] {
			isInTouch := p.cutAt == 0 || at.Sub(start) < p.cutAt || at.Sub(start) > p.cutAt+4*time.Second+contactTime
			if len(ends) >= p.knownEnds() && isInTouch && at.After(known.Add(contactTime)) {
				late++
			}
		}
		result.late = max(result.late, late)
	}
	for _, o := range outcomes {
		if o.at.After(limit.Add(2 * contactTime)) {
			result.all++
			if o.served {
				result.served++
			}
		}
	}
	for _, g := range gates {
		for _, q := range g.quarantine.ledger.Quarantines() {
			if !p.repeatsWhole && !slices.ContainsFunc(q.Parts(), func(id string) bool { return strings.HasPrefix(id, deadPrefix) }) {
				result.wrong = append(result.wrong, fmt.Sprint(g.settings.ID, q.Suspects))
			}
		}
	}
	return result
}

// check fails t if a bound was broken.
func (r crashCounts) check(t *testing.T) {
	t.Helper()
	t.Logf("%d engines ended, %d requests arrived late, %d of %d sound ones served, %d refused, wrong quarantines %v", r.ends, r.late, r.served, r.all, r.refused, r.wrong)
	assert.Check(t, r.ends > 0)
	assert.Check(t, r.late <= 3 || r.servedDead > 0, "%d requests arrived late, allowed 3", r.late)
	assert.Check(t, r.all >= 20 && 2*r.served >= r.all, "%d of %d sound requests served", r.served, r.all)
	assert.Check(t, len(r.wrong) == 0, "%v", r.wrong)
}

// TestFleetContainsPartsThatEndEngines guards against a part that ends engines which some
// instances go on to send, since they have seen none of the ends.
func TestFleetContainsPartsThatEndEngines(t *testing.T) {
	inTheMiddle := func(n int) []string { return []string{"a", "dead", fmt.Sprint("b", n%8)} }
	shared := func(n int) []string { return []string{"a", fmt.Sprint("b", n%8)} }
	base := crashPlay{instances: 8, domains: 4, engines: 12, gap: 62 * time.Millisecond, soundGap: 30 * time.Millisecond, parts: inTheMiddle, sound: shared, length: 12 * time.Second}
	with := func(change func(*crashPlay)) crashPlay {
		p := base
		change(&p)
		return p
	}
	tests := []struct {
		name string
		play crashPlay
	}{
		{"8 instances", base},
		{"new sound parts", with(func(p *crashPlay) { p.newParts = true })},
		{"slowly", with(func(p *crashPlay) { p.gap, p.length = time.Second, 20*time.Second })},
		{"two parts in turn", with(func(p *crashPlay) {
			p.length = 20 * time.Second
			p.parts = func(n int) []string { return []string{"a", fmt.Sprint("dead", n%2), fmt.Sprint("b", n%8)} }
		})},
		{"two parts in turn, new sound parts", with(func(p *crashPlay) {
			p.newParts, p.length = true, 20*time.Second
			p.parts = func(n int) []string { return []string{"a", fmt.Sprint("dead", n%2), fmt.Sprint("b", n%8)} }
		})},
		{"a cut", with(func(p *crashPlay) { p.cutAt, p.length = 1800*time.Millisecond, 16*time.Second })},
		{"racks", with(func(p *crashPlay) { p.racksAt = []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second} })},
		{"83 instances with coordinators", with(func(p *crashPlay) {
			p.instances, p.engines, p.hasCoordinators = 83, 60, true
			p.gap, p.soundGap = 20*time.Millisecond, 10*time.Millisecond
		})},
		{"295 instances with coordinators", with(func(p *crashPlay) {
			p.instances, p.engines, p.hasCoordinators = 295, 190, true
			p.gap, p.soundGap = 20*time.Millisecond, 10*time.Millisecond
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play.play(t, rand.New(rand.NewPCG(1, 1))).check(t)
			})
		})
	}
}

// TestFleetContainsRequestsThatEndUpstreams guards against a request that ends upstreams which
// some instances go on to send, since they have seen none of the ends.
func TestFleetContainsRequestsThatEndUpstreams(t *testing.T) {
	base := crashPlay{
		instances: 8, domains: 4, engines: 4, gap: 150 * time.Millisecond, soundGap: 60 * time.Millisecond, isPlain: true, repeatsWhole: true,
		parts: func(int) []string { return []string{"dead"} }, sound: func(n int) []string { return []string{fmt.Sprint("b", n%8)} },
		length: 14 * time.Second,
	}
	with := func(change func(*crashPlay)) crashPlay {
		p := base
		change(&p)
		return p
	}
	tests := []struct {
		name string
		play crashPlay
	}{
		{"4 engines", base},
		{"12 engines, often", with(func(p *crashPlay) { p.engines, p.gap, p.soundGap = 12, 60*time.Millisecond, 30*time.Millisecond })},
		{"seldom", with(func(p *crashPlay) { p.gap, p.length = 2*time.Second, 40*time.Second })},
		{"once in 25 s", with(func(p *crashPlay) { p.gap, p.length = 25*time.Second, 5*time.Minute })},
		{"two requests in turn", with(func(p *crashPlay) {
			p.engines, p.length = 8, 20*time.Second
			p.parts = func(n int) []string { return []string{fmt.Sprint("dead", n%2)} }
		})},
		{"a prompt", with(func(p *crashPlay) {
			p.isPlain = false
			p.parts = func(int) []string { return []string{"b0", "b1", "dead"} }
		})},
		{"a cut", with(func(p *crashPlay) { p.cutAt, p.length = 1800*time.Millisecond, 16*time.Second })},
		{"racks", with(func(p *crashPlay) {
			p.engines, p.racksAt = 8, []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second}
		})},
		{"83 instances with coordinators", with(func(p *crashPlay) {
			p.instances, p.engines, p.hasCoordinators = 83, 12, true
			p.gap, p.soundGap = 100*time.Millisecond, 20*time.Millisecond
		})},
		{"295 instances with coordinators", with(func(p *crashPlay) {
			p.instances, p.engines, p.hasCoordinators = 295, 12, true
			p.gap, p.soundGap = 100*time.Millisecond, 20*time.Millisecond
		})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.play.play(t, rand.New(rand.NewPCG(1, 1))).check(t)
			})
		})
	}
}

// randomCrashPlay returns a play with random disturbances.
func randomCrashPlay(random *rand.Rand) crashPlay {
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	p := crashPlay{
		instances: 2 + random.IntN(9), domains: 1 + random.IntN(4), engines: 6 + random.IntN(14),
		gap: between(40*time.Millisecond, 800*time.Millisecond), soundGap: between(15*time.Millisecond, 60*time.Millisecond),
		newParts: random.IntN(4) == 0, length: 20 * time.Second,
	}
	if random.IntN(6) == 0 {
		p.instances, p.engines, p.hasCoordinators = 30, 30, true
	}
	if random.IntN(3) == 0 {
		p.cutAt = between(time.Second, 5*time.Second)
	}
	for range random.IntN(4) {
		p.racksAt = append(p.racksAt, between(0, 10*time.Second))
	}
	dead, accounts, sessions := 1+random.IntN(3), 1+random.IntN(4), 1+random.IntN(20)
	place := random.IntN(3)
	p.sound = func(n int) []string {
		return []string{fmt.Sprint("account", n%accounts), fmt.Sprint("session", n%sessions)}
	}
	p.parts = func(n int) []string {
		return slices.Insert(p.sound(n), place, fmt.Sprint(deadPrefix, n%dead))
	}
	return p
}

// TestFleetContainsPartsInAnyHistory plays random histories in virtual time.
// SWIFTLOOM_HISTORIES sets their number, or FIRST-LAST.
func TestFleetContainsPartsInAnyHistory(t *testing.T) {
	first, last := historySeeds(t, 40)
	for seed := first; seed <= last; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		p := randomCrashPlay(random)
		var result crashCounts
		synctest.Test(t, func(t *testing.T) { result = p.play(t, random) })
		isSound := result.late <= 3 && 2*result.served >= result.all && len(result.wrong) == 0
		if result.refused > 0 {
			t.Logf("seed %d: %+v", seed, result)
		}
		assert.Check(t, isSound, "seed %d: %+v: %+v", seed, p, result)
	}
}

// randomRequestPlay returns a play of requests that end engines, with random disturbances.
func randomRequestPlay(random *rand.Rand) crashPlay {
	p := randomCrashPlay(random)
	p.repeatsWhole, p.isPlain, p.repeatsSound = true, random.IntN(3) > 0, random.IntN(2) == 0
	if !p.hasCoordinators {
		p.engines = 3 + random.IntN(12)
	}
	if random.IntN(3) == 0 {
		p.gap *= 5
		p.length *= 2
	}
	dead := 1 + random.IntN(2)
	p.parts = func(n int) []string { return []string{fmt.Sprint(deadPrefix, n%dead)} }
	for range random.IntN(8) {
		p.singlesAt = append(p.singlesAt, time.Duration(random.Int64N(int64(12*time.Second))))
	}
	return p
}

// TestFleetContainsRequestsInAnyHistory plays random histories in virtual time.
// SWIFTLOOM_HISTORIES sets their number, or FIRST-LAST.
func TestFleetContainsRequestsInAnyHistory(t *testing.T) {
	first, last := historySeeds(t, 40)
	refused := 0
	for seed := first; seed <= last; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		p := randomRequestPlay(random)
		var result crashCounts
		synctest.Test(t, func(t *testing.T) { result = p.play(t, random) })
		if result.refused > 0 {
			refused++
			t.Logf("seed %d: %+v", seed, result)
		}
		isContained := result.late <= 3 && 2*result.served >= result.all
		assert.Check(t, isContained, "seed %d: %+v: %+v", seed, p, result)
	}
	t.Logf("sound requests were refused in %d of %d histories", refused, last-first+1)
}

// TestPartsAreTriedWithNewWeights guards against a part that stays refused although it ends no
// engine any more, and against trials that go on ending engines.
func TestPartsAreTriedWithNewWeights(t *testing.T) {
	for _, areSound := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := crashPlay{
				instances: 8, domains: 2, engines: 12, gap: 62 * time.Millisecond, soundGap: 30 * time.Millisecond,
				parts:        func(n int) []string { return []string{"a", "dead", fmt.Sprint("b", n%8)} },
				sound:        func(n int) []string { return []string{"a", fmt.Sprint("b", n%8)} },
				newWeightsAt: 8 * time.Second, areSound: areSound, length: 20 * time.Second,
			}
			result := p.play(t, rand.New(rand.NewPCG(1, 1)))
			result.check(t)
			assert.Check(t, (result.servedDead > 100) == areSound, "%d requests with the part were answered", result.servedDead)
		})
	}
}

// endingRunner is a runner whose upstream ends at a time.
type endingRunner struct {
	fakeRunner

	endsAt time.Time
	checks int
}

// HasEnded implements loomupstream.Runner.
func (r *endingRunner) HasEnded(ctx context.Context, _ string) (bool, error) {
	r.checks++
	hasEnded := !time.Now().Before(r.endsAt)
	return hasEnded, sleep(ctx, 50*time.Millisecond)
}

// TestEndAfterResetIsSeen guards against an end of an upstream that is missed since a
// connection to it was reset shortly before.
func TestEndAfterResetIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		runner := &endingRunner{endsAt: start.Add(100 * time.Millisecond)}
		g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
		g.runner = runner
		u := loommember.Upstream{ID: "u"}
		assert.Assert(t, !g.quarantine.hasEnded(t.Context(), time.Now(), u))
		time.Sleep(100 * time.Millisecond)
		// Several attempts break with the end, in the course of some milliseconds.
		var wg sync.WaitGroup
		var seen atomic.Int64
		for n := range 10 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				if g.quarantine.hasEnded(t.Context(), time.Now(), u) {
					seen.Add(1)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, seen.Load(), int64(10))
		assert.Assert(t, runner.checks <= 3, "%d checks", runner.checks)
	})
}
