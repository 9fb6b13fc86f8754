package loominstance_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
	"swiftloom/loomtrial"
)

const (
	// deadTokens is the number of answer tokens that a prompt asks for under which engines
	// end, and deadJob the job under which services end.
	deadTokens = 77
	deadJob    = "take the lines off"
	// contactTime is how long after the third end all instances know such a request.
	contactTime = 3 * time.Second
	playTime    = 12 * time.Second
)

// endingRequests are sound requests and those under which upstreams end.
type endingRequests struct {
	path, dead string
	sound      func(n int) string
}

// arrivals are the times at which requests that end upstreams have reached one. It is safe for
// concurrent use.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// late returns the number of arrivals, and that of those later than contactTime after the third.
func (a *arrivals) late() (late, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.times, time.Time.Compare)
	for _, at := range a.times {
		if len(a.times) >= 3 && at.After(a.times[2].Add(contactTime)) {
			late++
		}
	}
	return late, len(a.times)
}

// TestRequestsThatEndUpstreamsAreContained guards against a request of the completions API that
// ends one upstream after the other.
func TestRequestsThatEndUpstreamsAreContained(t *testing.T) {
	prompts := endingRequests{
		path: "/v1/completions",
		dead: fmt.Sprintf(`{"model":"pilot-notes","prompt":"the lines are off","max_tokens":%d}`, deadTokens),
		sound: func(n int) string {
			return fmt.Sprintf(`{"model":"pilot-notes","prompt":"berth %d is free","max_tokens":3}`, n)
		},
	}
	jobs := endingRequests{
		path:  "/v1/services/call-outs/jobs",
		dead:  fmt.Sprintf(`{"job":%q}`, deadJob),
		sound: func(n int) string { return fmt.Sprintf(`{"job":"berth %d"}`, n) },
	}
	tests := []struct {
		name            string
		requests        endingRequests
		headers         []string
		tokensBeforeEnd int
	}{
		{name: "prompt, before the first token", requests: prompts},
		{name: "prompt, after the first token", requests: prompts, tokensBeforeEnd: 1},
		{name: "prompt, in the middle of the answer", requests: prompts, tokensBeforeEnd: 10},
		{name: "job that may be repeated", requests: jobs, headers: []string{"X-Not-Repeatable", "false"}},
		{name: "job that may not be repeated", requests: jobs},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var arrived arrivals
			site, err := loomtrial.SiteByName("port")
			assert.NilError(t, err)
			site.Instances, site.Runners = 4, 6
			site.TokensBeforeEnd = tt.tokensBeforeEnd
			site.EndsEngine = func(r *loompb.GenerateRequest) bool {
				isDead := r.GetMaxTokens() == deadTokens
				if isDead {
					arrived.add()
				}
				return isDead
			}
			site.EndsService = func(job string) bool {
				isDead := job == deadJob
				if isDead {
					arrived.add()
				}
				return isDead
			}
			served, all := playEndingRequests(t, site, tt.requests, tt.headers)
			late, arrivals := arrived.late()
			t.Logf("%d arrivals, %d of them late, %d of %d sound requests served", arrivals, late, served, all)
			assert.Assert(t, arrivals > 0)
			assert.Check(t, late <= 3, "%d arrivals later than %s after the third, allowed 3", late, contactTime)
			assert.Check(t, 10*served >= 9*all, "%d of %d sound requests served", served, all)
		})
	}
}

// playEndingRequests sends sound requests for playTime, beside others after a second, and returns
// how many of those in the second half were served.
func playEndingRequests(t *testing.T, site loomtrial.Site, requests endingRequests, headers []string) (served, all int) {
	t.Helper()
	trial, err := loomtrial.Start(t.Context(), site, "cost", 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	t.Cleanup(trial.Stop)
	var mu sync.Mutex
	start := time.Now()
	var wg sync.WaitGroup
	send := func(n int, body string, isSound bool) {
		wg.Go(func() {
			sentAt := time.Now()
			w, _ := post(t, "http://"+trial.Addresses()[n%site.Instances]+requests.path, "key-of-port-00", body, headers...)
			mu.Lock()
			defer mu.Unlock()
			if isSound && sentAt.Sub(start) > playTime/2 {
				all++
				if w.StatusCode == http.StatusOK {
					served++
				}
			}
		})
	}
	for n := 0; time.Since(start) < playTime; n++ {
		send(n, requests.sound(n), true)
		if n%3 == 0 && n > 20 {
			send(n/3, requests.dead, false)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return served, all
}
