package loommember

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Options holds the timeouts of a Tracker.
type Options struct {
	// SuspectAfter is how long a member may leave calls unanswered before it is
	// Suspect, and DeadAfter how long before it is Dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// UnlistedAfter is how long a member is kept after it was removed from the
	// list, and after it was last known to be alive. It is Dead when both times
	// have passed.
	UnlistedAfter time.Duration
	// ForgetAfter is how long the record of a member, with its leaving mark, is
	// kept after the member was removed from the list.
	ForgetAfter time.Duration
}

// DefaultOptions returns the timeouts that instances use.
func DefaultOptions() Options {
	return Options{
		SuspectAfter:  700 * time.Millisecond,
		DeadAfter:     2500 * time.Millisecond,
		UnlistedAfter: 3 * time.Second,
		ForgetAfter:   10 * time.Minute,
	}
}

// Tracker collects events and derives the state of every member from them. It is
// safe for concurrent use.
type Tracker struct {
	options Options

	mu      sync.Mutex
	records map[string]*record
	// ids holds the keys of records in sorted order.
	ids []string
	// rumours holds the rumours that are still to be sent, by member ID.
	rumours map[string]*queuedRumour
}

type record struct {
	member Member
	// leavingIncarnation never decreases: the member is leaving in this
	// incarnation and in every earlier one.
	leavingIncarnation uint64
	listed             bool
	// unlistedSince is when the member was removed from the list, or when the
	// record was created for a member that is not listed.
	unlistedSince time.Time
	// aliveAt is the time of the latest evidence that the member was alive.
	aliveAt time.Time
	// failedSince is the time of the first unanswered call after aliveAt, or
	// zero.
	failedSince time.Time
}

type queuedRumour struct {
	rumour Rumour
	// sendsLeft is the number of messages that are still to carry the rumour.
	sendsLeft int
}

// NewTracker returns a tracker without members.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, records: make(map[string]*record), rumours: make(map[string]*queuedRumour)}
}

// Apply updates the state of members from an event.
func (t *Tracker) Apply(now time.Time, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := e.(type) {
	case Listed:
		t.applyList(now, e)
	case Changed:
		t.applyChange(now, e)
	case Alive:
		t.applyAlive(now, e)
	case Unanswered:
		t.applyUnanswered(now, e)
	case Rumour:
		t.applyRumour(now, e)
	case MarkedLeaving:
		t.markLeaving(now, e.ID, e.Incarnation)
	}
}

func (t *Tracker) applyList(now time.Time, e Listed) {
	present := make(map[string]bool, len(e.Members))
	for _, l := range e.Members {
		present[l.Member.ID] = true
		t.addListing(now, l)
	}
	for _, id := range t.ids {
		if !present[id] {
			t.unlist(now, id)
		}
	}
	t.removeExpired(now)
}

func (t *Tracker) applyChange(now time.Time, e Changed) {
	for _, l := range e.Members {
		t.addListing(now, l)
	}
	for _, id := range e.Gone {
		t.unlist(now, id)
	}
	t.removeExpired(now)
}

func (t *Tracker) addListing(now time.Time, l Listing) {
	r := t.record(now, l.Member.ID)
	r.update(now, l.Member)
	r.listed = true
	r.unlistedSince = time.Time{}
	if l.Leaving {
		t.markLeaving(now, l.Member.ID, l.Member.Incarnation)
	}
}

func (t *Tracker) unlist(now time.Time, id string) {
	if r, ok := t.records[id]; ok && r.listed {
		r.listed = false
		r.unlistedSince = now
	}
}

// removeExpired removes the records of members that were removed from the list
// more than ForgetAfter ago.
func (t *Tracker) removeExpired(now time.Time) {
	t.ids = slices.DeleteFunc(t.ids, func(id string) bool {
		r := t.records[id]
		expired := !r.listed && now.Sub(r.unlistedSince) > t.options.ForgetAfter
		if expired {
			delete(t.records, id)
			delete(t.rumours, id)
		}
		return expired
	})
}

// record returns the record of a member, and creates it when there is none.
func (t *Tracker) record(now time.Time, id string) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{member: Member{ID: id}, unlistedSince: now}
		t.records[id] = r
		at, _ := slices.BinarySearch(t.ids, id)
		t.ids = slices.Insert(t.ids, at, id)
	}
	return r
}

// update replaces the member by m unless m is an earlier incarnation. A later
// incarnation counts as alive.
func (r *record) update(now time.Time, m Member) {
	if m.Incarnation < r.member.Incarnation {
		return
	}
	if m.Incarnation > r.member.Incarnation {
		r.failedSince = time.Time{}
		r.aliveAt = now
	}
	r.member = m
}

