package loomlimit

import (
	"slices"
	"time"
)

const (
	// ShareTTL is how long the share of an instance that is not heard of stays unused. It may
	// be disconnected from this instance and still send.
	ShareTTL = 30 * time.Second
	// shareFence is how long an instance uses its share after most others were last in contact
	// with it. It is shorter than ShareTTL by more than steadyGap and a ColdWindow, so that
	// its last requests have arrived before others use the share.
	shareFence = ShareTTL - 3*time.Second
	// steadyGap is the longest gap in a steady contact. The share of a silent instance is used
	// by others only while these have been in steady contact with most for ShareTTL: then
	// none of them can have been in contact with the silent one within shareFence.
	steadyGap = 1500 * time.Millisecond
	// shareSettle is the time from the first contact with a peer, or the first after a gap of
	// shareFence, until it counts. Peers may have used the share until then, and for as
	// long as steadyGap; the last of those requests have arrived by now.
	shareSettle = 3 * time.Second
	// quorumTTL is how long an instance that is not heard of counts for what most instances
	// are. It is long, so that the sides of a partition that changes can't both be most.
	quorumTTL = 10 * time.Minute
	// maxUpdateGap is the time between two updates above which the instance must have been
	// suspended. Calls that it handles within callTimeout afterwards may be old.
	maxUpdateGap = time.Second
	callTimeout  = time.Second
)

// ShareHolders decides which instances have shares of what all may send together, and
// whether this instance may use its own. An instance counts every other one that it has heard
// of within ShareTTL. It uses its share only while most of the instances have answered it so
// recently that they count it. So the shares of the sides of a partition never add up to more
// than the whole, whatever instances are frozen, restarted or cut off. Links that fail only
// between some instances, which others reach, for longer than ShareTTL are not covered: each
// such pair may use 1/(n(n-1)) more, where n is the number of instances.
//
// A ShareHolders is not safe for concurrent use. Create it with NewShareHolders.
type ShareHolders struct {
	self      string
	startedAt time.Time
	// isCandidate is set while this instance is one of those that send.
	isCandidate bool
	// updatedAt is when Update was last called, and resumedAt when the latest gap between
	// two updates ended.
	updatedAt, resumedAt time.Time
	peers                map[string]shareHolder
}

// shareHolder is what is known of another instance.
type shareHolder struct {
	// candidateAt is when the instance was last one of those that send, calledAt when it
	// last called this one, and answeredAt when the latest call to it was sent that it
	// has answered.
	candidateAt, calledAt, answeredAt time.Time
	// steadySince is since when there is contact both ways without a gap of steadyGap, and
	// knownSince the same for a gap of shareFence.
	steadySince, knownSince time.Time
}

// NewShareHolders returns the state of an instance that has just started.
func NewShareHolders(now time.Time, self string) *ShareHolders {
	return &ShareHolders{self: self, startedAt: now, peers: make(map[string]shareHolder)}
}

// Update sets the instances that send, as far as this one knows, which may be among them.
func (h *ShareHolders) Update(now time.Time, candidates []string) {
	if h.isStalled(now) {
		h.resumedAt = now
	}
	h.updatedAt = now
	h.isCandidate = slices.Contains(candidates, h.self)
	for _, id := range candidates {
		if id != h.self {
			p := h.peers[id]
			p.candidateAt = now
			h.peers[id] = p
		}
	}
	confirmed, steady, all := h.count(now)
	for id, p := range h.peers {
		// An instance without contact may have gone before this one started.
		isForgettable := 2*steady > all || (p.contactAt().IsZero() && confirmed > 1)
		if now.Sub(p.candidateAt) > quorumTTL && isForgettable {
			delete(h.peers, id)
		}
	}
}

// isStalled reports whether Update has not been called for longer than maxUpdateGap.
func (h *ShareHolders) isStalled(now time.Time) bool {
	return !h.updatedAt.IsZero() && now.Sub(h.updatedAt) > maxUpdateGap
}

// Called records that a peer calls this instance, which shows that this one sends, as far as
// the peer knows.
func (h *ShareHolders) Called(now time.Time, peer string) {
	if h.isStalled(now) || now.Sub(h.resumedAt) < callTimeout {
		return
	}
	p := h.peers[peer]
	p.calledAt = now
	h.peers[peer] = p.withContact(now, h.peers[peer])
}

// Answered records that a peer has answered a call that was sent at sentAt.
func (h *ShareHolders) Answered(now, sentAt time.Time, peer string) {
	p := h.peers[peer]
	if sentAt.After(p.answeredAt) {
		p.answeredAt = sentAt
	}
	h.peers[peer] = p.withContact(now, h.peers[peer])
}

// withContact returns a copy with the state of the contact after a change from before.
func (p shareHolder) withContact(now time.Time, before shareHolder) shareHolder {
	if p.contactAt().IsZero() || now.Sub(p.contactAt()) > shareFence {
		return p
	}
	gap := now.Sub(before.contactAt())
	if gap > steadyGap {
		p.steadySince = now
	}
	if gap > shareFence {
		p.knownSince = now
	}
	return p
}

// contactAt returns when there was last contact both ways, or zero.
func (p shareHolder) contactAt() time.Time {
	if p.calledAt.Before(p.answeredAt) {
		return p.calledAt
	}
	return p.answeredAt
}

// confirms reports whether the instance surely counts this one.
func (p shareHolder) confirms(now time.Time) bool {
	return !p.contactAt().IsZero() && now.Sub(p.contactAt()) < shareFence && now.Sub(p.knownSince) >= shareSettle
}

// isSteady reports whether the instance has been in steady contact for ShareTTL.
func (p shareHolder) isSteady(now time.Time) bool {
	return !p.contactAt().IsZero() && now.Sub(p.contactAt()) <= steadyGap && now.Sub(p.steadySince) >= ShareTTL
}

// count returns the instances that confirm this one and those in steady contact with it, itself
// included, and all that count for what most instances are.
func (h *ShareHolders) count(now time.Time) (confirmed, steady, all int) {
	confirmed, steady, all = 1, 1, 1
	for _, p := range h.peers {
		if p.candidateAt.IsZero() {
			continue
		}
		all++
		if p.confirms(now) {
			confirmed++
		}
		if p.isSteady(now) {
			steady++
		}
	}
	return confirmed, steady, all
}

// Holders returns the IDs of the instances that have shares, this one included, and whether
// this one may use its own. An instance that is in contact with exactly half may, as the other
// half doesn't take its share.
func (h *ShareHolders) Holders(now time.Time) (ids []string, isUsable bool) {
	confirmed, steady, all := h.count(now)
	ids = append(ids, h.self)
	for id, p := range h.peers {
		// An instance that has sent and still calls may count itself among those that send.
		isHeard := now.Sub(p.candidateAt) <= ShareTTL || now.Sub(p.calledAt) <= ShareTTL
		if !p.candidateAt.IsZero() && (isHeard || 2*steady <= all) {
			ids = append(ids, id)
		}
	}
	return ids, h.isCandidate && 2*confirmed >= all && now.Sub(h.startedAt) >= shareSettle
}
