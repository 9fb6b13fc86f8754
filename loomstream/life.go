// Package loomstream decides about the life of one request: its dispatch
// states, the relay of its answer, retries, resumption, and what an error may
// promise about work that did or did not run.
package loomstream

import (
	"time"

	"swiftloom/loomerror"
)

// State is how far a request has come.
type State int

// The dispatch states. A request that has left Queued may have run; it goes
// back to Queued only when the upstream or the connection proved that the
// attempt did not run.
const (
	Queued State = iota
	Sending
	Sent
	Answered
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Sending:
		return "sending"
	case Sent:
		return "sent"
	default:
		return "answered"
	}
}

// Event is something that happened to a request. It is one of Dispatched,
// Delivered, Refused, Token, Finished, Failed, Broken and CallerGone.
type Event interface {
	event()
}

// Dispatched says that an attempt is about to be sent.
type Dispatched struct {
	Attempt string
	Version uint64
}

// Delivered says that bytes of the attempt have left.
type Delivered struct {
	Attempt string
}

// Refused is an upstream's statement that it did not run the attempt.
type Refused struct {
	Attempt string
}

// Token is one token of the answer.
type Token struct {
	Attempt string
	Version uint64
	Offset  int
	Value   uint32
}

// Finished is the end of the answer with its length.
type Finished struct {
	Attempt string
	Tokens  int
}

// Failed says that the upstream ran the attempt and answered with a failure.
type Failed struct {
	Attempt string
}

// Broken says that the connection of an attempt ended early.
type Broken struct {
	Attempt string
	// Resumable tells that the upstream may still hold the run.
	Resumable bool
}

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

func (Dispatched) event() {}
func (Delivered) event()  {}
func (Refused) event()    {}
func (Token) event()      {}
func (Finished) event()   {}
func (Failed) event()     {}
func (Broken) event()     {}
func (CallerGone) event() {}

// Action is what is to be done next. It is one of Wait, Relay, Complete,
// Retry, Resume, Fail and Cancel.
type Action interface {
	action()
}

// Wait asks for nothing.
type Wait struct{}

// Relay passes one token to the caller.
type Relay struct {
	Value uint32
}

// Complete ends the request with the whole answer.
type Complete struct {
	Tokens int
}

// Retry asks for another attempt after a pause. When Pinned is true, only an
// upstream with the version of the request may take it.
type Retry struct {
	After  time.Duration
	Pinned bool
}

// Resume asks the upstream of the attempt to go on from an offset.
type Resume struct {
	Attempt string
	Offset  int
}

// Fail ends the request with an error.
type Fail struct {
	Err *loomerror.Error
}

// Cancel ends the run of an attempt at its upstream.
type Cancel struct {
	Attempt string
}

func (Wait) action()     {}
func (Relay) action()    {}
func (Complete) action() {}
func (Retry) action()    {}
func (Resume) action()   {}
func (Fail) action()     {}
func (Cancel) action()   {}

const (
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	maxResumes  = 2
)

// Life is the state of one request. Its owner alone may use it.
type Life struct {
	// repeatable tells that running the request twice does no harm.
	repeatable bool
	budget     *RetryBudget
	backoff    Backoff

	state   State
	attempt string
	// mayHaveRun is set once an attempt was sent and not refused; it is never
	// unset.
	mayHaveRun bool
	// version is that of the first token; no token of another version follows.
	version uint64
	// answer holds the relayed tokens; it only grows.
	answer   []uint32
	attempts int
	resumes  int
	// runs counts the attempts that may have run; it stays below maxRuns while
	// the request goes on.
	runs int
	// maxRuns bounds runs; zero means MaxAttempts.
	maxRuns int
}

// NewLife returns the life of a request that waits to be dispatched.
func NewLife(repeatable bool, budget *RetryBudget, backoff Backoff) *Life {
	return &Life{repeatable: repeatable, budget: budget, backoff: backoff}
}

// WithMaxRuns bounds the upstreams that may run the request. It must be called
// before the first event.
func (l *Life) WithMaxRuns(n int) *Life {
	l.maxRuns = n
	return l
}

// State returns how far the request has come.
func (l *Life) State() State {
	return l.state
}

// Version returns the version that the answer is bound to; zero means none.
func (l *Life) Version() uint64 {
	return l.version
}

// Relayed returns the number of tokens that were relayed.
func (l *Life) Relayed() int {
	return len(l.answer)
}

// NotRun returns what may be promised of the work so far.
func (l *Life) NotRun() loomerror.NotRun {
	switch {
	case len(l.answer) > 0:
		return loomerror.NotRunFalse
	case l.state == Queued && !l.mayHaveRun:
		return loomerror.NotRunTrue
	default:
		return loomerror.NotRunUnknown
	}
}

