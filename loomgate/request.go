package loomgate

import (
	"net/http"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomupstream"
)

// Part is one part of a prompt that other prompts may share.
type Part = loomcache.PromptPart

// Prompt is what a caller says of its prompt.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the bound of the answer, and
	// ExpectedOutput the caller's estimate of it.
	Tokens         int
	MaxOutput      int
	ExpectedOutput int
	// Parts are the leading parts of the prompt, in order; the last one belongs
	// to the session.
	Parts []Part
}

// Shared returns the number of tokens in the parts.
func (p Prompt) Shared() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return n
}

// Incoming is a request as a door reads it.
type Incoming struct {
	RequestID string
	// Host is in lower case and without a port, RawHost as the caller sent it.
	Host    string
	RawHost string
	// Path is matched against the routes, Target is passed on.
	Path   string
	Target string
	Method string
	// Key is the caller's secret key, or empty.
	Key string
	// Header holds what may be passed on.
	Header http.Header
	Body   []byte
	Prompt Prompt
	// HasPrompt tells that Prompt could be read.
	HasPrompt bool
	// ResumeAfter is the last event that the caller has, or empty.
	ResumeAfter string
	Received    time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Responder writes the answer to one request. Exactly one of Answer, Stream and
// Refuse is called first.
type Responder interface {
	// Answer writes a whole answer.
	Answer(r *loomupstream.Reply, body []byte) error
	// Stream writes the head of an answer that comes in events.
	Stream(r *loomupstream.Reply)
	// Event writes one event and flushes it.
	Event(raw []byte) error
	// Refuse writes an error, or aborts when the answer has begun.
	Refuse(requestID string, err *loomerror.Error)
	// Abort ends the answer so that it can't be taken for a whole one.
	Abort()
}

// request is an incoming request that may be served.
type request struct {
	Incoming
	route   loomcatalogue.Route
	account loomcatalogue.RoutedAccount
	group   loomcatalogue.Group
	// revision is that of the routing that admitted the request.
	revision uint64
	// until is when the gate gives up: the caller's deadline or the route's
	// timeout, whichever comes first.
	until time.Time
}

// rank returns the order of the request; zero goes first.
func (r *request) rank() int {
	if r.account.HasRank {
		return r.account.Rank
	}
	return r.route.Rank
}

// repeatable reports whether the request may run more than once.
func (r *request) repeatable() bool {
	return r.route.Repeatable()
}
