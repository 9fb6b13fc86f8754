package loomgate

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomlimit"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
	"swiftloom/loomupstream"
)

const (
	// coldGrantTTL is how long after its choice a cold upstream may be sent a request. It
	// covers a call to a coordinator.
	coldGrantTTL = 150 * time.Millisecond
	// maxColdUpdateGap is the time between two rounds of calls to peers above which this
	// instance must have been suspended. Until it has read the upstream list again, but for
	// maxBlindTime at most, any upstream may be cold.
	maxColdUpdateGap = time.Second
	maxBlindTime     = 3 * time.Second
)

// coldUpstreams bounds what upstreams get that are cold after a start, in the groups that state
// such a bound. The instances that choose upstreams have equal shares of it.
type coldUpstreams struct {
	gate *Gate

	mu       sync.RWMutex
	coldness *loommember.Coldness
	holders  *loomlimit.ShareHolders

	// boundUntil is when the last upstream ceases to be bound, in nanoseconds since 1970.
	boundUntil atomic.Int64
	// updatedAt is when update was last called, and resumedAt when this instance was last
	// seen to go on after it was suspended. Both are in nanoseconds since 1970 or zero.
	updatedAt, resumedAt atomic.Int64
}

func newColdUpstreams(now time.Time, g *Gate) *coldUpstreams {
	return &coldUpstreams{gate: g, coldness: loommember.NewColdness(), holders: loomlimit.NewShareHolders(now, g.settings.ID)}
}

