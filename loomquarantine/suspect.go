// Package loomquarantine decides which requests, or parts of prompts, end the upstreams that
// answer them, from the attempts that were in progress when upstreams ended, and from
// complete answers. Such requests are refused: sent to another upstream, they would end it
// as well.
package loomquarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is what a Suspect stands for.
type Kind int

// The kinds of suspects: a part that prompts share, and a whole request.
const (
	Part Kind = iota
	Request
)

// Suspect is what may be the reason for the end of an upstream.
type Suspect struct {
	Kind Kind
	// Model is that of the prompts, or empty for a request without one.
	Model string
	// ID is that of the part, or the digest of the request.
	ID string
}

// clone returns a copy of s that keeps no text alive of which its fields are parts.
func (s Suspect) clone() Suspect {
	s.Model, s.ID = strings.Clone(s.Model), strings.Clone(s.ID)
	return s
}

// compareSuspects orders suspects alike at all instances.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Model, b.Model), cmp.Compare(a.ID, b.ID))
}

// Exposure is a suspect that was in progress at an upstream when that ended.
type Exposure struct {
	Suspect Suspect
	// Version is that of the weights that the request was sent to.
	Version uint64
	// HasBegun is set if the answer had begun shortly before.
	HasBegun bool
	// Sent is the time from when the request was sent until the end; of several requests,
	// the longest.
	Sent time.Duration
	// Parts are the IDs of all parts that are exposed by the same request.
	Parts []string
}

// clone returns a copy of e that keeps no text alive of which its fields are parts.
func (e Exposure) clone() Exposure {
	e.Suspect = e.Suspect.clone()
	parts := make([]string, 0, len(e.Parts))
	for _, id := range e.Parts {
		parts = append(parts, strings.Clone(id))
	}
	e.Parts = parts
	return e
}

// join returns the exposure of a suspect that two requests hold.
func (e Exposure) join(other Exposure) Exposure {
	e.Version = max(e.Version, other.Version)
	e.HasBegun = e.HasBegun || other.HasBegun
	e.Sent = max(e.Sent, other.Sent)
	if len(e.Parts) == 0 {
		e.Parts = other.Parts
	}
	return e
}

// tellsMore reports whether e tells what an earlier exposure of the same suspect doesn't.
func (e Exposure) tellsMore(earlier Exposure) bool {
	return e.Version != earlier.Version || e.HasBegun != earlier.HasBegun || e.Sent != earlier.Sent || len(e.Parts) != len(earlier.Parts)
}

// Change is a piece of evidence or a decision that instances tell each other. It is one of
// End, Sound and Quarantine.
type Change interface {
	change()
}

// End is the end of an upstream's process while requests were in progress there.
type End struct {
	Upstream    string
	Incarnation uint64
	At          time.Time
	// Exposures has at most one entry for each suspect.
	Exposures []Exposure
}

// Sound reports that an answer to a request with a suspect was complete.
type Sound struct {
	Suspect Suspect
	// Version is that of the weights that made the answer.
	Version uint64
}

// Quarantine is a set of suspects that ends upstreams. A request is refused if it has all of
// them: suspects that always came together can't be told apart. It is immutable.
type Quarantine struct {
	// Suspects is sorted and never empty. All have the same model, and at most one is a
	// request.
	Suspects []Suspect
	// Version is the newest version of the weights under which upstreams have ended.
	Version uint64
	// Ends is the number of separate ends that it was decided by.
	Ends int
	// IsCertain is set if an upstream has ended with no other suspect in progress.
	IsCertain bool
	// Trials is the number of requests that were sent in spite of it.
	Trials int
	// UsedAt is when it was decided, or when a request was last refused.
	UsedAt time.Time
}

// WithUse returns a copy of q that was used at a time.
func (q Quarantine) WithUse(at time.Time) Quarantine {
	if at.After(q.UsedAt) {
		q.UsedAt = at
	}
	return q
}

// WithTrial returns a copy of q after one more trial, with weights of a version.
func (q Quarantine) WithTrial(version uint64) Quarantine {
	q.Trials++
	q.Version = max(q.Version, version)
	return q
}

// WithSuspects returns a copy of q with other suspects, sorted.
func (q Quarantine) WithSuspects(suspects ...Suspect) Quarantine {
	q.Suspects = slices.SortedFunc(slices.Values(suspects), compareSuspects)
	return q
}

// without returns a copy of q without a suspect.
func (q Quarantine) without(s Suspect) Quarantine {
	q.Suspects = slices.DeleteFunc(slices.Clone(q.Suspects), func(other Suspect) bool { return other == s })
	return q
}

// Model returns the model of the suspects, or empty if they have none.
func (q Quarantine) Model() string {
	if len(q.Suspects) == 0 {
		return ""
	}
	return q.Suspects[0].Model
}

// Parts returns the IDs of the parts among the suspects.
func (q Quarantine) Parts() []string {
	return q.ids(Part)
}

// Request returns the digest of the request among the suspects, or empty if there is none.
func (q Quarantine) Request() string {
	return strings.Join(q.ids(Request), "")
}

func (q Quarantine) ids(kind Kind) []string {
	var ids []string
	for _, s := range q.Suspects {
		if s.Kind == kind {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Key identifies the set of suspects.
func (q Quarantine) Key() string {
	return strings.Join(append([]string{q.Model(), q.Request()}, q.Parts()...), "\x00")
}

// matches reports whether a request with suspects has all of q.
func (q Quarantine) matches(suspects []Suspect) bool {
	return !slices.ContainsFunc(q.Suspects, func(s Suspect) bool { return !slices.Contains(suspects, s) })
}

func (End) change()        {}
func (Sound) change()      {}
func (Quarantine) change() {}
