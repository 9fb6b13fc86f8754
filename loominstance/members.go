package loominstance

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomhome"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomroute"
)

const (
	// maxEngines bounds the engines of one group that an instance polls and
	// sends to. At least remoteEngineSlots of them are in other failure
	// domains, if there are as many.
	maxEngines        = 24
	remoteEngineSlots = 6
	reportTimeout     = 500 * time.Millisecond
	// maxViewAge is the age at which the view is computed again. Leaving marks
	// renew it at once.
	maxViewAge = 250 * time.Millisecond
	// readIntervalPerMember lengthens the interval of reads from the platform
	// in proportion to the number of instances, so that all of them together
	// stay within its rate limit.
	readIntervalPerMember = 2 * time.Millisecond
)

// refreshMembers announces the instance to the platform, reads the changes of
// the member list and updates the view.
func (n *Instance) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.PlatformTimeout)
	defer cancel()
	_, err := n.platform.Announce(ctx, &loompb.AnnounceRequest{Member: n.announcement()})
	if err != nil {
		n.log.Debug("announcing the instance failed", "error", err)
	}
	after := n.listRevision.Load()
	reply, err := n.platform.Members(ctx, &loompb.MembersRequest{After: after})
	now := time.Now()
	switch {
	case err != nil:
		n.log.Debug("reading the member list failed", "error", err)
	case after == 0:
		n.tracker.Apply(now, loommember.Listed{Members: n.listings(reply.GetMembers())})
		n.listRevision.Store(reply.GetRevision())
	default:
		n.tracker.Apply(now, loommember.Changed{Members: n.listings(reply.GetMembers()), Gone: reply.GetGone()})
		n.listRevision.Store(reply.GetRevision())
	}
	n.updateView(now)
}

// announcement returns this instance's entry for the platform's member list.
func (n *Instance) announcement() *loompb.Member {
	liveness := loompb.Liveness_LIVENESS_LIVE
	if n.stopping.Load() {
		liveness = loompb.Liveness_LIVENESS_LEAVING
	}
	return &loompb.Member{
		Id:            n.ID(),
		Kind:          loommember.KindInstance,
		Group:         n.settings.Deployment.Name,
		FailureDomain: n.FailureDomain(),
		Region:        n.settings.Instance.Region,
		Address:       n.peerListener.Addr().String(),
		Incarnation:   n.incarnation,
		Liveness:      liveness,
	}
}

// maxOddMembers bounds the members without a usable address that are logged.
const maxOddMembers = 64

// oddMembers holds the IDs of members without a usable address.
type oddMembers struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add adds an ID and reports whether it is to be logged.
func (o *oddMembers) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ids[id] || len(o.ids) >= maxOddMembers {
		return false
	}
	if o.ids == nil {
		o.ids = make(map[string]bool)
	}
	o.ids[id] = true
	return true
}

// listings converts members and leaves out those that can't be called.
func (n *Instance) listings(members []*loompb.Member) []loommember.Listing {
	all := make([]loommember.Listing, 0, len(members))
	for _, m := range members {
		if address, err := netip.ParseAddrPort(m.GetAddress()); err != nil || address.Port() == 0 {
			if n.oddMembers.add(m.GetId()) {
				n.log.Warn("member without an IP address and a port", "id", m.GetId(), "kind", m.GetKind(), "address", m.GetAddress())
			}
			continue
		}
		all = append(all, loommember.Listing{
			Member: loommember.Member{
				ID:            m.GetId(),
				Kind:          m.GetKind(),
				Group:         m.GetGroup(),
				FailureDomain: m.GetFailureDomain(),
				Region:        m.GetRegion(),
				Address:       m.GetAddress(),
				Incarnation:   m.GetIncarnation(),
			},
			Leaving: m.GetLiveness() == loompb.Liveness_LIVENESS_LEAVING,
		})
	}
	return all
}

// updateView replaces the view. When the set of live instances has changed, it
// also replaces the home table and drops index entries that now belong to other
// homes.
func (n *Instance) updateView(now time.Time) {
	v := n.tracker.View(now)
	n.view.Store(&v)
	n.engineSubsets.Store(n.selectEngines(v))
	n.pruneConnections(v)
	members := v.LiveIDs(loommember.KindInstance, "")
	if !slices.Contains(members, n.ID()) && !n.stopping.Load() {
		members = append(members, n.ID())
		slices.Sort(members)
	}
	if slices.Equal(members, n.homes.Load().Members()) {
		return
	}
	table := n.homes.Load().WithMembers(members)
	writers := loomhome.Rank([]byte("claims"), members, claimWriterCount)
	n.claimWriters.Store(&writers)
	n.homes.Store(&table)
	n.homesChangedNanos.Store(now.UnixNano())
	n.index.Retain(func(root loomcache.Key) bool { return table.Home(root[:]) == n.ID() })
	n.stores.resetListings()
	n.log.Info("home table replaced", "instances", len(members))
}

