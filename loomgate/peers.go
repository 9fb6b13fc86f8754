package loomgate

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"swiftloom/loomkernel"
	"swiftloom/loomplatform"
	"swiftloom/loomroute"

	"swiftloom/loompb"
)

const (
	// exchangeInterval is the time between two rounds with peers.
	exchangeInterval = 80 * time.Millisecond
	// exchangeSpacing bounds the calls of one instance to some eighty a second.
	exchangeSpacing = 12 * time.Millisecond
	// exchangeTimeout bounds one call to a peer.
	exchangeTimeout = 600 * time.Millisecond
	// rowsTimeout bounds the reading of a peer's rows.
	rowsTimeout = time.Second
	// instancesWait is how long the platform holds a call for changes of the
	// instances.
	instancesWait = 25 * time.Second
	// maxPeers bounds the peers that one instance talks to in a round.
	maxPeers = 12
	// maxPlacements bounds the placements that wait to be told.
	maxPlacements = 512
	// silentPeer is after how many failed rounds a peer is called less often,
	// and silentRounds how many rounds it is then left out.
	silentPeer   = 4
	silentRounds = 8
	// peerBufferBytes is the size of the buffers of a connection between peers.
	peerBufferBytes = 4 << 10
	instancePrefix  = "instances/"
)

// instanceRow is what an instance writes of itself.
type instanceRow struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
}

// peers exchanges loads, placements and beliefs with other instances.
type peers struct {
	gate   *Gate
	server *grpc.Server

	mu sync.Mutex
	// known is keyed by instance ID and never holds the own one.
	known      map[string]*peer
	placements []*loompb.Placement
	// version is that of the rows of instances that were taken in.
	version uint64
}

type peer struct {
	id     string
	row    instanceRow
	conn   *grpc.ClientConn
	client loompb.GatePeerClient
	// failed counts the rounds since the last answer, skip the rounds to leave
	// out; busy tells that a call is under way.
	failed int
	skip   int
	busy   bool
}

func newPeers(g *Gate) *peers {
	return &peers{gate: g, known: make(map[string]*peer)}
}

// run serves peers and talks to them until ctx ends.
func (p *peers) run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", p.gate.settings.PeerAddress)
	if err != nil {
		return errors.Annotate(err, "listen for peers")
	}
	p.server = grpc.NewServer(grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes))
	loompb.RegisterGatePeerServer(p.server, &peerService{gate: p.gate})
	var running sync.WaitGroup
	running.Go(func() { _ = p.server.Serve(listener) })
	running.Go(func() { p.announce(ctx) })
	running.Go(func() { p.follow(ctx) })
	p.rounds(ctx)
	p.server.Stop()
	p.closeAll()
	running.Wait()
	return nil
}

// announce writes the row of this instance once, so that others find it.
func (p *peers) announce(ctx context.Context) {
	s := p.gate.settings
	value, err := json.Marshal(instanceRow{Address: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: p.gate.incarnation})
	if err != nil {
		p.gate.log.Error("announce_failed", "cause", err.Error())
		return
	}
	r := &loompb.TransactRequest{Writes: []*loompb.Write{{Key: instancePrefix + s.ID, Value: value}}}
	for ctx.Err() == nil {
		if _, err = p.gate.source.Transact(ctx, r); err == nil {
			return
		}
		p.gate.log.Warn("announce_failed", "cause", err.Error())
		if loomkernel.Pause(ctx, p.gate.jitter(retryInterval)) != nil {
			return
		}
	}
}

// follow reads the rows of the instances and their changes.
func (p *peers) follow(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		var page Page
		var err error
		if whole {
			page, err = p.gate.source.Snapshot(ctx, TopicInstances)
		} else {
			page, err = p.gate.source.Feed(ctx, TopicInstances, p.version, instancesWait)
		}
		switch {
		case err == nil:
			whole = false
			p.take(page)
		case errors.Is(err, ErrHistoryLost):
			whole = true
		default:
			if loomkernel.Pause(ctx, p.gate.jitter(retryInterval)) != nil {
				return
			}
		}
	}
}

