package loominstance

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	// gossipFanout is the number of peers that an instance exchanges state with
	// in each round. In a fleet of at most smallFleetSize instances, one peer
	// of another failure domain is added. In a larger fleet, such a peer
	// replaces one of the others in one of remoteGossipRounds rounds on
	// average, and rounds are at least largeFleetGossipInterval apart.
	gossipFanout             = 2
	smallFleetSize           = 16
	remoteGossipRounds       = 4
	largeFleetGossipInterval = 450 * time.Millisecond
	gossipTimeout            = 400 * time.Millisecond
)

// refreshCatalogue reads the changes since the known revision from the
// platform.
func (n *Instance) refreshCatalogue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.PlatformTimeout)
	defer cancel()
	before := n.catalogue.Snapshot().Revision()
	if err := n.catalogue.Refresh(ctx, time.Now()); err != nil {
		n.log.Debug("reading the catalogue failed", "error", err)
	}
	for _, row := range n.catalogue.Unreadable(n.unreadableRows) {
		n.unreadableRows++
		n.log.Warn("a row of the catalogue is unreadable", "key", row.Key, "error", row.Cause)
	}
	n.recordRevision(before, "platform")
}

// recordRevision updates the metric and logs a newer revision with the source
// it came from.
func (n *Instance) recordRevision(before uint64, source string) {
	after := n.catalogue.Snapshot().Revision()
	n.metrics.catalogueRevision.Update(float64(after))
	if after > before {
		n.log.Info("catalogue revision changed", "from_revision", before, "to_revision", after, "source", source)
	}
}

// gossip exchanges catalogue changes, leaving marks and liveness evidence with
// several peers. Until the platform's member list has been read, it also asks
// the configured seed peers for their members.
func (n *Instance) gossip(ctx context.Context) {
	if n.isBootstrapping() {
		for _, address := range n.settings.Instance.SeedPeers {
			n.gossipWith(ctx, loommember.Member{ID: address.String(), Address: address.String()})
		}
	}
	for _, peer := range n.selectGossipPeers() {
		n.gossipWith(ctx, peer)
	}
}

// isBootstrapping reports whether the instance has not yet read the platform's
// member list.
func (n *Instance) isBootstrapping() bool {
	return n.listRevision.Load() == 0
}

// selectGossipPeers draws random peers, preferring those in the same failure
// domain.
func (n *Instance) selectGossipPeers() []loommember.Member {
	var local, remote []loommember.Member
	for _, member := range n.view.Load().Kind(loommember.KindInstance, "") {
		switch {
		case member.ID == n.ID():
		case member.FailureDomain == n.FailureDomain():
			local = append(local, member.Member)
		default:
			remote = append(remote, member.Member)
		}
	}
	random := n.newRandom()
	shuffle := func(ms []loommember.Member) {
		random.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	}
	shuffle(local)
	shuffle(remote)
	chosen := slices.Clone(local[:min(len(local), gossipFanout)])
	switch {
	case len(remote) == 0:
	case len(local)+len(remote) < smallFleetSize || len(chosen) < gossipFanout:
		chosen = append(chosen, remote[0])
	case random.IntN(remoteGossipRounds) == 0:
		chosen[0] = remote[0]
	}
	return chosen
}

// gossipInterval returns the time between two gossip rounds.
func (n *Instance) gossipInterval() time.Duration {
	if len(n.homes.Load().Members()) <= smallFleetSize {
		return n.settings.Timing.GossipInterval
	}
	return max(n.settings.Timing.GossipInterval, largeFleetGossipInterval)
}

// gossipWith exchanges state with one peer. The call itself is evidence of
// whether the peer is alive.
func (n *Instance) gossipWith(ctx context.Context, peer loommember.Member) {
	client, err := n.peers.client(peer.Address)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := client.Gossip(call, &loompb.GossipRequest{
		InstanceId:        n.ID(),
		Incarnation:       n.incarnation,
		Stopping:          n.stopping.Load(),
		CatalogueRevision: n.catalogue.Snapshot().Revision(),
		Leaving:           n.leavingMarks(),
		Rumours:           n.rumours(),
		Newborn:           n.isBootstrapping(),
		Evidence:          n.evidence(time.Now()),
	})
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.tracker.Apply(now, loommember.Unanswered{ID: peer.ID})
		return
	}
	n.tracker.Apply(now, loommember.Alive{ID: peer.ID, Incarnation: reply.GetIncarnation()})
	if reply.GetStopping() {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: peer.ID, Incarnation: reply.GetIncarnation()})
	}
	if n.isBootstrapping() && len(reply.GetMembers()) > 0 {
		n.tracker.Apply(now, loommember.Changed{Members: n.listings(reply.GetMembers())})
		n.updateView(now)
	}
	n.applyLeavingMarks(now, reply.GetLeaving())
	n.applyRumours(now, reply.GetRumours())
	n.applyEvidence(now, reply.GetEvidence())
	n.applyChanges(now, reply)
}

