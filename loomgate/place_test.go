package loomgate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomupstream"
)

// largeFleet is a fleet with more instances than may watch an upstream. Its callers
// return to one of a number of sessions, of which all engines together can cache
// most.
type largeFleet struct {
	// hasCoordinators is set if the upstreams state how many watches they accept,
	// so that coordinators are elected.
	hasCoordinators bool
	// coordinatorsDown is the number of coordinators that answer no calls in the
	// second half.
	coordinatorsDown int
	// silentEngines is the number of engines to which no connection can be opened after a
	// quarter of the time.
	silentEngines int
}

// fleetResult is what the callers and the engines of a largeFleet saw.
type fleetResult struct {
	// onTime is the share of the requests that were on time, failed the number of
	// those that were refused or cut.
	onTime float64
	failed int
	// readAgain is the share of the shared tokens that an engine read although
	// one had read them before.
	readAgain float64
	// busiest is the ratio of the tokens read at the busiest engine to the mean.
	busiest float64
	// lost is the number of attempts at silent engines.
	lost int
}

// play plays twenty seconds at 40 instances of two failure domains before 20 engines.
func (f largeFleet) play(t *testing.T) fleetResult {
	t.Helper()
	const (
		length                   = 20 * time.Second
		meanGap                  = 20 * time.Millisecond
		instances, domains       = 40, 2
		engines, cache           = 20, 50_000
		sessions                 = 80
		sessionTokens, ownTokens = 7000, 1500
		output, objective        = 50, 600 * time.Millisecond
	)
	model := newModelEngines(engines, cache)
	var stores []loomcatalogue.KVStore
	if f.hasCoordinators {
		stores = append(stores, loomcatalogue.KVStore{Name: "store", MaxWatches: 12})
	}
	var gates []*Gate
	for i := range instances {
		g := newModelGate(t, fmt.Sprint("i", i), model, pauseObjective, stores...)
		g.settings.FailureDomain = fmt.Sprint("d", i%domains)
		g.settings.ProcessorCores = 1
		gates = append(gates, g)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	isDown := connect(ctx, gates)
	random := rand.New(rand.NewPCG(1, 1))
	var onTime, failed, total atomic.Int64
	shared := 0
	var lost atomic.Int64
	for _, g := range gates {
		g.runner = silentEngines{modelEngines: model, from: time.Now().Add(length / 4), count: f.silentEngines, lost: &lost}
	}
	var running sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < length; n++ {
		if time.Since(start) > length/2 {
			for _, id := range gates[0].coordinators.all()[:f.coordinatorsDown] {
				isDown[id].Store(true)
			}
		}
		g := gates[random.IntN(len(gates))]
		p := modelPrompt{Output: output, Parts: []PromptPart{
			{ID: fmt.Sprint("session", random.IntN(sessions)), Tokens: sessionTokens}, {ID: fmt.Sprint("request", n), Tokens: ownTokens},
		}}
		shared += sessionTokens
		running.Go(func() {
			w := serveModel(t.Context(), t, g, "report", fmt.Sprint("r", n), p)
			total.Add(1)
			switch {
			case w.failure != nil:
				failed.Add(1)
				t.Logf("request r%d failed: %v", n, w.failure)
			case w.firstAfter <= objective:
				onTime.Add(1)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanGap)))
	}
	running.Wait()
	result := fleetResult{lost: int(lost.Load()), onTime: float64(onTime.Load()) / float64(total.Load()), failed: int(failed.Load())}
	read, most := 0, 0
	for _, e := range model.engines {
		result.readAgain += float64(e.readAgain) / float64(shared)
		read += e.readTokens
		most = max(most, e.readTokens)
	}
	result.busiest = float64(most) * engines / float64(read)
	return result
}

// TestCoordinatorsFindCachedParts checks that in a fleet where no instance can follow
// all engines by itself, coordinators bring returning prompts to the engines that
// cache them: at most half of the tokens are read again that are without
// coordinators, and more requests are on time.
func TestCoordinatorsFindCachedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		with := largeFleet{hasCoordinators: true}.play(t)
		without := largeFleet{}.play(t)
		t.Logf("with coordinators: %+v, without: %+v", with, without)
		assert.Assert(t, with.readAgain <= without.readAgain/2, "read again: %.3f with coordinators, %.3f without", with.readAgain, without.readAgain)
		assert.Assert(t, with.onTime >= 0.95, "on time: %.3f", with.onTime)
		assert.Assert(t, with.onTime >= without.onTime)
		assert.Equal(t, with.failed, 0)
		assert.Assert(t, with.busiest < 2, "the busiest engine read %.2f times the mean", with.busiest)
	})
}

