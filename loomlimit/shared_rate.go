package loomlimit

import (
	"time"
)

const (
	// minSharedRate is the least rate of all instances together, in requests per
	// second, whatever the upstream says: only an answer shows that a limit has
	// changed.
	minSharedRate = 0.1
	// statementSkew is the longest time that a peer's word is under way. A word that
	// allows more than the known one counts as that much older.
	statementSkew = 600 * time.Millisecond
	// partLease is the duration of a lease on a part of the limit.
	partLease = time.Second
)

// LimitStatement is what an upstream says about the requests that it takes from all
// instances together. It is immutable. The zero value says nothing.
type LimitStatement struct {
	// IsLimited is false if the upstream names no limit.
	IsLimited bool
	// Rate is the limit in requests per second.
	Rate float64
	// HeardAt is when the answer arrived that says so.
	HeardAt time.Time
}

// allowsMoreThan reports whether s allows more requests than other.
func (s LimitStatement) allowsMoreThan(other LimitStatement) bool {
	return other.IsLimited && (!s.IsLimited || s.Rate > other.Rate)
}

// SharedRate is one instance's view of an upstream's limit, and its part of it. The parts
// of all instances add up to the limit. An instance leases what it does not need of its
// part to others. A request is sent only if the instance's own rate and, as far as peers
// have reported, the limit of all instances allow it. A SharedRate is not safe for
// concurrent use. The zero value has no limit.
type SharedRate struct {
	statement LimitStatement
	// share is the instance's part of the limit, between zero and one.
	share float64
	// wanted counts the requests that this instance would send without a limit.
	wanted RequestWindow
	// lent holds the leases on this instance's part; it is nil until the first one.
	// borrowed holds this instance's leases on the parts of others, by their ID.
	lent     *Ledger
	borrowed map[string]*Allowance
	// bucket paces the requests. It starts empty when a limit is named.
	bucket Bucket
	sent   RequestWindow
	// peers holds what other instances have reported to have sent, by their ID.
	peers map[string]peerCount
}

// peerCount is the number of requests of a peer in the LimitWindow before at.
type peerCount struct {
	sent int
	at   time.Time
}

// Statement returns the newest statement.
func (r *SharedRate) Statement() LimitStatement {
	return r.statement
}

// IsLimited reports whether a limit is in force.
func (r *SharedRate) IsLimited() bool {
	return r.statement.IsLimited
}

// Hear applies a statement from an answer to this instance, and reports whether the
// limit has changed.
func (r *SharedRate) Hear(now time.Time, s LimitStatement) bool {
	if s.HeardAt.Before(r.statement.HeardAt) {
		return false
	}
	changed := s.IsLimited != r.statement.IsLimited || s.Rate != r.statement.Rate
	r.statement = s
	if changed {
		r.updateBucket(now)
	}
	return changed
}

// HearFromPeer applies a statement that another instance has heard. Since the peer
// states only the age, one that allows more counts as statementSkew older.
func (r *SharedRate) HearFromPeer(now time.Time, s LimitStatement) bool {
	if s.allowsMoreThan(r.statement) {
		s.HeardAt = s.HeardAt.Add(-statementSkew)
	}
	if !s.HeardAt.After(r.statement.HeardAt) {
		return false
	}
	return r.Hear(now, s)
}

// SetShare sets the instance's part of the limit, between zero and one.
func (r *SharedRate) SetShare(now time.Time, share float64) {
	r.share = share
	r.updateBucket(now)
}

// Want counts a request that would be sent to the upstream if it named no limit.
func (r *SharedRate) Want(now time.Time) {
	r.wanted.Add(now)
}

// need returns the rate that this instance could use, in requests per second.
func (r *SharedRate) need(now time.Time) float64 {
	return float64(r.wanted.Total(now)) / LimitWindow.Seconds() * demandHeadroom
}

// part returns this instance's part of the limit in requests per second.
func (r *SharedRate) part() float64 {
	return r.limit() * r.share
}

// limit returns the rate of all instances together.
func (r *SharedRate) limit() float64 {
	return max(r.statement.Rate, minSharedRate)
}

