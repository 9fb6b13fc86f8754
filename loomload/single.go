package loomload

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Single sends single requests to chosen instances and measures their latency. It
// does not retry. Its methods may be called concurrently.
type Single struct {
	client *client
}

// NewSingle returns a Single. The caller must close it.
func NewSingle() *Single {
	return &Single{client: newClient()}
}

// Close closes the idle connections.
func (s *Single) Close() {
	s.client.close()
}

// FirstToken sends a prompt to an instance and returns the time to the first token.
// It fails unless the whole answer is received.
func (s *Single) FirstToken(ctx context.Context, address, key, model string, p *Prompt) (time.Duration, error) {
	r, err := s.client.sendPrompt(ctx, address, key, model, p)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK || !r.isComplete {
		return 0, errors.Errorf("prompt: got status %d, want %d and a complete answer (complete: %t), error kind %q: %s", r.status, http.StatusOK, r.isComplete, r.failure.Kind, r.failure.Message)
	}
	return r.firstToken, nil
}

// Call makes a service call and returns the time until the whole response is read.
func (s *Single) Call(ctx context.Context, address, key, service string, c *Call) (time.Duration, error) {
	started := time.Now()
	r, err := s.client.sendCall(ctx, address, key, service, c)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK {
		return 0, errors.Errorf("service call: got status %d, want %d, error kind %q: %s", r.status, http.StatusOK, r.failure.Kind, r.failure.Message)
	}
	return time.Since(started), nil
}
