package loomload

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
	"swiftloom/loomstandin"
)

const (
	firstFrame = `data: {"system_fingerprint":"v1","choices":[{"text":"%s "}]}` + "\n\n"
	usageFrame = `data: {"system_fingerprint":"v1","choices":[{"finish_reason":"length"}],"usage":{"completion_tokens":1}}` + "\n\n"
	errorFrame = `data: {"error":{"kind":"stream_cut","message":"cut"}}` + "\n\n"
	doneFrame  = "data: [DONE]\n\n"
)

// TestStreamCutShortIsNotServed guards against a stream that ends early and counts
// as a served prompt.
func TestStreamCutShortIsNotServed(t *testing.T) {
	account := Account{Name: "a"}
	q := Request{Account: account, Prompt: &Prompt{Text: "x", MaxTokens: 1}}
	workload := Workload{Model: "m", MaxAttempts: 1}
	salt := loomcache.Salt{ClientAccount: account.Name, Model: workload.Model, Version: 1}
	token := loomstandin.ExpectedAnswer(salt, loomcache.Tokenize(q.Prompt.Text), 1)[0]
	first := fmt.Sprintf(firstFrame, fmt.Sprintf("t%08x", token))
	tests := []struct {
		name string
		body string
		// aborts makes the server break the connection after the body.
		aborts  bool
		isWhole bool
	}{
		{"whole", first + usageFrame + doneFrame, false, true},
		{"empty", "", false, false},
		{"ends after a token", first, false, false},
		{"ends within the usage", first + usageFrame[:40], false, false},
		{"ends before [DONE]", first + usageFrame, false, false},
		{"error after a token", first + errorFrame, false, false},
		{"error after the usage", first + usageFrame + errorFrame, false, false},
		{"[DONE] without usage", first + doneFrame, false, false},
		{"connection lost after a token", first, true, false},
		{"connection lost before [DONE]", first + usageFrame, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.Copy(w, strings.NewReader(tt.body))
				_ = http.NewResponseController(w).Flush()
				if tt.aborts {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			prober := NewProber()
			defer prober.Close()
			_, err := prober.FirstToken(t.Context(), address, "k", workload.Model, q.Prompt)
			assert.Check(t, (err == nil) == tt.isWhole, "prober: %v", err)

			runner := &Runner{
				Workload: workload, Balancer: NewBalancer([]string{address}), client: newClient(),
				accounts: make(map[string]*AccountResult), failedKinds: make(map[string]int),
			}
			defer runner.client.close()
			runner.result.FirstToken = newHistogram()
			runner.send(t.Context(), q)
			assert.Check(t, (runner.result.Answered == 1) == tt.isWhole, "runner: %+v", runner.result)
			assert.Check(t, runner.result.Answered+runner.result.WrongAnswers+runner.result.Failed+runner.result.Lost == 1)
		})
	}
}
