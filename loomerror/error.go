package loomerror

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is an error with a kind. It is immutable.
type Error struct {
	// kind is one of the closed list.
	kind    Kind
	message string
	// notRun overrides the promise of the table when stated is true.
	notRun     NotRun
	stated     bool
	retryAfter time.Duration
	cause      error
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k that keeps cause for the log. The caller
// sees the message alone.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = errors.Trace(cause)
	return e
}

// WithNotRun returns a copy of e that promises n.
func (e *Error) WithNotRun(n NotRun) *Error {
	c := *e
	c.notRun = n
	c.stated = true
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the kind of e.
func (e *Error) Kind() Kind {
	return e.kind
}

// NotRun returns what e promises about the work.
func (e *Error) NotRun() NotRun {
	if e.stated {
		return e.notRun
	}
	return e.kind.Answer().NotRun
}

// RetryAfter returns how long the caller should wait, or zero.
func (e *Error) RetryAfter() time.Duration {
	return e.retryAfter
}

// Message returns the text that is meant for the caller.
func (e *Error) Message() string {
	return e.message
}

// Error returns the kind, the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.kind.String() + ": " + e.message
	}
	return e.kind.String() + ": " + e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// From returns err as an *Error. A canceled context becomes Canceled, a
// passed deadline DeadlinePassed with an unknown outcome, and anything else
// Internal.
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

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}
