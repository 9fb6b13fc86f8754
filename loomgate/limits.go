package loomgate

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftloom/loomlimit"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

const (
	// withdrawnTTL is how long the withdrawal of a limit is passed on to peers.
	withdrawnTTL = 10 * time.Second
	// unlistedLimitTTL is how long the limit of an upstream is kept that is not
	// listed. Its entry may return after an outage of the platform.
	unlistedLimitTTL = time.Minute
)

// upstreamLimits keeps the limits that upstreams name on the requests from all
// instances together. Instances tell each other which limits they have heard of and
// how much they send. Each entry has a lock of its own.
type upstreamLimits struct {
	gate  *Gate
	parts limitParts

	// hasHeard is set once any upstream has named a limit. Until then none holds.
	hasHeard atomic.Bool

	mu sync.RWMutex
	// byID is keyed by upstream ID.
	byID map[string]*upstreamLimit
}

// upstreamLimit is the limit of one upstream.
type upstreamLimit struct {
	upstream string

	mu            sync.Mutex
	incarnation   uint64
	failureDomain string
	rate          loomlimit.SharedRate
	// cold counts what this instance sends, for the time after the upstream's start.
	cold loomlimit.ColdAllowance
	// holders are the instances with parts of the limit, as of sharedAt.
	holders  []string
	sharedAt time.Time
	// listedAt is when the upstream was last known to be listed.
	listedAt time.Time
}

func newUpstreamLimits(g *Gate) *upstreamLimits {
	return &upstreamLimits{gate: g, parts: limitParts{gate: g}, byID: make(map[string]*upstreamLimit)}
}

