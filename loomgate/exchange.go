package loomgate

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomkernel"
	"swiftloom/loompb"
	"swiftloom/loomroute"
)

const (
	// exchangeInterval is the minimum time between two rounds of calls to
	// peers.
	exchangeInterval = 80 * time.Millisecond
	// minExchangeInterval is the same if there is evidence that a peer needs at once.
	minExchangeInterval = 25 * time.Millisecond
	// exchangeSpacing is the time per peer in a round. It limits one instance
	// to about eighty calls per second.
	exchangeSpacing = 12 * time.Millisecond
	// exchangeTimeout bounds one Exchange call to a peer.
	exchangeTimeout = 600 * time.Millisecond
	// rowsTimeout bounds one Rows call to a peer.
	rowsTimeout = time.Second
	// reportInterval is the time between two calls of an instance to its
	// coordinator.
	reportInterval = 150 * time.Millisecond
	// maxPeers bounds the peers that one instance calls in a round.
	maxPeers = 12
	// maxPlacements bounds the placements that wait for the next round. Further
	// ones are dropped.
	maxPlacements = 512
	// maxPromptPlacements bounds those of one prompt, which are its leading parts, so that a
	// prompt of many parts leaves room for others.
	maxPromptPlacements = 8
	// maxSamples bounds the observations that wait for the next round.
	maxSamples = 64
	// maxFailedRounds is the number of consecutive failed calls after which a
	// peer is reported as lost and called less often, and skippedRounds the
	// number of rounds it is then left out after each failure.
	maxFailedRounds = 4
	skippedRounds   = 8
)

// addPlacements queues placements for the next round of calls to peers.
func (p *peers) addPlacements(upstream, salt string, parts []PromptPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts[:min(len(parts), maxPromptPlacements)] {
		if len(p.pendingPlacements) >= maxPlacements {
			return
		}
		p.pendingPlacements = append(p.pendingPlacements, &loompb.Placement{UpstreamId: upstream, Salt: salt, Part: strings.Clone(part.ID), Tokens: uint32(part.Tokens)})
	}
}

// placementBytes is the memory of a placement that waits, in addition to its texts.
const placementBytes = 128

// pendingBytes returns about how much memory the placements take that wait for the next round.
func (p *peers) pendingBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pl := range p.pendingPlacements {
		n += placementBytes + len(pl.GetSalt()) + len(pl.GetPart())
	}
	return int64(n)
}

// addSample queues an observation of the time to a first token for the peers.
func (p *peers) addSample(group, upstream string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingSamples) < maxSamples {
		p.pendingSamples = append(p.pendingSamples, &loompb.PrefillSample{Group: group, UpstreamId: upstream, Tokens: uint32(min(max(tokens, 0), loomcache.MaxTokens)), Micros: uint32(min(took.Microseconds(), math.MaxUint32))})
	}
}

// exchangeLoop sends the state of this instance to its peers in rounds until
// ctx ends.
func (p *peers) exchangeLoop(ctx context.Context) {
	interval := exchangeInterval
	for p.awaitRound(ctx, interval) == nil {
		now := time.Now()
		p.gate.view.evictExpired(now)
		p.gate.cold.update(now)
		request := p.newExchangeRequest()
		targets := p.nextPeers()
		p.gate.quarantine.judge(now)
		for _, peer := range targets {
			go p.exchange(ctx, peer, request)
		}
		interval = max(exchangeInterval, time.Duration(len(targets))*exchangeSpacing)
		if p.gate.coordinators.hasCoordinator() {
			interval = reportInterval
		}
	}
}

// awaitRound waits until the next round is due, at most for an interval. Evidence of the end of
// an upstream is told sooner.
func (p *peers) awaitRound(ctx context.Context, interval time.Duration) error {
	if err := loomkernel.Sleep(ctx, minExchangeInterval); err != nil {
		return err
	}
	timer := time.NewTimer(interval - minExchangeInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.gate.quarantine.news:
	case <-timer.C:
	}
	return nil
}

// newExchangeRequest returns the request of a round. It takes all pending
// placements.
func (p *peers) newExchangeRequest() *loompb.ExchangeRequest {
	p.mu.Lock()
	placements, samples := p.pendingPlacements, p.pendingSamples
	p.pendingPlacements, p.pendingSamples = nil, nil
	p.mu.Unlock()
	g := p.gate
	now := time.Now()
	reached, failing := g.fleet.Contacts(now, p.contactsAt, p.relaysContactsOf())
	p.contactsAt = now
	r := &loompb.ExchangeRequest{
		From:             g.settings.ID,
		Incarnation:      g.incarnation,
		CatalogueVersion: g.view.catalogueChange.Load(),
		UpstreamsVersion: g.view.upstreamsVersion.Load(),
		Placements:       placements,
		Samples:          samples,
		Queued:           p.reportedWork(),
		Weights:          g.rollout.loadingReports(time.Now()),
		Limits:           g.limits.reports(time.Now()),
		Leaving:          g.view.leavingReports(time.Now()),
		ReachedIds:       reached,
		FailingIds:       failing,
		Cold:             g.cold.reports(now),
	}
	for _, l := range p.reportedLoads() {
		r.Loads = append(r.Loads, &loompb.UpstreamLoad{UpstreamId: l.ID, Outstanding: uint32(l.Outstanding), PendingTokens: uint32(l.Tokens), MemoryTokens: uint32(l.Memory)})
	}
	return r
}

