package loomgate

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomerror"
	"swiftloom/loomquarantine"
	"swiftloom/loomstream"
)

// TestErrorsPromiseWhatTheAttemptsAllow guards against an error that promises that a request has
// not run, after an attempt that may have.
func TestErrorsPromiseWhatTheAttemptsAllow(t *testing.T) {
	now := time.Now()
	dispatched, delivered := loomstream.Dispatched{Attempt: "1"}, loomstream.Delivered{Attempt: "1"}
	broken, refused := loomstream.Broken{Attempt: "1"}, loomstream.Refused{Attempt: "1"}
	tests := []struct {
		name   string
		events []loomstream.Event
		want   loomerror.NotRun
	}{
		{"queued", nil, loomerror.NotRunTrue},
		{"refused", []loomstream.Event{dispatched, delivered, refused}, loomerror.NotRunTrue},
		{"not delivered", []loomstream.Event{dispatched, broken}, loomerror.NotRunTrue},
		{"being sent", []loomstream.Event{dispatched}, loomerror.NotRunUnknown},
		{"broken", []loomstream.Event{dispatched, delivered, broken}, loomerror.NotRunUnknown},
		{"broken, then refused", []loomstream.Event{dispatched, delivered, broken, loomstream.Dispatched{Attempt: "2"}, loomstream.Refused{Attempt: "2"}}, loomerror.NotRunUnknown},
	}
	ctx, cancel := context.WithDeadline(t.Context(), now)
	defer cancel()
	suspects := loomquarantine.NewSuspects("m", []string{"p"}, "")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
			g.quarantine.ledger.Apply(now, []loomquarantine.Change{loomquarantine.Quarantine{Version: 1, Ends: 3, IsCertain: true, UsedAt: now}.WithSuspects(suspects...)})
			backoff := loomstream.NewBackoff(rand.New(rand.NewPCG(1, 1)))
			d := &dispatch{placementQuery: placementQuery{gate: g}, req: &request{}, attempts: 1, quarantineSuspectList: suspects,
				lifecycle: loomstream.NewLifecycle(true, loomstream.NewRetryBudget(), backoff)}
			for _, e := range tt.events {
				d.lifecycle.Apply(now, e)
			}
			err := d.checkQuarantine(now)
			assert.Assert(t, err != nil)
			assert.Equal(t, err.NotRun(), tt.want)
			assert.Equal(t, d.contextError(ctx).NotRun(), tt.want)
			fail, ok := d.abandon(ctx, now).(loomstream.Fail)
			assert.Assert(t, ok)
			assert.Equal(t, fail.Err.NotRun(), tt.want)
		})
	}
}