// entry returns the entry of an upstream and creates it on first use.
func (l *upstreamLimits) entry(u loommember.Upstream) *upstreamLimit {
	l.mu.RLock()
	e, ok := l.byID[u.ID]
	l.mu.RUnlock()
	if ok {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok = l.byID[u.ID]; !ok {
		e = &upstreamLimit{upstream: u.ID, incarnation: u.Incarnation, failureDomain: u.FailureDomain}
		l.byID[u.ID] = e
	}
	return e
}

// setIncarnation clears the state of an earlier incarnation. It returns false if
// incarnation is older than the known one. The caller holds mu.
func (e *upstreamLimit) setIncarnation(incarnation uint64) bool {
	if incarnation > e.incarnation {
		e.incarnation = incarnation
		e.rate = loomlimit.SharedRate{}
		e.sharedAt = time.Time{}
	}
	return incarnation == e.incarnation
}

// hear applies what an answer of an upstream says about its limit. A refusal can name
// a limit but not withdraw one.
func (l *upstreamLimits) hear(now time.Time, u loommember.Upstream, reply *loomupstream.Reply) {
	limit := reply.Said.Limit
	if limit.IsUnreadable || (reply.NotRun && !limit.IsNamed) {
		return
	}
	e := l.entry(u)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.setIncarnation(u.Incarnation) || (!limit.IsNamed && e.rate.Statement().HeardAt.IsZero()) {
		return
	}
	s := loomlimit.LimitStatement{IsLimited: limit.IsNamed, Rate: limit.PerSecond, HeardAt: now}
	before := e.rate.Statement()
	l.hasHeard.Store(true)
	if e.rate.Hear(now, s) {
		l.logChange(now, e, before, "")
	}
}

// apply applies the limits that a peer has reported. It ignores upstreams that are
// not listed here.
func (l *upstreamLimits) apply(now time.Time, peer string, limits []*loompb.UpstreamLimit) {
	for _, m := range limits {
		u, ok := l.gate.view.upstream(m.GetUpstreamId())
		if !ok || m.GetRequestsPerSecond() < 0 || math.IsNaN(m.GetRequestsPerSecond()) {
			continue
		}
		e := l.entry(u)
		e.mu.Lock()
		if e.setIncarnation(m.GetIncarnation()) {
			before := e.rate.Statement()
			l.hasHeard.Store(true)
			s := loomlimit.LimitStatement{
				IsLimited: m.GetIsLimited(),
				Rate:      m.GetRequestsPerSecond(),
				HeardAt:   now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
			}
			if e.rate.HearFromPeer(now, s) {
				l.logChange(now, e, before, peer)
			}
			e.rate.SetPeerSent(now, peer, int(m.GetSent()))
		}
		e.mu.Unlock()
	}
}

// logChange logs a changed limit, and the peer that reported it or "" if an answer
// did. The caller holds the entry's lock.
func (l *upstreamLimits) logChange(now time.Time, e *upstreamLimit, before loomlimit.LimitStatement, peer string) {
	s := e.rate.Statement()
	fields := []any{
		"upstream", e.upstream, "incarnation", e.incarnation, "per_second", s.Rate, "before", before.Rate,
		"peer", peer, "age_ms", now.Sub(s.HeardAt).Milliseconds(), "sent", e.rate.Sent(now),
	}
	if s.IsLimited {
		l.gate.log.Info("upstream_limit_named", fields...)
		return
	}
	l.gate.log.Info("upstream_limit_withdrawn", fields...)
}

// refreshShare determines the parts of the limit if they are out of date. The caller
// holds the entry's lock.
func (l *upstreamLimits) refreshShare(now time.Time, e *upstreamLimit) {
	if !e.rate.IsLimited() || now.Sub(e.sharedAt) < partMembersInterval {
		return
	}
	e.sharedAt = now
	e.holders = l.parts.holders(now, e.upstream, e.failureDomain, e.rate.Statement().Rate)
	e.rate.SetShare(now, l.parts.share(e.holders))
}

// take counts a request that is about to be sent to an upstream. It returns false if
// the upstream's limit does not allow one now.
func (l *upstreamLimits) take(now time.Time, u loommember.Upstream) bool {
	e := l.entry(u)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setIncarnation(u.Incarnation)
	if l.gate.cold.delay(now, u, &e.cold).wait > 0 {
		return false
	}
	l.refreshShare(now, e)
	if !e.rate.Take(now) {
		return false
	}
	l.gate.cold.count(now, u, &e.cold)
	return true
}

// limitDelay is how long requests are expected to be held for a limit.
type limitDelay struct {
	// wait is the time until one may be sent, or zero if none is held, and interval
	// the mean time between two.
	wait     time.Duration
	interval time.Duration
}

// delay returns how long requests to an upstream are held here.
func (l *upstreamLimits) delay(now time.Time, u loommember.Upstream) limitDelay {
	isCold := l.gate.cold.mayBeBound(now)
	if !l.hasHeard.Load() && !isCold {
		return limitDelay{}
	}
	e := l.entry(u)
	e.mu.Lock()
	defer e.mu.Unlock()
	var cold limitDelay
	if isCold {
		cold = l.gate.cold.delay(now, u, &e.cold)
	}
	if !e.rate.IsLimited() {
		return cold
	}
	l.refreshShare(now, e)
	d := limitDelay{wait: e.rate.Wait(now), interval: time.Hour}
	if rate := e.rate.Rate(now); rate > 0 {
		d.interval = time.Duration(float64(time.Second) / rate)
	}
	return d.atLeast(cold)
}

// atLeast returns the delay of requests that are held for two reasons.
func (d limitDelay) atLeast(other limitDelay) limitDelay {
	return limitDelay{wait: max(d.wait, other.wait), interval: max(d.interval, other.interval)}
}

// join returns the delay of requests that may go to either of two upstreams. The zero
// value stands for no upstream.
func (d limitDelay) join(other limitDelay) limitDelay {
	if d.interval == 0 || other.interval == 0 {
		return d.atLeast(other)
	}
	perSecond := 1/d.interval.Seconds() + 1/other.interval.Seconds()
	return limitDelay{wait: min(d.wait, other.wait), interval: time.Duration(float64(time.Second) / perSecond)}
}

// want counts a request that would be sent to an upstream if it named no limit.
func (l *upstreamLimits) want(now time.Time, u loommember.Upstream) {
	e := l.entry(u)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate.Want(now)
}

// leaseRequests returns the requests for leases on the parts of a peer.
func (l *upstreamLimits) leaseRequests(now time.Time, peer string) []*loompb.LimitLeaseRequest {
	var requests []*loompb.LimitLeaseRequest
	for _, e := range l.entries() {
		e.mu.Lock()
		l.refreshShare(now, e)
		if e.rate.IsLimited() && slices.Contains(e.holders, peer) {
			if r, ok := e.rate.RequestLease(now, peer, len(e.holders)-1); ok {
				requests = append(requests, &loompb.LimitLeaseRequest{UpstreamId: e.upstream, Demand: r.Demand, Held: r.Held, Lease: r.Lease})
			}
		}
		e.mu.Unlock()
	}
	return requests
}

// lend grants a peer the leases that it has asked for, as far as this instance does
// not need its parts.
func (l *upstreamLimits) lend(now time.Time, peer string, requests []*loompb.LimitLeaseRequest) []*loompb.LimitLease {
	var leases []*loompb.LimitLease
	for _, r := range requests {
		u, ok := l.gate.view.upstream(r.GetUpstreamId())
		if !ok {
			continue
		}
		e := l.entry(u)
		e.mu.Lock()
		if e.rate.IsLimited() {
			l.refreshShare(now, e)
			g := e.rate.Lend(now, loomlimit.LeaseRequest{Holder: peer, Demand: r.GetDemand(), Held: r.GetHeld(), Lease: r.GetLease()})
			leases = append(leases, &loompb.LimitLease{UpstreamId: u.ID, RequestsPerSecond: g.Rate, Lease: g.Lease, DurationMs: uint32(g.For.Milliseconds())})
		}
		e.mu.Unlock()
	}
	return leases
}

// accept stores the leases that a peer has granted for a request sent at requestedAt.
func (l *upstreamLimits) accept(requestedAt time.Time, peer string, leases []*loompb.LimitLease) {
	for _, m := range leases {
		u, ok := l.gate.view.upstream(m.GetUpstreamId())
		if !ok {
			continue
		}
		e := l.entry(u)
		e.mu.Lock()
		e.rate.AcceptLease(requestedAt, peer, loomlimit.Grant{Rate: m.GetRequestsPerSecond(), Lease: m.GetLease(), For: time.Duration(m.GetDurationMs()) * time.Millisecond})
		e.mu.Unlock()
	}
}

// reports returns what this instance tells its peers.
func (l *upstreamLimits) reports(now time.Time) []*loompb.UpstreamLimit {
	var reports []*loompb.UpstreamLimit
	for _, e := range l.entries() {
		e.mu.Lock()
		s := e.rate.Statement()
		if s.IsLimited || (!s.HeardAt.IsZero() && now.Sub(s.HeardAt) < withdrawnTTL) {
			reports = append(reports, &loompb.UpstreamLimit{
				UpstreamId:        e.upstream,
				Incarnation:       e.incarnation,
				IsLimited:         s.IsLimited,
				RequestsPerSecond: s.Rate,
				AgeMs:             uint32(min(max(now.Sub(s.HeardAt).Milliseconds(), 0), math.MaxUint32)),
				Sent:              uint32(e.rate.Sent(now)),
			})
		}
		e.mu.Unlock()
	}
	return reports
}

// limitSummary sums the limits of the upstreams of a group.
type limitSummary struct {
	// upstreams is the number of upstreams that name a limit, perSecond the sum of
	// the limits, part that of this instance's parts of them, and sent the rate at
	// which this instance sends to these upstreams.
	upstreams             int
	perSecond, part, sent float64
}

func (l *upstreamLimits) summary(now time.Time, group string) limitSummary {
	var sum limitSummary
	for _, u := range l.gate.usableUpstreams(now, group) {
		e := l.entry(u)
		e.mu.Lock()
		if s := e.rate.Statement(); s.IsLimited {
			l.refreshShare(now, e)
			sum.upstreams++
			sum.perSecond += s.Rate
			sum.part += e.rate.Rate(now)
			sum.sent += float64(e.rate.Sent(now)) / loomlimit.LimitWindow.Seconds()
		}
		e.mu.Unlock()
	}
	return sum
}

func (l *upstreamLimits) entries() []*upstreamLimit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	entries := make([]*upstreamLimit, 0, len(l.byID))
	for _, e := range l.byID {
		entries = append(entries, e)
	}
	return entries
}

// retain removes the entries of upstreams that have not been in listed for
// unlistedLimitTTL.
func (l *upstreamLimits) retain(now time.Time, listed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.byID {
		e.mu.Lock()
		if e.listedAt.IsZero() || slices.Contains(listed, id) {
			e.listedAt = now
		}
		if now.Sub(e.listedAt) > unlistedLimitTTL {
			delete(l.byID, id)
		}
		e.mu.Unlock()
	}
}