// pruneConnections closes the connections to members that the tracker has
// forgotten. Connections to dead members stay, since a stream may still run
// over them.
func (n *Instance) pruneConnections(v loommember.View) {
	addresses := n.tracker.Addresses()
	var ids []string
	for _, member := range v.All() {
		ids = append(ids, member.ID)
	}
	n.peers.closeExcept(addresses)
	n.engines.closeExcept(addresses)
	n.fleet.Retain(ids)
}

// scaledInterval returns the interval at which this instance may read from the
// platform.
func (n *Instance) scaledInterval(interval time.Duration) time.Duration {
	members := len(n.homes.Load().Members())
	return max(interval, time.Duration(members)*readIntervalPerMember)
}

// homesChangedAt returns when the set of live instances last changed.
func (n *Instance) homesChangedAt() time.Time {
	return time.Unix(0, n.homesChangedNanos.Load())
}

// findMember returns the view's entry of a member.
func (n *Instance) findMember(id string) (loommember.MemberState, bool) {
	return n.view.Load().Find(id)
}

// engineSubsets maps each group to the engines that this instance uses.
type engineSubsets map[string][]loommember.MemberState

// groupEngines returns the engines of a group that this instance uses. The
// caller must not change the slice.
func (n *Instance) groupEngines(group string) []loommember.MemberState {
	return (*n.engineSubsets.Load())[group]
}

// selectEngines chooses the engines of each group that this instance uses.
func (n *Instance) selectEngines(v loommember.View) *engineSubsets {
	all := make(engineSubsets)
	for _, member := range v.All() {
		if member.Kind == loommember.KindEngine {
			all[member.Group] = append(all[member.Group], member)
		}
	}
	for group, engines := range all {
		all[group] = n.subsetOf(engines)
	}
	return &all
}

// subsetOf returns all engines of a small group. Of a larger one, it returns a
// subset by rendezvous hashing on the instance's ID, so that instances use
// different subsets.
func (n *Instance) subsetOf(all []loommember.MemberState) []loommember.MemberState {
	if len(all) <= maxEngines {
		return all
	}
	byID := make(map[string]loommember.MemberState, len(all))
	var local, remote []string
	for _, member := range all {
		byID[member.ID] = member
		if member.FailureDomain == n.FailureDomain() {
			local = append(local, member.ID)
		} else {
			remote = append(remote, member.ID)
		}
	}
	key := []byte(n.ID())
	ids := loomhome.Rank(key, local, maxEngines-remoteEngineSlots)
	ids = append(ids, loomhome.Rank(key, remote, maxEngines-len(ids))...)
	subset := make([]loommember.MemberState, 0, len(ids))
	for _, id := range ids {
		subset = append(subset, byID[id])
	}
	return subset
}

// collectReports polls all engines that this instance uses for their load, and
// renews a view that is too old.
func (n *Instance) collectReports(ctx context.Context) {
	var wg sync.WaitGroup
	for _, engines := range *n.engineSubsets.Load() {
		for _, member := range engines {
			wg.Go(func() { n.collectReport(ctx, member.Member) })
		}
	}
	wg.Wait()
	if now := time.Now(); now.Sub(n.view.Load().At()) > maxViewAge {
		n.updateView(now)
	}
}

// collectReport polls one engine. The call is also evidence of whether the
// engine is alive.
func (n *Instance) collectReport(ctx context.Context, m loommember.Member) {
	client, err := n.engines.client(m.Address)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := client.Report(call)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.tracker.Apply(now, loommember.Unanswered{ID: m.ID})
		return
	}
	n.tracker.Apply(now, loommember.Alive{ID: m.ID, Incarnation: reply.GetIncarnation()})
	if reply.GetLeaving() {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.ID, Incarnation: reply.GetIncarnation()})
	}
	n.fleet.Report(now, m.ID, reportFromProto(now, reply))
	n.queues.wake()
}

func reportFromProto(now time.Time, r *loompb.ReportReply) loomroute.Report {
	return loomroute.Report{
		Model:          r.GetModel(),
		Version:        r.GetVersion(),
		Incarnation:    r.GetIncarnation(),
		Adapters:       r.GetAdapters(),
		QueuedTokens:   int(r.GetQueuedTokens()),
		Queued:         int(r.GetQueuedRequests()),
		Running:        int(r.GetRunning()),
		BatchLimit:     int(r.GetBatchLimit()),
		MeasuredAt:     now.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond),
		Event:          r.GetLastEvent(),
		CacheBlocks:    int(r.GetCacheCapacity()),
		Leaving:        r.GetLeaving(),
		LoadingVersion: r.GetLoadingVersion(),
		FencingToken:   r.GetFencingToken(),
	}
}

// markLeaving records that a member has announced its shutdown.
func (n *Instance) markLeaving(now time.Time, m loommember.Member) {
	n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.ID, Incarnation: m.Incarnation})
	n.updateView(now)
}
