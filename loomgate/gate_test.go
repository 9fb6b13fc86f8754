package loomgate

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// fakeSource is a Source with an in-memory table. It decodes rows in a small
// text format and has no feeds.
type fakeSource struct {
	mu      sync.Mutex
	rows    map[string]*loompb.Row
	version uint64
	epoch   uint64
	down    bool
}

var errDown = errors.New("the platform is down")

func newFakeSource() *fakeSource {
	return &fakeSource{rows: make(map[string]*loompb.Row)}
}

func (s *fakeSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Changes implements Source.
func (s *fakeSource) Changes(context.Context, Topic, uint64, time.Duration) (Page, error) {
	return Page{}, errDown
}

// Snapshot implements Source.
func (s *fakeSource) Snapshot(context.Context, Topic) (Page, error) {
	return Page{}, errDown
}

// Epoch implements Source.
func (s *fakeSource) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Clock implements Source.
func (s *fakeSource) Clock(now time.Time) (ClockReading, bool) {
	return ClockReading{Time: now.Sub(fakeSourceStart), From: now, Until: now}, true
}

// fakeSourceStart is when the clock of a fakeSource showed zero.
var fakeSourceStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Transact implements loomplatform.Table.
func (s *fakeSource) Transact(_ context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	for _, c := range r.GetConditions() {
		if row := s.rows[c.GetKey()]; row.GetVersion() != c.GetVersion() {
			return &loompb.TransactReply{Rows: []*loompb.Row{{Key: c.GetKey(), Value: row.GetValue(), Version: row.GetVersion()}}}, nil
		}
	}
	s.version++
	for _, w := range r.GetWrites() {
		s.rows[w.GetKey()] = &loompb.Row{Key: w.GetKey(), Value: w.GetValue(), Version: s.version}
	}
	return &loompb.TransactReply{Applied: true, Version: s.version}, nil
}

// ReadRows implements loomplatform.Table.
func (s *fakeSource) ReadRows(_ context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	reply := &loompb.ReadRowsReply{}
	for _, key := range r.GetKeys() {
		row := s.rows[key]
		reply.Rows = append(reply.Rows, &loompb.Row{Key: key, Value: row.GetValue(), Version: row.GetVersion()})
	}
	return reply, nil
}

// Decode implements Source. It accepts the values "routing N", "weights N", "up N" and "cold
// N", with the milliseconds for which the upstream stays cold, and keys that begin with
// "evacuate/". The key of an upstream ends with its failure domain after "@".
func (s *fakeSource) Decode(_ Topic, r Row) (Change, error) {
	if domain, ok := strings.CutPrefix(r.Key, "evacuate/"); ok {
		if r.Deleted {
			return EvacuationEnded{FailureDomain: domain}, nil
		}
		return EvacuationStarted{FailureDomain: domain}, nil
	}
	kind, number, _ := strings.Cut(string(r.Value), " ")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil && !r.Deleted {
		return nil, errors.Trace(err)
	}
	switch {
	case r.Deleted:
		return UpstreamRemoved{ID: r.Key, Version: r.Version}, nil
	case kind == "routing":
		return RoutingChanged{Routing: loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
			Revision: n,
			Groups:   []loomcatalogue.Group{{Name: "engines", Engine: &loomcatalogue.EngineClass{Models: []string{"m"}}}},
		})}, nil
	case kind == "weights":
		return TargetVersionSet{Model: "m", Version: n}, nil
	case kind == "cold":
		_, domain, _ := strings.Cut(r.Key, "@")
		return UpstreamListed{Version: r.Version, ColdLeft: time.Duration(n) * time.Millisecond, HasColdLeft: true, Upstream: loommember.Upstream{
			ID: r.Key, Group: "engines", FailureDomain: domain, Address: r.Key, Weights: []loommember.Weights{{Model: "m", Version: 1}},
		}}, nil
	default:
		_, domain, _ := strings.Cut(r.Key, "@")
		return UpstreamListed{Version: r.Version, Upstream: loommember.Upstream{
			ID: r.Key, Group: "engines", FailureDomain: domain, Address: r.Key, Weights: []loommember.Weights{{Model: "m", Version: n}},
		}}, nil
	}
}

// fakeRunner is a Runner whose engines accept every order and load the weights
// at once. Sends fail as unreachable.
type fakeRunner struct {
	mu       sync.Mutex
	versions map[string]uint64
	orders   []loomupstream.Order
}