// update sets the instances that choose upstreams, in each round of calls to peers.
func (c *coldUpstreams) update(now time.Time) {
	if last := c.updatedAt.Swap(now.UnixNano()); last > 0 && now.UnixNano()-last > int64(maxColdUpdateGap) {
		c.resumedAt.Store(now.UnixNano())
		if c.isConfigured() {
			c.gate.log.Warn("resumed", "stalled_ms", (now.UnixNano()-last)/int64(time.Millisecond))
		}
	}
	var ids []string
	if c.gate.peers.areKnown() {
		for _, m := range c.gate.choosers(now) {
			ids = append(ids, m.id)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.Update(now, ids)
}

// areKnown reports whether this instance knows its peers.
func (p *peers) areKnown() bool {
	select {
	case <-p.hasRows:
		return true
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID) > 0
}

// called records that a peer calls this instance.
func (c *coldUpstreams) called(now time.Time, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.Called(now, peer)
}

// answered records that a peer has answered a call.
func (c *coldUpstreams) answered(now, sentAt time.Time, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders.Answered(now, sentAt, peer)
}

// isBlind reports whether this instance was suspended and has not heard since which upstreams
// are cold.
func (c *coldUpstreams) isBlind(now time.Time) bool {
	updated, resumed := c.updatedAt.Load(), c.resumedAt.Load()
	if updated > 0 && now.UnixNano()-updated > int64(maxColdUpdateGap) {
		return true
	}
	return resumed > 0 && now.UnixNano()-resumed < int64(maxBlindTime) && c.gate.view.upstreamsAsOf.Load().UnixNano() <= resumed
}

// mayBeBound reports whether any upstream may be cold, or has been until just now.
func (c *coldUpstreams) mayBeBound(now time.Time) bool {
	return now.UnixNano() < c.boundUntil.Load() || c.isBlind(now)
}

// hasBound reports whether an upstream of a group is bound.
func (c *coldUpstreams) hasBound(now time.Time, group string) bool {
	if !c.mayBeBound(now) || !c.bound(group).IsBound() {
		return false
	}
	return slices.ContainsFunc(c.gate.usableUpstreams(now, group), func(u loommember.Upstream) bool { return c.isBound(now, u) })
}

// isConfigured reports whether any group states a bound.
func (c *coldUpstreams) isConfigured() bool {
	return slices.ContainsFunc(c.gate.view.routing().Groups(), func(g loomcatalogue.Group) bool { return g.ColdRequestsPerSecond > 0 })
}

// bound returns the bound on what a cold upstream of a group may get.
func (c *coldUpstreams) bound(group string) loomlimit.ColdBound {
	g, _ := c.gate.view.routing().Group(group)
	return loomlimit.ColdBound{PerSecond: g.ColdRequestsPerSecond, Over: c.gate.settings.ColdOver, Slack: c.gate.settings.ColdSlack}
}

// isBound reports whether an upstream is cold, or has been until just now.
func (c *coldUpstreams) isBound(now time.Time, u loommember.Upstream) bool {
	_, isBound := c.total(now, u)
	return isBound
}

// total returns the number of requests of all instances to an upstream in a
// loomlimit.ColdWindow, and false if it is not bound.
func (c *coldUpstreams) total(now time.Time, u loommember.Upstream) (int, bool) {
	bound := c.bound(u.Group)
	if !bound.IsBound() || !c.mayBeBound(now) {
		return 0, false
	}
	if c.isBlind(now) {
		return bound.Total(0), true
	}
	since := now.Sub(c.end(u.ID))
	if since >= loomlimit.ColdRamp {
		return 0, false
	}
	return bound.Total(since), true
}

// end returns when an upstream ceases or ceased to be cold.
func (c *coldUpstreams) end(id string) time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.coldness.End(id)
}

// delay returns how long requests to an upstream are held here since it is cold. The allowance
// counts those of this instance.
func (c *coldUpstreams) delay(now time.Time, u loommember.Upstream, a *loomlimit.ColdAllowance) limitDelay {
	total, isBound := c.total(now, u)
	if !isBound {
		return limitDelay{}
	}
	share := c.share(now, u, total)
	d := limitDelay{wait: a.Wait(now, share), interval: time.Hour}
	if share > 0 {
		d.interval = loomlimit.ColdWindow / time.Duration(share)
	}
	return d
}

// count counts a request that is about to be sent. What an upstream got just before it was
// known to be cold counts as well.
func (c *coldUpstreams) count(now time.Time, u loommember.Upstream, a *loomlimit.ColdAllowance) {
	if c.bound(u.Group).IsBound() {
		a.Add(now)
	}
}

// share returns this instance's part of a total of requests to an upstream.
func (c *coldUpstreams) share(now time.Time, u loommember.Upstream, total int) int {
	c.mu.RLock()
	ids, isUsable := c.holders.Holders(now)
	c.mu.RUnlock()
	if !isUsable {
		return 0
	}
	return loomlimit.ColdShare(total, shareRank(u.ID, c.gate.settings.ID, ids), len(ids))
}

// shareRank returns how many of the holders of shares go before one of them at an upstream. The
// order differs between upstreams, so that what can't be divided is spread.
func shareRank(upstream, self string, holders []string) int {
	own := hashString(upstream + "/" + self)
	rank := 0
	for _, id := range holders {
		if id != self && cmp.Or(cmp.Compare(hashString(upstream+"/"+id), own), cmp.Compare(id, self)) < 0 {
			rank++
		}
	}
	return rank
}

// hearRow applies what an upstream's row says, which was not written before a time.
func (c *coldUpstreams) hearRow(now time.Time, listed UpstreamListed, writtenAfter time.Time) {
	u := listed.Upstream
	r := loommember.ColdRow{
		ID: u.ID, Incarnation: u.Incarnation, Version: listed.Version,
		Left: listed.ColdLeft, HasLeft: listed.HasColdLeft, WrittenAfter: writtenAfter,
	}
	if !c.bound(u.Group).IsBound() && c.gate.view.routing().Revision() > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coldness.HearRow(now, r, c.coldFor(u)) {
		c.logChange(now, u, "row")
	}
	c.updateBound()
}

// writtenAfter returns a time before which a new row of the upstream list was not written, or
// zero if none is known. The caller holds mu.
func (v *clusterView) writtenAfter(version uint64) time.Time {
	known := v.version(TopicUpstreams).Load()
	if version <= known || loomplatform.PositionEpoch(version) != loomplatform.PositionEpoch(known) {
		return time.Time{}
	}
	return *v.upstreamsAsOf.Load()
}

// coldFor returns how long an upstream is cold after a start.
func (c *coldUpstreams) coldFor(u loommember.Upstream) time.Duration {
	g, _ := c.gate.view.routing().Group(u.Group)
	return g.ColdDuration
}

// hearFailure records that an attempt failed in a way that the upstream may have started
// again.
func (c *coldUpstreams) hearFailure(now time.Time, u loommember.Upstream, failure *loomupstream.SendError) {
	if failure == nil || (!failure.Delivered && !failure.Unreachable) || !c.bound(u.Group).IsBound() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coldness.HearFailure(now, u.ID, u.Incarnation, c.coldFor(u), failure.Delivered || failure.Refused) {
		c.logChange(now, u, "failure")
	}
	c.updateBound()
}

// hearAnswer records that an upstream answers.
func (c *coldUpstreams) hearAnswer(now time.Time, u loommember.Upstream) {
	if !c.bound(u.Group).IsBound() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coldness.HearAnswer(now, u.ID, u.Incarnation, c.coldFor(u)) {
		c.logChange(now, u, "return")
		c.updateBound()
	}
}

// mark makes an upstream cold for a time, until a row that was written since says otherwise.
func (c *coldUpstreams) mark(now time.Time, u loommember.Upstream, left time.Duration, source string) {
	if !c.bound(u.Group).IsBound() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wasCold := c.coldness.End(u.ID).After(now)
	c.coldness.Mark(now, u.ID, u.Incarnation, left)
	if !wasCold {
		c.logChange(now, u, source)
	}
	c.updateBound()
}

// markAll makes upstreams cold as after a start, until rows that were written since say
// otherwise. It is for upstreams that return to service together, which must not get the full
// load at once.
func (c *coldUpstreams) markAll(now time.Time, upstreams []loommember.Upstream, source string) {
	for _, u := range upstreams {
		c.mark(now, u, c.coldFor(u), source)
	}
}

// apply applies the reports of a peer.
func (c *coldUpstreams) apply(now time.Time, peer string, reports []*loompb.ColdUpstream) {
	for _, m := range reports {
		u, ok := c.gate.view.upstream(m.GetUpstreamId())
		if !ok || !c.bound(u.Group).IsBound() {
			continue
		}
		c.mu.Lock()
		wasCold := c.coldness.End(u.ID).After(now)
		r := loommember.ColdReport{ID: u.ID, Incarnation: m.GetIncarnation(), Left: milliseconds(m.GetLeftMs())}
		if c.coldness.HearReport(now, r, c.coldFor(u)) && !wasCold {
			c.logChange(now, u, peer)
		}
		c.updateBound()
		c.mu.Unlock()
	}
}

// reports returns the upstreams that are cold, for a peer.
func (c *coldUpstreams) reports(now time.Time) []*loompb.ColdUpstream {
	if !c.mayBeBound(now) {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	var reports []*loompb.ColdUpstream
	for _, r := range c.coldness.Reports(now) {
		reports = append(reports, &loompb.ColdUpstream{UpstreamId: r.ID, Incarnation: r.Incarnation, LeftMs: uint32(min(r.Left.Milliseconds(), math.MaxUint32))})
	}
	return reports
}

// retain forgets the upstreams that are not in keep and have not been cold for long.
func (c *coldUpstreams) retain(now time.Time, keep []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldness.Retain(now, keep)
}

// updateBound sets boundUntil. The caller holds mu.
func (c *coldUpstreams) updateBound() {
	if end := c.coldness.LatestEnd(); !end.IsZero() {
		c.boundUntil.Store(end.Add(loomlimit.ColdRamp).UnixNano())
	}
}

// logChange logs that an upstream has become cold or is no longer. The source is what showed
// it, or the peer that reported it. The caller holds mu.
func (c *coldUpstreams) logChange(now time.Time, u loommember.Upstream, source string) {
	if !c.bound(u.Group).IsBound() {
		return
	}
	left := c.coldness.End(u.ID).Sub(now)
	if left <= 0 {
		c.gate.log.Info("upstream_warm", "upstream", u.ID, "incarnation", u.Incarnation, "source", source)
		return
	}
	c.gate.metrics.colds.Inc(1)
	c.gate.log.Info("upstream_cold", "upstream", u.ID, "incarnation", u.Incarnation, "left_ms", left.Milliseconds(), "source", source)
}

// isGrantLate reports whether the selected upstream is cold and was selected so long ago that
// the request could arrive there together with others that were counted later. The request
// must then be placed anew.
func (d *dispatch) isGrantLate(now time.Time) bool {
	age := now.Sub(d.placedAt)
	if age <= coldGrantTTL || !d.gate.cold.isBound(now, d.upstream) {
		return false
	}
	d.gate.metrics.lateGrants.Inc(1)
	d.gate.log.Info("grant_late", "request_id", d.req.RequestID, "upstream", d.upstream.ID, "coordinator", d.coordinator, "age_ms", age.Milliseconds())
	return true
}

// startBy returns the latest time at which the attempt may go out, or zero if its upstream is not
// cold.
func (d *dispatch) startBy(now time.Time) time.Time {
	if !d.gate.cold.isBound(now, d.upstream) {
		return time.Time{}
	}
	return d.placedAt.Add(loomlimit.ColdTransit)
}

// coldSummary sums the cold upstreams of a group.
type coldSummary struct {
	// upstreams is the number of those that are bound, total the number of requests that all
	// instances may send to these in a loomlimit.ColdWindow, and share this instance's part.
	upstreams, total, share int
}

func (c *coldUpstreams) summary(now time.Time, group string) coldSummary {
	var sum coldSummary
	if !c.mayBeBound(now) {
		return sum
	}
	for _, u := range c.gate.usableUpstreams(now, group) {
		if total, isBound := c.total(now, u); isBound {
			sum.upstreams++
			sum.total += total
			sum.share += c.share(now, u, total)
		}
	}
	return sum
}
