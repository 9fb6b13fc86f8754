package loomload

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Single sends prompts one by one and times them. Its methods may be called
// concurrently.
type Single struct {
	client *client
}

// NewSingle returns a Single; the caller must Close it.
func NewSingle() *Single {
	return &Single{client: newClient()}
}

// Close drops the connections.
func (s *Single) Close() {
	s.client.close()
}

// FirstToken sends a prompt to an instance and returns the time to its first
// token.
func (s *Single) FirstToken(ctx context.Context, address, key, model string, p *Prompt) (time.Duration, error) {
	r, err := s.client.prompt(ctx, address, key, model, p)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK || !r.whole {
		return 0, errors.Errorf("status %d, %s: %s", r.status, r.fault.Kind, r.fault.Message)
	}
	return r.firstToken, nil
}

// Call makes a service call and returns the time until its answer.
func (s *Single) Call(ctx context.Context, address, key, service string, c *Call) (time.Duration, error) {
	started := time.Now()
	r, err := s.client.call(ctx, address, key, service, c)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK {
		return 0, errors.Errorf("status %d, %s: %s", r.status, r.fault.Kind, r.fault.Message)
	}
	return time.Since(started), nil
}
