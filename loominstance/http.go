package loominstance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"swiftloom/gen/catalogue"
	"swiftloom/gen/completions"
	"swiftloom/gen/health"
	cataloguehttp "swiftloom/gen/http/catalogue/server"
	completionshttp "swiftloom/gen/http/completions/server"
	healthhttp "swiftloom/gen/http/health/server"
	serviceshttp "swiftloom/gen/http/services/server"
	"swiftloom/gen/services"
	"swiftloom/loomerror"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleConnTimeout   = 2 * time.Minute
)

// serveHTTP answers callers and operators. When ctx ends it drains: it tells
// the balancer and the platform, goes on for the drain delay, and then waits
// for the requests in flight.
func (n *Instance) serveHTTP(ctx context.Context) error {
	server := &http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnTimeout,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(n.httpListener) }()
	select {
	case err := <-done:
		return err
	case <-n.killed:
		_ = server.Close()
	case <-ctx.Done():
		n.drain(server)
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (n *Instance) drain(server *http.Server) {
	t := n.settings.Timing
	n.stopping.Store(true)
	n.log.Info("drain starts", "in_flight", n.active.Load())
	time.Sleep(t.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), t.DrainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	n.inFlight.Wait()
	n.log.Info("drain ends", "in_flight", n.active.Load(), "error", err)
}

func (n *Instance) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decode, encode := goahttp.RequestDecoder, goahttp.ResponseEncoder
	completionshttp.New(completions.NewEndpoints(&completionsAPI{n}), mux, decode, encode, n.encodeFailed, formatError).Mount(mux)
	serviceshttp.New(services.NewEndpoints(&servicesAPI{n}), mux, decode, encode, n.encodeFailed, formatError).Mount(mux)
	cataloguehttp.New(catalogue.NewEndpoints(&catalogueAPI{n}), mux, decode, encode, n.encodeFailed, formatError).Mount(mux)
	healthhttp.New(health.NewEndpoints(&healthAPI{n}), mux, decode, encode, n.encodeFailed, formatError).Mount(mux)
	mux.Handle(http.MethodGet, "/metrics", n.metrics.page.Handler().ServeHTTP)
	return n.exchange(mux)
}

func (n *Instance) encodeFailed(_ context.Context, _ http.ResponseWriter, err error) {
	n.log.Debug("answer not written", "error", err)
}

// exchangeKey finds the exchange of a request in its context.
type exchangeKey struct{}

// exchange is one HTTP request and its answer.
type exchange struct {
	http.ResponseWriter
	requestID string
	// status replaces the status 200 of the design when it is not zero.
	status int
	// wrote is the status that was written.
	wrote int
	kind  string
}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if status == http.StatusOK && x.status != 0 {
		status = x.status
	}
	x.wrote = status
	x.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter {
	return x.ResponseWriter
}

func exchangeOf(ctx context.Context) *exchange {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return &exchange{}
	}
	return x
}

// exchange numbers each request, bounds its body and logs its outcome. Neither
// bodies nor keys are logged.
func (n *Instance) exchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		x := &exchange{ResponseWriter: w, requestID: n.newRequestID()}
		ctx := context.WithValue(r.Context(), exchangeKey{}, x)
		started := time.Now()
		if err := n.readBody(x, r); err != nil {
			x.Header().Set("Content-Type", "application/json")
			writeError(ctx, x, err)
		} else {
			next.ServeHTTP(x, r.WithContext(ctx))
		}
		if x.kind != "" {
			n.log.Info("request fails", "request_id", x.requestID, "path", r.URL.Path, "kind", x.kind, "status", x.wrote, "seconds", time.Since(started).Seconds())
		}
	})
}

func (n *Instance) newRequestID() string {
	return fmt.Sprintf("%s-%x-%d", n.ID(), n.incarnation, n.requests.Add(1))
}

func (n *Instance) readBody(x *exchange, r *http.Request) error {
	limited := http.MaxBytesReader(x.ResponseWriter, r.Body, n.settings.Instance.MaxBodyBytes)
	body, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return loomerror.New(loomerror.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return loomerror.Wrap(loomerror.InvalidRequest, err, "the body can't be read")
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// errorBody is the body of every error.
type errorBody struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// NotRun is true, false or the text "unknown".
	NotRun any `json:"not_run"`
	status int
}

// StatusCode implements goahttp.Statuser.
func (b *errorBody) StatusCode() int {
	return b.status
}

func errorBodyOf(requestID string, e *loomerror.Error) *errorBody {
	b := &errorBody{Kind: e.Kind().String(), Message: e.Message(), RequestID: requestID, status: e.Kind().Response().Status}
	switch e.NotRun() {
	case loomerror.NotRunTrue:
		b.NotRun = true
	case loomerror.NotRunFalse:
		b.NotRun = false
	default:
		b.NotRun = e.NotRun().String()
	}
	return b
}

// formatError turns any error of a method into its answer.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	x := exchangeOf(ctx)
	e := typed(err)
	x.kind = e.Kind().String()
	if x.ResponseWriter != nil {
		x.Header().Set("X-Request-Id", x.requestID)
		if after := e.RetryAfter(); after > 0 {
			x.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		}
	}
	return errorBodyOf(x.requestID, e)
}

// typed returns an error of the decoder as one of the closed list.
func typed(err error) *loomerror.Error {
	var e *loomerror.Error
	if errors.As(err, &e) {
		return e
	}
	var fault *goa.ServiceError
	if errors.As(err, &fault) && !fault.Fault {
		return loomerror.New(loomerror.InvalidRequest, "%s", fault.Message)
	}
	return loomerror.From(err)
}

func writeError(ctx context.Context, w http.ResponseWriter, err error) {
	body := formatError(ctx, err)
	w.WriteHeader(body.StatusCode())
	_ = goahttp.ResponseEncoder(ctx, w).Encode(body)
}
