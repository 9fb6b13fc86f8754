package loomgate

import (
	"context"
	"slices"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loompb"
	"swiftloom/loomroute"
)

const (
	// placeTimeout bounds the call to a coordinator. The request itself waits
	// meanwhile.
	placeTimeout = 120 * time.Millisecond
	// placeBackoff is how long a coordinator that did not answer in time is not
	// asked again. It may only be busy, so it remains a coordinator.
	placeBackoff = 300 * time.Millisecond
	// maxPlaceCalls bounds the coordinators that are asked for one choice.
	maxPlaceCalls = 2
	// reservationTTL is how long a coordinator counts a request that it placed,
	// until the instance that sends it reports it as its own load.
	reservationTTL = 250 * time.Millisecond
)

// placeMode is how binding a choice is.
type placeMode int

const (
	// placeIfFree reserves capacity at the selected upstream if it has any.
	placeIfFree placeMode = iota
	// placeAlways reserves it in any case.
	placeAlways
	// placeNever only estimates the wait.
	placeNever
)

// askCoordinator lets a coordinator choose the upstream. It returns false if this
// instance is to choose by itself: it is a coordinator, the fleet has none, or
// none answers.
func (d *dispatch) askCoordinator(ctx context.Context, now time.Time, mode placeMode) (placement, bool) {
	if !d.needsCoordinator(now) || d.gate.view.isGroupEvacuated(now, d.group.Name) {
		return placement{}, false
	}
	choices := d.gate.coordinators.choicesIn(d.regions)
	if len(choices) == 0 {
		return placement{}, false
	}
	request := d.newPlaceRequest(now, mode)
	for i, id := range choices {
		if i >= maxPlaceCalls {
			break
		}
		reply, ok := d.gate.peers.place(ctx, id, request)
		if !ok {
			continue
		}
		d.isPartRecorded = true
		if p, ok := d.placementOf(now, id, reply); ok {
			return p, true
		}
		break
	}
	return placement{}, false
}

// needsCoordinator reports whether the choice depends on what only coordinators know: what
// engines cache and how much they have to read, or the parts of limits and of what cold
// upstreams may get. A plain call takes a few milliseconds at any upstream, so a call to a
// coordinator would cost it as much.
func (d *dispatch) needsCoordinator(now time.Time) bool {
	return d.hasPrompt || d.gate.limits.hasHeard.Load() || d.gate.cold.hasBound(now, d.group.Name)
}

// newPlaceRequest returns the message that asks for an upstream.
func (d *dispatch) newPlaceRequest(now time.Time, mode placeMode) *loompb.PlaceRequest {
	r := &loompb.PlaceRequest{
		From:            d.gate.settings.ID,
		FailureDomain:   d.failureDomain,
		Group:           d.group.Name,
		Route:           d.req.route.Name,
		Rank:            uint32(max(d.rank, 0)),
		IsolatedAccount: d.isolatedAccount(),
		AllowedRegions:  d.regions.Names(),
		StartTimeoutMs:  uint32(d.startTimeout.Milliseconds()),
		TriedIds:        d.triedIDs,
		SuspectIds:      d.suspects(now),
		OnlyEstimate:    mode == placeNever,
		MustStart:       mode == placeAlways,
		IsRepeated:      d.isPartRecorded,
		PrefersIdle:     d.prefersIdle,
		Held:            d.gate.holdOffs.reports(now, d.group.Name),
		CacheScope:      d.cacheScope(),
	}
	if !d.hasPrompt {
		return r
	}
	r.Prompt = &loompb.Prompt{Model: d.prompt.Model, Tokens: uint32(d.prompt.Tokens), ExpectedOutputTokens: uint32(max(d.prompt.ExpectedOutputTokens, 0))}
	for _, part := range d.prompt.Parts {
		r.Prompt.Parts = append(r.Prompt.Parts, &loompb.PromptPart{Id: part.ID, Tokens: uint32(part.Tokens)})
	}
	return r
}

// suspects returns the upstreams of the group that this instance considers
// unreachable.
func (d *dispatch) suspects(now time.Time) []string {
	var ids, suspects []string
	for _, u := range d.gate.usableUpstreams(now, d.group.Name) {
		ids = append(ids, u.ID)
		if d.gate.fleet.IsSuspect(now, u.ID) {
			suspects = append(suspects, u.ID)
		}
	}
	return append(suspects, d.gate.fleet.Ejected(now, ids)...)
}

