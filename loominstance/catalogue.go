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
	// in each round. In a fleet of up to smallFleet instances a peer of another
	// failure domain comes on top; in a larger one it takes the place of one of
	// them in one round of farRounds, and rounds are longer.
	gossipFanout    = 2
	smallFleet      = 16
	farRounds       = 4
	largeFleetRound = 450 * time.Millisecond
	gossipTimeout   = 400 * time.Millisecond
)

// refreshCatalogue reads newer changes from the platform.
func (n *Instance) refreshCatalogue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.PlatformTimeout)
	defer cancel()
	before := n.keeper.Snapshot().Revision()
	if err := n.keeper.Refresh(ctx, time.Now()); err != nil {
		n.log.Debug("catalogue not read", "error", err)
	}
	n.noteRevision(before, "platform")
}

func (n *Instance) noteRevision(before uint64, source string) {
	after := n.keeper.Snapshot().Revision()
	n.metrics.catalogueNumber.Update(float64(after))
	if after > before {
		n.log.Info("catalogue changes", "from_revision", before, "to_revision", after, "source", source)
	}
}

// gossip exchanges catalogue revisions and leaving marks with some peers. As
// long as the platform was not reached, the seed peers are asked for members.
func (n *Instance) gossip(ctx context.Context) {
	if n.newborn() {
		for _, address := range n.settings.Instance.SeedPeers {
			n.gossipWith(ctx, loommember.Member{ID: address.String(), Address: address.String()})
		}
	}
	for _, m := range n.gossipPeers() {
		n.gossipWith(ctx, m)
	}
}

// newborn reports whether the instance has never read the platform's list.
func (n *Instance) newborn() bool {
	return n.listRevision.Load() == 0
}

// gossipPeers draws peers: of the own failure domain first, else any.
func (n *Instance) gossipPeers() []loommember.Member {
	var near, far []loommember.Member
	for _, b := range n.view.Load().Kind(loommember.KindInstance, "") {
		switch {
		case b.ID == n.ID():
		case b.FailureDomain == n.FailureDomain():
			near = append(near, b.Member)
		default:
			far = append(far, b.Member)
		}
	}
	random := n.newRandom()
	shuffle := func(ms []loommember.Member) {
		random.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	}
	shuffle(near)
	shuffle(far)
	chosen := slices.Clone(near[:min(len(near), gossipFanout)])
	switch {
	case len(far) == 0:
	case len(near)+len(far) < smallFleet || len(chosen) < gossipFanout:
		chosen = append(chosen, far[0])
	case random.IntN(farRounds) == 0:
		chosen[0] = far[0]
	}
	return chosen
}

// gossipInterval returns the time between two rounds.
func (n *Instance) gossipInterval() time.Duration {
	if len(n.homes.Load().Members()) <= smallFleet {
		return n.settings.Timing.GossipInterval
	}
	return max(n.settings.Timing.GossipInterval, largeFleetRound)
}

func (n *Instance) gossipWith(ctx context.Context, m loommember.Member) {
	client, err := n.peers.client(m.Address)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := client.Gossip(call, &loompb.GossipRequest{
		InstanceId:        n.ID(),
		Incarnation:       n.incarnation,
		Stopping:          n.stopping.Load(),
		CatalogueRevision: n.keeper.Snapshot().Revision(),
		Leaving:           n.leavingMarks(),
		Rumours:           n.rumours(),
		Newborn:           n.newborn(),
	})
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		n.tracker.Apply(now, loommember.Unanswered{ID: m.ID})
		return
	}
	n.tracker.Apply(now, loommember.Alive{ID: m.ID, Incarnation: reply.GetIncarnation()})
	if reply.GetStopping() {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.ID, Incarnation: reply.GetIncarnation()})
	}
	if n.newborn() && len(reply.GetMembers()) > 0 {
		n.tracker.Apply(now, loommember.Changed{Members: listings(reply.GetMembers())})
		n.updateView(now)
	}
	n.takeMarks(now, reply.GetLeaving())
	n.takeRumours(now, reply.GetRumours())
	n.takeChanges(now, reply)
}

func (n *Instance) leavingMarks() []*loompb.LeavingMark {
	var marks []*loompb.LeavingMark
	for _, m := range n.tracker.LeavingMarks(time.Now()) {
		marks = append(marks, &loompb.LeavingMark{Id: m.ID, Incarnation: m.Incarnation})
	}
	return marks
}

// knownMembers returns the members of the view for a newborn peer.
func (n *Instance) knownMembers() []*loompb.Member {
	all := n.view.Load().All()
	members := make([]*loompb.Member, 0, len(all))
	for _, b := range all {
		m := &loompb.Member{
			Id:            b.ID,
			Kind:          b.Kind,
			Group:         b.Group,
			FailureDomain: b.FailureDomain,
			Region:        b.Region,
			Address:       b.Address,
			Incarnation:   b.Incarnation,
			Liveness:      loompb.Liveness_LIVENESS_LIVE,
		}
		if b.Status == loommember.Leaving {
			m.Liveness = loompb.Liveness_LIVENESS_LEAVING
		}
		members = append(members, m)
	}
	return members
}

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

// takeRumours takes in second-hand evidence. One about this instance itself is
// answered by the evidence that it lives.
func (n *Instance) takeRumours(now time.Time, rumours []*loompb.Rumour) {
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

func (n *Instance) takeMarks(now time.Time, marks []*loompb.LeavingMark) {
	for _, m := range marks {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: m.GetId(), Incarnation: m.GetIncarnation()})
	}
}

func (n *Instance) takeChanges(now time.Time, reply *loompb.GossipReply) {
	before := n.keeper.Snapshot().Revision()
	if len(reply.GetSnapshot()) > 0 {
		n.takeSnapshot(now, reply.GetSnapshot())
	}
	var records []loomcatalogue.Record
	for _, data := range reply.GetChanges() {
		var rec loomcatalogue.Record
		if err := json.Unmarshal(data, &rec); err != nil {
			n.log.Warn("peer sent a malformed change", "error", err)
			return
		}
		records = append(records, rec)
	}
	if err := n.keeper.Take(now, records); err != nil {
		n.log.Debug("changes of a peer not taken", "error", err)
	}
	n.noteRevision(before, "peer")
}

func (n *Instance) takeSnapshot(now time.Time, data []byte) {
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
	n.keeper.TakeSnapshot(now, s)
}

// answerGossip returns this instance's state for a peer.
func (n *Instance) answerGossip(now time.Time, r *loompb.GossipRequest) (*loompb.GossipReply, error) {
	n.takeMarks(now, r.GetLeaving())
	n.takeRumours(now, r.GetRumours())
	if r.GetStopping() {
		n.tracker.Apply(now, loommember.MarkedLeaving{ID: r.GetInstanceId(), Incarnation: r.GetIncarnation()})
	} else {
		n.tracker.Apply(now, loommember.Alive{ID: r.GetInstanceId(), Incarnation: r.GetIncarnation()})
	}
	s := n.keeper.Snapshot()
	reply := &loompb.GossipReply{
		CatalogueRevision: s.Revision(),
		Incarnation:       n.incarnation,
		Stopping:          n.stopping.Load(),
		Leaving:           n.leavingMarks(),
		Rumours:           n.rumours(),
	}
	if r.GetNewborn() {
		reply.Members = n.knownMembers()
	}
	records, ok := n.keeper.Since(r.GetCatalogueRevision())
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