func (p *peers) take(page Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = max(p.version, page.Version)
	for _, row := range page.Rows {
		id, ok := cutInstance(row.Key)
		if !ok || id == p.gate.settings.ID {
			continue
		}
		p.takeRow(id, row)
	}
	p.gate.retries.setInstances(len(p.known) + 1)
}

func cutInstance(key string) (string, bool) {
	if len(key) <= len(instancePrefix) || key[:len(instancePrefix)] != instancePrefix {
		return "", false
	}
	return key[len(instancePrefix):], true
}

func (p *peers) takeRow(id string, row Row) {
	old, known := p.known[id]
	if row.Deleted {
		if known {
			old.close()
			delete(p.known, id)
			p.gate.log.Info("peer_removed", "peer", id)
		}
		return
	}
	var r instanceRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		p.gate.log.Warn("row_unreadable", "topic", "instances", "key", row.Key, "cause", err.Error())
		return
	}
	if known && old.row == r {
		return
	}
	if known {
		old.close()
	}
	conn, err := loomplatform.Dial(r.Address, nil, grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes))
	if err != nil {
		p.gate.log.Warn("peer_unreachable", "peer", id, "cause", err.Error())
		return
	}
	p.known[id] = &peer{id: id, row: r, conn: conn, client: loompb.NewGatePeerClient(conn)}
	p.gate.log.Info("peer_found", "peer", id, "address", r.Address, "incarnation", r.Incarnation)
}

func (p *peer) close() {
	_ = p.conn.Close()
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.known {
		peer.close()
	}
}

// placed notes a placement that peers should know.
func (p *peers) placed(upstream, salt string, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if len(p.placements) >= maxPlacements {
			return
		}
		p.placements = append(p.placements, &loompb.Placement{UpstreamId: upstream, Salt: salt, Part: part.ID, Tokens: uint32(part.Tokens)})
	}
}

// rounds tells peers what is new until ctx ends.
func (p *peers) rounds(ctx context.Context) {
	interval := exchangeInterval
	for loomkernel.Pause(ctx, interval) == nil {
		now := time.Now()
		p.gate.beliefs.tidy(now)
		request := p.message()
		due := p.due()
		for _, peer := range due {
			go p.exchange(ctx, peer, request)
		}
		interval = max(exchangeInterval, time.Duration(len(due))*exchangeSpacing)
	}
}

// message returns what is told in a round.
func (p *peers) message() *loompb.ExchangeRequest {
	p.mu.Lock()
	placements := p.placements
	p.placements = nil
	p.mu.Unlock()
	g := p.gate
	r := &loompb.ExchangeRequest{
		From:             g.settings.ID,
		Incarnation:      g.incarnation,
		CatalogueVersion: g.beliefs.catalogueVersion.Load(),
		UpstreamsVersion: g.beliefs.upstreamsVersion.Load(),
		Placements:       placements,
		Weights:          g.rollout.told(time.Now()),
	}
	for _, l := range g.fleet.OwnLoads() {
		r.Loads = append(r.Loads, &loompb.UpstreamLoad{UpstreamId: l.ID, Outstanding: uint32(l.Outstanding), PendingTokens: uint32(l.Tokens), MemoryTokens: uint32(l.Memory)})
	}
	return r
}

// due returns the peers of a round.
func (p *peers) due() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := make([]*peer, 0, len(p.known))
	for _, peer := range p.known {
		if peer.busy {
			continue
		}
		if peer.skip > 0 {
			peer.skip--
			continue
		}
		due = append(due, peer)
	}
	if len(due) > maxPeers {
		random := p.gate.newRandom()
		random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		due = due[:maxPeers]
	}
	for _, peer := range due {
		peer.busy = true
	}
	return due
}