// Send implements loomupstream.Runner.
func (r *fakeRunner) Send(context.Context, string, loomupstream.Send) (*loomupstream.Reply, error) {
	return nil, &loomupstream.SendError{Unreachable: true, Cause: errDown}
}

// HasEnded implements loomupstream.Runner.
func (r *fakeRunner) HasEnded(context.Context, string) (bool, error) {
	return false, nil
}

// Report implements loomupstream.Runner.
func (r *fakeRunner) Report(_ context.Context, address, _ string) (loomupstream.EngineState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return loomupstream.EngineState{Weights: []loomupstream.EngineWeights{{Model: "m", Version: r.versions[address]}}}, nil
}

// Order implements loomupstream.Runner.
func (r *fakeRunner) Order(_ context.Context, address string, o loomupstream.Order) (loomupstream.OrderReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[address] = o.Version
	r.orders = append(r.orders, o)
	return loomupstream.OrderReply{Outcome: loomupstream.OrderAccepted}, nil
}

func (r *fakeRunner) orderCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.orders)
}

func newTestGate(t testing.TB, id string, s *fakeSource, r *fakeRunner) *Gate {
	t.Helper()
	g, err := New(Settings{ID: id, OldWeightsTTL: 10 * time.Second, LeavingLimit: 2 * time.Second, RenewalInterval: 1200 * time.Millisecond, MinOrderGap: 3 * time.Second, RetryReserve: 10, RetryRatio: 0.2},
		Options{Log: slog.New(slog.DiscardHandler), Source: s, Runner: r})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = g.metrics.Close() })
	return g
}

func page(version uint64, rows ...Row) Page {
	return Page{Version: version, Rows: rows}
}

func row(key, value string, version uint64) Row {
	return Row{Key: key, Value: []byte(value), Version: version}
}

// TestOldWeightsExpire checks that a second target version does not extend the
// time that the weights before the first one may serve.
func TestOldWeightsExpire(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(at, TopicCatalogue, page(1, row("v", "weights 2", 1)), true)
	g.view.apply(at.Add(4*time.Second), TopicCatalogue, page(2, row("v", "weights 3", 2)), false)
	tests := []struct {
		name    string
		version uint64
		after   time.Duration
		want    bool
	}{
		{"first version, before its time has passed", 1, 5 * time.Second, false},
		{"first version, after its time has passed", 1, 9 * time.Second, true},
		{"second version, before its time has passed", 2, 9 * time.Second, false},
		{"second version, after its time has passed", 2, 13 * time.Second, true},
		{"newest version", 3, time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, g.view.weightsExpired(at.Add(tt.after), time.Second, "m", tt.version), tt.want)
		})
	}
}

// TestNoRequestBeginsOnExpiredWeights checks that an engine gets no request that would expect
// to begin on expired weights, that an attempt that begins later than expected is ended while
// the weights may still serve, and that engines serve until then however patient callers are.
func TestNoRequestBeginsOnExpiredWeights(t *testing.T) {
	routes := []loomcatalogue.Route{
		{Name: "short", LatencyObjective: 100 * time.Millisecond},
		{Name: "long", LatencyObjective: 900 * time.Millisecond},
		{Name: "pauses", LatencyObjective: 100 * time.Millisecond, EventGapObjective: 400 * time.Millisecond},
		{Name: "patient", LatencyObjective: 1200 * time.Millisecond, EventGapObjective: 600 * time.Millisecond},
	}
	for _, route := range routes {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
				named := time.Now()
				g.view.apply(named, TopicCatalogue, page(1, row("v", "weights 2", 1)), true)
				old := loommember.Upstream{ID: "e1", Weights: []loommember.Weights{{Model: "m", Version: 1}}}
				r := &request{IncomingRequest: IncomingRequest{HasPrompt: true, Prompt: Prompt{Model: "m"}}, route: route}
				ttl := g.settings.OldWeightsTTL
				var last time.Duration
				for ; time.Since(named) < ttl+2*time.Second; time.Sleep(50 * time.Millisecond) {
					now := time.Now()
					d := &dispatch{placementQuery: newPlacementQuery(g, r), req: r}
					if d.hasExpiredWeights(now, old) {
						continue
					}
					last = now.Sub(named)
					d.version = 1
					d.lifecycle = loomstream.NewLifecycle(false, nil, loomstream.Backoff{})
					endedAfter := make(chan time.Duration, 1)
					d.limitStart(now, func() { endedAfter <- time.Since(named) })
					go func() { assert.Check(t, <-endedAfter < ttl, "sent %s after the name", now.Sub(named)) }()
				}
				assert.Check(t, last+2*time.Second < ttl, "a request that begins within 2 s was sent after %s", last)
				assert.Check(t, last+2500*time.Millisecond > ttl, "the engine stood idle from %s on", last)
				time.Sleep(ttl)
			})
		})
	}
}

