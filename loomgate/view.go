package loomgate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomplatform"
	"swiftloom/loomroute"
	"swiftloom/loomturn"
)

const (
	// cataloguePollTimeout is the longest time for which the platform holds a poll of the
	// catalogue open; it answers as soon as there is a change.
	cataloguePollTimeout = 25 * time.Second
	// catalogueCheckInterval is the time between two polls of the catalogue that instances
	// of the fleet begin. An answer that tells of a change may be lost, and the connection
	// delivers nothing more: the first instance that polls again learns of the change and
	// tells the others.
	catalogueCheckInterval = 1600 * time.Millisecond
	// soloAfter is the time without an answer of any peer after which an instance relies on
	// its own polls, and soloCheckInterval the time between two looks for that.
	soloAfter         = 800 * time.Millisecond
	soloCheckInterval = 200 * time.Millisecond
	// upstreamsPollInterval is the time between two polls of the upstream list.
	// Upstreams write more often than that, so a long poll would return
	// immediately.
	upstreamsPollInterval = 800 * time.Millisecond
	// expiringPollInterval is the same while entries are missing that may be back soon.
	expiringPollInterval = 250 * time.Millisecond
	// platformRetryInterval is the mean time between two calls while the
	// platform is failing; each pause is jittered. platformFirstRetryInterval is that
	// after the first failure, which may have been a single one, and
	// maxReporterRetryInterval the longest of an instance that has a coordinator.
	platformRetryInterval      = 700 * time.Millisecond
	platformFirstRetryInterval = 200 * time.Millisecond
	maxReporterRetryInterval   = 2800 * time.Millisecond
)

// platformRetryPause returns the mean pause after a number of failed calls to the platform in
// a row. An instance that has a coordinator hears from it of what changes, so its pauses
// double: a large fleet would load a platform in trouble, and is most of that load.
func platformRetryPause(failures int, hasCoordinator bool) time.Duration {
	switch {
	case failures <= 1:
		return platformFirstRetryInterval
	case !hasCoordinator:
		return platformRetryInterval
	default:
		const maxDoublings = 8
		return min(platformRetryInterval<<min(failures-2, maxDoublings), maxReporterRetryInterval)
	}
}

// clusterView holds this instance's view of the catalogue and the upstreams.
// Readers load the current snapshots without taking a lock.
type clusterView struct {
	gate *Gate

	routingSnapshot atomic.Pointer[loomcatalogue.Routing]
	groupsSnapshot  atomic.Pointer[map[string][]loommember.Upstream]
	// evacuationSnapshot is nil until an evacuation is seen.
	evacuationSnapshot atomic.Pointer[evacuationState]
	upstreamsLoaded    atomic.Bool
	// catalogueVersion and upstreamsVersion are the versions up to which the platform's rows
	// were applied.
	catalogueVersion atomic.Uint64
	upstreamsVersion atomic.Uint64
	// catalogueChange is the version of the newest known row of the catalogue. It is at most
	// catalogueVersion.
	catalogueChange atomic.Uint64
	// upstreamsAsOf is a time at which the upstream list was current. It never
	// decreases.
	upstreamsAsOf atomic.Pointer[time.Time]
	// catalogueChanged wakes the catalogue watch when a peer has a newer
	// version.
	catalogueChanged chan struct{}

	mu        sync.Mutex
	directory *loommember.Directory
	// evacuations decides which failure domains are evacuated, and evacuationKeys holds the
	// keys of their rows.
	evacuations    loommember.Evacuations
	evacuationKeys map[string]string
	regionFaults   regionFaults
	// platform tells since when the platform answers.
	platform loommember.Contact
	// answersSince is since when the platform answers whoever has read the upstream list.
	answersSince time.Time
	// firstEpoch is the epoch of the first rows that were applied, if hasEpoch is set.
	firstEpoch uint64
	hasEpoch   bool
	// targets holds the target version that operators set for each model. It
	// only increases.
	targets map[string]uint64
	// named holds the target versions of each model, and namedRows the platform's rows
	// about them.
	named     map[string]namedVersions
	namedRows map[string]namedRow
	// lastResortsEnd is when an upstream that is published although it leaves may no longer
	// get requests; zero if there is none.
	lastResortsEnd time.Time
	// rows caches the platform's rows for peers that cannot reach the platform: the latest
	// readable ones that this instance uses.
	rows map[Topic]map[string]Row
}

