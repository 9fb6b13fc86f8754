package loomgate

import (
	"slices"
	"time"

	"swiftloom/loompb"
	"swiftloom/loomquarantine"
)

// applyEvidence applies the evidence in the reply of a peer to r.
func (p *peers) applyEvidence(now time.Time, peer *peer, r *loompb.ExchangeRequest, reply *loompb.ExchangeReply) {
	e := reply.GetEvidence()
	p.mu.Lock()
	isSame := e.GetIncarnation() == peer.evidenceIncarnation
	peer.evidenceSent = r.GetEvidence().GetNext()
	if !isSame {
		// The peer has started again and has lost what it was told.
		peer.evidenceSent = 0
	}
	peer.evidenceSeen, peer.evidenceIncarnation = e.GetNext(), e.GetIncarnation()
	p.mu.Unlock()
	p.gate.quarantine.apply(now, e)
}

// evidence returns the changes from a number on.
func (q *quarantine) evidence(now time.Time, from uint64) *loompb.Evidence {
	changes, next := q.ledger.Changes(from, maxEvidenceChanges)
	e := &loompb.Evidence{Next: next, Incarnation: q.gate.incarnation}
	for _, c := range changes {
		e.Changes = append(e.Changes, loomquarantine.Encode(now, c))
	}
	return e
}

// evidenceSince returns what a peer asks for: the changes from a number on, or all if it
// means an earlier incarnation of this instance.
func (q *quarantine) evidenceSince(now time.Time, from, incarnation uint64) *loompb.Evidence {
	if incarnation != q.gate.incarnation {
		from = 0
	}
	return q.evidence(now, from)
}

// apply merges the evidence of a peer.
func (q *quarantine) apply(now time.Time, e *loompb.Evidence) {
	changes := make([]loomquarantine.Change, 0, len(e.GetChanges()))
	for _, c := range e.GetChanges() {
		if decoded, ok := loomquarantine.Decode(now, c); ok {
			changes = append(changes, decoded)
		}
	}
	if len(changes) == 0 {
		return
	}
	if q.ledger.Apply(now, changes) && q.gate.coordinators.elected() != nil {
		q.announceNews()
	}
	if slices.ContainsFunc(changes, isQuarantine) {
		q.announceDecision()
	}
	q.judge(now)
}

func isQuarantine(c loomquarantine.Change) bool {
	_, ok := c.(loomquarantine.Quarantine)
	return ok
}
