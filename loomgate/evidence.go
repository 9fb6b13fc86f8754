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
		e.Changes = append(e.Changes, encodeEvidence(now, c))
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
		if decoded, ok := decodeEvidence(now, c); ok {
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

// encodeEvidence converts a change to its message.
func encodeEvidence(now time.Time, c loomquarantine.Change) *loompb.EvidenceChange {
	switch c := c.(type) {
	case loomquarantine.End:
		end := &loompb.UpstreamEnd{UpstreamId: c.Upstream, Incarnation: c.Incarnation, AgeMs: ageMillis(now, c.At)}
		for _, x := range c.Exposures {
			end.Exposures = append(end.Exposures, &loompb.ExposedPart{
				Model: x.Suspect.Model, Part: x.Suspect.ID, IsRequest: x.Suspect.Kind == loomquarantine.Request,
				Version: x.Version, HasBegun: x.HasBegun, SentMs: uint32(x.Sent.Milliseconds()), Parts: x.Parts,
			})
		}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_End{End: end}}
	case loomquarantine.Sound:
		sound := &loompb.SoundPart{Model: c.Suspect.Model, Part: c.Suspect.ID, IsRequest: c.Suspect.Kind == loomquarantine.Request, Version: c.Version}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_Sound{Sound: sound}}
	case loomquarantine.Quarantine:
		q := &loompb.QuarantinedParts{
			Model: c.Model(), Parts: c.Parts(), Request: c.Request(), Version: c.Version, Ends: uint32(c.Ends), Trials: uint32(c.Trials),
			IdleMs: ageMillis(now, c.UsedAt), IsCertain: c.IsCertain,
		}
		return &loompb.EvidenceChange{Change: &loompb.EvidenceChange_Quarantine{Quarantine: q}}
	default:
		return &loompb.EvidenceChange{}
	}
}

// decodeEvidence converts a message to a change. It returns false for a kind of change that
// this version doesn't know.
func decodeEvidence(now time.Time, m *loompb.EvidenceChange) (loomquarantine.Change, bool) {
	switch c := m.GetChange().(type) {
	case *loompb.EvidenceChange_End:
		end := loomquarantine.End{Upstream: c.End.GetUpstreamId(), Incarnation: c.End.GetIncarnation(), At: now.Add(-milliseconds(c.End.GetAgeMs()))}
		for _, x := range c.End.GetExposures() {
			end.Exposures = append(end.Exposures, loomquarantine.Exposure{
				Suspect: decodeSuspect(x.GetModel(), x.GetPart(), x.GetIsRequest()), Version: x.GetVersion(), HasBegun: x.GetHasBegun(),
				Sent: milliseconds(x.GetSentMs()), Parts: x.GetParts(),
			})
		}
		return end, true
	case *loompb.EvidenceChange_Sound:
		suspect := decodeSuspect(c.Sound.GetModel(), c.Sound.GetPart(), c.Sound.GetIsRequest())
		return loomquarantine.Sound{Suspect: suspect, Version: c.Sound.GetVersion()}, true
	case *loompb.EvidenceChange_Quarantine:
		q := c.Quarantine
		return loomquarantine.Quarantine{
			Version: q.GetVersion(), Ends: int(q.GetEnds()), Trials: int(q.GetTrials()),
			UsedAt: now.Add(-milliseconds(q.GetIdleMs())), IsCertain: q.GetIsCertain(),
		}.WithSuspects(newSuspects(q.GetModel(), q.GetParts(), q.GetRequest())...), true
	default:
		return nil, false
	}
}

// decodeSuspect returns a part of prompts or a request.
func decodeSuspect(model, id string, isRequest bool) loomquarantine.Suspect {
	s := loomquarantine.Suspect{Kind: loomquarantine.Part, Model: model, ID: id}
	if isRequest {
		s.Kind = loomquarantine.Request
	}
	return s
}

// newSuspects returns the suspects of a request for a model: the parts of its prompt, and
// its digest unless that is empty.
func newSuspects(model string, partIDs []string, digest string) []loomquarantine.Suspect {
	suspects := make([]loomquarantine.Suspect, 0, len(partIDs)+1)
	for _, id := range partIDs {
		suspects = append(suspects, decodeSuspect(model, id, false))
	}
	if digest != "" {
		suspects = append(suspects, decodeSuspect(model, digest, true))
	}
	return suspects
}
