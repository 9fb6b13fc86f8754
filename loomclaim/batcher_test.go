package loomclaim_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomclaim"
	"swiftloom/loompb"
	"swiftloom/loomstandin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestExistingOutcome(t *testing.T) {
	request := loomclaim.Request{Attempt: "mine", Digest: 1}
	tests := []struct {
		name string
		row  loomclaim.Row
		at   time.Duration
		want loomclaim.Outcome
	}{
		{"own row after a lost reply", loomclaim.Row{Attempt: "mine", Digest: 1, At: start}, 0, loomclaim.Granted},
		{"other attempt is running", loomclaim.Row{Attempt: "other", Digest: 1, At: start}, time.Second, loomclaim.Held},
		{"other attempt not settled in time", loomclaim.Row{Attempt: "other", Digest: 1, At: start}, loomclaim.RunLimit + 1, loomclaim.InDoubt},
		{"answered", loomclaim.Row{Attempt: "other", Digest: 1, Done: true, Answer: []byte("x")}, time.Hour, loomclaim.Answered},
		{"settled without a stored answer", loomclaim.Row{Attempt: "other", Digest: 1, Done: true}, 0, loomclaim.InDoubt},
		{"other request", loomclaim.Row{Attempt: "other", Digest: 2, Done: true, Answer: []byte("x")}, 0, loomclaim.Mismatch},
		{"own row, already settled", loomclaim.Row{Attempt: "mine", Digest: 1, Done: true}, 0, loomclaim.InDoubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, loomclaim.ExistingOutcome(start.Add(tt.at), tt.row, request), tt.want)
		})
	}
}

func TestClaimsAreBatched(t *testing.T) {
	var table loomstandin.Table
	batcher := loomclaim.NewBatcher()
	const claims = 200
	decided := make(chan loomclaim.Decision, claims)
	for i := range claims {
		batcher.Submit(start, loomclaim.Request{Key: loomclaim.Key{Key: fmt.Sprint(i)}, Attempt: fmt.Sprint(i)}, decided)
	}
	batch, ok := batcher.Next(start)
	assert.Assert(t, ok)
	batcher.Submit(start, loomclaim.Request{Key: loomclaim.Key{Key: "late"}, Attempt: "late"}, decided)
	_, again := batcher.Next(start.Add(loomclaim.MinWriteInterval - 1))
	assert.Assert(t, !again, "not due yet")
	late, again := batcher.Next(start.Add(loomclaim.MinWriteInterval))
	assert.Assert(t, again)
	batcher.Done(start, late, table.Transact(late.Request))
	assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	batcher.Done(start, batch, table.Transact(batch.Request))
	for range claims {
		assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	}
	assert.DeepEqual(t, batcher.Stats(), loomclaim.Stats{Claims: claims + 1, Writes: 2, ClaimWrites: 2})
}

func TestSameKeyInOneWrite(t *testing.T) {
	var table loomstandin.Table
	batcher := loomclaim.NewBatcher()
	decided := make(chan loomclaim.Decision, 3)
	for _, attempt := range []string{"a", "b", "c"} {
		digest := uint64(1)
		if attempt == "c" {
			digest = 2
		}
		batcher.Submit(start, loomclaim.Request{Key: loomclaim.Key{Key: "k"}, Attempt: attempt, Digest: digest}, decided)
	}
	batch, _ := batcher.Next(start)
	batcher.Done(start, batch, table.Transact(batch.Request))
	assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	assert.Equal(t, (<-decided).Outcome, loomclaim.Held)
	assert.Equal(t, (<-decided).Outcome, loomclaim.Mismatch)
}

// inFlightWrite is a write that has not been completed.
type inFlightWrite struct {
	batcher int
	batch   *loomclaim.Batch
	// reply is nil until the table has applied the write; it may still be lost.
	reply *loompb.TransactReply
}

// Two batchers claim the same keys while writes are delayed, repeated or lost and
// replies are lost. At most one attempt is ever granted per key, and later
// attempts get the settled answer.
func TestOneGrantPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table loomstandin.Table
		batchers := []*loomclaim.Batcher{loomclaim.NewBatcher(), loomclaim.NewBatcher()}
		decided := make(chan loomclaim.Decision, 1000)
		keyOf := make(map[string]string)
		granted := make(map[string]string)
		settled := make(map[string]string)
		var inFlight []*inFlightWrite
		now := start
		attempts := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause_s")) * time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "batcher")
			var w *inFlightWrite
			at := -1
			if len(inFlight) > 0 {
				at = rapid.IntRange(0, len(inFlight)-1).Draw(t, "flight")
				w = inFlight[at]
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				attempts++
				attempt := fmt.Sprint("attempt-", attempts)
				key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
				keyOf[attempt] = key
				batchers[i].Submit(now, loomclaim.Request{Key: loomclaim.Key{Key: key}, Attempt: attempt}, decided)
			case 1:
				if b, ok := batchers[i].Next(now); ok {
					inFlight = append(inFlight, &inFlightWrite{batcher: i, batch: b})
				}
			case 2:
				if w != nil {
					w.reply = table.Transact(w.batch.Request)
				}
			case 3:
				if w != nil {
					reply := w.reply
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						reply = nil
					}
					batchers[w.batcher].Done(now, w.batch, reply)
					inFlight = append(inFlight[:at], inFlight[at+1:]...)
				}
			default:
				for key, attempt := range granted {
					if settled[key] == "" {
						settled[key] = "answer of " + attempt
						batchers[i].Settle(now, loomclaim.Key{Key: key}, attempt, 0, []byte(settled[key]))
						break
					}
				}
			}
			for len(decided) > 0 {
				d := <-decided
				key := keyOf[d.Attempt]
				switch d.Outcome {
				case loomclaim.Granted:
					assert.Equal(t, granted[key], "", "second grant for key %s", key)
					granted[key] = d.Attempt
				case loomclaim.Answered:
					assert.Equal(t, string(d.Answer), settled[key])
				default:
				}
			}
		}
	})
}

// TestUnreadableClaimIsNotGrantedAgain guards against a stored claim that is cut
// or unreadable and counts as absent.
func TestUnreadableClaimIsNotGrantedAgain(t *testing.T) {
	whole, err := json.Marshal(loomclaim.Row{Attempt: "other", Digest: 1, At: start, Done: true, Answer: []byte("answer")})
	assert.NilError(t, err)
	tests := []struct {
		name  string
		value []byte
	}{
		{"cut", whole[:len(whole)/2]},
		{"empty", nil},
		{"other encoding", []byte("\x0a\x05other")},
		{"other type of a field", []byte(`{"attempt":"other","digest":"1"}`)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table loomstandin.Table
			key := loomclaim.Key{ClientAccount: "a", Key: "k"}
			table.Transact(&loompb.TransactRequest{Writes: []*loompb.Write{{Key: key.RowKey(), Value: tt.value}}})
			batcher := loomclaim.NewBatcher()
			decided := make(chan loomclaim.Decision, 2)
			batcher.Submit(start, loomclaim.Request{Key: key, Attempt: "mine", Digest: 1}, decided)
			batcher.Submit(start, loomclaim.Request{Key: key, Attempt: "second", Digest: 1}, decided)
			batch, ok := batcher.Next(start)
			assert.Assert(t, ok)
			batcher.Done(start, batch, table.Transact(batch.Request))
			for range 2 {
				d := <-decided
				assert.Equal(t, d.Outcome, loomclaim.InDoubt, d.Attempt)
			}
		})
	}
}
