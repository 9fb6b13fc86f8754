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

// client sends single requests to instances by HTTP.
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

// reply is what came back for one request.
type reply struct {
	requestID string
	status    int
	// whole tells that the answer came with its end.
	whole       bool
	text        string
	fingerprint string
	tokens      int
	cached      int
	firstToken  time.Duration
	fault       fault
}

// fault is the body of an error.
type fault struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	NotRun    any    `json:"not_run"`
}

func (f fault) notRun() bool {
	notRun, ok := f.NotRun.(bool)
	return ok && notRun
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type frame struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
	Error *fault `json:"error"`
}

// prompt sends a streamed prompt. A reply without status means that the
// connection failed before the answer began.
func (c *client) prompt(ctx context.Context, address, key, model string, p *Prompt) (reply, error) {
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
		return r.withFault(w.Body)
	}
	return r.readStream(w.Body, started)
}

func (c *client) post(ctx context.Context, address, path, key, idempotencyKey string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	// Without GetBody the transport never sends a request again by itself.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w, err := c.http.Do(r)
	return w, errors.Trace(err)
}

func (r reply) withFault(body io.Reader) (reply, error) {
	if err := json.NewDecoder(body).Decode(&r.fault); err != nil {
		return r, errors.Annotate(err, "error body")
	}
	return r, nil
}

func (r reply) readStream(body io.Reader, started time.Time) (reply, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), 4<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.text = text.String()
			return r, nil
		}
		var f frame
		if err := json.Unmarshal([]byte(data), &f); err != nil {
			return r, errors.Annotate(err, "frame")
		}
		if f.Error != nil {
			r.fault = *f.Error
			return r, nil
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(started)
		}
		r.fingerprint = f.SystemFingerprint
		for _, choice := range f.Choices {
			text.WriteString(choice.Text)
		}
		if f.Usage != nil {
			r.whole = true
			r.tokens = f.Usage.CompletionTokens
			r.cached = f.Usage.CachedTokens
		}
	}
	return r, errors.Annotate(scanner.Err(), "stream")
}

type jobBody struct {
	Job string `json:"job"`
}

// call makes a service call.
func (c *client) call(ctx context.Context, address, key, service string, call *Call) (reply, error) {
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
		return r.withFault(w.Body)
	}
	var receipt jobBody
	if err := json.NewDecoder(w.Body).Decode(&receipt); err != nil {
		return r, errors.Annotate(err, "receipt")
	}
	r.whole = true
	r.text = receipt.Job
	return r, nil
}

type ticketBody struct {
	Ticket string `json:"ticket"`
}

// ticket fetches an idempotency key that works while the platform is out.
func (c *client) ticket(ctx context.Context, address, key string) (string, error) {
	w, err := c.post(ctx, address, "/v1/tickets", key, "", nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return "", errors.Errorf("ticket: status %d", w.StatusCode)
	}
	var body ticketBody
	return body.Ticket, errors.Trace(json.NewDecoder(w.Body).Decode(&body))
}
