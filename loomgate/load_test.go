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

// modelEngines stands in for engines that read one prompt after another, in the
// order in which they come and as fast as the gate believes at first.
type modelEngines struct {
	fakeRunner

	engines map[string]*modelEngine
}

type modelEngine struct {
	// turn holds one token, which the prompt that is read takes.
	turn chan struct{}
	// read is the time that was spent on reading.
	read time.Duration
}

func newModelEngines(ids ...string) *modelEngines {
	m := &modelEngines{engines: make(map[string]*modelEngine)}
	for _, id := range ids {
		m.engines[id] = &modelEngine{turn: make(chan struct{}, 1)}
	}
	return m
}

// Send implements loomupstream.Runner.
func (m *modelEngines) Send(_ context.Context, _ string, s loomupstream.Send) (*loomupstream.Reply, error) {
	m.engines[s.Upstream].prefill(time.Duration(len(s.Body)) * defaultTokenTime)
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	return &loomupstream.Reply{
		Status: http.StatusOK, Length: -1, RequestID: s.RequestID, Stamped: true, Version: s.Version,
		Body: io.NopCloser(bytes.NewReader([]byte(events))),
	}, nil
}

func (e *modelEngine) prefill(work time.Duration) {
	e.turn <- struct{}{}
	time.Sleep(work)
	e.read += work
	<-e.turn
}

// heardAnswer notes what a caller gets and when.
type heardAnswer struct {
	firstAt time.Time
	events  int
	failure *loomerror.Error
	endedAt time.Time
}

func (h *heardAnswer) Answer(*loomupstream.Reply, []byte) error { return nil }
func (h *heardAnswer) Stream(*loomupstream.Reply)               {}
func (h *heardAnswer) Abort()                                   {}

func (h *heardAnswer) Event([]byte) error {
	if h.events == 0 {
		h.firstAt = time.Now()
	}
	h.events++
	return nil
}

func (h *heardAnswer) Refuse(_ string, err *loomerror.Error) {
	h.failure = err
	h.endedAt = time.Now()
}

const (
	urgentObjective  = 400 * time.Millisecond
	patientObjective = 600 * time.Millisecond
)

// loadRoutes are routes of three ranks to the same engines.
func loadRoutes() []loomcatalogue.Route {
	target := []loomcatalogue.WeightedGroup{{Group: "engines", Weight: 1}}
	return []loomcatalogue.Route{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Kind: loomcatalogue.Streaming, Rank: 0, Attempts: 2,
			Timeout: 10 * time.Second, Objective: urgentObjective, Targets: target, Prompted: true},
		{Name: "middle", Host: "h", Prefix: "/middle/", Kind: loomcatalogue.Streaming, Rank: 2, Attempts: 2,
			Timeout: 10 * time.Second, Objective: patientObjective, Targets: target, Prompted: true},
		{Name: "patient", Host: "h", Prefix: "/patient/", Kind: loomcatalogue.Streaming, Rank: 3, Attempts: 2,
			Timeout: 10 * time.Second, Objective: patientObjective, Targets: target, Prompted: true},
	}
}

// loadGate is a gate with two engines that read prompts one by one.
func loadGate(t *testing.T) (*Gate, *modelEngines) {
	t.Helper()
	engines := newModelEngines("e1", "e2")
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.runner = engines
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSource{
		Revision: 1,
		Routes:   loadRoutes(),
		Groups: []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{
			Models: []string{"m"}, MemoryTokens: 1_000_000, BytesPerToken: 1, LinkBitsPerSecond: 1e9,
		}}},
	})
	g.beliefs.apply(time.Now(), TopicUpstreams, page(2, row("e1", "up 1", 1), row("e2", "up 1", 2)), true)
	g.beliefs.currentRouting.Store(&routing)
	groups := map[string][]loommember.Upstream{"engines": g.beliefs.directory.Usable(time.Now())}
	g.beliefs.currentGroups.Store(&groups)
	return g, engines
}

// play sends one request and returns what its caller got.
func play(ctx context.Context, g *Gate, route string, number, tokens int) (time.Duration, *heardAnswer) {
	h := &heardAnswer{}
	start := time.Now()
	g.Serve(ctx, Incoming{
		RequestID: fmt.Sprintf("%s-%d", route, number), Host: "h", RawHost: "h", Path: "/" + route + "/x", Target: "/" + route + "/x",
		Method: http.MethodPost, Header: http.Header{}, Body: make([]byte, tokens), HasPrompt: true,
		Prompt:   Prompt{Model: "m", Tokens: tokens, MaxOutput: 10, ExpectedOutput: 10, Parts: []Part{{ID: fmt.Sprint(route, number), Tokens: tokens}}},
		Received: start, Deadline: start.Add(10 * time.Second),
	}, h)
	return time.Since(start), h
}

// A burst of three seconds' work for two engines comes within half a second.
// Urgent requests, a tenth of it, are on time; those of the next rank, a fifth,
// wait for no more than the work of both ranks; nobody waits for longer than its
// caller would; a refusal says that the request did not run and when to come
// back; and no engine stands idle before the work is done.
func TestBurst(t *testing.T) {
	synctest.Test(t, burst)
}

// burstRoute returns the route of a request of the burst.
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

func burst(t *testing.T) {
	g, engines := loadGate(t)
	const (
		requests = 120
		tokens   = 6000
		spread   = 4 * time.Millisecond
	)
	type result struct {
		route string
		took  time.Duration
		heard *heardAnswer
	}
	results := make([]result, requests)
	start := time.Now()
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			route := burstRoute(i)
			took, heard := play(t.Context(), g, route, i, tokens)
			results[i] = result{route: route, took: took, heard: heard}
		})
		time.Sleep(spread)
	}
	running.Wait()
	whole := time.Since(start)
	const ahead = requests * 3 / 10 * tokens * defaultTokenTime / 2
	served, late := 0, 0
	for _, r := range results {
		if r.heard.failure != nil {
			assert.Equal(t, r.route, "patient", "refused: %v", r.heard.failure)
			assert.Equal(t, r.heard.failure.NotRun(), loomerror.NotRunTrue)
			assert.Assert(t, r.heard.failure.RetryAfter() > 0)
			assert.Assert(t, r.took < abandonFactor*patientObjective+abandonMargin, "refused after %s", r.took)
			continue
		}
		served++
		if r.route == "urgent" && r.took > urgentObjective {
			late++
		}
		if r.route == "middle" {
			assert.Assert(t, r.took < ahead+2*roomWait, "a request of the second rank took %s", r.took)
		}
	}
	assert.Equal(t, late, 0, "urgent requests were late")
	work := time.Duration(served*tokens) * defaultTokenTime
	var read time.Duration
	for id, e := range engines.engines {
		read += e.read
		assert.Assert(t, e.read > work/4, "engine %s stood idle: %s of %s", id, e.read, work)
	}
	assert.Equal(t, read, work, "each request is read once")
	assert.Assert(t, whole < work/2+time.Second, "two engines took %s for %s of work", whole, work)
}
