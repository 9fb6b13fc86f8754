package loomroute

import (
	"maps"
	"slices"
	"time"
)

const (
	// minFailingPeers is the number of peers that must fail to reach an upstream before it is
	// suspect here. One alone may be cut off itself. Afterwards one is enough until any
	// reaches it again.
	minFailingPeers = 2
	// peerFailureTTL is how long the report that a peer fails to reach an upstream counts.
	peerFailureTTL = 1500 * time.Millisecond
	// peerReachTTL is how long the report of a peer that has reached an upstream outweighs
	// those that have not. It covers two rounds of reports.
	peerReachTTL = 400 * time.Millisecond
)

// peerContacts holds what peers report of their contact with an upstream. A large fleet has so
// many upstreams for each instance that most learn of a silent one only by a request that
// they lose to it; so all learn from the first ones.
type peerContacts struct {
	// reachedAt is when a peer last reported that the upstream sent something.
	reachedAt time.Time
	// reports holds the latest report of each peer, of those in the last peerFailureTTL.
	reports map[string]contactReport
	// failedAt is when each peer last reported that it doesn't reach the upstream.
	failedAt map[string]time.Time
	// suspectUntil is when the upstream is tried again, and rounds how often it has become
	// suspect since a peer reached it.
	suspectUntil time.Time
	rounds       int
}

// contactReport is what a peer last reported of its contact with an upstream.
type contactReport struct {
	at        time.Time
	isReached bool
}

// record keeps the report of a peer.
func (c *peerContacts) record(now time.Time, peer string, isReached bool) {
	if c.reports == nil {
		c.reports = make(map[string]contactReport)
	}
	c.reports[peer] = contactReport{at: now, isReached: isReached}
	maps.DeleteFunc(c.reports, func(_ string, r contactReport) bool { return now.Sub(r.at) > peerFailureTTL })
}

// hasReport reports whether any of the peers that isRelayed selects has reported since a time
// that it reaches the upstream, or that it doesn't.
func (c *peerContacts) hasReport(since time.Time, isReached bool, isRelayed func(peer string) bool) bool {
	for peer, r := range c.reports {
		if r.at.After(since) && r.isReached == isReached && isRelayed(peer) {
			return true
		}
	}
	return false
}

func (c *peerContacts) reached(now time.Time) {
	*c = peerContacts{reachedAt: now, reports: c.reports}
}

func (c *peerContacts) failed(now time.Time, peer string) {
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Time)
	}
	c.failedAt[peer] = now
	for id, at := range c.failedAt {
		if now.Sub(at) > peerFailureTTL {
			delete(c.failedAt, id)
		}
	}
	needed := minFailingPeers
	if c.rounds > 0 {
		needed = 1
	}
	if len(c.failedAt) < needed || now.Sub(c.reachedAt) <= peerReachTTL || now.Before(c.suspectUntil) {
		return
	}
	c.suspectUntil = now.Add(unreachableTime(c.rounds))
	c.rounds++
	// Whether it fails again is for the next attempts to show.
	c.failedAt = nil
}

// isSuspect reports whether an upstream with a number of requests in flight is suspect. After
// its time it gets one request, whose failure makes it suspect again.
func (c *peerContacts) isSuspect(now time.Time, inFlight int) bool {
	return now.Before(c.suspectUntil) || (c.rounds > 0 && inFlight > 0)
}

// Contacts returns the upstreams that have sent anything to this instance since a time, and
// those that it fails to reach: it could not connect, or a request has been without an answer
// for silenceTimeout and nothing else has come. They include what the peers that isRelayed
// selects have reported since that time. Both are sorted.
func (f *Fleet) Contacts(now, since time.Time, isRelayed func(peer string) bool) (reached, failing []string) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.upstreams {
			switch {
			case l.receivedAt.After(since) || l.contacts.hasReport(since, true, isRelayed):
				reached = append(reached, id)
			case now.Before(l.unreachableUntil) || l.hasUnanswered(now) || l.contacts.hasReport(since, false, isRelayed):
				failing = append(failing, id)
			}
		}
		s.mu.Unlock()
	}
	slices.Sort(reached)
	slices.Sort(failing)
	return reached, failing
}

// hasUnanswered reports whether a request has been in flight for silenceTimeout and the
// upstream has sent nothing since.
func (l *upstreamLoad) hasUnanswered(now time.Time) bool {
	for _, w := range l.inFlight {
		if now.Sub(w.at) > silenceTimeout && l.receivedAt.Before(w.at) {
			return true
		}
	}
	return false
}

// ApplyPeerContacts applies what a peer reports of its contact with upstreams.
func (f *Fleet) ApplyPeerContacts(now time.Time, peer string, reached, failing []string) {
	for _, id := range reached {
		f.update(id, func(l *upstreamLoad) {
			l.contacts.record(now, peer, true)
			l.contacts.reached(now)
		})
	}
	for _, id := range failing {
		f.update(id, func(l *upstreamLoad) {
			l.contacts.record(now, peer, false)
			l.contacts.failed(now, peer)
		})
	}
}

// update calls change with the load of a known upstream, under its lock.
func (f *Fleet) update(id string, change func(*upstreamLoad)) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.upstreams[id]; ok {
		change(l)
	}
}
