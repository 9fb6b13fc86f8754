// Package loomerror defines the error kinds and the response that a caller gets for
// each.
package loomerror

import "net/http"

// Kind classifies an error. The list is closed: every error response of an instance
// has one of these kinds.
type Kind int

// The error kinds, in the order of the response table.
const (
	Internal Kind = iota
	InvalidRequest
	Unauthorized
	Forbidden
	UnknownModel
	UnknownService
	NotFound
	BodyTooLarge
	PromptTooLong
	DeadlinePassed
	DeadlineUnmeetable
	QueueFull
	QuotaExceeded
	NoUpstream
	PlatformUnavailable
	ClaimInDoubt
	ClaimMismatch
	ClaimInProgress
	RevisionConflict
	InvalidCatalogue
	UpstreamFailed
	UpstreamRefused
	StreamCut
	OutcomeUnknown
	ShuttingDown
	PromptQuarantined
	RequestQuarantined
	Overloaded
	RegionUnavailable
	Canceled
	kindCount
)

// NotRun is what an error promises about the execution of the request. A caller may
// safely retry any request that did not run.
type NotRun int

// The promises of an error.
const (
	// NotRunUnknown means that the request may have run.
	NotRunUnknown NotRun = iota
	// NotRunTrue means that the request did not run.
	NotRunTrue
	// NotRunFalse means that the request ran, at least in part.
	NotRunFalse
)

// String returns "true", "false" or "unknown".
func (n NotRun) String() string {
	switch n {
	case NotRunTrue:
		return "true"
	case NotRunFalse:
		return "false"
	default:
		return "unknown"
	}
}

// Response describes the HTTP response for a kind of error.
type Response struct {
	// Name is the name of the kind in snake case, which is unique.
	Name string
	// Status is the HTTP status code.
	Status int
	// Retryable reports whether the same request may succeed later.
	Retryable bool
	// NotRun is the promise of an error that does not state its own.
	NotRun NotRun
}

// responses maps each kind to its response.
var responses = [kindCount]Response{
	Internal:            {"internal", http.StatusInternalServerError, false, NotRunUnknown},
	InvalidRequest:      {"invalid_request", http.StatusBadRequest, false, NotRunTrue},
	Unauthorized:        {"unauthorized", http.StatusUnauthorized, false, NotRunTrue},
	Forbidden:           {"forbidden", http.StatusForbidden, false, NotRunTrue},
	UnknownModel:        {"unknown_model", http.StatusNotFound, false, NotRunTrue},
	UnknownService:      {"unknown_service", http.StatusNotFound, false, NotRunTrue},
	NotFound:            {"not_found", http.StatusNotFound, false, NotRunTrue},
	BodyTooLarge:        {"body_too_large", http.StatusRequestEntityTooLarge, false, NotRunTrue},
	PromptTooLong:       {"prompt_too_long", http.StatusBadRequest, false, NotRunTrue},
	DeadlinePassed:      {"deadline_passed", http.StatusRequestTimeout, false, NotRunTrue},
	DeadlineUnmeetable:  {"deadline_unmeetable", http.StatusServiceUnavailable, true, NotRunTrue},
	QueueFull:           {"queue_full", http.StatusServiceUnavailable, true, NotRunTrue},
	QuotaExceeded:       {"quota_exceeded", http.StatusTooManyRequests, true, NotRunTrue},
	NoUpstream:          {"no_upstream", http.StatusServiceUnavailable, true, NotRunTrue},
	PlatformUnavailable: {"platform_unavailable", http.StatusServiceUnavailable, true, NotRunTrue},
	ClaimInDoubt:        {"claim_in_doubt", http.StatusServiceUnavailable, true, NotRunTrue},
	ClaimMismatch:       {"claim_mismatch", http.StatusUnprocessableEntity, false, NotRunTrue},
	ClaimInProgress:     {"claim_in_progress", http.StatusConflict, true, NotRunUnknown},
	RevisionConflict:    {"revision_conflict", http.StatusConflict, false, NotRunTrue},
	InvalidCatalogue:    {"invalid_catalogue", http.StatusUnprocessableEntity, false, NotRunTrue},
	UpstreamFailed:      {"upstream_failed", http.StatusBadGateway, false, NotRunUnknown},
	UpstreamRefused:     {"upstream_refused", http.StatusServiceUnavailable, true, NotRunTrue},
	StreamCut:           {"stream_cut", http.StatusBadGateway, false, NotRunFalse},
	OutcomeUnknown:      {"outcome_unknown", http.StatusBadGateway, false, NotRunUnknown},
	ShuttingDown:        {"shutting_down", http.StatusServiceUnavailable, true, NotRunTrue},
	PromptQuarantined:   {"prompt_quarantined", http.StatusServiceUnavailable, false, NotRunTrue},
	RequestQuarantined:  {"request_quarantined", http.StatusServiceUnavailable, false, NotRunTrue},
	Overloaded:          {"overloaded", http.StatusServiceUnavailable, true, NotRunTrue},
	RegionUnavailable:   {"region_unavailable", http.StatusServiceUnavailable, true, NotRunTrue},
	Canceled:            {"canceled", statusClientClosedRequest, false, NotRunUnknown},
}

// statusClientClosedRequest is the non-standard status that is logged when the
// caller closed the connection.
const statusClientClosedRequest = 499

// Kinds returns every kind, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Response returns the response for k, or that for Internal if k is undefined.
func (k Kind) Response() Response {
	if k < 0 || k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the name of k in snake case.
func (k Kind) String() string {
	return k.Response().Name
}