// exchange makes one call to a peer, and reads its rows when it knows more.
func (p *peers) exchange(ctx context.Context, peer *peer, r *loompb.ExchangeRequest) {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	reply, err := peer.client.Exchange(call, r)
	cancel()
	p.mu.Lock()
	peer.busy = false
	was := peer.failed
	if err != nil {
		peer.failed++
		if peer.failed >= silentPeer {
			peer.skip = silentRounds
		}
	} else {
		peer.failed = 0
	}
	p.mu.Unlock()
	if err != nil {
		if was+1 == silentPeer {
			p.gate.log.Warn("dependency_lost", "dependency", "peer", "peer", peer.id, "cause", err.Error())
		}
		return
	}
	if was >= silentPeer {
		p.gate.log.Info("dependency_regained", "dependency", "peer", "peer", peer.id)
	}
	p.catchUp(ctx, peer, reply)
}

// catchUp reads the rows of a peer that knows newer ones.
func (p *peers) catchUp(ctx context.Context, peer *peer, reply *loompb.ExchangeReply) {
	b := p.gate.beliefs
	if reply.GetCatalogueVersion() > b.catalogueVersion.Load() {
		select {
		case b.poke <- struct{}{}:
		default:
		}
		p.fetch(ctx, peer, TopicCatalogue)
	}
	if reply.GetUpstreamsVersion() > b.upstreamsVersion.Load() && b.age(time.Now()) > staleUpstreams {
		p.fetch(ctx, peer, TopicUpstreams)
	}
}

// staleUpstreams is the age from which the list is read from a peer.
const staleUpstreams = 2 * time.Second

func (p *peers) fetch(ctx context.Context, peer *peer, t Topic) {
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	reply, err := peer.client.Rows(ctx, &loompb.RowsRequest{Topic: t.String()})
	if err != nil {
		p.gate.log.Warn("peer_rows_failed", "peer", peer.id, "topic", t.String(), "cause", err.Error())
		return
	}
	page := Page{Version: reply.GetVersion()}
	for _, row := range reply.GetRows() {
		page.Rows = append(page.Rows, Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion(), Deleted: row.GetDeleted()})
	}
	p.gate.log.Info("rows_from_peer", "peer", peer.id, "topic", t.String(), "version", page.Version, "rows", len(page.Rows))
	p.gate.beliefs.apply(time.Now(), t, page, true)
}

// live returns the peers that answered lately, with this instance, in order.
func (p *peers) live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := []string{p.gate.settings.ID}
	for id, peer := range p.known {
		if peer.failed == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// peerService answers the calls of peers.
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
	g.fleet.PeerLoads(now, r.GetFrom(), loads)
	for _, pl := range r.GetPlacements() {
		g.residency.Note(pl.GetUpstreamId(), pl.GetSalt(), []Part{{ID: pl.GetPart(), Tokens: int(pl.GetTokens())}}, g.cacheTokensOf(pl.GetUpstreamId()))
	}
	g.rollout.heard(now, r.GetWeights())
	return &loompb.ExchangeReply{
		CatalogueVersion: g.beliefs.catalogueVersion.Load(),
		UpstreamsVersion: g.beliefs.upstreamsVersion.Load(),
	}, nil
}

// Rows implements loompb.GatePeerServer.
func (s *peerService) Rows(_ context.Context, r *loompb.RowsRequest) (*loompb.RowsReply, error) {
	t := TopicCatalogue
	if r.GetTopic() == TopicUpstreams.String() {
		t = TopicUpstreams
	}
	page := s.gate.beliefs.knownRows(t)
	reply := &loompb.RowsReply{Version: page.Version}
	for _, row := range page.Rows {
		reply.Rows = append(reply.Rows, &loompb.TopicRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return reply, nil
}

// cacheTokensOf returns how many tokens an engine is believed to cache.
func (g *Gate) cacheTokensOf(upstream string) int {
	for name, upstreams := range *g.beliefs.currentGroups.Load() {
		for _, u := range upstreams {
			if u.ID == upstream {
				group, _ := g.beliefs.routing().Group(name)
				return cacheTokens(group.Engine)
			}
		}
	}
	return defaultMemoryTokens
}
