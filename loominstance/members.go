package loominstance

import (
	"context"
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
	// maxEngines bounds the engines that an instance reports on and sends to,
	// and foreignEngines those of other failure domains among them.
	maxEngines     = 24
	foreignEngines = 6
	reportTimeout  = 500 * time.Millisecond
	// viewInterval is how old a view may be; marks renew it at once.
	viewInterval = 250 * time.Millisecond
	// readPerMember lengthens the interval of reads from the platform as the
	// fleet grows, so that all instances together stay within its rate.
	readPerMember = 2 * time.Millisecond
)

// refreshMembers announces the instance, reads the platform's list and takes
// in the new view.
func (n *Instance) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.PlatformTimeout)
	defer cancel()
	_, err := n.platform.Announce(ctx, &loompb.AnnounceRequest{Member: n.announcement()})
	if err != nil {
		n.log.Debug("announce failed", "error", err)
	}
	after := n.listRevision.Load()
	reply, err := n.platform.Members(ctx, &loompb.MembersRequest{After: after})
	now := time.Now()
	switch {
	case err != nil:
		n.log.Debug("list of members not read", "error", err)
	case after == 0:
		n.tracker.Apply(now, loommember.Listed{Members: listings(reply.GetMembers())})
		n.listRevision.Store(reply.GetRevision())
	default:
		n.tracker.Apply(now, loommember.Changed{Members: listings(reply.GetMembers()), Gone: reply.GetGone()})
		n.listRevision.Store(reply.GetRevision())
	}
	n.updateView(now)
}

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

func listings(members []*loompb.Member) []loommember.Listing {
	all := make([]loommember.Listing, 0, len(members))
	for _, m := range members {
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

// updateView replaces the view and, when the live instances have changed, the
// table of homes.
func (n *Instance) updateView(now time.Time) {
	v := n.tracker.View(now)
	n.view.Store(&v)
	n.parts.Store(n.enginesByGroup(v))
	n.keepConnections(v)
	members := v.LiveIDs(loommember.KindInstance, "")
	if !slices.Contains(members, n.ID()) && !n.stopping.Load() {
		members = append(members, n.ID())
		slices.Sort(members)
	}
	if slices.Equal(members, n.homes.Load().Members()) {
		return
	}
	table := n.homes.Load().WithMembers(members)
	writers := loomhome.Rank([]byte("claims"), members, claimHomes)
	n.claimWriters.Store(&writers)
	n.homes.Store(&table)
	n.homesAt.Store(now.UnixNano())
	n.index.Retain(func(root loomcache.Key) bool { return table.Home(root[:]) == n.ID() })
	n.stores.readAgain()
	n.log.Info("homes change", "instances", len(members))
}

// keepConnections closes the connections to members that are forgotten. Those
// to dead ones stay, since a stream may still run over them.
func (n *Instance) keepConnections(v loommember.View) {
	addresses := n.tracker.Addresses()
	var ids []string
	for _, b := range v.All() {
		ids = append(ids, b.ID)
	}
	n.peers.keep(addresses)
	n.engines.keep(addresses)
	n.fleet.Retain(ids)
}

// scaled returns the interval at which an instance may read the platform.
func (n *Instance) scaled(interval time.Duration) time.Duration {
	members := len(n.homes.Load().Members())
	return max(interval, time.Duration(members)*readPerMember)
}

// homesSince returns when the set of live instances last changed.
func (n *Instance) homesSince() time.Time {
	return time.Unix(0, n.homesAt.Load())
}

// believed returns what the instance believes of a member.
func (n *Instance) believed(id string) (loommember.MemberState, bool) {
	return n.view.Load().Find(id)
}

// engineParts holds the engines that an instance talks to, by group.
type engineParts map[string][]loommember.MemberState

// groupEngines returns the engines of a group that this instance talks to. The
// caller must not change the slice.
func (n *Instance) groupEngines(group string) []loommember.MemberState {
	return (*n.parts.Load())[group]
}

// enginesByGroup chooses the engines that this instance talks to.
func (n *Instance) enginesByGroup(v loommember.View) *engineParts {
	all := make(engineParts)
	for _, b := range v.All() {
		if b.Kind == loommember.KindEngine {
			all[b.Group] = append(all[b.Group], b)
		}
	}
	for group, engines := range all {
		all[group] = n.partOf(engines)
	}
	return &all
}

// partOf returns all of a small group, else a part that differs between
// instances.
func (n *Instance) partOf(all []loommember.MemberState) []loommember.MemberState {
	if len(all) <= maxEngines {
		return all
	}
	byID := make(map[string]loommember.MemberState, len(all))
	var own, foreign []string
	for _, b := range all {
		byID[b.ID] = b
		if b.FailureDomain == n.FailureDomain() {
			own = append(own, b.ID)
		} else {
			foreign = append(foreign, b.ID)
		}
	}
	key := []byte(n.ID())
	ids := loomhome.Rank(key, own, maxEngines-foreignEngines)
	ids = append(ids, loomhome.Rank(key, foreign, maxEngines-len(ids))...)
	part := make([]loommember.MemberState, 0, len(ids))
	for _, id := range ids {
		part = append(part, byID[id])
	}
	return part
}

// collectReports asks every engine of this instance for its load.
func (n *Instance) collectReports(ctx context.Context) {
	var wait sync.WaitGroup
	for _, engines := range *n.parts.Load() {
		for _, b := range engines {
			wait.Go(func() { n.collectReport(ctx, b.Member) })
		}
	}
	wait.Wait()
	if now := time.Now(); now.Sub(n.view.Load().At()) > viewInterval {
		n.updateView(now)
	}
}

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
	n.fleet.Report(now, m.ID, reportOf(now, reply))
	n.queues.wake()
}

func reportOf(now time.Time, r *loompb.ReportReply) loomroute.Report {
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

// markLeaving notes that a member told that it leaves.
func (n *Instance) markLeaving(now time.Time, m loommember.Member) {
	n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.ID, Incarnation: m.Incarnation})
	n.updateView(now)
}