// leavingMarks returns the members that are known to be leaving.
func (n *Instance) leavingMarks() []*loompb.LeavingMark {
	var marks []*loompb.LeavingMark
	for _, m := range n.tracker.LeavingMarks(time.Now()) {
		marks = append(marks, &loompb.LeavingMark{Id: m.ID, Incarnation: m.Incarnation})
	}
	return marks
}

// knownMembers returns the members of the view, for a peer that has not yet
// read the platform's list.
func (n *Instance) knownMembers() []*loompb.Member {
	all := n.view.Load().All()
	members := make([]*loompb.Member, 0, len(all))
	for _, member := range all {
		m := &loompb.Member{
			Id:            member.ID,
			Kind:          member.Kind,
			Group:         member.Group,
			FailureDomain: member.FailureDomain,
			Region:        member.Region,
			Address:       member.Address,
			Incarnation:   member.Incarnation,
			Liveness:      loompb.Liveness_LIVENESS_LIVE,
		}
		if member.Status == loommember.Leaving {
			m.Liveness = loompb.Liveness_LIVENESS_LEAVING
		}
		members = append(members, m)
	}
	return members
}

// rumours returns the liveness evidence to pass on, with its age, since clocks
// of instances are not compared.
func (n *Instance) rumours() []*loompb.Rumour {
	now := time.Now()
	var rumours []*loompb.Rumour
	for _, r := range n.tracker.Rumours(now) {
		rumours = append(rumours, &loompb.Rumour{
			Id:          r.ID,
			Incarnation: r.Incarnation,
			Unanswered:  r.Unanswered,
			AgeMs:       uint64(now.Sub(r.At).Milliseconds()),
		})
	}
	return rumours
}

// applyRumours applies second-hand liveness evidence. A rumour about this
// instance is refuted by recording that it is alive.
func (n *Instance) applyRumours(now time.Time, rumours []*loompb.Rumour) {
	for _, r := range rumours {
		n.tracker.Apply(now, loommember.Rumour{
			ID:          r.GetId(),
			Incarnation: r.GetIncarnation(),
			Unanswered:  r.GetUnanswered(),
			At:          now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		})
		if r.GetId() == n.ID() {
			n.tracker.Apply(now, loommember.Alive{ID: n.ID(), Incarnation: n.incarnation})
		}
	}
}

func (n *Instance) applyLeavingMarks(now time.Time, marks []*loompb.LeavingMark) {
	for _, m := range marks {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.GetId(), Incarnation: m.GetIncarnation()})
	}
}

// applyChanges applies a peer's snapshot and single changes to the catalogue.
// One malformed change discards all single changes of the reply.
func (n *Instance) applyChanges(now time.Time, reply *loompb.GossipReply) {
	before := n.catalogue.Snapshot().Revision()
	if len(reply.GetSnapshot()) > 0 {
		n.applySnapshot(now, reply.GetSnapshot())
	}
	var records []loomcatalogue.Record
	for _, data := range reply.GetChanges() {
		var rec loomcatalogue.Record
		if err := json.Unmarshal(data, &rec); err != nil {
			n.log.Warn("peer sent a malformed catalogue change", "error", err)
			return
		}
		records = append(records, rec)
	}
	if err := n.catalogue.ApplyRecords(now, records); err != nil {
		n.log.Debug("applying catalogue changes of a peer failed", "error", err)
	}
	n.recordRevision(before, "peer")
}

func (n *Instance) applySnapshot(now time.Time, data []byte) {
	var doc loomcatalogue.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		n.log.Warn("peer sent a malformed catalogue", "error", err)
		return
	}
	s, err := loomcatalogue.FromDocument(doc)
	if err != nil {
		n.log.Warn("peer sent an invalid catalogue", "error", err)
		return
	}
	n.catalogue.InstallSnapshot(now, s)
}

// answerGossip handles the gossip of a peer and returns the state of this
// instance. A peer whose revision is too old for single changes gets a full
// snapshot of the catalogue.
func (n *Instance) answerGossip(now time.Time, r *loompb.GossipRequest) (*loompb.GossipReply, error) {
	n.applyLeavingMarks(now, r.GetLeaving())
	n.applyRumours(now, r.GetRumours())
	n.applyEvidence(now, r.GetEvidence())
	if r.GetStopping() {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: r.GetInstanceId(), Incarnation: r.GetIncarnation()})
	} else {
		n.tracker.Apply(now, loommember.Alive{ID: r.GetInstanceId(), Incarnation: r.GetIncarnation()})
	}
	s := n.catalogue.Snapshot()
	reply := &loompb.GossipReply{
		CatalogueRevision: s.Revision(),
		Incarnation:       n.incarnation,
		Stopping:          n.stopping.Load(),
		Leaving:           n.leavingMarks(),
		Rumours:           n.rumours(),
		Evidence:          n.evidence(now),
	}
	if r.GetNewborn() {
		reply.Members = n.knownMembers()
	}
	records, ok := n.catalogue.RecordsSince(r.GetCatalogueRevision())
	if !ok {
		data, err := json.Marshal(s.Document())
		reply.Snapshot = data
		return reply, err
	}
	for _, rec := range records {
		data, err := json.Marshal(rec)
		if err != nil {
			return nil, err
		}
		reply.Changes = append(reply.Changes, data)
	}
	return reply, nil
}