// Rate returns the rate at which this instance may send, in requests per second: its
// part, without what it has lent, and what it has borrowed.
func (r *SharedRate) Rate(now time.Time) float64 {
	rate := r.part()
	if r.lent != nil {
		rate = max(rate-r.lent.Leased(now), 0)
	}
	for lender, a := range r.borrowed {
		leased := a.Rate(now)
		if leased == 0 {
			delete(r.borrowed, lender)
		}
		rate += leased
	}
	return rate
}

// RequestLease returns the request for a lease on the part of a lender, which is one of
// a number of lenders, or false if this instance's own part meets its demand.
func (r *SharedRate) RequestLease(now time.Time, lender string, lenders int) (LeaseRequest, bool) {
	lacking := r.need(now) - r.part()
	if !r.statement.IsLimited || lacking <= 0 {
		return LeaseRequest{}, false
	}
	a, ok := r.borrowed[lender]
	if !ok {
		a = &Allowance{}
	}
	return a.Request(now, "", lacking/float64(max(lenders, 1))), true
}

// AcceptLease stores a lease on the part of a lender that was requested at requestedAt.
func (r *SharedRate) AcceptLease(requestedAt time.Time, lender string, g Grant) {
	if r.borrowed == nil {
		r.borrowed = make(map[string]*Allowance)
	}
	if _, ok := r.borrowed[lender]; !ok {
		r.borrowed[lender] = &Allowance{}
	}
	r.borrowed[lender].Accept(requestedAt, g)
}

// Lend grants another instance a lease on what this one does not need of its part.
func (r *SharedRate) Lend(now time.Time, request LeaseRequest) Grant {
	if r.lent == nil {
		r.lent = NewLedger(now, partLease, partLease)
	}
	return r.lent.Grant(now, max(r.part()-r.need(now), 0), request)
}

// updateBucket sets the pace to the current rate. An instance without a rate keeps no
// request for later.
func (r *SharedRate) updateBucket(now time.Time) {
	if !r.statement.IsLimited {
		r.bucket = Bucket{}
		return
	}
	rate, burst := r.Rate(now), 0.0
	if rate > 0 {
		burst = 1
	}
	r.bucket.SetRate(now, rate, burst)
}

// SetPeerSent stores the number of requests that a peer has sent in the
// LimitWindow before now.
func (r *SharedRate) SetPeerSent(now time.Time, peer string, sent int) {
	if r.peers == nil {
		r.peers = make(map[string]peerCount)
	}
	r.peers[peer] = peerCount{sent: sent, at: now}
}

// Sent returns the number of requests of this instance in the LimitWindow before now.
func (r *SharedRate) Sent(now time.Time) int {
	return r.sent.Total(now)
}

// sentByAll returns the requests of this instance and, as far as they have reported,
// of its peers in the LimitWindow before now.
func (r *SharedRate) sentByAll(now time.Time) int {
	total := r.sent.Total(now)
	for peer, c := range r.peers {
		if now.Sub(c.at) > LimitWindow {
			delete(r.peers, peer)
			continue
		}
		total += c.sent
	}
	return total
}

// Wait returns the time until a request may be sent, or zero if one may be sent now.
func (r *SharedRate) Wait(now time.Time) time.Duration {
	if !r.statement.IsLimited {
		return 0
	}
	r.updateBucket(now)
	wait := time.Duration(0)
	if balance := r.bucket.Balance(now); balance < 1 {
		wait = maxWait
		if rate := r.Rate(now); rate > 0 {
			wait = min(max(time.Duration((1-balance)/rate*float64(time.Second)), time.Millisecond), maxWait)
		}
	}
	if !r.isWithinWindow(now) {
		wait = max(wait, requestSlot)
	}
	return wait
}

// isWithinWindow reports whether one more request keeps the rates of the last
// LimitWindow, of this instance and of all, up to one request each.
func (r *SharedRate) isWithinWindow(now time.Time) bool {
	seconds := LimitWindow.Seconds()
	return float64(r.sent.Total(now)) < r.Rate(now)*seconds && float64(r.sentByAll(now)) < r.limit()*seconds
}

// Take counts a request that is about to be sent. It returns false, and counts
// nothing, if the limit doesn't allow one.
func (r *SharedRate) Take(now time.Time) bool {
	if r.statement.IsLimited {
		r.updateBucket(now)
		if !r.isWithinWindow(now) {
			return false
		}
		if _, ok := r.bucket.Reserve(now, 1); !ok {
			return false
		}
	}
	r.sent.Add(now)
	return true
}
