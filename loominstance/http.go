package loominstance

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
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
	"swiftloom/loomhttp"
)

const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	idleConnTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// callerMemoryRatio is the part of the memory that is held for callers, and defaultMemoryMB the
	// memory that is assumed without a setting.
	callerMemoryRatio = 0.38
	defaultMemoryMB   = 1024
	// indexMemoryRatio is the part of the memory that the index of the prompts' blocks may take.
	indexMemoryRatio = 0.1
	// bodyCopies is how often a body is in memory while it is decoded: as it was read, in
	// the decoder's buffer, which doubles as it grows, and as text.
	bodyCopies = 4
	// overloadRetryAfter is the time after which a request that found no memory may be tried
	// again.
	overloadRetryAfter = time.Second
	// metricsPageBytes is what a metrics page takes until it is read.
	metricsPageBytes = 1 << 20
	// refusalReadTime bounds what is read of its body.
	refusalReadTime = 300 * time.Millisecond
)

// serveHTTP serves callers and operators. When ctx ends, it drains the server.
func (n *Instance) serveHTTP(ctx context.Context) error {
	server, err := loomhttp.NewServer(n.httpListener)
	if err != nil {
		return errors.Trace(err)
	}
	defer server.Close()
	memoryMB := cmp.Or(n.settings.Instance.MemoryMB, defaultMemoryMB)
	budget := loomhttp.NewMemoryBudget(time.Now(), int64(float64(memoryMB<<20)*callerMemoryRatio), 0)
	server.Limit(budget, n.logRejection)
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	server.Start(&http.Server{
		Handler:           n.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	})
	for {
		select {
		case <-ticker.C:
			n.metrics.updateMemory(budget.Stats())
			continue
		case err := <-server.Ended():
			return errors.Annotate(err, "serve callers")
		case <-n.killed:
		case <-ctx.Done():
			n.drain(server)
		}
		return nil
	}
}

// logRejection logs what was refused or shed for lack of memory. A crowd causes many, so that only
// the metrics tell of it at the usual level.
func (n *Instance) logRejection(r loomhttp.Rejection) {
	n.log.Debug("caller rejected", "caller", r.Address, "shed", r.IsShed, "what", r.What, "held_bytes", r.Held, "slow_seconds", r.Slow.Seconds())
}

// drain shuts the server down. It first marks the instance as stopping, which
// fails the readiness check and is announced to the platform and to peers. It
// continues to serve for the drain delay, so that the load balancer can stop
// sending. It then waits for the requests in flight, up to the drain timeout,
// and for background notifications.
func (n *Instance) drain(server *loomhttp.Server) {
	t := n.settings.Timing
	n.stopping.Store(true)
	n.log.Info("drain starts", "in_flight", n.activeRequests.Load())
	time.Sleep(t.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), t.DrainTimeout)
	defer cancel()
	drained, err := server.Shutdown(ctx)
	n.background.Wait()
	n.log.Info("drain ends", "in_flight", n.activeRequests.Load(), "idle_closed", drained.IdleClosed, "cut", drained.Cut, "error", err)
}

// handler mounts the generated servers and the metrics page.
func (n *Instance) handler() http.Handler {
	mux := goahttp.NewMuxer()
	decode, encode := goahttp.RequestDecoder, goahttp.ResponseEncoder
	completionshttp.New(completions.NewEndpoints(&completionsAPI{n}), mux, decode, encode, n.logEncodeError, formatError).Mount(mux)
	serviceshttp.New(services.NewEndpoints(&servicesAPI{n}), mux, decode, encode, n.logEncodeError, formatError).Mount(mux)
	cataloguehttp.New(catalogue.NewEndpoints(&catalogueAPI{n}), mux, decode, encode, n.logEncodeError, formatError).Mount(mux)
	healthhttp.New(health.NewEndpoints(&healthAPI{n}), mux, decode, encode, n.logEncodeError, formatError).Mount(mux)
	page := n.metrics.page.Handler()
	mux.Handle(http.MethodGet, "/metrics", func(w http.ResponseWriter, r *http.Request) {
		if err := loomhttp.MemoryOf(r.Context()).Reserve(metricsPageBytes); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		page.ServeHTTP(w, r)
	})
	return n.withExchange(mux)
}

func (n *Instance) logEncodeError(_ context.Context, _ http.ResponseWriter, err error) {
	n.log.Debug("writing the response failed", "error", err)
}

// exchangeKey is the context key of the exchange.
type exchangeKey struct{}

