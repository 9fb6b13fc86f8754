package loomupstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Send is one attempt of an opaque request at an upstream. It is immutable.
type Send struct {
	RequestID string
	Host      string
	Method    string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Header holds what is passed on from the caller; the driver adds its own.
	Header http.Header
	Body   []byte
	// Left is the time that the caller still waits.
	Left time.Duration
	// Upstream is the only upstream that may run the attempt.
	Upstream string
	Account  string
	// Version is the only version of the weights that may run it; zero means
	// any.
	Version uint64
	// Salt separates kept state; empty for requests without a prompt.
	Salt string
	// Rank orders requests at the upstream; lower goes first. It is used with a
	// salt only.
	Rank int
	// Fetch and Save name for each part of the prompt the address where its
	// kept state may be fetched from, or is saved to. An empty address means
	// none. Both may be nil.
	Fetch []string
	Save  []string
	// FetchUntil is when a fetch that has not ended is given up, on the clock
	// that upstreams share; zero means never.
	FetchUntil time.Duration
	// ResumeAfter is the last event that the caller has, or empty.
	ResumeAfter string
}

// Reply is the head of an upstream's answer. Body must be closed.
type Reply struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 when the upstream told none.
	Length    int64
	Body      io.ReadCloser
	RequestID string
	// Stamped tells that the answer carries the upstream's own mark.
	Stamped bool
	// NotRun is the upstream's word that the attempt did not run.
	NotRun bool
	// Answerer is the upstream that answered, where it tells.
	Answerer string
	// Version is that of the weights, or zero.
	Version uint64
	// Leaving tells that the upstream closes the connection.
	Leaving bool
}

// Order asks an upstream to load weights.
type Order struct {
	Upstream string
	Model    string
	Version  uint64
	Holder   string
	// Fence is the fencing token of the holder's lease.
	Fence uint64
	// ExpectedOrders is the number of orders that the upstream has accepted so
	// far; negative means that it does not matter.
	ExpectedOrders int64
}

// EngineState is what an engine tells of its weights and orders.
type EngineState struct {
	// Busy tells that an order is under way.
	Busy bool
	// Orders is the number of orders that were accepted since the start.
	Orders  int64
	Weights []EngineWeights
}

// EngineWeights is a model with the version of its weights.
type EngineWeights struct {
	Model   string
	Version uint64
}

// Version returns the version of a model's weights, or zero.
func (s EngineState) Version(model string) uint64 {
	for _, w := range s.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderUnknown orders may have been accepted.
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	// OrderHolds tells that there was nothing to do.
	OrderHolds
	// OrderBusy tells that another order is under way, or that the number of
	// accepted orders differs.
	OrderBusy
	// OrderStale tells that the fencing token is old.
	OrderStale
	// OrderRefused tells that the order can't be carried out.
	OrderRefused
)

// String returns the outcome in snake case.
func (o OrderOutcome) String() string {
	switch o {
	case OrderAccepted:
		return "accepted"
	case OrderHolds:
		return "holds"
	case OrderBusy:
		return "busy"
	case OrderStale:
		return "stale_fence"
	case OrderRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// SendError is the error of an attempt that got no answer.
type SendError struct {
	// Delivered tells that the upstream may have seen the attempt.
	Delivered bool
	// Unreachable tells that no connection could be made.
	Unreachable bool
	Cause       error
}

// Error implements error.
func (e *SendError) Error() string {
	return "send: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// Runner sends opaque requests and orders to upstreams. Its methods may be
// called concurrently.
type Runner interface {
	// Send returns the head of the answer. The attempt is given up when ctx
	// ends, also while the body is read. An error is a *SendError.
	Send(ctx context.Context, address string, s Send) (*Reply, error)
	// Report asks an engine for its weights and orders.
	Report(ctx context.Context, address, upstream string) (EngineState, error)
	// Order gives an order; the error tells why the outcome is unknown.
	Order(ctx context.Context, address string, o Order) (OrderOutcome, error)
}