// placementOf returns the placement in the reply of a coordinator, or false if it
// names no upstream that this instance may use: the coordinator may know less than
// this instance.
func (d *dispatch) placementOf(now time.Time, id string, reply *loompb.PlaceReply) (placement, bool) {
	for _, u := range d.allowedUpstreams(now) {
		if u.ID != reply.GetUpstreamId() {
			continue
		}
		if d.hasPrompt && d.gate.view.weightsExpired(now, d.startTimeout, d.prompt.Model, reply.GetVersion()) {
			break
		}
		if reply.GetIsReserved() && d.gate.holdOffs.wait(now, u) > 0 {
			// The upstream has asked for it during the call.
			break
		}
		p := placement{
			upstream: u,
			version:  reply.GetVersion(),
			wait:     time.Duration(reply.GetWaitMicros()) * time.Microsecond,
			choice: loomroute.Choice{
				ID:        u.ID,
				Import:    int(reply.GetImport()),
				Recompute: int(reply.GetRecompute()),
				Expected:  time.Duration(reply.GetExpectedMicros()) * time.Microsecond,
			},
			tokensAhead:     int(reply.GetTokensAhead()),
			cachedTokens:    int(reply.GetCachedTokens()),
			coordinator:     id,
			queuedElsewhere: time.Duration(reply.GetQueuedMicros()) * time.Microsecond,
			limitDelay: limitDelay{
				wait:     time.Duration(reply.GetHeldMicros()) * time.Microsecond,
				interval: time.Duration(reply.GetHeldIntervalMicros()) * time.Microsecond,
			},
			hasKVPlan: reply.GetIsReserved(),
		}
		p.kv = kvPlan{
			fetch:         padAddresses(reply.GetFetch(), len(d.prompt.Parts)+d.prompt.UntrackedParts),
			save:          padAddresses(reply.GetSave(), len(d.prompt.Parts)+d.prompt.UntrackedParts),
			fetchedTokens: int(reply.GetFetchedTokens()),
			fetchUntil:    time.Duration(reply.GetFetchUntilMicros()) * time.Microsecond,
		}
		return p, true
	}
	d.logDroppedChoice(id, reply.GetUpstreamId())
	return placement{}, false
}

// padAddresses returns addresses with empty ones added, so that there is one for each of n parts.
// It returns none if there are none.
func padAddresses(addresses []string, n int) []string {
	if len(addresses) == 0 || len(addresses) >= n {
		return addresses
	}
	return append(slices.Clone(addresses), make([]string, n-len(addresses))...)
}

// place asks another instance for an upstream.
func (p *peers) place(ctx context.Context, id string, r *loompb.PlaceRequest) (*loompb.PlaceReply, bool) {
	return p.placeWithin(ctx, id, r, placeTimeout)
}

