package loommember

import (
	"cmp"
	"slices"
	"time"
)

// Believed is a member with its state and the reason for it.
type Believed struct {
	Member
	Status Status
	reason reason
}

// reason holds what a state was decided from.
type reason struct {
	unanswered time.Duration
	unheard    time.Duration
	listed     bool
}

// Reason tells a person why the member has its state.
func (b Believed) Reason() string {
	switch {
	case b.Status == Leaving:
		return "leaving mark for this incarnation"
	case b.Status == Suspect:
		return "no answer for " + b.reason.unanswered.Round(time.Millisecond).String()
	case !b.reason.listed:
		return "not listed, but heard " + b.reason.unheard.Round(time.Millisecond).String() + " ago"
	default:
		return "listed"
	}
}

// View is what an instance believes of all members at one moment. It is
// immutable.
type View struct {
	at time.Time
	// entries is ordered by member and holds no dead one.
	entries []Believed
}

// At returns the time of the view.
func (v View) At() time.Time {
	return v.at
}

// All returns every entry; the caller must not change the slice.
func (v View) All() []Believed {
	return v.entries
}

// Kind returns the entries of a kind, and of a group unless that is empty.
func (v View) Kind(kind, group string) []Believed {
	var found []Believed
	for _, b := range v.entries {
		if b.Kind == kind && (group == "" || b.Group == group) {
			found = append(found, b)
		}
	}
	return found
}

// LiveIDs returns the members of a kind that are live, in order. A failure
// domain restricts them unless it is empty.
func (v View) LiveIDs(kind, failureDomain string) []string {
	var ids []string
	for _, b := range v.entries {
		if b.Kind == kind && b.Status == Live && (failureDomain == "" || b.FailureDomain == failureDomain) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// Find returns the entry of a member.
func (v View) Find(id string) (Believed, bool) {
	i, ok := slices.BinarySearchFunc(v.entries, id, func(b Believed, id string) int { return cmp.Compare(b.ID, id) })
	if !ok {
		return Believed{}, false
	}
	return v.entries[i], true
}