// relaysContactsOf returns whether this instance tells what a peer reports of its contact with
// upstreams: a coordinator does so for the instances that report to it.
func (p *peers) relaysContactsOf() func(peer string) bool {
	all := p.gate.coordinators.all()
	if all == nil || !p.gate.coordinators.isCoordinator() {
		return func(string) bool { return false }
	}
	return func(peer string) bool { return !slices.Contains(all, peer) }
}

// reportedLoads returns the loads that this instance reports: its own, and for a
// coordinator also those of the instances that report to it.
func (p *peers) reportedLoads() []loomroute.PeerLoad {
	now := time.Now()
	coordinators := p.gate.coordinators
	if all := coordinators.all(); all != nil && coordinators.isCoordinator() {
		return p.gate.fleet.CombinedLoads(now, all)
	}
	return p.gate.fleet.LocalLoads()
}

// reportedWork returns the queued work that this instance reports in a fleet with
// coordinators: its own, and for a coordinator also that of the instances that
// report to it.
func (p *peers) reportedWork() []*loompb.QueuedWork {
	now := time.Now()
	all := p.gate.coordinators.all()
	if all == nil {
		return nil
	}
	own := p.gate.queues.work()
	if !p.gate.coordinators.isCoordinator() {
		return own
	}
	return p.gate.queues.elsewhere.total(now, own, func(peer string) bool { return !slices.Contains(all, peer) })
}

// nextPeers returns the peers of the next round, a random choice of maxPeers if
// there are more, and marks them as in flight. In a fleet with coordinators these
// are only the ones that need the state of this instance.
func (p *peers) nextPeers() []*peer {
	targets, isLimited := p.gate.coordinators.targets()
	p.mu.Lock()
	defer p.mu.Unlock()
	due := make([]*peer, 0, len(p.byID))
	for _, peer := range p.byID {
		if peer.inFlight || (isLimited && !slices.Contains(targets, peer.id)) {
			continue
		}
		if peer.roundsToSkip > 0 {
			peer.roundsToSkip--
			continue
		}
		due = append(due, peer)
	}
	if len(due) > maxPeers {
		random := p.gate.newRand()
		random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		due = due[:maxPeers]
	}
	for _, peer := range due {
		peer.inFlight = true
	}
	return due
}

// exchange makes one call to a peer, and reads the peer's rows if they are
// newer.
func (p *peers) exchange(ctx context.Context, peer *peer, r *loompb.ExchangeRequest) {
	sentAt := time.Now()
	r = p.requestFor(sentAt, peer, r)
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	reply, err := peer.client.Exchange(call, r)
	cancel()
	p.mu.Lock()
	peer.inFlight = false
	p.mu.Unlock()
	if err != nil {
		p.recordFailure(peer, err)
		return
	}
	p.mu.Lock()
	failedBefore := peer.failedRounds
	peer.failedRounds = 0
	p.answeredAt = time.Now()
	p.mu.Unlock()
	if failedBefore >= maxFailedRounds {
		p.gate.log.Info("dependency_regained", "dependency", "peer", "peer", peer.id)
	}
	receivedAt := time.Now()
	if receivedAt.Sub(sentAt) <= exchangeTimeout {
		p.gate.view.applyPeerNamed(receivedAt, reply.GetNamedWeights())
	}
	p.gate.view.applyLeaving(receivedAt, peer.id, reply.GetLeaving())
	p.gate.limits.apply(receivedAt, peer.id, reply.GetLimits())
	p.gate.limits.accept(sentAt, peer.id, reply.GetLeases())
	p.gate.cold.answered(receivedAt, sentAt, peer.id)
	p.gate.cold.apply(receivedAt, peer.id, reply.GetCold())
	p.applyEvidence(receivedAt, peer, r, reply)
	p.syncRows(ctx, peer, sentAt, reply)
}

