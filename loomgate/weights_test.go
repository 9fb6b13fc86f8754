package loomgate

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