func newClusterView(g *Gate) *clusterView {
	v := &clusterView{
		gate:             g,
		directory:        loommember.NewDirectory(g.settings.LeavingLimit, g.settings.RenewalInterval),
		evacuationKeys:   make(map[string]string),
		catalogueChanged: make(chan struct{}, 1),
		targets:          make(map[string]uint64),
		named:            make(map[string]namedVersions),
		namedRows:        make(map[string]namedRow),
		rows:             map[Topic]map[string]Row{TopicCatalogue: {}, TopicUpstreams: {}},
	}
	v.routingSnapshot.Store(&loomcatalogue.Routing{})
	v.groupsSnapshot.Store(&map[string][]loommember.Upstream{})
	v.upstreamsAsOf.Store(&time.Time{})
	return v
}

// routing returns the current routing, which has revision zero until the
// catalogue has been read.
func (v *clusterView) routing() loomcatalogue.Routing {
	return *v.routingSnapshot.Load()
}

// hasUpstreamList reports whether the upstream list has been received.
func (v *clusterView) hasUpstreamList() bool {
	return v.upstreamsLoaded.Load()
}

// group returns the usable upstreams of a group. The caller must not change the
// slice.
func (v *clusterView) group(_ time.Time, name string) []loommember.Upstream {
	return (*v.groupsSnapshot.Load())[name]
}

// upstream returns a usable upstream by its ID.
func (v *clusterView) upstream(id string) (loommember.Upstream, bool) {
	for _, upstreams := range *v.groupsSnapshot.Load() {
		for _, u := range upstreams {
			if u.ID == id {
				return u, true
			}
		}
	}
	return loommember.Upstream{}, false
}

// upstreamsAge returns the time since the upstream list was current.
func (v *clusterView) upstreamsAge(now time.Time) time.Duration {
	return now.Sub(*v.upstreamsAsOf.Load())
}

// targetVersion returns the version that operators set for a model, or zero.
func (v *clusterView) targetVersion(model string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targets[model]
}

// targetVersions returns the target version of each model.
func (v *clusterView) targetVersions() map[string]uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.targets)
}

func (v *clusterView) watchCatalogue(ctx context.Context) error {
	v.watch(ctx, TopicCatalogue, cataloguePollTimeout, 0)
	return nil
}

func (v *clusterView) watchUpstreams(ctx context.Context) error {
	v.watch(ctx, TopicUpstreams, 0, upstreamsPollInterval)
	return nil
}

// watch reads a full snapshot of a topic and then its changes, until ctx ends.
func (v *clusterView) watch(ctx context.Context, t Topic, maxWait, interval time.Duration) {
	full := true
	failures, overdue := 0, 0
	for ctx.Err() == nil {
		started := time.Now()
		if rest := v.followedFor(started); t == TopicUpstreams && rest > 0 {
			v.sleep(ctx, t, min(rest, interval))
			// The changes since the last own read have not been followed.
			full = true
			continue
		}
		err := v.poll(ctx, t, full, maxWait)
		if ctx.Err() != nil {
			return
		}
		pause := interval
		switch {
		case errors.Is(err, ErrPollOverdue):
			v.gate.metrics.overduePolls.Inc(1)
			if overdue++; overdue > 1 {
				// A single answer may be lost. Several mean that the platform is away.
				v.recordFailure(started)
			}
			pause = 0
		case errors.Is(err, ErrHistoryLost):
			v.gate.log.Warn("history_lost", "topic", t.String(), "version", v.version(t).Load())
			full = true
			pause = 0
			if v.gate.source.Epoch() != loomplatform.PositionEpoch(v.version(t).Load()) {
				pause = v.gate.randomDuration(epochSpread)
			}
		case err != nil:
			if failures == 0 {
				v.gate.log.Warn("dependency_lost", "dependency", "platform", "topic", t.String(), "cause", err.Error())
			}
			failures++
			pause = v.gate.jitter(platformRetryPause(failures, v.gate.coordinators.hasCoordinator()))
			v.recordFailure(started)
		default:
			if failures > 0 {
				v.gate.log.Info("dependency_regained", "dependency", "platform", "topic", t.String(), "version", v.version(t).Load(),
					"failed_ms", v.contact().SinceFailure(time.Now()).Milliseconds())
			}
			failures, overdue = 0, 0
			full = false
			if t == TopicUpstreams && v.hasExpiring(time.Now()) {
				pause = expiringPollInterval
			}
		}
		v.sleep(ctx, t, pause-time.Since(started)/2)
	}
}

