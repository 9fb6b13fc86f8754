package loomupstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Send is one attempt to serve an HTTP request at an upstream. The request is
// passed on unchanged. It is immutable.
type Send struct {
	RequestID string
	// Host is the Host header of the request.
	Host   string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Header holds the headers of the caller that are passed on. The driver adds
	// its own.
	Header http.Header
	Body   []byte
	// TimeLeft is the time until the deadline of the caller.
	TimeLeft time.Duration
	// Upstream is the ID of the only upstream that may run the attempt.
	Upstream string
	// Account is the ClientAccount, or empty.
	Account string
	// Version is the only version of the weights that may run the attempt; zero
	// allows any.
	Version uint64
	// Salt separates the KV cache of different models, versions and accounts. It
	// is empty for requests without a prompt.
	Salt string
	// Rank is the priority class at the upstream; lower ranks go first. It is
	// ignored without a salt.
	Rank int
	// Fetch and Save hold, for each part of the prompt, the address of the store
	// from which its KV cache may be fetched, or to which it is saved. An empty
	// address means none. Both may be nil.
	Fetch []string
	Save  []string
	// FetchUntil is the deadline of the fetches, on the clock that all upstreams
	// share; zero means none.
	FetchUntil time.Duration
	// ResumeAfter is the ID of the last event that the caller has received, or
	// empty.
	ResumeAfter string
	// StartBy is the latest time at which a connection may begin to carry the attempt;
	// zero means no bound.
	StartBy time.Time
}

// Reply is the head of an upstream's response, with its body unread. The caller
// must close Body.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 when the upstream did not
	// send it.
	Length int64
	// Framing is what marks the end of the body.
	Framing Framing
	Body    io.ReadCloser
	// RequestID is the request ID that the response carries.
	RequestID string
	// Stamped reports that the response carries the stamp of an upstream, so it
	// does not come from another server.
	Stamped bool
	// NotRun reports that the upstream states that it did not run the attempt.
	NotRun bool
	// UpstreamID is the ID of the upstream that responded, or empty when the
	// response does not carry it.
	UpstreamID string
	// Version is the version of the weights that the response names, or zero.
	Version uint64
	// Closes reports that the upstream closes the connection after the response.
	Closes bool
	// Said is what the response says of the upstream.
	Said Statement
}

// Statement is what a response says of the upstream that sent it. It is immutable; the zero
// value says nothing.
type Statement struct {
	// IsLeaving reports that the upstream is about to end and wants no new work.
	IsLeaving bool
	// HoldOff is how long the upstream wants nothing from this instance.
	HoldOff time.Duration
	// Limit is about the requests that the upstream takes.
	Limit RequestLimit
	// ColdLeft is how much longer the upstream stays cold after its start.
	ColdLeft time.Duration
}

// WithEarlier returns a copy of s that also says that the upstream leaves if an earlier
// statement in the same exchange has said so.
func (s Statement) WithEarlier(earlier Statement) Statement {
	s.IsLeaving = s.IsLeaving || earlier.IsLeaving
	return s
}

// RequestLimit is an upstream's statement about the requests that it takes from all
// instances together. It is immutable.
type RequestLimit struct {
	// IsNamed is false if the response names no limit, which withdraws an earlier
	// one.
	IsNamed bool
	// PerSecond is the limit in requests per second, never negative.
	PerSecond float64
	// IsUnreadable reports that the limit could not be read, so that an earlier one
	// remains in force.
	IsUnreadable bool
}

// Order instructs an upstream to load weights.
type Order struct {
	Upstream string
	Model    string
	Version  uint64
	// Holder is the holder of the lease that permits the order, and Fence its
	// fencing token.
	Holder string
	Fence  uint64
	// ExpectedOrders is the number of orders that the upstream must have accepted
	// since its start for this one to be accepted; a negative number disables the
	// check.
	ExpectedOrders int64
}

// EngineState is the state of weights and orders that an engine reports.
type EngineState struct {
	// Busy reports that an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the start of the engine.
	Orders  int64
	Weights []EngineWeights
	// Said is what the report says of the engine.
	Said Statement
}

// EngineWeights is a model with the version of its weights.
type EngineWeights struct {
	Model   string
	Version uint64
}

// Version returns the version of a model's weights, or zero when the engine does
// not report the model.
func (s EngineState) Version(model string) uint64 {
	for _, w := range s.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// OrderReply is the reply to an Order.
type OrderReply struct {
	Outcome OrderOutcome
	// Said is what the reply says of the engine.
	Said Statement
}

// OrderOutcome is the result of an Order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderUnknown means that the order may or may not have been accepted.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the engine carries out the order.
	OrderAccepted
	// OrderUnchanged means that the engine already has the weights.
	OrderUnchanged
	// OrderBusy means that another order is being carried out, or that the number
	// of accepted orders differs from ExpectedOrders.
	OrderBusy
	// OrderStale means that the fencing token of the order is out of date.
	OrderStale
	// OrderRefused means that the order is invalid or can't be carried out.
	OrderRefused
)

// String returns the outcome in snake case.
func (o OrderOutcome) String() string {
	switch o {
	case OrderAccepted:
		return "accepted"
	case OrderUnchanged:
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

// SendError is the error of an attempt without a complete response.
type SendError struct {
	// Delivered reports that the upstream may have received the attempt.
	Delivered bool
	// Unreachable reports that no connection could be established, and Refused that this is
	// so because no process listens at the address.
	Unreachable bool
	Refused     bool
	// Said is what interim responses have said of the upstream.
	Said  Statement
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	return "send: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// Runner sends requests and orders to upstreams. It is safe for concurrent use.
type Runner interface {
	// Send sends an attempt and returns the head of the response. The attempt is
	// cancelled when ctx ends, also while the body is being read. The error is
	// always a *SendError.
	Send(ctx context.Context, address string, s Send) (*Reply, error)
	// Report fetches the state of weights and orders of an engine. What the engine says
	// of itself is valid also when the error is not nil.
	Report(ctx context.Context, address, upstream string) (EngineState, error)
	// Order sends an order. The reply is valid also when the error is not nil; the error
	// then tells what failed, for example why the outcome is unknown.
	Order(ctx context.Context, address string, o Order) (OrderReply, error)
	// HasEnded reports whether the upstream's process, which has just ended a connection,
	// has ended itself. The error is that of ctx.
	HasEnded(ctx context.Context, address string) (bool, error)
}
