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

// TestPromptThatEndsEnginesIsContained guards against a prompt of the completions API that ends
// one engine after the other.
func TestPromptThatEndsEnginesIsContained(t *testing.T) {
	const (
		// deadTokens is the number of answer tokens that the prompt asks for, by which
		// engines know it.
		deadTokens = 77
		// contactTime is how long after the third end all instances know the prompt.
		contactTime = 3 * time.Second
		length      = 12 * time.Second
	)
	var mu sync.Mutex
	var arrivals []time.Time
	site, err := loomtrial.SiteByName("port")
	assert.NilError(t, err)
	site.Instances, site.Runners = 4, 6
	site.EndsEngine = func(r *loompb.GenerateRequest) bool {
		if r.GetMaxTokens() != deadTokens {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		return true
	}
	trial, err := loomtrial.Start(t.Context(), site, "cost", 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	t.Cleanup(trial.Stop)
	start := time.Now()
	served, all := 0, 0
	var wg sync.WaitGroup
	send := func(n int, body string, isSound bool) {
		wg.Go(func() {
			sentAt := time.Now()
			w, _ := post(t, "http://"+trial.Addresses()[n%site.Instances]+"/v1/completions", "key-of-port-00", body)
			mu.Lock()
			defer mu.Unlock()
			if isSound && sentAt.Sub(start) > length/2 {
				all++
				if w.StatusCode == http.StatusOK {
					served++
				}
			}
		})
	}
	for n := 0; time.Since(start) < length; n++ {
		send(n, fmt.Sprintf(`{"model":"pilot-notes","prompt":"berth %d is free","max_tokens":3}`, n), true)
		if n%3 == 0 && n > 20 {
			send(n/3, fmt.Sprintf(`{"model":"pilot-notes","prompt":"the lines are off","max_tokens":%d}`, deadTokens), false)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	slices.SortFunc(arrivals, time.Time.Compare)
	late := 0
	for _, at := range arrivals {
		if len(arrivals) >= 3 && at.After(arrivals[2].Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d arrivals, %d of them late, %d of %d sound prompts served", len(arrivals), late, served, all)
	assert.Assert(t, len(arrivals) > 0)
	assert.Check(t, late <= 3, "%d arrivals later than %s after the third, allowed 3", late, contactTime)
	assert.Check(t, 10*served >= 9*all, "%d of %d sound prompts served", served, all)
}
