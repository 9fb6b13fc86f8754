package loomstandin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"swiftloom/loompb"
)

// sighting is one announcement of a member.
type sighting struct {
	member *loompb.Member
	first  time.Time
	last   time.Time
}

// directory lists members as they were a moment ago.
type directory struct {
	mu  sync.Mutex
	lag time.Duration
	// sightings holds, for each member, spans of equal announcements in order
	// of time.
	sightings map[string][]sighting
}

func newDirectory(lag time.Duration) *directory {
	return &directory{lag: lag, sightings: make(map[string][]sighting)}
}

func (d *directory) announce(now time.Time, m *loompb.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	spans := d.sightings[m.GetId()]
	if n := len(spans); n > 0 && sameMember(spans[n-1].member, m) {
		spans[n-1].last = now
		return
	}
	spans = append(spans, sighting{member: m, first: now, last: now})
	d.sightings[m.GetId()] = spans
}

func sameMember(a, b *loompb.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetLiveness() == b.GetLiveness() && a.GetAddress() == b.GetAddress()
}

// list returns what changed in the list after a revision, which is a time in
// milliseconds; zero asks for the whole list.
func (d *directory) list(now time.Time, after uint64) *loompb.MembersReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	then := now.Add(-d.lag)
	before := time.UnixMilli(int64(after))
	var reply loompb.MembersReply
	for id, spans := range d.sightings {
		m := seenAt(spans, then)
		var old *loompb.Member
		if after > 0 {
			old = seenAt(spans, before)
		}
		switch {
		case m == nil && old != nil:
			reply.Gone = append(reply.Gone, id)
		case m != nil && (old == nil || !sameMember(m, old)):
			reply.Members = append(reply.Members, m)
		}
	}
	slices.Sort(reply.GetGone())
	slices.SortFunc(reply.GetMembers(), func(a, b *loompb.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	reply.Revision = uint64(then.UnixMilli())
	return &reply
}

// seenAt returns the member as listed at t, or nil when it was silent for
// longer than its time to live.
func seenAt(spans []sighting, t time.Time) *loompb.Member {
	for _, s := range slices.Backward(spans) {
		if s.first.After(t) {
			continue
		}
		if t.Sub(s.last) > memberTTL {
			return nil
		}
		return s.member
	}
	return nil
}
