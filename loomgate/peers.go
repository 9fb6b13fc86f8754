package loomgate

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

const (
	// instancesPollTimeout is how long the platform holds a poll of the instance
	// rows open.
	instancesPollTimeout = 25 * time.Second
	// instanceRowsInterval is the least time between two reads of the instance
	// rows, and reporterRowsInterval that of an instance that has a coordinator.
	instanceRowsInterval = time.Second
	reporterRowsInterval = 15 * time.Second
	// peerBufferBytes is the size in bytes of each read and write buffer of a
	// connection between peers.
	peerBufferBytes = 4 << 10
	instancePrefix  = "instances/"
)

// instanceRow is the platform's row that an instance writes about itself.
type instanceRow struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	// ProcessorCores is the processor capacity in cores.
	ProcessorCores float64 `json:"processor_cores"`
}

// maxIncarnation is the largest integer that JSON numbers hold exactly.
const maxIncarnation = 1 << 53

// decodeInstanceRow decodes the row of an instance. A row that no instance can have written
// is an error.
func decodeInstanceRow(row Row) (instanceRow, error) {
	var r instanceRow
	if err := row.Unmarshal(&r); err != nil {
		return instanceRow{}, errors.Annotate(err, "decode instance row")
	}
	if address, err := netip.ParseAddrPort(r.Address); err != nil || address.Port() == 0 {
		return instanceRow{}, errors.NotValidf("instance row with address %q, want an IP address and a port", r.Address)
	}
	if r.Incarnation > maxIncarnation {
		return instanceRow{}, errors.NotValidf("instance row with incarnation %d (maximum %d)", r.Incarnation, uint64(maxIncarnation))
	}
	return r, nil
}

// peers exchanges loads, placements and row versions with other instances.
type peers struct {
	gate   *Gate
	server *grpc.Server

	mu sync.Mutex
	// byID is keyed by instance ID and does not contain this instance.
	byID map[string]*peer
	// pendingPlacements and pendingSamples wait for the next exchange round.
	pendingPlacements []*loompb.Placement
	pendingSamples    []*loompb.PrefillSample
	// version is the newest version of the instance rows that was applied. Only
	// watchInstances reads it.
	version uint64
	// hasRows is closed once the instance rows have been read.
	hasRows     chan struct{}
	hasRowsOnce sync.Once
	// contactsAt is when the contact with upstreams was last reported. Only exchangeLoop
	// uses it.
	contactsAt time.Time
	// answeredAt is when a peer last answered a call to exchange state.
	answeredAt time.Time
	// own is the platform's row of this instance. Only watchInstances uses it.
	own ownRow
}

// peer is another instance and the connection to it.
type peer struct {
	id     string
	row    instanceRow
	conn   *grpc.ClientConn
	client loompb.GatePeerClient
	// failedRounds counts the failed calls since the last answer, roundsToSkip
	// the rounds in which the peer is still left out. inFlight is set while a
	// call is in progress.
	failedRounds int
	roundsToSkip int
	// failingSince is when the first of the failed calls ended.
	failingSince time.Time
	inFlight     bool
	// placeFailedAt is when the peer last failed to choose an upstream in time.
	placeFailedAt time.Time
	// evidenceSent is the number of the first change of this instance that the peer lacks,
	// evidenceSeen that of the peer's incarnation evidenceIncarnation that this
	// instance lacks.
	evidenceSent, evidenceSeen uint64
	evidenceIncarnation        uint64
}

func newPeers(g *Gate) *peers {
	return &peers{gate: g, byID: make(map[string]*peer), hasRows: make(chan struct{})}
}

// waitForRows waits until the instance rows have been read, or limit has passed.
// It returns false if ctx has ended.
func (p *peers) waitForRows(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-p.hasRows:
	case <-timer.C:
	}
	return true
}

// run serves calls of peers and exchanges state with them until ctx ends.
func (p *peers) run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", p.gate.settings.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "listen for peers on %s", p.gate.settings.PeerAddress)
	}
	p.server = loomplatform.NewServer(grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes))
	loompb.RegisterGatePeerServer(p.server, &peerService{gate: p.gate})
	var running sync.WaitGroup
	running.Go(func() { _ = p.server.Serve(listener) })
	running.Go(func() { p.announce(ctx) })
	running.Go(func() { p.watchInstances(ctx) })
	p.exchangeLoop(ctx)
	p.server.Stop()
	p.closeAll()
	running.Wait()
	return nil
}

// watchInstances reads a snapshot of the instance rows and then their changes.
func (p *peers) watchInstances(ctx context.Context) {
	full := true
	failures := 0
	for ctx.Err() == nil {
		sentAt := time.Now()
		var page Page
		var err error
		if full {
			page, err = p.gate.source.Snapshot(ctx, TopicInstances)
		} else {
			wait := instancesPollTimeout
			if p.own.mayBeLost {
				wait = instanceRowsInterval
			}
			page, err = p.gate.source.Changes(ctx, TopicInstances, p.version, wait)
		}
		switch {
		case err == nil:
			p.gate.view.recordAnswer(sentAt, time.Now())
			if full {
				p.own = ownRow{mayBeLost: p.isNewEpoch(page), isWritten: p.own.isWritten}
			}
			p.gate.view.applyNamedRows(time.Now(), page, full)
			p.gate.quarantine.applyRows(time.Now(), page, full)
			full = false
			failures = 0
			p.applyPage(time.Now(), page)
			p.announceAgain(ctx)
			if p.awaitNextRead(ctx) != nil {
				return
			}
		case errors.Is(err, ErrHistoryLost):
			full = true
			if p.gate.source.Epoch() != loomplatform.PositionEpoch(p.version) && loomkernel.Sleep(ctx, p.gate.randomDuration(epochSpread)) != nil {
				return
			}
		case errors.Is(err, ErrPollEnded), errors.Is(err, ErrPollOverdue):
		default:
			p.gate.view.recordFailure(sentAt)
			failures++
			pause := max(platformRetryPause(failures, p.gate.coordinators.hasCoordinator()), platformRetryInterval)
			if loomkernel.Sleep(ctx, p.gate.jitter(pause)) != nil {
				return
			}
		}
	}
}

