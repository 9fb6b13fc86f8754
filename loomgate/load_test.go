package loomgate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomupstream"
)

// simulatedTokenTime is the time in which a simulated engine processes one
// prompt token.
const simulatedTokenTime = 9 * time.Microsecond

// simulatedEngines simulates engines that process one prompt at a time, in
// order of arrival and at the rate that the gate assumes initially.
type simulatedEngines struct {
	fakeRunner

	engines map[string]*simulatedEngine
}

type simulatedEngine struct {
	// turn is a semaphore of one slot, held while a prompt is processed.
	turn chan struct{}
	// busyTime is the total time spent on processing prompts.
	busyTime time.Duration
}

func newSimulatedEngines(ids ...string) *simulatedEngines {
	m := &simulatedEngines{engines: make(map[string]*simulatedEngine)}
	for _, id := range ids {
		m.engines[id] = &simulatedEngine{turn: make(chan struct{}, 1)}
	}
	return m
}

// HasEnded implements loomupstream.Runner.
func (m *simulatedEngines) HasEnded(context.Context, string) (bool, error) {
	return false, nil
}

// Send implements loomupstream.Runner.
func (m *simulatedEngines) Send(_ context.Context, _ string, s loomupstream.Send) (*loomupstream.Reply, error) {
	m.engines[s.Upstream].prefill(time.Duration(len(s.Body)) * simulatedTokenTime)
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	return &loomupstream.Reply{
		Status: http.StatusOK, Length: -1, RequestID: s.RequestID, Stamped: true, Version: s.Version,
		Body: io.NopCloser(bytes.NewReader([]byte(events))),
	}, nil
}

func (e *simulatedEngine) prefill(work time.Duration) {
	e.turn <- struct{}{}
	time.Sleep(work)
	e.busyTime += work
	<-e.turn
}

// recordingResponder records the answer that a caller receives and when.
type recordingResponder struct {
	firstAt time.Time
	events  int
	failure *loomerror.Error
	endedAt time.Time
}

func (r *recordingResponder) WriteAnswer(*loomupstream.Reply, []byte) error { return nil }
func (r *recordingResponder) StartStream(*loomupstream.Reply)               {}
func (r *recordingResponder) EndStream()                                    {}
func (r *recordingResponder) Abort()                                        {}

func (r *recordingResponder) WriteEvent([]byte) error {
	if r.events == 0 {
		r.firstAt = time.Now()
	}
	r.events++
	return nil
}

func (r *recordingResponder) WriteError(_ string, err *loomerror.Error) {
	r.failure = err
	r.endedAt = time.Now()
}

const (
	urgentObjective  = 400 * time.Millisecond
	patientObjective = 600 * time.Millisecond
)

// loadRoutes returns routes of three ranks to the same engines.
func loadRoutes() []loomcatalogue.Route {
	target := []loomcatalogue.WeightedGroup{{Group: "engines", Weight: 1}}
	return []loomcatalogue.Route{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Kind: loomcatalogue.Streaming, Rank: 0, MaxAttempts: 2,
			Timeout: 10 * time.Second, LatencyObjective: urgentObjective, Targets: target, HasPrompts: true},
		{Name: "middle", Host: "h", Prefix: "/middle/", Kind: loomcatalogue.Streaming, Rank: 2, MaxAttempts: 2,
			Timeout: 10 * time.Second, LatencyObjective: patientObjective, Targets: target, HasPrompts: true},
		{Name: "patient", Host: "h", Prefix: "/patient/", Kind: loomcatalogue.Streaming, Rank: 3, MaxAttempts: 2,
			Timeout: 10 * time.Second, LatencyObjective: patientObjective, Targets: target, HasPrompts: true},
	}
}

