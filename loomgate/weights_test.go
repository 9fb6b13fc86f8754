package loomgate

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loompb"
	"swiftloom/loomupstream"
)

// exchangeWith makes one exchange of g with another gate.
func exchangeWith(t *testing.T, g, other *Gate) {
	t.Helper()
	p := &peer{id: other.settings.ID, client: directClient{service: &peerService{gate: other}}}
	g.peers.exchange(t.Context(), p, g.peers.newExchangeRequest())
}

// TestWeightsExpireAtTheSameTimeAtAllInstances guards against an instance that learns late
// of new weights and lets requests begin on older ones for the whole time from then on.
func TestWeightsExpireAtTheSameTimeAtAllInstances(t *testing.T) {
	tests := []struct {
		name string
		// versions are named at intervals of four seconds. The late instance reads the
		// rows at readAt, if that is not zero, and hears of its peer after eight seconds.
		versions []string
		readAt   time.Duration
	}{
		{"started again", []string{"weights 2"}, 8 * time.Second},
		{"cut off from the platform", []string{"weights 2"}, 0},
		{"missed the first of two versions", []string{"weights 2", "weights 3"}, 8 * time.Second},
		{"missed the first of two versions and was cut off", []string{"weights 2", "weights 3"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := newTestGate(t, "a", newFakeSource(), &fakeRunner{}), newTestGate(t, "b", newFakeSource(), &fakeRunner{})
				namedAt := time.Now()
				var latest Page
				for i, value := range tt.versions {
					latest = page(uint64(i+1), row("v", value, uint64(i+1)))
					a.view.apply(time.Now(), TopicCatalogue, latest, false)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(time.Until(namedAt.Add(8 * time.Second)))
				if tt.readAt > 0 {
					b.view.apply(time.Now(), TopicCatalogue, latest, true)
				}
				exchangeWith(t, b, a)
				for _, g := range []*Gate{a, b} {
					id := g.settings.ID
					assert.Check(t, !g.view.weightsExpired(namedAt.Add(8*time.Second), time.Second, "m", 1), "%s: the weights may serve for a second more", id)
					assert.Check(t, g.view.weightsExpired(namedAt.Add(9*time.Second), time.Second, "m", 1), "%s: a request could begin %s after newer weights were named", id, g.settings.OldWeightsTTL)
				}
			})
		})
	}
}

// stuckEngine accepts requests and begins none. It records when each one is given up.
type stuckEngine struct {
	fakeRunner

	answersHead bool
	endedAt     []time.Time
}

// Send implements loomupstream.Runner.
func (e *stuckEngine) Send(ctx context.Context, _ string, s loomupstream.Send) (*loomupstream.Reply, error) {
	context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endedAt = append(e.endedAt, time.Now())
	})
	if e.answersHead {
		return &loomupstream.Reply{Status: http.StatusOK, Length: -1, RequestID: s.RequestID, Stamped: true, Version: s.Version, Body: newEventBody(ctx)}, nil
	}
	<-ctx.Done()
	return nil, &loomupstream.SendError{Delivered: true, Cause: ctx.Err()}
}

// TestRequestDoesNotWaitAtAnEngineWhenItsWeightsExpire guards against a request that waits at
// an engine for as long as its caller does, and begins there on weights that have expired.
func TestRequestDoesNotWaitAtAnEngineWhenItsWeightsExpire(t *testing.T) {
	for _, answersHead := range []bool{false, true} {
		t.Run(map[bool]string{false: "no answer", true: "no event"}[answersHead], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newLoadGate(t)
				engine := &stuckEngine{answersHead: answersHead}
				g.runner = engine
				namedAt := time.Now()
				g.view.apply(namedAt, TopicCatalogue, page(3, row("v", "weights 2", 3)), false)
				time.Sleep(7 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				serveRequest(ctx, g, "urgent", 1, 100)
				synctest.Wait()
				assert.Assert(t, len(engine.endedAt) > 0, "old weights must serve before they expire")
				for _, at := range engine.endedAt {
					assert.Check(t, at.Sub(namedAt) < g.settings.OldWeightsTTL, "a request waited at an engine until %s after newer weights were named", at.Sub(namedAt))
				}
			})
		})
	}
}

// slowClient takes some time to deliver a message.
type slowClient struct {
	directClient

	delay time.Duration
}

// Exchange implements loompb.GatePeerClient.
func (c slowClient) Exchange(ctx context.Context, r *loompb.ExchangeRequest, _ ...grpc.CallOption) (*loompb.ExchangeReply, error) {
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	return c.directClient.Exchange(ctx, r)
}

// TestWeightsDoNotAgeByExchanges guards against instances that take weights for older with
// each exchange by the time that a message takes.
func TestWeightsDoNotAgeByExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestGate(t, "a", newFakeSource(), &fakeRunner{}), newTestGate(t, "b", newFakeSource(), &fakeRunner{})
		namedAt := time.Now()
		for _, g := range []*Gate{a, b} {
			g.view.apply(namedAt, TopicCatalogue, page(1, row("v", "weights 2", 1)), true)
		}
		for i := range 40 {
			from, to := a, b
			if i%2 > 0 {
				from, to = b, a
			}
			p := &peer{id: to.settings.ID, client: slowClient{directClient: directClient{service: &peerService{gate: to}}, delay: 100 * time.Millisecond}}
			from.peers.exchange(t.Context(), p, from.peers.newExchangeRequest())
		}
		for _, g := range []*Gate{a, b} {
			at, ok := g.view.outdatedSince("m", 1)
			assert.Check(t, ok)
			assert.Check(t, at.Equal(namedAt), "%s: %s too early", g.settings.ID, namedAt.Sub(at))
		}
	})
}

