package loomstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomerror"
	"swiftloom/loomstream"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLifecycle(isIdempotent bool) *loomstream.Lifecycle {
	random := rand.New(rand.NewPCG(1, 1))
	return loomstream.NewLifecycle(isIdempotent, loomstream.NewRetryBudget(), loomstream.NewBackoff(random))
}

func TestLifecycle(t *testing.T) {
	dispatched := loomstream.Dispatched{Attempt: "a"}
	delivered := loomstream.Delivered{Attempt: "a"}
	first := loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 7}
	tests := []struct {
		name         string
		isIdempotent bool
		events       []loomstream.Event
		want         loomstream.Action
		notRun       loomerror.NotRun
	}{
		{"refused attempt is retried", false, []loomstream.Event{dispatched, loomstream.Refused{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunTrue},
		{"unsent attempt is retried", false, []loomstream.Event{dispatched, loomstream.Broken{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunTrue},
		{"lost after sending fails", false, []loomstream.Event{dispatched, delivered, loomstream.Broken{Attempt: "a"}}, loomstream.Fail{}, loomerror.NotRunUnknown},
		{"idempotent request is retried", true, []loomstream.Event{dispatched, delivered, loomstream.Broken{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunUnknown},
		{"broken stream is resumed", true, []loomstream.Event{dispatched, delivered, first, loomstream.Broken{Attempt: "a", Resumable: true}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"stream that can't be continued fails", true, []loomstream.Event{dispatched, first, loomstream.Broken{Attempt: "a", Final: true}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"gap is resumed", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 1, Offset: 2}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"missing tokens are resumed", true, []loomstream.Event{dispatched, first, loomstream.Finished{Attempt: "a", Tokens: 2}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"change of version fails", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 2, Offset: 1}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"change of a relayed token fails", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 8}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"abandoned attempt", true, []loomstream.Event{dispatched, loomstream.Dispatched{Attempt: "b"}, first}, loomstream.Wait{}, loomerror.NotRunUnknown},
		{"complete", true, []loomstream.Event{dispatched, first, loomstream.Finished{Attempt: "a", Tokens: 1}}, loomstream.Complete{Tokens: 1}, loomerror.NotRunFalse},
		{"error is the answer", false, []loomstream.Event{dispatched, delivered, loomstream.Failed{Attempt: "a"}}, loomstream.Complete{}, loomerror.NotRunUnknown},
		{"error after tokens fails", false, []loomstream.Event{dispatched, first, loomstream.Failed{Attempt: "a"}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"continuation with an error is retried", true, []loomstream.Event{dispatched, first, loomstream.Broken{Attempt: "a"}, loomstream.Dispatched{Attempt: "b"}, loomstream.Failed{Attempt: "b"}}, loomstream.Retry{}, loomerror.NotRunFalse},
		{"caller gone", true, []loomstream.Event{dispatched, delivered, loomstream.CallerGone{}}, loomstream.Cancel{Attempt: "a"}, loomerror.NotRunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLifecycle(tt.isIdempotent)
			var got loomstream.Action
			for _, e := range tt.events {
				got = l.Apply(start, e)
			}
			assert.Equal(t, fmt.Sprintf("%T", got), fmt.Sprintf("%T", tt.want))
			assert.Equal(t, l.NotRun(), tt.notRun)
			switch want := tt.want.(type) {
			case loomstream.Resume, loomstream.Complete, loomstream.Cancel:
				assert.Equal(t, got, want)
			}
		})
	}
}

// TestGuarantees checks four guarantees for random sequences of events: a request
// that is not idempotent is not sent again once an attempt may have run, the
// relayed tokens are a prefix of the answer, an answer that has begun completes
// only with all its tokens, and NotRunTrue is reported only if no attempt may have
// run.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		isIdempotent := rapid.Bool().Draw(t, "repeatable")
		l := newLifecycle(isIdempotent)
		answer := []uint32{3, 1, 4, 1, 5}
		var relayed []uint32
		mayHaveRun, sent := false, false
		attempt := ""
		// unsent is the set of attempts that are known not to have run.
		unsent := make(map[string]bool)
		next := 0
		dispatch := func() {
			assert.Assert(t, isIdempotent || !mayHaveRun, "attempt sent again although one may have run")
			next++
			sent = false
			attempt = fmt.Sprint(next)
			l.Apply(start, loomstream.Dispatched{Attempt: attempt, Version: 1})
		}
		dispatch()
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			id := attempt
			if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
				id = fmt.Sprint(rapid.IntRange(1, next).Draw(t, "old"))
			}
			if unsent[id] {
				continue
			}
			var e loomstream.Event
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				e = loomstream.Delivered{Attempt: id}
				sent = sent || id == attempt
				mayHaveRun = true
			case 1:
				if sent {
					continue
				}
				unsent[attempt] = true
				e = loomstream.Refused{Attempt: attempt}
			case 2:
				offset := rapid.IntRange(0, len(answer)-1).Draw(t, "offset")
				e = loomstream.Token{Attempt: id, Version: 1, Offset: offset, Value: answer[offset]}
				sent = sent || id == attempt
				mayHaveRun = true
			case 3:
				e = loomstream.Finished{Attempt: id, Tokens: len(answer)}
				sent = sent || id == attempt
				mayHaveRun = true
			case 4:
				e = loomstream.Failed{Attempt: id}
				sent = sent || id == attempt
				mayHaveRun = true
			default:
				unsent[id] = unsent[id] || (id == attempt && !sent)
				e = loomstream.Broken{Attempt: id, Resumable: rapid.Bool().Draw(t, "resumable")}
			}
			switch a := l.Apply(start, e).(type) {
			case loomstream.Relay:
				relayed = append(relayed, a.Value)
			case loomstream.Retry:
				dispatch()
			case loomstream.Complete:
				if _, ok := e.(loomstream.Failed); ok && len(relayed) == 0 {
					return
				}
				assert.DeepEqual(t, relayed, answer)
				return
			case loomstream.Fail:
				if a.Err.NotRun() == loomerror.NotRunTrue {
					assert.Assert(t, !mayHaveRun, "false not run")
				}
				return
			}
			assert.DeepEqual(t, append([]uint32{}, relayed...), append([]uint32{}, answer[:len(relayed)]...))
			if l.NotRun() == loomerror.NotRunTrue {
				assert.Assert(t, !mayHaveRun, "false not run")
			}
		}
	})
}