// newLoadGate returns a gate with two simulated engines.
func newLoadGate(t *testing.T) (*Gate, *simulatedEngines) {
	t.Helper()
	engines := newSimulatedEngines("e1", "e2")
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.runner = engines
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: 1,
		Routes:   loadRoutes(),
		Groups: []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{
			Models: []string{"m"}, MemoryTokens: 1_000_000, BytesPerToken: 1, LinkBitsPerSecond: 1e9,
		}}},
	})
	g.view.apply(time.Now(), TopicUpstreams, page(2, row("e1", "up 1", 1), row("e2", "up 1", 2)), true)
	g.view.routingSnapshot.Store(&routing)
	groups := map[string][]loommember.Upstream{"engines": g.view.directory.Usable(time.Now())}
	g.view.groupsSnapshot.Store(&groups)
	return g, engines
}

// serveRequest serves one request and returns the time that it took and the
// recorded answer.
func serveRequest(ctx context.Context, g *Gate, route string, number, tokens int) (time.Duration, *recordingResponder) {
	w := &recordingResponder{}
	start := time.Now()
	g.Serve(ctx, IncomingRequest{
		RequestID: fmt.Sprintf("%s-%d", route, number), Host: "h", RawHost: "h", Path: "/" + route + "/x", RequestTarget: "/" + route + "/x",
		Method: http.MethodPost, Header: http.Header{}, Body: make([]byte, tokens), HasPrompt: true,
		Prompt:   Prompt{Model: "m", Tokens: tokens, MaxOutputTokens: 10, ExpectedOutputTokens: 10, Parts: []PromptPart{{ID: fmt.Sprint(route, number), Tokens: tokens}}},
		Received: start, Deadline: start.Add(10 * time.Second),
	}, w)
	return time.Since(start), w
}

// TestBurst sends a burst of three seconds' work for two engines within half a
// second. Urgent requests, a tenth of them, must be on time. Those of the next
// rank, a fifth, must wait no longer than the work of both ranks takes. No
// request may wait longer than its caller would. A refusal must state that the
// request did not run and when to retry. No engine may be idle while work
// remains.
func TestBurst(t *testing.T) {
	synctest.Test(t, runBurst)
}

// burstRoute returns the route of one request of the burst.
func burstRoute(number int) string {
	switch number % 10 {
	case 0:
		return "urgent"
	case 3, 7:
		return "middle"
	default:
		return "patient"
	}
}

func runBurst(t *testing.T) {
	g, engines := newLoadGate(t)
	const (
		requests = 120
		tokens   = 6000
		spread   = 4 * time.Millisecond
	)
	type result struct {
		route    string
		took     time.Duration
		response *recordingResponder
	}
	results := make([]result, requests)
	start := time.Now()
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			route := burstRoute(i)
			took, response := serveRequest(t.Context(), g, route, i, tokens)
			results[i] = result{route: route, took: took, response: response}
		})
		time.Sleep(spread)
	}
	running.Wait()
	elapsed := time.Since(start)
	const ahead = requests * 3 / 10 * tokens * simulatedTokenTime / 2
	served, late := 0, 0
	for _, r := range results {
		if r.response.failure != nil {
			assert.Equal(t, r.route, "patient", "refused: %v", r.response.failure)
			assert.Equal(t, r.response.failure.NotRun(), loomerror.NotRunTrue)
			assert.Assert(t, r.response.failure.RetryAfter() > 0)
			assert.Assert(t, r.took < abandonFactor*patientObjective+abandonMargin, "refused after %s, later than the caller would wait", r.took)
			continue
		}
		served++
		if r.route == "urgent" && r.took > urgentObjective {
			late++
		}
		if r.route == "middle" {
			assert.Assert(t, r.took < ahead+2*maxEngineWait, "a request of the second rank took %s, want less than %s", r.took, ahead+2*maxEngineWait)
		}
	}
	assert.Equal(t, late, 0, "urgent requests must not be late")
	work := time.Duration(served*tokens) * simulatedTokenTime
	var busyTime time.Duration
	for id, e := range engines.engines {
		busyTime += e.busyTime
		assert.Assert(t, e.busyTime > work/4, "engine %s was idle too long: it did %s of %s of work", id, e.busyTime, work)
	}
	assert.Equal(t, busyTime, work, "each prompt must be processed once")
	assert.Assert(t, elapsed < work/2+time.Second, "two engines took %s for %s of work", elapsed, work)
}