// requestFor returns the request of a round with what is only for one peer. It shares the rest
// with r, which all calls of the round read.
func (p *peers) requestFor(now time.Time, peer *peer, r *loompb.ExchangeRequest) *loompb.ExchangeRequest {
	p.mu.Lock()
	sent, seen, incarnation := peer.evidenceSent, peer.evidenceSeen, peer.evidenceIncarnation
	p.mu.Unlock()
	return &loompb.ExchangeRequest{
		From:             r.GetFrom(),
		Incarnation:      r.GetIncarnation(),
		CatalogueVersion: r.GetCatalogueVersion(),
		UpstreamsVersion: r.GetUpstreamsVersion(),
		Loads:            r.GetLoads(),
		Placements:       r.GetPlacements(),
		Weights:          r.GetWeights(),
		Samples:          r.GetSamples(),
		Queued:           r.GetQueued(),
		Limits:           r.GetLimits(),
		Leaving:          r.GetLeaving(),
		ReachedIds:       r.GetReachedIds(),
		FailingIds:       r.GetFailingIds(),
		Cold:             r.GetCold(),

		LeaseRequests:       p.gate.limits.leaseRequests(now, peer.id),
		Evidence:            p.gate.quarantine.evidence(now, sent),
		EvidenceFrom:        seen,
		EvidenceIncarnation: incarnation,
	}
}

// recordFailure records a failed call to a peer.
func (p *peers) recordFailure(peer *peer, cause error) {
	p.mu.Lock()
	if peer.failedRounds == 0 {
		peer.failingSince = time.Now()
	}
	peer.failedRounds++
	failed := peer.failedRounds
	if failed >= maxFailedRounds {
		peer.roundsToSkip = skippedRounds
	}
	p.mu.Unlock()
	if failed == maxFailedRounds {
		p.gate.log.Warn("dependency_lost", "dependency", "peer", "peer", peer.id, "cause", cause.Error())
	}
}

// syncRows reads the rows of a peer that has newer versions. The upstream list
// is read only if this instance's list is older than maxUpstreamsAge, or, from a
// coordinator, than upstreamsPollInterval.
func (p *peers) syncRows(ctx context.Context, peer *peer, sentAt time.Time, reply *loompb.ExchangeReply) {
	view := p.gate.view
	if answers := milliseconds(reply.GetPlatformAnswersMs()); answers > 0 {
		view.recordPeerAnswers(time.Now().Add(-answers), sentAt.Add(-milliseconds(reply.GetPlatformAnsweredMs())))
	}
	if reply.GetCatalogueVersion() > view.catalogueVersion.Load() {
		select {
		case view.catalogueChanged <- struct{}{}:
		default:
		}
		p.fetchRows(ctx, peer, TopicCatalogue)
	}
	now := time.Now()
	maxAge := p.gate.maxUpstreamsAge()
	hasCoordinator := p.gate.coordinators.hasCoordinator()
	if hasCoordinator {
		maxAge = upstreamsPollInterval
	}
	if reply.GetUpstreamsVersion() > view.upstreamsVersion.Load() && view.upstreamsAge(now) > maxAge {
		p.fetchRows(ctx, peer, TopicUpstreams)
	}
	if !hasCoordinator {
		return
	}
	if reply.GetUpstreamsVersion() == view.upstreamsVersion.Load() {
		view.confirmUpstreams(sentAt.Add(-milliseconds(reply.GetUpstreamsAgeMs())))
	}
}

// listReadAllowance is the time from the decision to read the upstream list until a
// request that was sent by an earlier list has arrived.
const listReadAllowance = 600 * time.Millisecond

// maxUpstreamsAge returns the age of the upstream list above which it is read from a peer,
// or from the platform in place of a coordinator.
func (g *Gate) maxUpstreamsAge() time.Duration {
	return g.settings.LeavingLimit - listReadAllowance
}

// fetchRows reads a peer's rows of a topic and applies them as a full snapshot.
func (p *peers) fetchRows(ctx context.Context, peer *peer, t Topic) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	reply, err := peer.client.Rows(ctx, &loompb.RowsRequest{Topic: t.String()})
	if err != nil {
		p.gate.log.Warn("peer_rows_failed", "peer", peer.id, "topic", t.String(), "cause", err.Error())
		return
	}
	if reply.GetVersion() == 0 {
		// The peer has started again and has no list itself.
		return
	}
	page := Page{Version: reply.GetVersion(), AsOf: sentAt.Add(-milliseconds(reply.GetAgeMs()))}
	page.AnswersSince = page.AsOf
	if answers := milliseconds(reply.GetPlatformAnswersMs()); answers > 0 {
		page.AnswersSince = time.Now().Add(-answers)
	}
	for _, row := range reply.GetRows() {
		page.Rows = append(page.Rows, Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted()})
	}
	p.gate.log.Info("rows_from_peer", "peer", peer.id, "topic", t.String(), "version", page.Version, "rows", len(page.Rows), "age_ms", reply.GetAgeMs())
	p.gate.view.apply(time.Now(), t, page, true)
}

// peerService serves the calls of peers.
type peerService struct {
	loompb.UnimplementedGatePeerServer
	gate *Gate
}

