package loomerror

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is an error with a kind, which determines the response to the caller. It is
// immutable.
type Error struct {
	// kind is a member of the closed list.
	kind    Kind
	message string
	// notRun overrides the kind's promise when hasNotRun is true.
	notRun     NotRun
	hasNotRun  bool
	retryAfter time.Duration
	cause      error
}

// New returns an error of kind k. The message is formatted as by fmt.Sprintf and
// meant for the caller.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a cause. The cause is logged; the caller only
// gets the message.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = errors.Trace(cause)
	return e
}

// WithNotRun returns a copy of e with the promise n.
func (e *Error) WithNotRun(n NotRun) *Error {
	c := *e
	c.notRun = n
	c.hasNotRun = true
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to wait for d before a
// retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the kind of e.
func (e *Error) Kind() Kind {
	return e.kind
}

// NotRun returns what e promises about the execution of the request.
func (e *Error) NotRun() NotRun {
	if e.hasNotRun {
		return e.notRun
	}
	return e.kind.Response().NotRun
}

// RetryAfter returns how long the caller should wait before a retry; zero means not
// stated.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// Message returns the message for the caller, without the cause.
func (e *Error) Message() string {
	return e.message
}

// Error implements error. It returns the kind, the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.kind.String() + ": " + e.message
	}
	return e.kind.String() + ": " + e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// From returns the *Error in err's chain. Without one, context.Canceled becomes
// Canceled, context.DeadlineExceeded becomes DeadlinePassed with NotRunUnknown, and
// any other error Internal.
func From(err error) *Error {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.Canceled):
		return Wrap(Canceled, err, "the request was canceled")
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(DeadlinePassed, err, "the deadline passed").WithNotRun(NotRunUnknown)
	default:
		return Wrap(Internal, err, "internal error")
	}
}

// Is reports whether the first *Error in err's chain has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}