// awaitNextRead waits until the instance rows are to be read again. It ends early when the
// instance loses its coordinators, since others may have been elected.
func (p *peers) awaitNextRead(ctx context.Context) error {
	for start := time.Now(); ; {
		rest := p.rowsInterval() - time.Since(start)
		if rest <= 0 {
			return nil
		}
		if err := loomkernel.Sleep(ctx, p.gate.jitter(min(rest, instanceRowsInterval))); err != nil {
			return err
		}
	}
}

// rowsInterval returns the least time between two reads of the instance rows.
func (p *peers) rowsInterval() time.Duration {
	if p.gate.coordinators.hasCoordinator() {
		return reporterRowsInterval
	}
	return instanceRowsInterval
}

// deadAfter is how long a peer does not answer before others take over its duties.
const deadAfter = 8 * time.Second

// fleetMembers returns this instance and its peers, and which of them are alive.
func (p *peers) fleetMembers(now time.Time) []fleetMember {
	s := p.gate.settings
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]fleetMember, 0, len(p.byID)+1)
	members = append(members, fleetMember{id: s.ID, failureDomain: s.FailureDomain, capacity: s.ProcessorCores, isAlive: true})
	for id, peer := range p.byID {
		members = append(members, fleetMember{
			id: id, failureDomain: peer.row.FailureDomain, capacity: peer.row.ProcessorCores,
			isAlive: peer.failedRounds == 0 || now.Sub(peer.failingSince) < deadAfter,
		})
	}
	return members
}

// failing returns those of the given peers to which the last call failed or that
// are unknown.
func (p *peers) failing(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failing []string
	for _, id := range ids {
		peer, ok := p.byID[id]
		if id != p.gate.settings.ID && (!ok || peer.failedRounds > 0) {
			failing = append(failing, id)
		}
	}
	return failing
}

// applyPage applies rows of instances and adjusts the retry budgets to the number
// of instances.
func (p *peers) applyPage(now time.Time, page Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNewEpoch := p.isNewEpoch(page)
	p.version = max(p.version, page.Version)
	for _, row := range page.Rows {
		id, ok := instanceIDFromKey(row.Key)
		if !ok {
			continue
		}
		if id == p.gate.settings.ID {
			p.own = p.own.with(row, p.ownRow())
			continue
		}
		p.applyRow(now, id, row, isNewEpoch)
	}
	p.gate.retries.setInstances(len(p.byID) + 1)
	p.hasRowsOnce.Do(func() { close(p.hasRows) })
}

// instanceIDFromKey returns the instance ID in the key of a row, or false if the
// key is not that of an instance.
func instanceIDFromKey(key string) (string, bool) {
	if len(key) <= len(instancePrefix) || key[:len(instancePrefix)] != instancePrefix {
		return "", false
	}
	return key[len(instancePrefix):], true
}

// applyRow adds, replaces or removes one peer. In a new epoch of the platform's table, an
// earlier incarnation than the known one comes from an older copy. The caller holds mu.
func (p *peers) applyRow(now time.Time, id string, row Row, isNewEpoch bool) {
	old, known := p.byID[id]
	if row.Deleted {
		if known {
			old.close()
			delete(p.byID, id)
			p.gate.log.Info("peer_removed", "peer", id)
		}
		return
	}
	r, err := decodeInstanceRow(row)
	if err != nil {
		p.gate.unreadable.record(now, TopicInstances, row, err)
		return
	}
	if known && (old.row == r || (isNewEpoch && r.Incarnation < old.row.Incarnation)) {
		return
	}
	conn, err := loomplatform.Dial(r.Address, nil, grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes))
	if err != nil {
		p.gate.log.Warn("peer_unreachable", "peer", id, "cause", err.Error())
		return
	}
	if known {
		old.close()
	}
	p.byID[id] = &peer{id: id, row: r, conn: conn, client: loompb.NewGatePeerClient(conn)}
	p.gate.log.Info("peer_found", "peer", id, "address", r.Address, "incarnation", r.Incarnation)
}

// isNear reports whether a peer is known to be in this instance's failure domain, so that the
// same upstreams are reachable from both unless one of them fails.
func (p *peers) isNear(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.byID[id]
	return ok && peer.row.FailureDomain == p.gate.settings.FailureDomain
}

func (p *peer) close() {
	_ = p.conn.Close()
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.byID {
		peer.close()
	}
}

// liveInstances returns the sorted IDs of this instance and of all peers whose
// last call did not fail.
func (p *peers) liveInstances() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := []string{p.gate.settings.ID}
	for id, peer := range p.byID {
		if peer.failedRounds == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isSolo reports whether no peer has told this instance anything for soloAfter.
func (p *peers) isSolo(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.answeredAt) > soloAfter
}

// rank returns the place of this instance, from zero, among the live instances, and their number.
// An instance to which no peer answers counts as the only one.
func (p *peers) rank(now time.Time) (rank, n int) {
	if p.isSolo(now) {
		return 0, 1
	}
	live := p.liveInstances()
	return slices.Index(live, p.gate.settings.ID), len(live)
}