// exchange is one HTTP request and its response.
type exchange struct {
	http.ResponseWriter
	requestID string
	// status, unless zero, replaces the status 200 that the generated code
	// writes.
	status int
	// writtenStatus is the status code that was sent.
	writtenStatus int
	errorKind     string
	// isStopping reports whether the connection is to be closed after this response. Nil means
	// that it is kept.
	isStopping func() bool
}

// announceClose tells the caller to open another connection for its next request if the
// instance stops.
func (x *exchange) announceClose() {
	if x.isStopping != nil && x.isStopping() {
		x.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if status == http.StatusOK && x.status != 0 {
		status = x.status
	}
	x.writtenStatus = status
	x.announceClose()
	x.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter {
	return x.ResponseWriter
}

// exchangeFrom returns the exchange of a request's context, or an empty one.
func exchangeFrom(ctx context.Context) *exchange {
	x, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return &exchange{}
	}
	return x
}

// withExchange is a middleware that assigns a request ID, limits and buffers
// the body, and logs failed requests. It never logs bodies or keys.
func (n *Instance) withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.activeRequests.Add(1)
		defer n.activeRequests.Add(-1)
		x := &exchange{ResponseWriter: w, requestID: n.newRequestID(), isStopping: n.stopping.Load}
		x.announceClose()
		ctx := context.WithValue(r.Context(), exchangeKey{}, x)
		started := time.Now()
		if err := n.bufferBody(x, r); err != nil {
			x.Header().Set("Content-Type", "application/json")
			writeError(ctx, x, err)
		} else {
			next.ServeHTTP(x, r.WithContext(ctx))
			loomhttp.MemoryOf(ctx).EndRun()
		}
		if x.errorKind != "" {
			n.log.Info("request failed", "request_id", x.requestID, "path", r.URL.Path, "kind", x.errorKind, "status", x.writtenStatus, "seconds", time.Since(started).Seconds())
		}
	})
}

// newRequestID returns an ID that is unique across instances and restarts.
func (n *Instance) newRequestID() string {
	return fmt.Sprintf("%s-%x-%d", n.ID(), n.incarnation, n.requestSeq.Add(1))
}

// bufferBody reads the whole body, up to the configured limit and for readBodyTimeout,
// and replaces it by a reader of the buffer.
func (n *Instance) bufferBody(x *exchange, r *http.Request) error {
	controller := http.NewResponseController(x.ResponseWriter)
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	}
	body, err := n.readBody(x.ResponseWriter, r)
	var tooLarge *http.MaxBytesError
	switch {
	case loomhttp.IsOverloaded(err):
		x.Header().Set("Connection", "close")
		_ = controller.SetReadDeadline(time.Now().Add(refusalReadTime))
		return loomerror.Wrap(loomerror.Overloaded, err, "read request").WithRetryAfter(overloadRetryAfter)
	case errors.As(err, &tooLarge):
		return loomerror.New(loomerror.BodyTooLarge, "the request body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return loomerror.New(loomerror.DeadlinePassed, "the request body was incomplete after %s", readBodyTimeout)
	case err != nil:
		return loomerror.Wrap(loomerror.InvalidRequest, err, "reading the request body failed")
	}
	if r.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Time{})
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// readBody reads the body of r and reserves what its decoding takes.
func (n *Instance) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := n.settings.Instance.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	memory := loomhttp.MemoryOf(r.Context())
	if err := memory.Admit(r); err != nil {
		return nil, err
	}
	body, err := loomhttp.ReadRequestBody(memory, http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	if err := memory.Reserve((bodyCopies - 1) * int64(len(body))); err != nil {
		return nil, err
	}
	return body, memory.BeginRun()
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Kind      string `json:"kind"`
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// NotRun is true, false or the string "unknown".
	NotRun any `json:"not_run"`
	status int
}

// StatusCode implements goahttp.Statuser.
func (b *errorBody) StatusCode() int {
	return b.status
}

func newErrorBody(requestID string, e *loomerror.Error) *errorBody {
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

// formatError converts an error of any method to its response and sets the
// response headers that belong to it.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	x := exchangeFrom(ctx)
	e := asLoomError(err)
	x.errorKind = e.Kind().String()
	if x.ResponseWriter != nil {
		x.Header().Set("X-Request-Id", x.requestID)
		if after := e.RetryAfter(); after > 0 {
			x.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		}
	}
	return newErrorBody(x.requestID, e)
}

// asLoomError converts any error to a loomerror.Error. Validation errors of the
// generated decoder become InvalidRequest.
func asLoomError(err error) *loomerror.Error {
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
