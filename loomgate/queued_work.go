package loomgate

import (
	"sync"
	"time"

	"swiftloom/loompb"
)

// queuedWorkTTL is how long a report of queued work remains valid.
const queuedWorkTTL = 1500 * time.Millisecond

// queuedWork holds the work that waits at other instances, as they report it. A
// request waits for the work of all instances that goes first, so the work of one
// alone does not tell how long that takes.
type queuedWork struct {
	mu     sync.Mutex
	byPeer map[string]queuedReport
}

// queuedReport is the latest report of one instance.
type queuedReport struct {
	at   time.Time
	work []*loompb.QueuedWork
}

// set replaces the report of a peer.
func (q *queuedWork) set(now time.Time, peer string, work []*loompb.QueuedWork) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byPeer == nil {
		q.byPeer = make(map[string]queuedReport)
	}
	q.byPeer[peer] = queuedReport{at: now, work: work}
}

// ahead returns the work that goes before a new request of a rank.
func (q *queuedWork) ahead(now time.Time, group string, rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ahead time.Duration
	for peer, report := range q.byPeer {
		if now.Sub(report.at) > queuedWorkTTL {
			delete(q.byPeer, peer)
			continue
		}
		for _, w := range report.work {
			if w.GetGroup() == group && int(w.GetRank()) <= rank {
				ahead += time.Duration(w.GetMicros()) * time.Microsecond
			}
		}
	}
	return ahead
}

// total returns the work that the peers for which include holds have reported,
// together with own.
func (q *queuedWork) total(now time.Time, own []*loompb.QueuedWork, include func(peer string) bool) []*loompb.QueuedWork {
	type class struct {
		group string
		rank  uint32
	}
	sums := make(map[class]uint32)
	add := func(work []*loompb.QueuedWork) {
		for _, w := range work {
			sums[class{w.GetGroup(), w.GetRank()}] += w.GetMicros()
		}
	}
	add(own)
	q.mu.Lock()
	for peer, report := range q.byPeer {
		if now.Sub(report.at) <= queuedWorkTTL && include(peer) {
			add(report.work)
		}
	}
	q.mu.Unlock()
	total := make([]*loompb.QueuedWork, 0, len(sums))
	for c, micros := range sums {
		total = append(total, &loompb.QueuedWork{Group: c.group, Rank: c.rank, Micros: micros})
	}
	return total
}
