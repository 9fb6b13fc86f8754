package loomload

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Prober sends single requests to chosen instances and measures their latency. It
// does not retry. Its methods may be called concurrently.
type Prober struct {
	client *client
}

// NewProber returns a Prober. The caller must close it.
func NewProber() *Prober {
	return &Prober{client: newClient()}
}

// Close closes the idle connections.
func (p *Prober) Close() {
	p.client.close()
}

// FirstToken sends a prompt to an instance and returns the time to the first token.
// It fails unless the whole answer is received.
func (p *Prober) FirstToken(ctx context.Context, address, key, model string, prompt *Prompt) (time.Duration, error) {
	r, err := p.client.sendPrompt(ctx, address, key, model, prompt)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK || !r.isComplete {
		return 0, errors.Errorf("prompt: got status %d, want %d and a complete answer (complete: %t), error kind %q: %s", r.status, http.StatusOK, r.isComplete, r.failure.Kind, r.failure.Message)
	}
	return r.firstToken, nil
}

// Call makes a service call and returns the time until the whole response is read.
func (p *Prober) Call(ctx context.Context, address, key, service string, c *Call) (time.Duration, error) {
	started := time.Now()
	r, err := p.client.sendCall(ctx, address, key, service, c)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK {
		return 0, errors.Errorf("service call: got status %d, want %d, error kind %q: %s", r.status, http.StatusOK, r.failure.Kind, r.failure.Message)
	}
	return time.Since(started), nil
}
