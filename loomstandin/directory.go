package loomstandin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"swiftloom/loompb"
)

// announcementSpan is a period over which a member repeated equal
// announcements.
type announcementSpan struct {
	member    *loompb.Member
	firstSeen time.Time
	lastSeen  time.Time
}

// memberDirectory is the platform's list of members. Readers see it as it was
// lag earlier, as an eventually consistent list.
type memberDirectory struct {
	mu  sync.Mutex
	lag time.Duration
	// spans holds the announcement spans of each member by its ID, in order of
	// time.
	spans map[string][]announcementSpan
}

func newMemberDirectory(lag time.Duration) *memberDirectory {
	return &memberDirectory{lag: lag, spans: make(map[string][]announcementSpan)}
}

func (d *memberDirectory) announce(now time.Time, m *loompb.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	spans := d.spans[m.GetId()]
	if n := len(spans); n > 0 && sameMember(spans[n-1].member, m) {
		spans[n-1].lastSeen = now
		return
	}
	spans = append(spans, announcementSpan{member: m, firstSeen: now, lastSeen: now})
	d.spans[m.GetId()] = spans
}

// sameMember reports whether two announcements agree in the fields that may
// change while a member keeps its ID.
func sameMember(a, b *loompb.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetLiveness() == b.GetLiveness() && a.GetAddress() == b.GetAddress()
}

// list returns the changes of the list since the revision after. A revision is a
// Unix time in milliseconds; zero requests the whole list.
func (d *memberDirectory) list(now time.Time, after uint64) *loompb.MembersReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	asOf := now.Add(-d.lag)
	previous := time.UnixMilli(int64(after))
	var reply loompb.MembersReply
	for id, spans := range d.spans {
		m := memberAt(spans, asOf)
		var old *loompb.Member
		if after > 0 {
			old = memberAt(spans, previous)
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
	reply.Revision = uint64(asOf.UnixMilli())
	return &reply
}

// memberAt returns the member as announced at t. It returns nil if the member
// had not yet been announced or if its last announcement is older than memberTTL.
func memberAt(spans []announcementSpan, t time.Time) *loompb.Member {
	for _, s := range slices.Backward(spans) {
		if s.firstSeen.After(t) {
			continue
		}
		if t.Sub(s.lastSeen) > memberTTL {
			return nil
		}
		return s.member
	}
	return nil
}