// followedFor returns for how long this instance need not read the upstream list from the
// platform, since a coordinator keeps it up to date.
func (v *clusterView) followedFor(now time.Time) time.Duration {
	if !v.hasUpstreamList() || !v.gate.coordinators.hasCoordinator() {
		return 0
	}
	return v.gate.maxUpstreamsAge() - v.upstreamsAge(now)
}

// confirmUpstreams records that the upstream list was current at a time.
func (v *clusterView) confirmUpstreams(at time.Time) {
	for known := v.upstreamsAsOf.Load(); at.After(*known); known = v.upstreamsAsOf.Load() {
		if v.upstreamsAsOf.CompareAndSwap(known, &at) {
			return
		}
	}
}

// hasExpiring reports whether an upstream is used whose entry is missing.
func (v *clusterView) hasExpiring(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.HasExpiring(now)
}

// contact returns what is known of the platform's answers.
func (v *clusterView) contact() loommember.Contact {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.platform
}

// recordFailure records that a call to the platform failed that was sent at a time.
func (v *clusterView) recordFailure(sentAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.platform = v.platform.WithFailure(sentAt)
}

// recordAnswer records that the platform answered now a call that was sent at a time.
func (v *clusterView) recordAnswer(sentAt, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.platform = v.platform.WithAnswer(sentAt, now)
}

// recordPeerAnswers records that the platform has answered all calls of a peer since a
// time, the latest of which was sent at answeredAt.
func (v *clusterView) recordPeerAnswers(since, answeredAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.platform = v.platform.WithPeerAnswers(since, answeredAt)
}

