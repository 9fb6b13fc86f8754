package loommember

import (
	"cmp"
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
		SuspectAfter:  700 * time.Millisecond,
		DeadAfter:     2500 * time.Millisecond,
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
	// ids holds the keys of records in order.
	ids []string
	// news holds the rumours that are still to be passed on.
	news map[string]*newsItem
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

type newsItem struct {
	rumour Rumour
	// left counts the messages that are still to carry the rumour.
	left int
}

// NewTracker returns a tracker that knows no members.
func NewTracker(o Options) *Tracker {
	return &Tracker{options: o, records: make(map[string]*record), news: make(map[string]*newsItem)}
}

// Apply takes in an event.
func (t *Tracker) Apply(now time.Time, e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := e.(type) {
	case Listed:
		t.listed(now, e)
	case Changed:
		t.changed(now, e)
	case Heard:
		t.heard(now, e)
	case Unanswered:
		t.unanswered(now, e)
	case Rumour:
		t.rumoured(now, e)
	case Marked:
		t.marked(now, e.ID, e.Incarnation)
	}
}

func (t *Tracker) listed(now time.Time, e Listed) {
	named := make(map[string]bool, len(e.Members))
	for _, l := range e.Members {
		named[l.Member.ID] = true
		t.list(now, l)
	}
	for _, id := range t.ids {
		if !named[id] {
			t.unlist(now, id)
		}
	}
	t.forget(now)
}

func (t *Tracker) changed(now time.Time, e Changed) {
	for _, l := range e.Members {
		t.list(now, l)
	}
	for _, id := range e.Gone {
		t.unlist(now, id)
	}
	t.forget(now)
}

func (t *Tracker) list(now time.Time, l Listing) {
	r := t.record(now, l.Member.ID)
	r.take(now, l.Member)
	r.listed = true
	r.unlistedSince = time.Time{}
	if l.Leaving {
		t.marked(now, l.Member.ID, l.Member.Incarnation)
	}
}

func (t *Tracker) unlist(now time.Time, id string) {
	if r, ok := t.records[id]; ok && r.listed {
		r.listed = false
		r.unlistedSince = now
	}
}

func (t *Tracker) forget(now time.Time) {
	t.ids = slices.DeleteFunc(t.ids, func(id string) bool {
		r := t.records[id]
		old := !r.listed && now.Sub(r.unlistedSince) > t.options.ForgetAfter
		if old {
			delete(t.records, id)
			delete(t.news, id)
		}
		return old
	})
}

// record returns the record of a member, which is made when there is none.
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
	if !r.failedSince.IsZero() {
		t.spread(Rumour{ID: e.ID, Incarnation: e.Incarnation, At: now})
	}
	r.member.Incarnation = e.Incarnation
	r.heardAt = now
	r.failedSince = time.Time{}
}

func (t *Tracker) unanswered(now time.Time, e Unanswered) {
	r, ok := t.records[e.ID]
	if ok && r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// rumoured takes in second-hand evidence when it is newer than what is known,
// and passes it on.
func (t *Tracker) rumoured(now time.Time, e Rumour) {
	r, ok := t.records[e.ID]
	if !ok || e.Incarnation < r.member.Incarnation || e.At.After(now) {
		return
	}
	if e.Unanswered {
		if e.At.After(r.heardAt) && r.failedSince.IsZero() {
			r.failedSince = e.At
			t.spread(e)
		}
		return
	}
	if r.failedSince.IsZero() || !e.At.After(r.failedSince) {
		return
	}
	r.failedSince = time.Time{}
	r.heardAt = e.At
	t.spread(e)
}

const (
	// newsRepeats is how many messages carry a rumour: enough to reach all of
	// some hundreds of members that each tell two others.
	newsRepeats = 16
	// maxNews bounds the rumours of one message.
	maxNews = 16
)

func (t *Tracker) spread(r Rumour) {
	t.news[r.ID] = &newsItem{rumour: r, left: newsRepeats}
}

// News returns the rumours for the next message, the freshest first. Members
// that have become suspect here become a rumour by themselves.
func (t *Tracker) News(now time.Time) []Rumour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spreadSuspicions(now)
	var items []*newsItem
	for _, item := range t.news {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.rumour.ID, b.rumour.ID))
	})
	var news []Rumour
	for _, item := range items[:min(len(items), maxNews)] {
		news = append(news, item.rumour)
		if item.left--; item.left <= 0 {
			delete(t.news, item.rumour.ID)
		}
	}
	return news
}

func (t *Tracker) spreadSuspicions(now time.Time) {
	for _, id := range t.ids {
		r := t.records[id]
		if r.member.Kind != KindInstance || r.failedSince.IsZero() {
			continue
		}
		age := now.Sub(r.failedSince)
		if age < t.options.SuspectAfter || age > t.options.DeadAfter {
			continue
		}
		if item, ok := t.news[id]; ok && item.rumour.Unanswered {
			continue
		}
		t.spread(Rumour{ID: id, Incarnation: r.member.Incarnation, Unanswered: true, At: r.failedSince})
	}
}

func (t *Tracker) marked(now time.Time, id string, incarnation uint64) {
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
	for _, id := range t.ids {
		if r := t.records[id]; r.leavingIncarnation > 0 && t.status(now, r) == Leaving {
			marks = append(marks, Marked{ID: id, Incarnation: r.leavingIncarnation})
		}
	}
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
	v := View{at: now, entries: make([]Believed, 0, len(t.ids))}
	for _, id := range t.ids {
		r := t.records[id]
		s := t.status(now, r)
		if s == Dead {
			continue
		}
		v.entries = append(v.entries, Believed{Member: r.member, Status: s, reason: reason{
			unanswered: since(now, r.failedSince),
			unheard:    since(now, r.heardAt),
			listed:     r.listed,
		}})
	}
	return v
}

// since returns the time since t, or zero when t is not set.
func since(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}
