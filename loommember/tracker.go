package loommember

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Options holds the times after which a member's state changes.
type Options struct {
	// SuspectAfter is how long a member may leave calls unanswered before it
	// is suspect, and DeadAfter before it is out of the view.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// UnlistedAfter is how long a member that the list no longer names stays
	// in the view on direct evidence alone.
	UnlistedAfter time.Duration
	// ForgetAfter is how long a dead member's marks are kept.
	ForgetAfter time.Duration
}

// DefaultOptions returns the times that instances use.
func DefaultOptions() Options {
	return Options{
		SuspectAfter:  time.Second,
		DeadAfter:     3 * time.Second,
		UnlistedAfter: 3 * time.Second,
		ForgetAfter:   10 * time.Minute,
	}
}

// Tracker collects events and decides the state of every member. Its methods
// may be called concurrently.
type Tracker struct {
	options Options

	mu      sync.Mutex
	records map[string]*record
}

type record struct {
	member Member
	// leavingIncarnation never falls: the member leaves in this incarnation
	// and every earlier one.
	leavingIncarnation uint64
	listed             bool
	// unlistedSince is when the list first left the member out.
	unlistedSince time.Time
	heardAt       time.Time
	// failedSince is when the first call since heardAt went unanswered.
	failedSince time.Time
}

// NewTracker returns a tracker that knows no members.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, records: make(map[string]*record)}
}

// Apply takes in an event.
func (t *Tracker) Apply(now time.Time, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := e.(type) {
	case Listed:
		t.listed(now, e)
	case Heard:
		t.heard(now, e)
	case Unanswered:
		if r, ok := t.records[e.ID]; ok && r.failedSince.IsZero() {
			r.failedSince = now
		}
	case Marked:
		t.marked(now, e.ID, e.Incarnation)
	}
}

func (t *Tracker) listed(now time.Time, e Listed) {
	named := make(map[string]bool, len(e.Members))
	for _, l := range e.Members {
		named[l.Member.ID] = true
		r, ok := t.records[l.Member.ID]
		if !ok {
			r = &record{}
			t.records[l.Member.ID] = r
		}
		r.take(now, l.Member)
		r.listed = true
		r.unlistedSince = time.Time{}
		if l.Leaving {
			t.marked(now, l.Member.ID, l.Member.Incarnation)
		}
	}
	for id, r := range t.records {
		if named[id] {
			continue
		}
		if r.listed {
			r.listed = false
			r.unlistedSince = now
		}
		if now.Sub(r.unlistedSince) > t.options.ForgetAfter {
			delete(t.records, id)
		}
	}
}

// take replaces the member by a later incarnation; an earlier one is ignored.
func (r *record) take(now time.Time, m Member) {
	if m.Incarnation < r.member.Incarnation {
		return
	}
	if m.Incarnation > r.member.Incarnation {
		r.failedSince = time.Time{}
		r.heardAt = now
	}
	r.member = m
}

func (t *Tracker) heard(now time.Time, e Heard) {
	r, ok := t.records[e.ID]
	if !ok || e.Incarnation < r.member.Incarnation {
		return
	}
	r.member.Incarnation = e.Incarnation
	r.heardAt = now
	r.failedSince = time.Time{}
}

func (t *Tracker) marked(now time.Time, id string, incarnation uint64) {
	r, ok := t.records[id]
	if !ok {
		r = &record{member: Member{ID: id}, unlistedSince: now}
		t.records[id] = r
	}
	r.leavingIncarnation = max(r.leavingIncarnation, incarnation)
}

func (t *Tracker) status(now time.Time, r *record) Status {
	o := t.options
	unanswered := time.Duration(0)
	if !r.failedSince.IsZero() {
		unanswered = now.Sub(r.failedSince)
	}
	switch {
	case r.member.Address == "":
		return Dead
	case unanswered > o.DeadAfter:
		return Dead
	case !r.listed && now.Sub(r.unlistedSince) > o.UnlistedAfter && now.Sub(r.heardAt) > o.UnlistedAfter:
		return Dead
	case r.leavingIncarnation > 0 && r.member.Incarnation <= r.leavingIncarnation:
		return Leaving
	case unanswered > o.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Status returns the state of a member; an unknown one is Dead.
func (t *Tracker) Status(now time.Time, id string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return Dead
	}
	return t.status(now, r)
}

// Leaves returns the leaving marks for members that are not dead, to pass on
// to peers.
func (t *Tracker) Leaves(now time.Time) []Marked {
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []Marked
	for id, r := range t.records {
		if t.status(now, r) == Leaving {
			marks = append(marks, Marked{ID: id, Incarnation: r.leavingIncarnation})
		}
	}
	slices.SortFunc(marks, func(a, b Marked) int { return cmp.Compare(a.ID, b.ID) })
	return marks
}

// Addresses returns the addresses of all members that are remembered, dead or
// not.
func (t *Tracker) Addresses() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[string]bool, len(t.records))
	for _, r := range t.records {
		addresses[r.member.Address] = true
	}
	return addresses
}

// View returns the state of all members that are not dead.
func (t *Tracker) View(now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{at: now}
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[id]
		s := t.status(now, r)
		if s == Dead {
			continue
		}
		v.entries = append(v.entries, Believed{Member: r.member, Status: s, Reason: t.reason(now, r, s)})
	}
	return v
}

func (t *Tracker) reason(now time.Time, r *record, s Status) string {
	switch {
	case s == Leaving:
		return "leaving mark for this incarnation"
	case s == Suspect:
		return "no answer for " + now.Sub(r.failedSince).Round(time.Millisecond).String()
	case !r.listed:
		return "not listed, but heard " + now.Sub(r.heardAt).Round(time.Millisecond).String() + " ago"
	default:
		return "listed"
	}
}
