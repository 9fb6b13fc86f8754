package loomload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// client sends requests to instances over HTTP, without retries. Its methods may
// be called concurrently.
type client struct {
	http *http.Client
}

func newClient() *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &client{http: &http.Client{Transport: transport}}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// reply is the outcome of one request. Its status is zero if no response header
// was received.
type reply struct {
	requestID string
	status    int
	// isComplete is set if the answer was received to its end: the usage and the
	// final [DONE] of a prompt, or the receipt of a service call.
	isComplete bool
	// text is the generated text, or the job of a receipt.
	text        string
	fingerprint string
	tokens      int
	cached      int
	// firstToken is the time from sending the request to the first chunk.
	firstToken time.Duration
	failure    errorBody
}

// errorBody is the JSON body of an error response, or the error in a stream.
type errorBody struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	NotRun    any    `json:"not_run"`
}

// notRun reports whether the instance promises that the request did not run. The
// field may also hold the string "unknown", which is no promise.
func (e errorBody) notRun() bool {
	notRun, ok := e.NotRun.(bool)
	return ok && notRun
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// streamChunk is the data of one server-sent event of a streamed answer.
type streamChunk struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
	Error *errorBody `json:"error"`
}

// sendPrompt sends a prompt and reads the streamed answer. The status of the reply
// is zero if the connection failed before the response header.
func (c *client) sendPrompt(ctx context.Context, address, key, model string, p *Prompt) (reply, error) {
	body, err := json.Marshal(completionBody{Model: model, Prompt: p.Text, MaxTokens: p.MaxTokens, Stream: true})
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	started := time.Now()
	w, err := c.post(ctx, address, "/v1/completions", key, "", body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = w.Body.Close() }()
	r := reply{requestID: w.Header.Get("X-Request-Id"), status: w.StatusCode}
	if w.StatusCode != http.StatusOK {
		return r.readError(w.Body)
	}
	return r.readStream(w.Body, started)
}

func (c *client) post(ctx context.Context, address, path, key, idempotencyKey string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	// Without GetBody the transport can't resend a request whose body it has read,
	// so that it does not retry by itself.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w, err := c.http.Do(r)
	return w, errors.Trace(err)
}

// readError decodes the body of an error response.
func (r reply) readError(body io.Reader) (reply, error) {
	if err := json.NewDecoder(body).Decode(&r.failure); err != nil {
		return r, errors.Annotatef(err, "decode error body of status %d", r.status)
	}
	return r, nil
}

// readStream reads server-sent events up to the final [DONE] or an error event. A
// stream that ends early without an error of the connection gives a reply that is
// not complete.
func (r reply) readStream(body io.Reader, started time.Time) (reply, error) {
	var text strings.Builder
	hasUsage := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), 4<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.text = text.String()
			r.isComplete = hasUsage
			return r, nil
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return r, errors.Annotate(err, "frame")
		}
		if chunk.Error != nil {
			r.failure = *chunk.Error
			return r, nil
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(started)
		}
		r.fingerprint = chunk.SystemFingerprint
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
		if chunk.Usage != nil {
			hasUsage = true
			r.tokens = chunk.Usage.CompletionTokens
			r.cached = chunk.Usage.CachedTokens
		}
	}
	return r, errors.Annotate(scanner.Err(), "stream")
}

// jobBody is the JSON body of a service call, and the part of its receipt that is
// checked.
type jobBody struct {
	Job string `json:"job"`
}

// sendCall makes a service call.
func (c *client) sendCall(ctx context.Context, address, key, service string, call *Call) (reply, error) {
	body, err := json.Marshal(jobBody{Job: call.Job})
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	w, err := c.post(ctx, address, fmt.Sprintf("/v1/services/%s/jobs", service), key, call.Key, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = w.Body.Close() }()
	r := reply{requestID: w.Header.Get("X-Request-Id"), status: w.StatusCode}
	if w.StatusCode != http.StatusOK {
		return r.readError(w.Body)
	}
	var receipt jobBody
	if err := json.NewDecoder(w.Body).Decode(&receipt); err != nil {
		return r, errors.Annotate(err, "receipt")
	}
	r.isComplete = true
	r.text = receipt.Job
	return r, nil
}

// ticketBody is the JSON body of a response with a ticket.
type ticketBody struct {
	Ticket string `json:"ticket"`
}

// fetchTicket fetches a ticket: an idempotency key issued by an instance, which
// works during an outage of the platform.
func (c *client) fetchTicket(ctx context.Context, address, key string) (string, error) {
	w, err := c.post(ctx, address, "/v1/tickets", key, "", nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return "", errors.Errorf("fetch ticket: got status %d, want %d", w.StatusCode, http.StatusOK)
	}
	var body ticketBody
	return body.Ticket, errors.Trace(json.NewDecoder(w.Body).Decode(&body))
}
