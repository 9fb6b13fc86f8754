package loomgate

import (
	"net/http"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomupstream"
)

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart = loomcache.PromptPart

// Prompt describes a request's prompt, as declared by the caller.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens the limit on the
	// output and ExpectedOutputTokens the caller's estimate of it, all in
	// tokens.
	Tokens               int
	MaxOutputTokens      int
	ExpectedOutputTokens int
	// Parts are the leading parts of the prompt in order, at most loomcache.MaxParts with IDs
	// of at most loomcache.MaxPartIDBytes. The last one belongs to the session, or to
	// this request alone, if UntrackedParts is zero.
	Parts []PromptPart
	// UntrackedParts is the number of parts after those in Parts.
	UntrackedParts int
}

// SharedTokens returns the number of tokens in all parts.
func (p Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return n
}

// IncomingRequest is a request as the HTTP front end parsed it.
type IncomingRequest struct {
	RequestID string
	// Host is in lower case and has no port. RawHost is as the caller sent it.
	Host    string
	RawHost string
	// Path is matched against the routes. RequestTarget is the request target,
	// with its query, that is sent to the upstream.
	Path          string
	RequestTarget string
	Method        string
	// APIKey is the caller's API key, or empty.
	APIKey string
	// Header holds the header fields that are forwarded to the upstream.
	Header http.Header
	Body   []byte
	Prompt Prompt
	// HasPrompt is set if Prompt could be parsed.
	HasPrompt bool
	// ResumeAfter is the ID of the last event that the caller received, or
	// empty.
	ResumeAfter string
	Received    time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Responder writes the answer to one request. The first call is WriteAnswer,
// StartStream or WriteError, or Abort if the caller has left. A stream is complete
// only if EndStream is called; otherwise it is aborted when Gate.Serve returns.
type Responder interface {
	// WriteAnswer writes a complete answer.
	WriteAnswer(r *loomupstream.Reply, body []byte) error
	// StartStream writes the head of a streamed answer.
	StartStream(r *loomupstream.Reply)
	// WriteEvent writes one event of a streamed answer and flushes it.
	WriteEvent(raw []byte) error
	// EndStream marks the streamed answer as complete.
	EndStream()
	// WriteError writes an error, or aborts the answer if it has started.
	WriteError(requestID string, err *loomerror.Error)
	// Abort ends the answer in such a way that the caller cannot take it for a
	// complete one.
	Abort()
}

// request is an admitted request with its route, client account and upstream
// group.
type request struct {
	IncomingRequest
	route   loomcatalogue.Route
	account loomcatalogue.RoutedAccount
	group   loomcatalogue.Group
	// regions are those that route and account allow.
	regions loomcatalogue.Regions
	// revision is the revision of the routing that admitted the request.
	revision uint64
	// deadline is when the gate stops: at the caller's deadline or after the
	// route's timeout, whichever comes first.
	deadline time.Time
}

// rank returns the priority of the request; zero is the highest. An account's
// rank takes precedence over that of the route.
func (r *request) rank() int {
	if r.account.HasRank {
		return r.account.Rank
	}
	return r.route.Rank
}

// isRepeatable reports whether the request may run more than once.
func (r *request) isRepeatable() bool {
	return r.route.IsRepeatable()
}
