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

func newLife(repeatable bool) *loomstream.Life {
	random := rand.New(rand.NewPCG(1, 1))
	return loomstream.NewLife(repeatable, loomstream.NewRetryBudget(), loomstream.NewBackoff(random))
}

func TestLife(t *testing.T) {
	dispatched := loomstream.Dispatched{Attempt: "a"}
	delivered := loomstream.Delivered{Attempt: "a"}
	first := loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 7}
	tests := []struct {
		name       string
		repeatable bool
		events     []loomstream.Event
		want       loomstream.Action
		notRun     loomerror.NotRun
	}{
		{"refused goes on", false, []loomstream.Event{dispatched, loomstream.Refused{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunTrue},
		{"unsent goes on", false, []loomstream.Event{dispatched, loomstream.Broken{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunTrue},
		{"sent and lost ends", false, []loomstream.Event{dispatched, delivered, loomstream.Broken{Attempt: "a"}}, loomstream.Fail{}, loomerror.NotRunUnknown},
		{"repeatable is tried again", true, []loomstream.Event{dispatched, delivered, loomstream.Broken{Attempt: "a"}}, loomstream.Retry{}, loomerror.NotRunUnknown},
		{"resumed", true, []loomstream.Event{dispatched, delivered, first, loomstream.Broken{Attempt: "a", Resumable: true}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"gap is resumed", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 1, Offset: 2}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"short is resumed", true, []loomstream.Event{dispatched, first, loomstream.Finished{Attempt: "a", Tokens: 2}}, loomstream.Resume{Attempt: "a", Offset: 1}, loomerror.NotRunFalse},
		{"other version ends", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 2, Offset: 1}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"other answer ends", true, []loomstream.Event{dispatched, first, loomstream.Token{Attempt: "a", Version: 1, Offset: 0, Value: 8}}, loomstream.Fail{}, loomerror.NotRunFalse},
		{"abandoned attempt", true, []loomstream.Event{dispatched, loomstream.Dispatched{Attempt: "b"}, first}, loomstream.Wait{}, loomerror.NotRunUnknown},
		{"complete", true, []loomstream.Event{dispatched, first, loomstream.Finished{Attempt: "a", Tokens: 1}}, loomstream.Complete{Tokens: 1}, loomerror.NotRunFalse},
		{"caller gone", true, []loomstream.Event{dispatched, delivered, loomstream.CallerGone{}}, loomstream.Cancel{Attempt: "a"}, loomerror.NotRunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLife(tt.repeatable)
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

// Whatever upstreams and connections do, a request that may not be repeated is
// never sent again once an attempt may have run, the relayed answer is a
// prefix of the true one, and "not run" is true.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		l := newLife(repeatable)
		answer := []uint32{3, 1, 4, 1, 5}
		var relayed []uint32
		mayHaveRun, sent := false, false
		attempt := ""
		// unsent holds the attempts that were proved not to have run.
		unsent := make(map[string]bool)
		next := 0
		dispatch := func() {
			assert.Assert(t, repeatable || !mayHaveRun, "sent again")
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
			switch rapid.IntRange(0, 4).Draw(t, "event") {
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

func TestRetryBudgetIsAShare(t *testing.T) {
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

// TestRetryBudgetBursts plays ten seconds of requests with a failure of a third
// of the upstreams for one second, and checks that the burst is retried while the
// whole stays below a fifth of the requests and the reserve.
func TestRetryBudgetBursts(t *testing.T) {
	const (
		perSecond = 30
		seconds   = 10
		reserve   = 6
		share     = 0.16
	)
	b := loomstream.NewRetryBudgetOf(share, reserve)
	burst, retried, all := 0, 0, 0
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
		// From then on every request fails, and takes what there is.
		if i >= perSecond*(seconds+1) && b.Withdraw(now) {
			all++
		}
	}
	assert.Equal(t, retried, burst, "a burst is retried whole")
	limit := 0.2*perSecond*seconds + reserve/0.8
	assert.Assert(t, float64(retried+all) <= limit, "%d of %v", retried+all, limit)
}