// placeWithin asks another instance for an upstream. It returns false if that instance
// does not answer within timeout or has failed to do so within placeBackoff.
func (p *peers) placeWithin(ctx context.Context, id string, r *loompb.PlaceRequest, timeout time.Duration) (*loompb.PlaceReply, bool) {
	p.mu.Lock()
	peer, ok := p.byID[id]
	ok = ok && time.Since(peer.placeFailedAt) > placeBackoff
	p.mu.Unlock()
	if !ok {
		return nil, false
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peer.client.Place(call, r)
	if err == nil {
		return reply, true
	}
	if ctx.Err() == nil {
		p.mu.Lock()
		peer.placeFailedAt = time.Now()
		p.mu.Unlock()
	}
	return nil, false
}

// Place implements loompb.GatePeerServer.
func (s *peerService) Place(ctx context.Context, r *loompb.PlaceRequest) (*loompb.PlaceReply, error) {
	now := time.Now()
	if !s.gate.coordinators.isCoordinator() {
		return &loompb.PlaceReply{}, nil
	}
	if r.GetWait() != nil {
		return s.placeInOrder(ctx, now, r), nil
	}
	q := s.gate.queryOf(r)
	p, err := q.choose(now)
	if err != nil {
		return &loompb.PlaceReply{}, nil
	}
	reply := newPlaceReply(p)
	reply.QueuedMicros = s.gate.queuedFor(now, r).Microseconds()
	if p.limitDelay.wait > 0 {
		s.gate.addLimitDelay(reply, p)
		return reply, nil
	}
	if r.GetOnlyEstimate() || (!r.GetMustStart() && !q.hasCapacity(p)) || !s.gate.limits.take(now, p.upstream) {
		return reply, nil
	}
	kv := q.planKV(now, p)
	q.recordPlacement(p)
	s.gate.reserve(now, &q, p)
	addReservation(reply, kv)
	return reply, nil
}

// newPlaceReply returns the reply that describes a placement.
func newPlaceReply(p placement) *loompb.PlaceReply {
	return &loompb.PlaceReply{
		UpstreamId:     p.upstream.ID,
		Version:        p.version,
		WaitMicros:     p.wait.Microseconds(),
		ExpectedMicros: p.choice.Expected.Microseconds(),
		Recompute:      uint32(p.choice.Recompute),
		Import:         uint32(p.choice.Import),
		TokensAhead:    uint32(max(p.tokensAhead, 0)),
		CachedTokens:   uint32(p.cachedTokens),
	}
}

// addLimitDelay adds how long the limits of the upstreams hold the request. The requests of all
// instances that ask here share them.
func (g *Gate) addLimitDelay(reply *loompb.PlaceReply, p placement) {
	reply.HeldMicros = p.limitDelay.wait.Microseconds()
	reply.HeldIntervalMicros = (p.limitDelay.interval * time.Duration(g.coordinators.meanInstances())).Microseconds()
}

// addReservation adds that the upstream expects the attempt, with a plan for the KV cache.
func addReservation(reply *loompb.PlaceReply, kv kvPlan) {
	reply.IsReserved = true
	reply.Fetch = kv.fetch
	reply.Save = kv.save
	reply.FetchedTokens = uint32(kv.fetchedTokens)
	reply.FetchUntilMicros = kv.fetchUntil.Microseconds()
}

// queryOf returns the query in a request of another instance.
func (g *Gate) queryOf(r *loompb.PlaceRequest) placementQuery {
	q := placementQuery{
		gate:          g,
		failureDomain: r.GetFailureDomain(),
		rank:          int(r.GetRank()),
		remoteScope:   r.GetCacheScope(),
		regions:       loomcatalogue.NewRegions(r.GetAllowedRegions()),
		startTimeout:  time.Duration(r.GetStartTimeoutMs()) * time.Millisecond,
		triedIDs:      r.GetTriedIds(),
		suspectIDs:    r.GetSuspectIds(),
		isWanted:      r.GetIsRepeated(),
		prefersIdle:   r.GetPrefersIdle(),
		isRemote:      true,
		heldOff:       heldOffIn(r),
	}
	var ok bool
	if q.group, ok = g.view.routing().Group(r.GetGroup()); !ok {
		q.group = loomcatalogue.Group{Name: r.GetGroup()}
	}
	q.pauseObjective = g.view.routing().PauseObjective(q.group.Name)
	prompt := r.GetPrompt()
	if prompt == nil {
		return q
	}
	q.hasPrompt = true
	q.prompt = promptOf(prompt)
	if n := len(q.prompt.Parts); n > 0 && q.prompt.UntrackedParts == 0 && !r.GetIsRepeated() {
		q.isLastPartReusable = g.partReuse.Record(r.GetRoute(), q.prompt.Parts[n-1].ID)
	} else if n > 0 {
		q.isLastPartReusable = g.partReuse.IsReused(r.GetRoute())
	}
	return q
}

// promptOf returns the prompt in a message, with numbers and parts within the bounds of a prompt
// that a caller has sent.
func promptOf(m *loompb.Prompt) Prompt {
	p := Prompt{
		Model:                m.GetModel(),
		Tokens:               min(int(m.GetTokens()), loomcache.MaxTokens),
		ExpectedOutputTokens: min(int(m.GetExpectedOutputTokens()), loomcache.MaxTokens),
	}
	for _, part := range m.GetParts() {
		if len(p.Parts) >= loomcache.MaxParts || len(part.GetId()) > loomcache.MaxPartIDBytes {
			break
		}
		p.Parts = append(p.Parts, PromptPart{ID: part.GetId(), Tokens: min(int(part.GetTokens()), loomcache.MaxTokens)})
	}
	p.UntrackedParts = len(m.GetParts()) - len(p.Parts)
	return p
}

// reserve counts a request that is about to be sent, for reservationTTL.
func (g *Gate) reserve(now time.Time, q *placementQuery, p placement) loomroute.Ticket {
	ticket := g.fleet.RecordSentWithMemory(now, p.upstream.ID, q.expectedWork(p.choice), q.memoryTokens())
	time.AfterFunc(reservationTTL, func() { g.fleet.Done(ticket) })
	return ticket
}

// queuedFor returns the work that goes before a request of another instance and
// waits anywhere but at that instance.
func (g *Gate) queuedFor(now time.Time, r *loompb.PlaceRequest) time.Duration {
	own := g.queues.work()
	var ahead time.Duration
	for _, w := range g.queues.elsewhere.total(now, own, func(peer string) bool { return peer != r.GetFrom() }) {
		if w.GetGroup() == r.GetGroup() && w.GetRank() <= r.GetRank() {
			ahead += time.Duration(w.GetMicros()) * time.Microsecond
		}
	}
	return ahead
}