func TestViewIgnoresOlderRevisions(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(at, TopicCatalogue, page(10, row("c", "routing 7", 10)), true)
	g.view.apply(at, TopicCatalogue, page(11, row("c", "routing 5", 11)), false)
	assert.Equal(t, g.view.routing().Revision(), uint64(7), "older revision in a newer row")
	g.view.apply(at, TopicCatalogue, page(9, row("c", "routing 9", 9)), false)
	assert.Equal(t, g.view.routing().Revision(), uint64(7), "older rows from a peer")
	g.view.apply(at, TopicCatalogue, page(12, row("c", "nonsense", 12)), false)
	assert.Equal(t, g.view.routing().Revision(), uint64(7), "undecodable row")
	g.view.apply(at, TopicCatalogue, page(13, row("c", "routing 8", 13)), false)
	assert.Equal(t, g.view.routing().Revision(), uint64(8))
}

func TestSnapshotRemovesAbsentUpstreams(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(at, TopicUpstreams, page(3, row("e1", "up 1", 1), row("e2", "up 1", 2)), true)
	assert.Equal(t, len(g.usableUpstreams(at, "engines")), 2)
	// The change that removed e1 is lost from the platform's history, so only
	// its absence from the snapshot shows the removal.
	g.view.apply(at, TopicUpstreams, page(9, row("e2", "up 1", 2)), true)
	usable := g.usableUpstreams(at, "engines")
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, usable[0].ID, "e2")
}

// TestPeerSnapshotRemovesAbsentUpstreams checks that a peer's rows are applied
// as a full snapshot, so that an entry that is missing from them is removed.
func TestPeerSnapshotRemovesAbsentUpstreams(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(at, TopicUpstreams, page(3, row("e1", "up 1", 1), row("e2", "up 1", 2)), true)
	peer := newTestGate(t, "b", newFakeSource(), &fakeRunner{})
	peer.view.apply(at, TopicUpstreams, page(3, row("e1", "up 1", 1), row("e2", "up 1", 2)), true)
	peer.view.apply(at, TopicUpstreams, page(4, Row{Key: "e1", Version: 4, Deleted: true}), false)
	g.view.apply(at, TopicUpstreams, peer.view.snapshot(TopicUpstreams), true)
	assert.Equal(t, len(g.usableUpstreams(at, "engines")), 1)
}

// newRolloutGate returns a gate with two engines that lack the target version.
func newRolloutGate(t *testing.T, id string, s *fakeSource, r *fakeRunner) *Gate {
	t.Helper()
	g := newTestGate(t, id, s, r)
	now := time.Now()
	g.view.apply(now, TopicCatalogue, page(2, row("c", "routing 1", 1), row("v", "weights 2", 2)), true)
	g.view.apply(now, TopicUpstreams, page(4, row("e1", "up 1", 3), row("e2", "up 1", 4)), true)
	return g
}

func reconcileUntil(t *testing.T, g *Gate, limit time.Duration, done func() bool) bool {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.rollout.reconcile(t.Context())
		if done() {
			return true
		}
	}
	return false
}

func TestRolloutHasSingleHolder(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	a, b := newRolloutGate(t, "a", s, r), newRolloutGate(t, "b", s, r)
	assert.Assert(t, reconcileUntil(t, a, time.Second, func() bool { return r.orderCount() == 1 }))
	assert.Assert(t, !reconcileUntil(t, b, 500*time.Millisecond, func() bool { return r.orderCount() > 1 }), "another instance holds the lease")
}