// Exchange implements loompb.GatePeerServer.
func (s *peerService) Exchange(_ context.Context, r *loompb.ExchangeRequest) (*loompb.ExchangeReply, error) {
	now := time.Now()
	g := s.gate
	loads := make([]loomroute.PeerLoad, 0, len(r.GetLoads()))
	for _, l := range r.GetLoads() {
		loads = append(loads, loomroute.PeerLoad{ID: l.GetUpstreamId(), Outstanding: int(l.GetOutstanding()), Tokens: int(l.GetPendingTokens()), Memory: int(l.GetMemoryTokens())})
	}
	g.queues.elsewhere.set(now, r.GetFrom(), r.GetQueued())
	g.fleet.SetPeerLoads(now, r.GetFrom(), loads)
	if g.peers.isNear(r.GetFrom()) {
		g.fleet.ApplyPeerContacts(now, r.GetFrom(), r.GetReachedIds(), r.GetFailingIds())
	}
	g.applyPlacements(r.GetPlacements())
	for _, sample := range r.GetSamples() {
		g.prefill.forGroup(sample.GetGroup()).Observe(sample.GetUpstreamId(), int(sample.GetTokens()), time.Duration(sample.GetMicros())*time.Microsecond)
	}
	g.rollout.applyPeerReports(now, r.GetWeights())
	g.view.applyLeaving(now, r.GetFrom(), r.GetLeaving())
	g.limits.apply(now, r.GetFrom(), r.GetLimits())
	g.cold.called(now, r.GetFrom())
	g.cold.apply(now, r.GetFrom(), r.GetCold())
	g.quarantine.apply(now, r.GetEvidence())
	// Read before the version, so that the age is never that of a later list.
	asOf := *g.view.upstreamsAsOf.Load()
	reply := &loompb.ExchangeReply{
		CatalogueVersion: g.view.catalogueChange.Load(),
		UpstreamsVersion: g.view.upstreamsVersion.Load(),
		UpstreamsAgeMs:   ageMillis(now, asOf),

		Limits: g.limits.reports(now),
		Leases: g.limits.lend(now, r.GetFrom(), r.GetLeaseRequests()),

		NamedWeights: g.view.namedReports(now),
		Leaving:      g.view.leavingReports(now),
		Cold:         g.cold.reports(now),
		Evidence:     g.quarantine.evidenceSince(now, r.GetEvidenceFrom(), r.GetEvidenceIncarnation()),
	}
	if since, answeredAt, ok := g.view.contact().OwnAnswers(); ok {
		reply.PlatformAnswersMs, reply.PlatformAnsweredMs = max(ageMillis(now, since), 1), ageMillis(now, answeredAt)
	}
	return reply, nil
}

// milliseconds returns a duration that a message holds.
func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// ageMillis returns the time from at to now in milliseconds, as messages hold it.
func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

// Rows implements loompb.GatePeerServer.
func (s *peerService) Rows(_ context.Context, r *loompb.RowsRequest) (*loompb.RowsReply, error) {
	t := TopicCatalogue
	if r.GetTopic() == TopicUpstreams.String() {
		t = TopicUpstreams
	}
	now := time.Now()
	page := s.gate.view.snapshot(t)
	reply := &loompb.RowsReply{Version: page.Version, AgeMs: ageMillis(now, page.AsOf)}
	since, ok := s.gate.view.contact().AnswersSince()
	if !ok || (!page.AnswersSince.IsZero() && page.AnswersSince.Before(since)) {
		since = page.AnswersSince
	}
	if !since.IsZero() {
		reply.PlatformAnswersMs = max(ageMillis(now, since), 1)
	}
	for _, row := range page.Rows {
		reply.Rows = append(reply.Rows, &loompb.TopicRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return reply, nil
}

// applyPlacements records the placements of a peer at the upstreams that are known: others have
// left or can't be used.
func (g *Gate) applyPlacements(placements []*loompb.Placement) {
	for _, pl := range placements[:min(len(placements), maxPlacements)] {
		if _, ok := g.view.upstream(pl.GetUpstreamId()); !ok {
			continue
		}
		parts := []PromptPart{{ID: pl.GetPart(), Tokens: min(int(pl.GetTokens()), loomcache.MaxTokens)}}
		g.residency.RecordPrompt(pl.GetUpstreamId(), pl.GetSalt(), parts, g.cacheCapacityOf(pl.GetUpstreamId()))
	}
}

// cacheCapacityOf returns the estimated cache capacity of an upstream in
// tokens.
func (g *Gate) cacheCapacityOf(upstream string) int {
	u, ok := g.view.upstream(upstream)
	if !ok {
		return defaultMemoryTokens
	}
	group, _ := g.view.routing().Group(u.Group)
	return cacheCapacity(group.Engine)
}
