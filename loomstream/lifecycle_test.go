package loomstream_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
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

// TestPartialAnswerIsNotCompletedByAFailedAttempt guards against an error answer
// of an attempt that ends an answer of which tokens were relayed.
func TestPartialAnswerIsNotCompletedByAFailedAttempt(t *testing.T) {
	first := loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 7}
	tests := []struct {
		name         string
		isIdempotent bool
		events       []loomstream.Event
	}{
		{"same attempt", true, []loomstream.Event{loomstream.Dispatched{Attempt: "a"}, first, loomstream.Failed{Attempt: "a"}}},
		{"same attempt, not idempotent", false, []loomstream.Event{loomstream.Dispatched{Attempt: "a"}, first, loomstream.Failed{Attempt: "a"}}},
		{"later attempt", true, []loomstream.Event{
			loomstream.Dispatched{Attempt: "a"}, first, loomstream.Broken{Attempt: "a"},
			loomstream.Dispatched{Attempt: "b"}, loomstream.Delivered{Attempt: "b"}, loomstream.Failed{Attempt: "b"},
		}},
		{"later attempt after a refused one", true, []loomstream.Event{
			loomstream.Dispatched{Attempt: "a"}, first, loomstream.Broken{Attempt: "a"},
			loomstream.Dispatched{Attempt: "b"}, loomstream.Refused{Attempt: "b"},
			loomstream.Dispatched{Attempt: "c"}, loomstream.Failed{Attempt: "c"},
		}},
		{"resumption", true, []loomstream.Event{
			loomstream.Dispatched{Attempt: "a"}, first, loomstream.Broken{Attempt: "a", Resumable: true}, loomstream.Failed{Attempt: "a"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLifecycle(tt.isIdempotent)
			var last loomstream.Action
			for _, e := range tt.events {
				last = l.Apply(start, e)
			}
			switch a := last.(type) {
			case loomstream.Retry:
				assert.Assert(t, tt.isIdempotent && a.Pinned, "%+v", a)
			case loomstream.Fail:
				assert.Equal(t, a.Err.Kind(), loomerror.StreamCut)
			default:
				t.Fatalf("got %T%+v after one relayed token, want Retry or Fail", last, last)
			}
		})
	}
}

// TestOnlyFinishedCompletesAPartialAnswer checks for random events of several
// attempts: once a token was relayed, Complete is returned only for the Finished
// event of the latest attempt with the number of relayed tokens, and a request that
// has ended relays nothing and does not end again.
func TestOnlyFinishedCompletesAPartialAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLifecycle(rapid.Bool().Draw(t, "idempotent")).WithMaxRuns(rapid.IntRange(0, 3).Draw(t, "runs"))
		attempts, relayed, ended := 0, 0, false
		dispatch := func() {
			attempts++
			l.Apply(start, loomstream.Dispatched{Attempt: fmt.Sprint(attempts), Version: 1})
		}
		dispatch()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			latest := fmt.Sprint(attempts)
			id := latest
			if rapid.IntRange(0, 5).Draw(t, "late") == 0 {
				id = fmt.Sprint(rapid.IntRange(1, attempts).Draw(t, "attempt"))
			}
			e := drawEvent(t, id, relayed)
			switch a := l.Apply(start, e).(type) {
			case loomstream.Relay:
				assert.Assert(t, !ended, "token relayed after the end of the request")
				assert.Equal(t, a.Value, uint32(relayed))
				relayed++
			case loomstream.Complete:
				finished, ok := e.(loomstream.Finished)
				covers := ok && finished.Attempt == latest && finished.Tokens == relayed
				assert.Assert(t, covers || relayed == 0, "%T%+v completed an answer of which %d tokens were relayed", e, e, relayed)
				assert.Assert(t, !ended && a.Tokens == relayed, "ended before: %t, tokens: %d of %d", ended, a.Tokens, relayed)
				ended = true
			case loomstream.Fail, loomstream.Cancel:
				assert.Assert(t, !ended, "request ended twice")
				ended = true
			case loomstream.Retry:
				assert.Assert(t, !ended, "attempt requested after the end of the request")
				assert.Equal(t, a.Pinned, relayed > 0)
				dispatch()
			case loomstream.Resume:
				assert.Assert(t, !ended, "attempt resumed after the end of the request")
				assert.Equal(t, a, loomstream.Resume{Attempt: latest, Offset: relayed})
			}
			assert.Equal(t, l.Relayed(), relayed)
		}
	})
}

// drawEvent returns a random event of an attempt. Tokens and the end of the answer
// lie between its start and one token after the relayed ones.
func drawEvent(t *rapid.T, attempt string, relayed int) loomstream.Event {
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		return loomstream.Delivered{Attempt: attempt}
	case 1:
		return loomstream.Refused{Attempt: attempt}
	case 2, 3, 4:
		offset := rapid.IntRange(0, relayed+1).Draw(t, "offset")
		return loomstream.Token{Attempt: attempt, Version: 1, Offset: offset, Value: uint32(offset)}
	case 5:
		return loomstream.Finished{Attempt: attempt, Tokens: rapid.IntRange(0, relayed+1).Draw(t, "tokens")}
	case 6:
		return loomstream.Failed{Attempt: attempt}
	case 7:
		return loomstream.Broken{Attempt: attempt, Resumable: rapid.Bool().Draw(t, "resumable")}
	default:
		return loomstream.CallerGone{}
	}
}

// TestRefusedAttemptDoesNotAnswer guards against events of an attempt that the
// upstream declared not to have run.
func TestRefusedAttemptDoesNotAnswer(t *testing.T) {
	for _, e := range []loomstream.Event{
		loomstream.Finished{Attempt: "a"},
		loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 7},
		loomstream.Failed{Attempt: "a"},
		loomstream.Broken{Attempt: "a"},
	} {
		t.Run(fmt.Sprintf("%T", e), func(t *testing.T) {
			l := newLifecycle(true)
			l.Apply(start, loomstream.Dispatched{Attempt: "a"})
			l.Apply(start, loomstream.Refused{Attempt: "a"})
			assert.Equal(t, l.Apply(start, e), loomstream.Action(loomstream.Wait{}))
			assert.Equal(t, l.State(), loomstream.Queued)
		})
	}
}

// TestUnsentAttemptsDrawOnNoBudget checks that a request reaches another upstream although the
// retry budget is used up, as long as none of its attempts has reached one: the budget
// bounds what upstreams get, and a quarter of them may be unreachable at once.
func TestUnsentAttemptsDrawOnNoBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		end  func(attempt string) loomstream.Event
		want int
	}{
		{"not connected", func(a string) loomstream.Event { return loomstream.Broken{Attempt: a} }, loomstream.MaxAttempts},
		{"refused", func(a string) loomstream.Event { return loomstream.Refused{Attempt: a} }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			budget := loomstream.NewRetryBudgetOf(0, 0)
			l := loomstream.NewLifecycle(false, budget, loomstream.NewBackoff(rand.New(rand.NewPCG(1, 1))))
			attempts := 0
			for again := true; again; {
				attempts++
				a := strconv.Itoa(attempts)
				l.Apply(now, loomstream.Dispatched{Attempt: a})
				_, again = l.Apply(now, tt.end(a)).(loomstream.Retry)
			}
			assert.Equal(t, attempts, tt.want)
			assert.Equal(t, budget.Balance(), 0.0)
		})
	}
}