// applyAlive records that a member is alive. A recovery is queued as a rumour.
func (t *Tracker) applyAlive(now time.Time, e Alive) {
	r, ok := t.records[e.ID]
	if !ok || e.Incarnation < r.member.Incarnation {
		return
	}
	if !r.failedSince.IsZero() {
		t.queueRumour(Rumour{ID: e.ID, Incarnation: e.Incarnation, At: now})
	}
	r.member.Incarnation = e.Incarnation
	r.aliveAt = now
	r.failedSince = time.Time{}
}

func (t *Tracker) applyUnanswered(now time.Time, e Unanswered) {
	r, ok := t.records[e.ID]
	if ok && r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// applyRumour records second-hand evidence that is newer than the known evidence,
// and queues it for other peers.
func (t *Tracker) applyRumour(now time.Time, e Rumour) {
	r, ok := t.records[e.ID]
	if !ok || e.Incarnation < r.member.Incarnation || e.At.After(now) {
		return
	}
	if e.Unanswered {
		if e.At.After(r.aliveAt) && r.failedSince.IsZero() {
			r.failedSince = e.At
			t.queueRumour(e)
		}
		return
	}
	if r.failedSince.IsZero() || !e.At.After(r.failedSince) {
		return
	}
	r.failedSince = time.Time{}
	r.aliveAt = e.At
	t.queueRumour(e)
}

const (
	// rumourSends is the number of messages that carry a rumour. It suffices to
	// reach all of several hundred members that each gossip with two peers.
	rumourSends = 16
	// maxRumours is the largest number of rumours in one message.
	maxRumours = 16
)

func (t *Tracker) queueRumour(r Rumour) {
	t.rumours[r.ID] = &queuedRumour{rumour: r, sendsLeft: rumourSends}
}

// Rumours returns the rumours for the next message, those sent least often
// first. It adds a rumour about each instance that has become Suspect here.
func (t *Tracker) Rumours(now time.Time) []Rumour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queueSuspicions(now)
	var queued []*queuedRumour
	for _, q := range t.rumours {
		queued = append(queued, q)
	}
	slices.SortFunc(queued, func(a, b *queuedRumour) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.rumour.ID, b.rumour.ID))
	})
	var rumours []Rumour
	for _, q := range queued[:min(len(queued), maxRumours)] {
		rumours = append(rumours, q.rumour)
		if q.sendsLeft--; q.sendsLeft <= 0 {
			delete(t.rumours, q.rumour.ID)
		}
	}
	return rumours
}

// queueSuspicions queues a rumour about each instance that has been unanswered
// for between SuspectAfter and DeadAfter, unless such a rumour is queued already.
func (t *Tracker) queueSuspicions(now time.Time) {
	for _, id := range t.ids {
		r := t.records[id]
		if r.member.Kind != KindInstance || r.failedSince.IsZero() {
			continue
		}
		age := now.Sub(r.failedSince)
		if age < t.options.SuspectAfter || age > t.options.DeadAfter {
			continue
		}
		if q, ok := t.rumours[id]; ok && q.rumour.Unanswered {
			continue
		}
		t.queueRumour(Rumour{ID: id, Incarnation: r.member.Incarnation, Unanswered: true, At: r.failedSince})
	}
}

func (t *Tracker) markLeaving(now time.Time, id string, incarnation uint64) {
	r := t.record(now, id)
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
	case !r.listed && now.Sub(r.unlistedSince) > o.UnlistedAfter && now.Sub(r.aliveAt) > o.UnlistedAfter:
		return Dead
	case r.leavingIncarnation > 0 && r.member.Incarnation <= r.leavingIncarnation:
		return Leaving
	case unanswered > o.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Status returns the state of a member. An unknown member is Dead.
func (t *Tracker) Status(now time.Time, id string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return Dead
	}
	return t.status(now, r)
}

// LeavingMarks returns the leaving marks of members that are not dead, to be
// sent to peers.
func (t *Tracker) LeavingMarks(now time.Time) []MarkedLeaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []MarkedLeaving
	for _, id := range t.ids {
		if r := t.records[id]; r.leavingIncarnation > 0 && t.status(now, r) == Leaving {
			marks = append(marks, MarkedLeaving{ID: id, Incarnation: r.leavingIncarnation})
		}
	}
	return marks
}

// Addresses returns the addresses of all members with a record, including dead
// ones.
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
	v := View{at: now, entries: make([]MemberState, 0, len(t.ids))}
	for _, id := range t.ids {
		r := t.records[id]
		s := t.status(now, r)
		if s == Dead {
			continue
		}
		v.entries = append(v.entries, MemberState{Member: r.member, Status: s, reason: reason{
			unanswered: since(now, r.failedSince),
			sinceAlive: since(now, r.aliveAt),
			listed:     r.listed,
		}})
	}
	return v
}

// since returns the time elapsed since t, or zero when t is the zero time.
func since(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
