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

// SharedRate is one instance's view of an upstream's limit, and its part of it.
// The parts of all instances add up to the limit. A request is sent only if the
// instance's part and, as far as peers have reported, the limit of all
// instances allow it. A SharedRate is not safe for concurrent use. The zero value has
// no limit.
type SharedRate struct {
	statement LimitStatement
	// share is the instance's part of the limit, between zero and one.
	share float64
	// bucket paces the requests. It starts empty when a limit is named.
	bucket Bucket
	sent   SentWindow
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

// Rate returns the rate at which this instance may send, in requests per second.
func (r *SharedRate) Rate() float64 {
	return r.limit() * r.share
}

// limit returns the rate of all instances together.
func (r *SharedRate) limit() float64 {
	return max(r.statement.Rate, minSharedRate)
}

func (r *SharedRate) updateBucket(now time.Time) {
	if !r.statement.IsLimited {
		r.bucket = Bucket{}
		return
	}
	rate, burst := r.Rate(), 0.0
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
	wait := time.Duration(0)
	if balance := r.bucket.Balance(now); balance < 1 {
		wait = maxWait
		if rate := r.Rate(); rate > 0 {
			wait = min(max(time.Duration((1-balance)/rate*float64(time.Second)), time.Millisecond), maxWait)
		}
	}
	if !r.isWithinWindow(now) {
		wait = max(wait, sentSlot)
	}
	return wait
}

// isWithinWindow reports whether one more request keeps the rates of the last
// LimitWindow, of this instance and of all, up to one request each.
func (r *SharedRate) isWithinWindow(now time.Time) bool {
	seconds := LimitWindow.Seconds()
	return float64(r.sent.Total(now)) < r.Rate()*seconds && float64(r.sentByAll(now)) < r.limit()*seconds
}

// Take counts a request that is about to be sent. It returns false, and counts
// nothing, if the limit doesn't allow one.
func (r *SharedRate) Take(now time.Time) bool {
	if r.statement.IsLimited {
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
