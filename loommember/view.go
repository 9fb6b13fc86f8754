package loommember

import (
	"cmp"
	"slices"
	"time"
)

// MemberState is the state of a member in a View.
type MemberState struct {
	Member
	Status Status
	reason reason
}

// reason holds the evidence that a state is based on.
type reason struct {
	// unanswered is the time since the first unanswered call, or zero.
	unanswered time.Duration
	// sinceAlive is the time since the latest evidence that the member was
	// alive, or zero when there is none.
	sinceAlive time.Duration
	listed     bool
}

// Reason explains the state of the member to an operator.
func (m MemberState) Reason() string {
	switch {
	case m.Status == Leaving:
		return "leaving mark for this incarnation"
	case m.Status == Suspect:
		return "no answer for " + m.reason.unanswered.Round(time.Millisecond).String()
	case !m.reason.listed:
		return "not listed, last alive " + m.reason.sinceAlive.Round(time.Millisecond).String() + " ago"
	default:
		return "listed"
	}
}

// View is the state of all members at one time, as one instance knows it. It is
// immutable.
type View struct {
	at time.Time
	// entries is sorted by ID and holds no dead members.
	entries []MemberState
}

// At returns the time at which the view was taken.
func (v View) At() time.Time {
	return v.at
}

// All returns all entries, sorted by ID. The caller must not change the slice.
func (v View) All() []MemberState {
	return v.entries
}

// Kind returns the entries of a kind. A group that is not empty restricts them.
func (v View) Kind(kind, group string) []MemberState {
	var found []MemberState
	for _, m := range v.entries {
		if m.Kind == kind && (group == "" || m.Group == group) {
			found = append(found, m)
		}
	}
	return found
}

// LiveIDs returns the sorted IDs of the live members of a kind. A failure domain
// that is not empty restricts them.
func (v View) LiveIDs(kind, failureDomain string) []string {
	var ids []string
	for _, m := range v.entries {
		if m.Kind == kind && m.Status == Live && (failureDomain == "" || m.FailureDomain == failureDomain) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Find returns the entry of a member, or false when it is unknown or dead.
func (v View) Find(id string) (MemberState, bool) {
	i, ok := slices.BinarySearchFunc(v.entries, id, func(m MemberState, id string) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return MemberState{}, false
	}
	return v.entries[i], true
}