// TestNamedVersionsKeepTheEarliestTimes checks that versions may become known in any order.
func TestNamedVersionsKeepTheEarliestTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 10 * time.Second
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		named := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) namedVersion {
			return namedVersion{version: uint64(rapid.IntRange(1, 6).Draw(t, "version")), namedAt: start.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "second")) * time.Second)}
		}), 1, 12).Draw(t, "named")
		now := start.Add(time.Duration(rapid.IntRange(30, 40).Draw(t, "now")) * time.Second)
		var h namedVersions
		for _, n := range named {
			h = h.with(now, n, ttl)
		}
		for version := range uint64(7) {
			// Weights are outdated since the earliest time of any later version.
			var want time.Time
			for _, n := range named {
				if n.version > version && (want.IsZero() || n.namedAt.Before(want)) {
					want = n.namedAt
				}
			}
			got, ok := h.after(version)
			assert.Equal(t, ok, !want.IsZero())
			if !ok {
				continue
			}
			assert.Equal(t, now.Sub(got.namedAt) > ttl, now.Sub(want) > ttl, "version %d", version)
			if now.Sub(want) <= ttl {
				assert.Assert(t, got.namedAt.Equal(want), "version %d: outdated since %s, want %s", version, got.namedAt, want)
			}
		}
	})
}

// lateEngine sends the first event of a stream at once and the second one after a pause.
type lateEngine struct {
	fakeRunner

	pause time.Duration
}

// Send implements loomupstream.Runner.
func (e *lateEngine) Send(ctx context.Context, _ string, s loomupstream.Send) (*loomupstream.Reply, error) {
	body := newEventBody(ctx)
	body.send(1)
	time.AfterFunc(e.pause, func() {
		body.send(2)
		body.end()
	})
	return &loomupstream.Reply{Status: http.StatusOK, Length: -1, RequestID: s.RequestID, Stamped: true, Version: s.Version, Body: body}, nil
}

// TestBegunStreamOutlastsItsWeights guards against a stream that is cut when the weights expire
// on which it has begun.
func TestBegunStreamOutlastsItsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newLoadGate(t)
		g.runner = &lateEngine{pause: 5 * time.Second}
		g.view.apply(time.Now(), TopicCatalogue, page(3, row("v", "weights 2", 3)), false)
		time.Sleep(7 * time.Second)
		_, w := serveRequest(t.Context(), g, "urgent", 1, 100)
		assert.Assert(t, w.failure == nil, "%v", w.failure)
		assert.Equal(t, w.events, 2)
	})
}

// TestRolloutHurriesOnceOldWeightsHaveExpired guards against engines that get no requests and
// have to wait until it is their turn to load weights.
func TestRolloutHurriesOnceOldWeightsHaveExpired(t *testing.T) {
	r := &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	g := newTestGate(t, "a", newFakeSource(), r)
	now := time.Now()
	g.view.apply(now.Add(-g.settings.OldWeightsTTL), TopicCatalogue, page(2, row("c", "routing 1", 1), row("v", "weights 2", 2)), true)
	g.view.apply(now, TopicUpstreams, page(4, row("e1", "up 1", 3), row("e2", "up 1", 4)), true)
	assert.Assert(t, reconcileUntil(t, g, 1500*time.Millisecond, func() bool { return r.orderCount() == 2 }), "%d of 2 engines were ordered", r.orderCount())
}

// silentEngine is a runner of which one engine doesn't answer reports.
type silentEngine struct {
	*fakeRunner

	address string
}

// Report implements loomupstream.Runner.
func (r silentEngine) Report(ctx context.Context, address, upstream string) (loomupstream.EngineState, error) {
	if address == r.address {
		return loomupstream.EngineState{}, errDown
	}
	return r.fakeRunner.Report(ctx, address, upstream)
}

// TestRolloutGoesPastSilentEngines guards against a rollout that stands still while the engine
// that is due next doesn't answer.
func TestRolloutGoesPastSilentEngines(t *testing.T) {
	r := &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	g := newRolloutGate(t, "a", newFakeSource(), r)
	g.runner = silentEngine{fakeRunner: r, address: "e1"}
	assert.Assert(t, reconcileUntil(t, g, time.Second, func() bool { return r.orderCount() == 1 }), "no engine was ordered")
	assert.Equal(t, r.orders[0].Upstream, "e2")
	g.runner = r
	assert.Assert(t, reconcileUntil(t, g, 5*time.Second, func() bool { return r.orderCount() == 2 }), "an engine that answers again was not ordered")
}

// TestStoppingInstanceTakesNoLease guards against a rollout that stands still twice, since the
// lease passes to an instance that will end soon.
func TestStoppingInstanceTakesNoLease(t *testing.T) {
	r := &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}}
	g := newRolloutGate(t, "a", newFakeSource(), r)
	g.MarkStopping()
	assert.Assert(t, !reconcileUntil(t, g, 500*time.Millisecond, func() bool { return r.orderCount() > 0 }), "an instance that stops has taken the lease")

	holder := newRolloutGate(t, "b", newFakeSource(), r)
	assert.Assert(t, reconcileUntil(t, holder, time.Second, func() bool { return r.orderCount() == 1 }))
	holder.MarkStopping()
	assert.Assert(t, reconcileUntil(t, holder, 5*time.Second, func() bool { return r.orderCount() == 2 }), "the holder goes on until it ends")
}