func TestRetryBudgetLimitsShare(t *testing.T) {
	b := loomstream.NewRetryBudget()
	granted := 0
	const requests = 1000
	for range requests {
		b.Deposit(start)
		for b.Withdraw(start) {
			granted++
		}
	}
	assert.Assert(t, granted <= requests/5+20, "%d retries", granted)
}

// TestRetryBudgetBursts simulates 20 s of requests. After 10 s, one third of the
// requests fail for 1 s, all of which must be retried. Then every request fails;
// all retries together must stay within one fifth of the requests of 10 s plus
// 1.25 times the reserve.
func TestRetryBudgetBursts(t *testing.T) {
	const (
		perSecond = 30
		seconds   = 10
		reserve   = 6
		share     = 0.16
	)
	b := loomstream.NewRetryBudgetOf(share, reserve)
	burst, retried, retriedLater := 0, 0, 0
	for i := range perSecond * seconds * 2 {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		b.Deposit(now)
		failing := i >= perSecond*seconds && i < perSecond*(seconds+1) && i%3 == 0
		if failing {
			burst++
			if b.Withdraw(now) {
				retried++
			}
		}
		// After the burst every request fails and exhausts the budget.
		if i >= perSecond*(seconds+1) && b.Withdraw(now) {
			retriedLater++
		}
	}
	assert.Equal(t, retried, burst, "every failure of the burst is retried")
	limit := 0.2*perSecond*seconds + reserve/0.8
	assert.Assert(t, float64(retried+retriedLater) <= limit, "%d of %v", retried+retriedLater, limit)
}