// TestFailedCoordinatorsCutNoRequests checks that every request is answered while
// coordinators fail: one, those of a whole failure domain, or all. Only the
// knowledge of what engines cache may be lost.
func TestFailedCoordinatorsCutNoRequests(t *testing.T) {
	tests := []struct {
		name      string
		down      int
		minOnTime float64
	}{
		{"one", 1, 0.95},
		{"half", 2, 0.9},
		{"all", 4, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := largeFleet{hasCoordinators: true, coordinatorsDown: tt.down}.play(t)
				t.Logf("%+v", result)
				assert.Equal(t, result.failed, 0)
				assert.Assert(t, result.onTime >= tt.minOnTime, "on time: %.3f", result.onTime)
			})
		})
	}
}

// silentEngines are engines of which some accept no connections from a time on.
type silentEngines struct {
	*modelEngines

	from  time.Time
	count int
	lost  *atomic.Int64
}

// Send implements loomupstream.Runner.
func (m silentEngines) Send(ctx context.Context, address string, s loomupstream.Send) (*loomupstream.Reply, error) {
	const dialTimeout = 400 * time.Millisecond
	for i := range m.count {
		if s.Upstream == fmt.Sprint("e", i) && time.Now().After(m.from) {
			m.lost.Add(1)
			if err := sleep(ctx, dialTimeout); err != nil {
				return nil, &loomupstream.SendError{Cause: err}
			}
			return nil, &loomupstream.SendError{Unreachable: true, Cause: errDown}
		}
	}
	return m.modelEngines.Send(ctx, address, s)
}

// TestSilentEnginesAreLearntTogether answers the load of a fleet of which a quarter of the
// engines falls silent: an instance learns of it from the others, and doesn't lose a request
// to each of them.
func TestSilentEnginesAreLearntTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := largeFleet{hasCoordinators: true, silentEngines: 5}.play(t)
		t.Logf("%+v", result)
		// Each coordinator may lose two requests until it hears of both failures, and one each
		// time that it tries an engine again, six times in fifteen seconds.
		const engines, coordinators, first, again = 5, 4, 2, 6
		assert.Check(t, result.lost <= engines*coordinators*(first+again), "%d attempts at silent engines", result.lost)
		assert.Check(t, result.onTime >= 0.9, "on time: %.3f", result.onTime)
	})
}

// TestRequestLeavesEngineThatStaysFull guards against a request that waits until its
// caller leaves for the engine that caches its prompt, while another one is idle.
func TestRequestLeavesEngineThatStaysFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := newModelEngines(2, 50_000)
		g := newModelGate(t, "a", model, pauseObjective)
		prompt := modelPrompt{Output: 50, Parts: []PromptPart{{ID: "session", Tokens: 20_000}, {ID: "request", Tokens: 1500}}}
		g.residency.RecordPrompt("e0", modelSalt("m", 1), prompt.Parts[:1], 50_000)
		// A prompt that e0 never begins to answer.
		unit := g.prefill.forGroup("engines").TokenTime()
		stuck := g.fleet.RecordSent(time.Now(), "e0", int((maxUrgentEngineWait+10*time.Millisecond)/unit))
		defer g.fleet.Done(stuck)
		w := serveModel(t.Context(), t, g, "report", "r", prompt)
		assert.Assert(t, w.failure == nil, "refused after %s: %v", time.Since(w.received), w.failure)
		assert.Assert(t, model.engines["e1"].readTokens > 0, "the idle engine must serve the request")
	})
}