// Apply takes in an event and returns what is to be done. Events of abandoned
// attempts change nothing.
func (l *Life) Apply(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Dispatched:
		return l.dispatched(now, e)
	case Delivered:
		if e.Attempt == l.attempt && l.state == Sending {
			l.state = Sent
		}
		return Wait{}
	case Refused:
		return l.refused(now, e)
	case Token:
		return l.token(now, e)
	case Finished:
		return l.finished(now, e)
	case Failed:
		return l.failed(now, e)
	case Broken:
		return l.broken(now, e)
	case CallerGone:
		return l.callerGone()
	default:
		return Wait{}
	}
}

func (l *Life) dispatched(now time.Time, e Dispatched) Action {
	l.attempt = e.Attempt
	l.state = Sending
	l.attempts++
	l.resumes = 0
	if l.attempts == 1 {
		l.budget.Deposit(now)
	}
	return Wait{}
}

func (l *Life) refused(now time.Time, e Refused) Action {
	if e.Attempt != l.attempt || l.state == Answered {
		return Wait{}
	}
	if len(l.answer) == 0 {
		l.state = Queued
	}
	return l.retry(now, loomerror.New(loomerror.UpstreamRefused, "every upstream that was tried refused the request"))
}

func (l *Life) token(now time.Time, e Token) Action {
	if e.Attempt != l.attempt || l.state == Answered {
		return Wait{}
	}
	l.state = Sent
	if len(l.answer) > 0 && e.Version != l.version {
		return l.cut("the answer went on under another version")
	}
	switch {
	case e.Offset < len(l.answer):
		if l.answer[e.Offset] != e.Value {
			return l.cut("the answer could not be continued")
		}
		return Wait{}
	case e.Offset > len(l.answer):
		return l.broken(now, Broken{Attempt: e.Attempt, Resumable: true})
	}
	l.version = e.Version
	l.answer = append(l.answer, e.Value)
	return Relay{Value: e.Value}
}

func (l *Life) finished(now time.Time, e Finished) Action {
	if e.Attempt != l.attempt || l.state == Answered {
		return Wait{}
	}
	l.state = Sent
	if e.Tokens > len(l.answer) {
		return l.broken(now, Broken{Attempt: e.Attempt, Resumable: true})
	}
	if e.Tokens < len(l.answer) {
		return l.cut("the answer could not be continued")
	}
	l.state = Answered
	return Complete{Tokens: e.Tokens}
}

func (l *Life) broken(now time.Time, e Broken) Action {
	if e.Attempt != l.attempt || l.state == Answered {
		return Wait{}
	}
	if l.state == Sending {
		l.state = Queued
		return l.retry(now, loomerror.New(loomerror.NoUpstream, "no upstream could be reached"))
	}
	if l.state == Queued {
		return Wait{}
	}
	if e.Resumable && l.resumes < maxResumes {
		l.resumes++
		return Resume{Attempt: l.attempt, Offset: len(l.answer)}
	}
	if !l.mayRunAgain() {
		return l.lost()
	}
	return l.retry(now, loomerror.New(loomerror.UpstreamFailed, "the upstream went away before it answered"))
}

// failed asks for another attempt where one is allowed, and otherwise completes
// the request with the upstream's failure.
func (l *Life) failed(now time.Time, e Failed) Action {
	if e.Attempt != l.attempt || l.state == Answered || l.state == Queued {
		return Wait{}
	}
	l.state = Sent
	if len(l.answer) == 0 && l.mayRunAgain() && l.attempts < MaxAttempts && l.budget.Withdraw(now) {
		return Retry{After: l.backoff.Pause(l.attempts)}
	}
	l.state = Answered
	return Complete{Tokens: len(l.answer)}
}

// mayRunAgain notes that the attempt may have run and reports whether another
// one may.
func (l *Life) mayRunAgain() bool {
	l.mayHaveRun = true
	l.runs++
	return l.repeatable && (l.maxRuns == 0 || l.runs < l.maxRuns)
}

// lost ends a request whose upstream went away.
func (l *Life) lost() Action {
	if len(l.answer) > 0 {
		return l.cut("the upstream went away in the middle of the answer")
	}
	l.state = Answered
	return Fail{Err: loomerror.New(loomerror.OutcomeUnknown, "the upstream went away before it answered")}
}

// retry asks for another attempt, or fails with err.
func (l *Life) retry(now time.Time, err *loomerror.Error) Action {
	if l.attempts < MaxAttempts && l.budget.Withdraw(now) {
		return Retry{After: l.backoff.Pause(l.attempts), Pinned: len(l.answer) > 0}
	}
	if len(l.answer) > 0 {
		return l.cut("the upstream went away in the middle of the answer")
	}
	notRun := l.NotRun()
	l.state = Answered
	return Fail{Err: err.WithNotRun(notRun).WithRetryAfter(retryAfter)}
}

func (l *Life) cut(message string) Action {
	l.state = Answered
	return Fail{Err: loomerror.New(loomerror.StreamCut, "%s after %d tokens", message, len(l.answer))}
}

func (l *Life) callerGone() Action {
	running := l.state == Sending || l.state == Sent
	l.state = Answered
	if running {
		return Cancel{Attempt: l.attempt}
	}
	return Wait{}
}

// retryAfter is how long a caller is told to wait after a failure.
const retryAfter = time.Second
