package loomstream_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomerror"
	"swiftloom/loomstream"
)

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
