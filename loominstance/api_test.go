package loominstance_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomtrial"
)

// newTrial starts a small site in this process. All of its parts log to log.
func newTrial(t *testing.T, log io.Writer) *loomtrial.Trial {
	site, err := loomtrial.SiteByName("port")
	assert.NilError(t, err)
	site.Instances = 4
	site.Runners = 4
	trial, err := loomtrial.Start(t.Context(), site, "cost", 1, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	assert.NilError(t, err)
	t.Cleanup(trial.Stop)
	return trial
}

// syncBuilder is a strings.Builder that is safe for concurrent use.
type syncBuilder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuilder) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

type errorBody struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	NotRun    any    `json:"not_run"`
}

func post(t *testing.T, url, key, body string, headers ...string) (response, []byte) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	data, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	assert.NilError(t, w.Body.Close())
	return response{StatusCode: w.StatusCode, Header: w.Header}, data
}

// response holds the status code and the headers of an HTTP response.
type response struct {
	StatusCode int
	Header     http.Header
}

func TestAPI(t *testing.T) {
	log := &syncBuilder{}
	trial := newTrial(t, log)
	base := "http://" + trial.Addresses()[0]
	const key = "key-of-port-00"
	const secret = "bollard-seventeen-is-loose"

	t.Run("bad input", func(t *testing.T) {
		prompt := fmt.Sprintf(`{"model":"pilot-notes","prompt":"%s"}`, secret)
		tests := []struct {
			name    string
			path    string
			key     string
			body    string
			headers []string
			status  int
			kind    string
		}{
			{"no key", "/v1/completions", "", prompt, nil, 401, "unauthorized"},
			{"wrong key", "/v1/completions", "nobody", prompt, nil, 401, "unauthorized"},
			{"unknown model", "/v1/completions", key, `{"model":"m","prompt":"x"}`, nil, 404, "unknown_model"},
			{"unknown adapter", "/v1/completions", key, `{"model":"pilot-notes","adapter":"a","prompt":"x"}`, nil, 404, "unknown_model"},
			{"malformed", "/v1/completions", key, `{"model":`, nil, 400, "invalid_request"},
			{"no prompt", "/v1/completions", key, `{"model":"pilot-notes"}`, nil, 400, "invalid_request"},
			{"empty prompt", "/v1/completions", key, `{"model":"pilot-notes","prompt":" "}`, nil, 400, "invalid_request"},
			{"wrong type", "/v1/completions", key, `{"model":"pilot-notes","prompt":7}`, nil, 400, "invalid_request"},
			{"too many tokens", "/v1/completions", key, `{"model":"pilot-notes","prompt":"x","max_tokens":5000}`, nil, 400, "invalid_request"},
			{"too long", "/v1/completions", key, `{"model":"pilot-notes","prompt":"` + strings.Repeat("x ", 40_000) + `"}`, nil, 400, "prompt_too_long"},
			{"oversized", "/v1/completions", key, `{"model":"pilot-notes","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, nil, 413, "body_too_large"},
			{"deadline passed", "/v1/completions", key, prompt, []string{"X-Deadline-Ms", "-5"}, 408, "deadline_passed"},
			{"deadline too near", "/v1/completions", key, `{"model":"pilot-notes","prompt":"` + strings.Repeat("x ", 10_000) + `"}`, []string{"X-Deadline-Ms", "50"}, 503, "deadline_unmeetable"},
			{"bad header", "/v1/completions", key, prompt, []string{"X-Deadline-Ms", "soon"}, 400, "invalid_request"},
			{"no messages", "/v1/chat/completions", key, `{"model":"pilot-notes","messages":[]}`, nil, 400, "invalid_request"},
			{"bad role", "/v1/chat/completions", key, `{"model":"pilot-notes","messages":[{"role":"pilot","content":"x"}]}`, nil, 400, "invalid_request"},
			{"unknown service", "/v1/services/nothing/jobs", key, `{}`, nil, 404, "unknown_service"},
			{"engine group as service", "/v1/services/llm-port/jobs", key, `{}`, nil, 404, "unknown_service"},
			{"caller as operator", "/v1/catalogue", key, `{"operator":"x","edit_id":"y","base_revision":1,"changes":[{"kind":"model","name":"m"}]}`, nil, 401, "unauthorized"},
			{"unknown entry deleted", "/v1/catalogue", "operator", `{"operator":"x","edit_id":"y","base_revision":1,"changes":[{"kind":"model","name":"m"}]}`, nil, 422, "invalid_catalogue"},
		}
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				w, data := post(t, base+tt.path, tt.key, tt.body, tt.headers...)
				var e errorBody
				assert.NilError(t, json.Unmarshal(data, &e), "%s", data)
				assert.Equal(t, e.Kind, tt.kind, "%s", e.Message)
				assert.Equal(t, w.StatusCode, tt.status)
				assert.Equal(t, e.NotRun, true)
				assert.Assert(t, e.RequestID != "" && e.Message != "")
			})
		}
	})

	t.Run("complete responses", func(t *testing.T) {
		w, data := post(t, base+"/v1/completions", key, fmt.Sprintf(`{"model":"pilot-notes","prompt":"%s","max_tokens":3}`, secret))
		assert.Equal(t, w.StatusCode, http.StatusOK, "%s", data)
		var plain struct {
			Choices []struct{ Text string }
			Usage   struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		assert.NilError(t, json.Unmarshal(data, &plain))
		assert.Equal(t, plain.Usage.CompletionTokens, 3)
		assert.Equal(t, len(strings.Fields(plain.Choices[0].Text)), 3)
		w, data = post(t, base+"/v1/chat/completions", key, `{"model":"pilot-notes","messages":[{"role":"user","content":"hello"}],"max_tokens":3,"stream":true}`)
		assert.Equal(t, w.Header.Get("Content-Type"), "text/event-stream")
		assert.Equal(t, strings.Count(string(data), "data: "), 5)
		assert.Assert(t, strings.HasSuffix(string(data), "data: [DONE]\n\n"))
	})

	t.Run("idempotency key", func(t *testing.T) {
		url := base + "/v1/services/call-outs/jobs"
		first, data := post(t, url, key, `{"job":"release 4"}`, "Idempotency-Key", "k1")
		assert.Equal(t, first.StatusCode, http.StatusOK, "%s", data)
		var again []byte
		for _, address := range trial.Addresses() {
			w, body := post(t, "http://"+address+"/v1/services/call-outs/jobs", key, `{"job":"release 4"}`, "Idempotency-Key", "k1")
			assert.Equal(t, w.StatusCode, http.StatusOK, "%s", body)
			again = body
		}
		assert.Equal(t, string(again), string(data))
		assert.Equal(t, trial.JobRuns("release 4"), 1)
		w, _ := post(t, url, key, `{"job":"release 5"}`, "Idempotency-Key", "k1")
		assert.Equal(t, w.StatusCode, http.StatusUnprocessableEntity, "the key belongs to another request")
		w, _ = post(t, url, "key-of-port-01", `{"job":"release 6"}`, "Idempotency-Key", "k1")
		assert.Equal(t, w.StatusCode, http.StatusOK, "the key belongs to its account")
	})

	t.Run("service status passes through", func(t *testing.T) {
		w, _ := post(t, base+"/v1/services/call-outs/jobs", key, `{}`)
		assert.Equal(t, w.StatusCode, http.StatusUnprocessableEntity)
	})

	t.Run("metrics", func(t *testing.T) {
		w, err := http.Get(base + "/metrics")
		assert.NilError(t, err)
		data, err := io.ReadAll(w.Body)
		assert.NilError(t, err)
		assert.NilError(t, w.Body.Close())
		assert.Assert(t, strings.Contains(string(data), "swiftloom_requests_total"))
	})

	assert.Assert(t, strings.Contains(log.String(), "kind=unauthorized"))
	assert.Assert(t, !strings.Contains(log.String(), secret), "the log contains the text of a prompt")
	assert.Assert(t, !strings.Contains(log.String(), key), "the log contains a bearer key")
}
