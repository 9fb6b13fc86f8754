package loomupstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomhttp"
	"swiftloom/loomplatform"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream is the largest number of unused connections that are
	// kept open to one service.
	maxIdlePerUpstream = 64
	// maxBodyBytes is the size of the largest response body. A larger one is an
	// error, since a part of it can't be told from the whole.
	maxBodyBytes = 8 << 20
	// headerRequestID carries the request ID of a call.
	headerRequestID = "X-Request-Id"
)

// Call is one call to a plain service, sent as an HTTP POST.
type Call struct {
	RequestID string
	// Path is the URL path, with or without a leading slash.
	Path        string
	ContentType string
	Body        []byte
}

// Outcome is the result of a Call. Status is zero when no complete response was
// received.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Delivered reports that the service may have received the call.
	Delivered bool
	// Refused reports that the service states that it did not run the call.
	Refused bool
}

// Services is an HTTP client for plain services. It is safe for concurrent use.
type Services struct {
	client    *http.Client
	transport loomhttp.Transport
	dial      loomplatform.Dialer
}

// NewServices returns a client that opens connections with d, or over TCP when d is
// nil.
func NewServices(d loomplatform.Dialer) *Services {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return d.Dial(ctx, address)
	}
	transport := loomhttp.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
	}, mayReuse)
	return &Services{dial: dial, transport: transport, client: &http.Client{
		Transport: transport,
		// A redirected call would be an attempt that the caller of Do does not count.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (s *Services) Close() {
	s.client.CloseIdleConnections()
}

// Do sends a call to the service at address and does not repeat it. Delivered is
// valid also when the error is not nil. The error of a response body of more than
// maxBodyBytes satisfies errors.Is for loomhttp.ErrTooLarge; it is no failure of the
// connection.
func (s *Services) Do(ctx context.Context, address string, c Call) (Outcome, error) {
	var delivered atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*loomhttp.Conn)
			delivered.Store(!ok || !conn.IsSpent())
		},
	})
	url := "http://" + address + "/" + strings.TrimPrefix(c.Path, "/")
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return Outcome{}, errors.Annotate(err, "create service request")
	}
	if len(c.Body) > 0 {
		r.Body, r.ContentLength = loomhttp.NewOneTimeBody(c.Body), int64(len(c.Body))
	}
	r.Header.Set(headerRequestID, c.RequestID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	w, err := s.client.Do(r)
	if err != nil {
		return Outcome{Delivered: delivered.Load()}, errors.Annotate(err, "call service")
	}
	defer func() { _ = w.Body.Close() }()
	if !isOwn(w) {
		return Outcome{Delivered: true}, errors.NotValidf("response to call %q, want one to %q", w.Header.Get(headerRequestID), c.RequestID)
	}
	body, err := loomhttp.ReadAnswer(ctx, NewBody(ctx, w, s.dial, address, func(since time.Time) bool { return s.transport.HasOpenSince(address, since) }), w.ContentLength, maxBodyBytes)
	if err != nil {
		return Outcome{Delivered: true}, errors.Annotate(err, "read service response")
	}
	return Outcome{
		Status:      w.StatusCode,
		ContentType: w.Header.Get("Content-Type"),
		Body:        body,
		Delivered:   true,
		Refused:     isRefusal(w),
	}, nil
}

// isRefusal reports whether w states that the service did not run the call.
func isRefusal(w *http.Response) bool {
	return w.StatusCode == http.StatusServiceUnavailable && w.Header.Get("X-Not-Run") == "true"
}

// isOwn reports whether w can be the response to its call. Services need not send the
// request ID back.
func isOwn(w *http.Response) bool {
	id := w.Header.Get(headerRequestID)
	return id == "" || id == w.Request.Header.Get(headerRequestID)
}

// mayReuse reports whether the connection of w may carry another call. A refusal that is
// written again couldn't be told from one of a later call.
func mayReuse(w *http.Response) bool {
	return !isRefusal(w) && isOwn(w)
}
