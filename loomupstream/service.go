package loomupstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomplatform"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	idlePerUpstream = 64
	maxAnswerBytes  = 8 << 20
)

// Call is one call to a plain service.
type Call struct {
	RequestID   string
	Path        string
	ContentType string
	Body        []byte
}

// Outcome is what is known after a call.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Delivered tells that the service may have seen the call.
	Delivered bool
	// Refused tells that the service stated that it did not run the call.
	Refused bool
}

// Services calls plain services over HTTP. Its methods may be called
// concurrently.
type Services struct {
	client *http.Client
}

// NewServices returns a caller that opens connections with d, or by TCP when d
// is nil.
func NewServices(d loomplatform.Dialer) *Services {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	if d != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return d(ctx, address)
		}
	}
	return &Services{client: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (s *Services) Close() {
	s.client.CloseIdleConnections()
}

// Do makes a call to the service at address, once. The outcome is meaningful
// also when the error is not nil.
func (s *Services) Do(ctx context.Context, address string, c Call) (Outcome, error) {
	var delivered atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { delivered.Store(true) },
	})
	url := "http://" + address + "/" + strings.TrimPrefix(c.Path, "/")
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.Body))
	if err != nil {
		return Outcome{}, errors.Annotate(err, "make call")
	}
	r.GetBody = nil
	r.Header.Set("X-Request-Id", c.RequestID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	w, err := s.client.Do(r)
	if err != nil {
		return Outcome{Delivered: delivered.Load()}, errors.Annotate(err, "call service")
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return Outcome{Delivered: true}, errors.Annotate(err, "read answer of service")
	}
	return Outcome{
		Status:      w.StatusCode,
		ContentType: w.Header.Get("Content-Type"),
		Body:        body,
		Delivered:   true,
		Refused:     w.StatusCode == http.StatusServiceUnavailable && w.Header.Get("X-Not-Run") == "true",
	}, nil
}