// sleep waits for d. A change of the catalogue that a peer reports ends the
// wait of the catalogue watch.
func (v *clusterView) sleep(ctx context.Context, t Topic, d time.Duration) {
	if d <= 0 {
		return
	}
	var wake chan struct{}
	if t == TopicCatalogue {
		wake = v.catalogueChanged
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// version returns the version counter of the catalogue or the upstreams.
func (v *clusterView) version(t Topic) *atomic.Uint64 {
	if t == TopicCatalogue {
		return &v.catalogueVersion
	}
	return &v.upstreamsVersion
}

// catalogueSchedule tells when instances begin polls of the catalogue.
var catalogueSchedule = loomturn.Schedule{Interval: catalogueCheckInterval, MaxCycle: cataloguePollTimeout}

// catalogueWait returns how long a poll of the catalogue that begins now may wait.
func (v *clusterView) catalogueWait(now time.Time) time.Duration {
	rank, n := v.gate.peers.rank(now)
	clock := time.Duration(now.UnixNano())
	if reading, ok := v.gate.source.Clock(now); ok {
		clock = reading.platformTime(now)
	}
	return catalogueSchedule.Wait(clock, rank, n)
}

// pollCatalogue polls the changes of the catalogue, which waits for its turn to poll again, at
// most for maxWait. It ends with ErrPollOverdue when the instance hears of no peer any more that
// would tell it of a change.
func (v *clusterView) pollCatalogue(ctx context.Context, maxWait time.Duration) (Page, error) {
	wait := min(v.catalogueWait(time.Now()), maxWait)
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if wait > catalogueSchedule.Cycle(1) && !v.gate.peers.isSolo(time.Now()) {
		go func() {
			for loomkernel.Sleep(ctx, soloCheckInterval) == nil {
				if v.gate.peers.isSolo(time.Now()) {
					end(ErrPollOverdue)
				}
			}
		}()
	}
	page, err := v.gate.source.Changes(ctx, TopicCatalogue, v.catalogueVersion.Load(), wait)
	if err != nil && errors.Is(context.Cause(ctx), ErrPollOverdue) {
		err = ErrPollOverdue
	}
	return page, err
}

// poll makes one call to the platform and applies the result.
func (v *clusterView) poll(ctx context.Context, t Topic, full bool, maxWait time.Duration) error {
	sentAt := time.Now()
	var page Page
	var err error
	switch {
	case full:
		page, err = v.gate.source.Snapshot(ctx, t)
	case t == TopicCatalogue:
		page, err = v.pollCatalogue(ctx, maxWait)
	default:
		page, err = v.gate.source.Changes(ctx, t, v.version(t).Load(), maxWait)
	}
	if err != nil {
		return err
	}
	page.AsOf = sentAt
	now := time.Now()
	v.recordAnswer(sentAt, now)
	page.AnswersSince, _ = v.contact().AnswersSince()
	v.apply(now, t, page, full)
	return nil
}

// apply applies rows from the platform or a peer. If full is set, the page is a
// complete snapshot, and listed upstreams that have no row in it are removed. A page
// that does not say when its rows were current holds those of now.
func (v *clusterView) apply(now time.Time, t Topic, page Page, full bool) {
	known := v.version(t)
	if page.Version < known.Load() {
		return
	}
	if page.AsOf.IsZero() {
		page.AsOf = now
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasEpoch {
		v.firstEpoch, v.hasEpoch = loomplatform.PositionEpoch(page.Version), true
	}
	changed := v.applyRows(now, t, page, full)
	known.Store(max(known.Load(), page.Version))
	if t == TopicCatalogue {
		for _, row := range page.Rows {
			v.catalogueChange.Store(max(v.catalogueChange.Load(), row.Version))
		}
		return
	}
	v.confirmUpstreams(page.AsOf)
	v.answersSince = page.AnswersSince
	changed = v.removeExpired(now) || changed
	if changed || !v.upstreamsLoaded.Load() {
		v.publish(now)
	}
	if !v.upstreamsLoaded.Swap(true) {
		v.checkRegions(now)
	}
}

// applyRows applies the rows of a page and reports whether the set of usable upstreams
// changed. After a return from an older copy, entries that upstreams have yet to write
// again count as expired in an outage. The caller holds mu.
func (v *clusterView) applyRows(now time.Time, t Topic, page Page, full bool) bool {
	removal := loommember.Removal{After: *v.upstreamsAsOf.Load(), AnswersSince: page.AnswersSince}
	if v.noteEpoch(t, v.version(t).Load(), page.Version) {
		removal = loommember.Removal{AnswersSince: page.AsOf}
	}
	changed := false
	var routings []routingRow
	present := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = !row.Deleted
		if old, ok := v.rows[t][row.Key]; ok && row.Version < old.Version {
			continue
		}
		change, ok := v.decode(now, t, row)
		switch {
		case !ok:
			continue
		case row.Deleted:
			delete(v.rows[t], row.Key)
		case change != nil:
			v.rows[t][row.Key] = row
		}
		if c, ok := change.(RoutingChanged); ok {
			routings = append(routings, routingRow{routing: c.Routing, version: row.Version})
			continue
		}
		changed = v.applyChange(now, removal, row, change) || changed
	}
	if full && t == TopicUpstreams {
		changed = v.removeAbsent(now, removal, present, page.Version) || changed
	}
	if t == TopicCatalogue {
		v.finishCatalogue(now, page, full, changed, routings)
	}
	return changed
}

// finishCatalogue applies what a page of the catalogue lacks, publishes the upstreams if the set
// of usable ones has changed, and then applies the routings of the page: an instance is ready with
// its first routing, so all evacuations must be in force before. The caller holds mu.
func (v *clusterView) finishCatalogue(now time.Time, page Page, full, changed bool, routings []routingRow) {
	if full {
		changed = v.endMissingEvacuations(now, page) || changed
	}
	if changed {
		v.publish(now)
	}
	for _, r := range routings {
		v.applyRouting(r.routing, r.version)
	}
	if len(routings) > 0 {
		v.checkRegions(now)
	}
}

// routingRow is a revision of the routing and the version of its row.
type routingRow struct {
	routing loomcatalogue.Routing
	version uint64
}

// epochSpread is the time over which instances spread their reads after the platform's
// table has returned from an older copy.
const epochSpread = 400 * time.Millisecond

// noteEpoch reports whether the platform's table has returned from an older copy, so that
// a topic shows a later epoch than before.
func (v *clusterView) noteEpoch(t Topic, before, position uint64) bool {
	epoch, old := loomplatform.PositionEpoch(position), loomplatform.PositionEpoch(before)
	if epoch == old || before == 0 {
		return false
	}
	v.gate.log.Warn("store_epoch_rose", "topic", t.String(), "epoch", epoch, "before", old, "version", loomplatform.PositionVersion(position))
	return true
}

// epochs returns the first epoch of the platform's table that this instance has used and
// the newest one that it has heard of, from the platform or from a peer. It returns false
// before it has used any.
func (v *clusterView) epochs() (first, newest uint64, ok bool) {
	v.mu.Lock()
	first, ok = v.firstEpoch, v.hasEpoch
	v.mu.Unlock()
	return first, max(v.gate.source.Epoch(), loomplatform.PositionEpoch(v.catalogueVersion.Load()), loomplatform.PositionEpoch(v.upstreamsVersion.Load())), ok
}

// removeAbsent removes the upstreams that are missing from a full snapshot, at the times
// in r. The caller holds mu.
func (v *clusterView) removeAbsent(now time.Time, r loommember.Removal, present map[string]bool, version uint64) bool {
	changed := false
	for _, id := range v.directory.Listed() {
		if !present[id] {
			r.ID, r.Version = id, version
			changed = v.removeUpstream(now, r) || changed
			delete(v.rows[TopicUpstreams], id)
		}
	}
	return changed
}

// decode decodes a row. It returns false if the row can't be used; what an earlier version
// of it said stays in force.
func (v *clusterView) decode(now time.Time, t Topic, row Row) (Change, bool) {
	if v.gate.unreadable.isKnown(t, row) {
		return nil, false
	}
	change, err := v.gate.source.Decode(t, row)
	if err != nil {
		v.gate.unreadable.record(now, t, row, err)
		return nil, false
	}
	return change, true
}

// applyChange applies the change in a row and reports whether the set of usable upstreams
// changed. A removal is one at the times in r. The caller holds mu.
func (v *clusterView) applyChange(now time.Time, r loommember.Removal, row Row, change Change) bool {
	switch c := change.(type) {
	case EvacuationStarted:
		return v.applyEvacuationRow(now, c.FailureDomain, row)
	case EvacuationEnded:
		return v.applyEvacuationRow(now, c.FailureDomain, row)
	case TargetVersionSet:
		if c.Version > v.targets[c.Model] {
			v.targets[c.Model] = c.Version
			v.named[c.Model] = v.named[c.Model].upTo(c.Version)
			v.recordNamed(now, c.Model, namedVersion{version: c.Version, namedAt: now}, "catalogue")
			v.applyNamedTimes(now, c.Model)
			v.gate.rollout.wake()
		}
	case UpstreamListed:
		return v.applyUpstream(now, c)
	case UpstreamRemoved:
		r.ID, r.Version = c.ID, c.Version
		return v.removeUpstream(now, r)
	}
	return false
}

// removeUpstream applies the removal of an upstream's entry and reports whether the set
// of listed upstreams changed. The caller holds mu.
func (v *clusterView) removeUpstream(now time.Time, r loommember.Removal) bool {
	usableUntil, removed := v.directory.Remove(now, r)
	if !removed {
		return false
	}
	v.gate.log.Info("upstream_removed", "upstream", r.ID, "row_version", r.Version,
		"usable_ms", usableUntil.Sub(now).Milliseconds(), "failed_ms", v.platform.SinceFailure(now).Milliseconds())
	return true
}

// applyRouting replaces the routing if the new revision is higher.
func (v *clusterView) applyRouting(r loomcatalogue.Routing, version uint64) {
	old := v.routing()
	if r.Revision() <= old.Revision() {
		return
	}
	v.routingSnapshot.Store(&r)
	v.gate.metrics.revision.Update(float64(r.Revision()))
	v.gate.log.Info("catalogue_changed", "revision", r.Revision(), "before", old.Revision(), "row_version", version)
}

// applyUpstream applies an upstream's entry and reports whether the set of usable
// upstreams changed. The estimated cache contents are dropped if the upstream is
// new or has restarted. The caller holds mu.
func (v *clusterView) applyUpstream(now time.Time, c UpstreamListed) bool {
	v.gate.cold.hearRow(now, c, v.writtenAfter(c.Version))
	old, known := v.directory.Get(now, c.Upstream.ID)
	if !v.directory.Put(now, c.Upstream, c.Leaving, c.Version) {
		return false
	}
	if !known || old.Incarnation != c.Upstream.Incarnation {
		v.gate.residency.Forget(c.Upstream.ID)
	}
	v.gate.fleet.Report(now, c.Upstream.ID, loomroute.Report{BatchLimit: c.Upstream.Slots, MeasuredAt: now})
	v.gate.log.Info("upstream_listed", "upstream", c.Upstream.ID, "group", c.Upstream.Group, "address", c.Upstream.Address,
		"incarnation", c.Upstream.Incarnation, "leaving", c.Leaving, "held", v.directory.IsHeld(c.Upstream.ID), "row_version", c.Version)
	return true
}

// publish makes the current groups visible to readers and drops the load and
// the estimated cache contents of upstreams that are no longer usable. The
// caller holds mu.
func (v *clusterView) publish(now time.Time) {
	groups := make(map[string][]loommember.Upstream)
	var ids []string
	for _, u := range v.directory.Usable(now) {
		// Requests are still running at evacuated upstreams.
		ids = append(ids, u.ID)
		if !v.evacuations.IsEvacuated(u.FailureDomain) {
			groups[u.Group] = append(groups[u.Group], u)
		}
	}
	ids = append(ids, v.addLastResorts(now, groups)...)
	v.groupsSnapshot.Store(&groups)
	v.publishEvacuations(now)
	v.checkRegions(now)
	v.gate.fleet.Retain(ids)
	v.gate.limits.retain(now, ids)
	v.gate.cold.retain(now, ids)
	v.gate.residency.Retain(ids)
	for name := range groups {
		v.gate.prefill.forGroup(name).Retain(ids)
	}
}

// markLeaving marks an incarnation of an upstream as leaving, so that it gets
// no new work.
func (v *clusterView) markLeaving(now time.Time, id string, incarnation uint64, cause string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.directory.Mark(now, id, incarnation) {
		return
	}
	v.publish(now)
	v.gate.log.Info("upstream_leaving", "upstream", id, "incarnation", incarnation, "cause", cause)
}

// recordVersion records the version of a model's weights that an upstream was
// observed to run. Only models that the platform names count: any other is a word of a caller.
func (v *clusterView) recordVersion(now time.Time, id string, incarnation uint64, model string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isKnownModel(now, id, model) || !v.directory.SetVersion(id, incarnation, model, version) {
		return
	}
	v.publish(now)
	v.gate.log.Info("upstream_weights", "upstream", id, "model", model, "version", version)
}

// isKnownModel reports whether an upstream lists a model, its group states it or operators have
// set a target version for it. The caller holds mu.
func (v *clusterView) isKnownModel(now time.Time, upstream, model string) bool {
	if _, ok := v.targets[model]; ok {
		return true
	}
	u, ok := v.directory.Get(now, upstream)
	if !ok {
		return false
	}
	if slices.ContainsFunc(u.Weights, func(w loommember.Weights) bool { return w.Model == model }) {
		return true
	}
	group, _ := v.routing().Group(u.Group)
	return group.Engine != nil && slices.Contains(group.Engine.Models, model)
}

// evictExpired removes upstreams whose entries have expired.
func (v *clusterView) evictExpired(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.removeExpired(now)
	if v.expireEvacuations(now) || changed {
		v.publish(now)
	}
}

// removeExpired deletes removed upstreams that are no longer usable, makes held ones usable
// and reports whether there were any. The caller holds mu.
func (v *clusterView) removeExpired(now time.Time) bool {
	expired := v.directory.RemoveExpired(now)
	for _, id := range expired {
		v.gate.log.Info("upstream_expired", "upstream", id)
	}
	released := v.directory.ReleaseHeld(now)
	for _, id := range released {
		v.gate.log.Info("upstream_released", "upstream", id)
	}
	return len(expired)+len(released) > 0 || v.haveLastResortsEnded(now)
}

// snapshot returns the cached rows of a topic, for a peer.
func (v *clusterView) snapshot(t Topic) Page {
	v.mu.Lock()
	defer v.mu.Unlock()
	page := Page{Version: v.version(t).Load(), AsOf: *v.upstreamsAsOf.Load(), AnswersSince: v.answersSince}
	for _, row := range v.rows[t] {
		page.Rows = append(page.Rows, row)
	}
	return page
}

func hashString(text string) uint64 {
	return xxhash.Sum64String(text)
}

// randomDuration returns a random duration between zero and d.
func (g *Gate) randomDuration(d time.Duration) time.Duration {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return time.Duration(g.random.Int64N(int64(d) + 1))
}

// jitter returns a random duration between 0.8 and 1.2 times d.
func (g *Gate) jitter(d time.Duration) time.Duration {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return d*4/5 + time.Duration(g.random.Int64N(int64(d)*2/5+1))
}