func TestRolloutContinuesDuringPlatformOutage(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	g := newRolloutGate(t, "a", s, r)
	assert.Assert(t, reconcileUntil(t, g, time.Second, func() bool { return r.orderCount() == 1 }))
	s.setDown(true)
	assert.Assert(t, reconcileUntil(t, g, 5*time.Second, func() bool { return r.orderCount() == 2 }), "the lease must outlast a short outage")
}

func TestRolloutReclaimsLeaseAfterRestart(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	g := newRolloutGate(t, "a", s, r)
	assert.Assert(t, reconcileUntil(t, g, time.Second, func() bool { return r.orderCount() == 1 }))
	time.Sleep(2 * time.Millisecond)
	again := newRolloutGate(t, "a", s, r)
	assert.Assert(t, reconcileUntil(t, again, 2*time.Second, func() bool { return r.orderCount() == 2 }), "a restarted process must reclaim its own lease")
	assert.Assert(t, r.orders[1].Fence > r.orders[0].Fence)
}

func TestRolloutStopsOrdersBeforeLeaseExpiry(t *testing.T) {
	g := newRolloutGate(t, "a", newFakeSource(), &fakeRunner{versions: map[string]uint64{}})
	now := bootTime()
	assert.Assert(t, g.rollout.ensureLease(t.Context(), now))
	window := g.rollout.orderWindow()
	assert.Assert(t, !g.rollout.canOrder(now.Add(window+time.Millisecond)), "no order may be sent after the window")
	// The next holder waits for the full lease duration from the last renewal
	// that it saw.
	assert.Assert(t, leaseDuration-window >= g.settings.MinOrderGap, "orders of two holders must be at least MinOrderGap apart")
}

func TestRolloutReleasesLease(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	a, b := newRolloutGate(t, "a", s, r), newRolloutGate(t, "b", s, r)
	assert.Assert(t, reconcileUntil(t, a, time.Second, func() bool { return r.orderCount() == 1 }))
	a.rollout.releaseLease(t.Context())
	releasedAt := time.Now()
	assert.Assert(t, reconcileUntil(t, b, 6*time.Second, func() bool { return r.orderCount() == 2 }))
	assert.Assert(t, time.Since(releasedAt) >= b.settings.MinOrderGap, "orders of two holders must be at least MinOrderGap apart")
}

// returnEmpty makes the source return from a copy that is older than all rows.
func (s *fakeSource) returnEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[string]*loompb.Row)
	s.version = 0
	s.epoch++
}

// TestRolloutGivesUpLeaseWhenTableReturns guards against two instances that order weights
// at the same time, and against a fencing token that is used again, after the platform's
// table has lost the row of the lease.
func TestRolloutGivesUpLeaseWhenTableReturns(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	a, b := newRolloutGate(t, "a", s, r), newRolloutGate(t, "b", s, r)
	assert.Assert(t, reconcileUntil(t, a, time.Second, func() bool { return r.orderCount() == 1 }))
	token := r.orders[0].Fence
	b.rollout.reconcile(t.Context())
	s.returnEmpty()
	returnedAt := bootTime()
	b.rollout.reconcile(t.Context())
	assert.Assert(t, reconcileUntil(t, b, 3*time.Second, func() bool { _, held := b.rollout.lease.Held(bootTime()); return held }), "the row is free")
	assert.Assert(t, !b.rollout.canOrder(bootTime()), "the earlier holder may still act")
	assert.Assert(t, !b.rollout.canOrder(returnedAt.Add(a.rollout.orderWindow()+a.settings.MinOrderGap)))
	next, held := b.rollout.lease.Held(bootTime())
	assert.Assert(t, held)
	assert.Assert(t, next > token, "token %d after %d", next, token)
	a.rollout.followEpoch(bootTime())
	assert.Assert(t, !a.rollout.canOrder(bootTime()), "the lease of the earlier epoch is over")
}

// TestRolloutGoesOnAfterTableReturns checks that the holder of the lease takes it again at
// once when the platform's table has lost the row.
func TestRolloutGoesOnAfterTableReturns(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	a := newRolloutGate(t, "a", s, r)
	assert.Assert(t, reconcileUntil(t, a, time.Second, func() bool { return r.orderCount() == 1 }))
	s.returnEmpty()
	assert.Assert(t, reconcileUntil(t, a, 5*time.Second, func() bool { return r.orderCount() == 2 }))
	assert.Assert(t, r.orders[1].Fence > r.orders[0].Fence)
}
