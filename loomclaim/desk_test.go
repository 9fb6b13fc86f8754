package loomclaim_test

import (
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

func TestJudge(t *testing.T) {
	ask := loomclaim.Ask{Attempt: "mine", Digest: 1}
	tests := []struct {
		name string
		row  loomclaim.Row
		at   time.Duration
		want loomclaim.Outcome
	}{
		{"own row after a lost reply", loomclaim.Row{Attempt: "mine", Digest: 1, At: start}, 0, loomclaim.Granted},
		{"other attempt runs", loomclaim.Row{Attempt: "other", Digest: 1, At: start}, time.Second, loomclaim.Held},
		{"other attempt silent", loomclaim.Row{Attempt: "other", Digest: 1, At: start}, loomclaim.RunLimit + 1, loomclaim.InDoubt},
		{"answered", loomclaim.Row{Attempt: "other", Digest: 1, Done: true, Answer: []byte("x")}, time.Hour, loomclaim.Answered},
		{"ran without a kept answer", loomclaim.Row{Attempt: "other", Digest: 1, Done: true}, 0, loomclaim.InDoubt},
		{"other request", loomclaim.Row{Attempt: "other", Digest: 2, Done: true, Answer: []byte("x")}, 0, loomclaim.Mismatch},
		{"own row that is settled", loomclaim.Row{Attempt: "mine", Digest: 1, Done: true}, 0, loomclaim.InDoubt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, loomclaim.Judge(start.Add(tt.at), tt.row, ask), tt.want)
		})
	}
}

func TestManyClaimsShareAWrite(t *testing.T) {
	var table loomstandin.Table
	d := loomclaim.NewDesk()
	const claims = 200
	decided := make(chan loomclaim.Decision, claims)
	for i := range claims {
		d.Ask(start, loomclaim.Ask{Key: loomclaim.Key{Key: fmt.Sprint(i)}, Attempt: fmt.Sprint(i)}, decided)
	}
	b, ok := d.Next(start)
	assert.Assert(t, ok)
	d.Ask(start, loomclaim.Ask{Key: loomclaim.Key{Key: "late"}, Attempt: "late"}, decided)
	_, again := d.Next(start.Add(loomclaim.Window - 1))
	assert.Assert(t, !again, "not due yet")
	late, again := d.Next(start.Add(loomclaim.Window))
	assert.Assert(t, again)
	d.Done(start, late, table.Transact(late.Request))
	assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	d.Done(start, b, table.Transact(b.Request))
	for range claims {
		assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	}
	assert.DeepEqual(t, d.Stats(), loomclaim.Stats{Claims: claims + 1, Writes: 2, ClaimWrites: 2})
}

func TestSameKeyInOneWrite(t *testing.T) {
	var table loomstandin.Table
	d := loomclaim.NewDesk()
	decided := make(chan loomclaim.Decision, 3)
	for _, attempt := range []string{"a", "b", "c"} {
		digest := uint64(1)
		if attempt == "c" {
			digest = 2
		}
		d.Ask(start, loomclaim.Ask{Key: loomclaim.Key{Key: "k"}, Attempt: attempt, Digest: digest}, decided)
	}
	b, _ := d.Next(start)
	d.Done(start, b, table.Transact(b.Request))
	assert.Equal(t, (<-decided).Outcome, loomclaim.Granted)
	assert.Equal(t, (<-decided).Outcome, loomclaim.Held)
	assert.Equal(t, (<-decided).Outcome, loomclaim.Mismatch)
}

// flight is a write on its way to the table.
type flight struct {
	desk  int
	batch *loomclaim.Batch
	// replies holds what the table answered; the reply may still be lost.
	reply *loompb.TransactReply
}

// Two desks claim the same few keys. Writes arrive late, twice, or never, and
// replies are lost: at most one attempt is ever granted under a key, and a
// settled answer is the one that later attempts get.
func TestOneGrantUnderAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table loomstandin.Table
		desks := []*loomclaim.Desk{loomclaim.NewDesk(), loomclaim.NewDesk()}
		decided := make(chan loomclaim.Decision, 1000)
		keyOf := make(map[string]string)
		granted := make(map[string]string)
		settled := make(map[string]string)
		var flying []*flight
		now := start
		attempts := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause_s")) * time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "desk")
			var f *flight
			at := -1
			if len(flying) > 0 {
				at = rapid.IntRange(0, len(flying)-1).Draw(t, "flight")
				f = flying[at]
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				attempts++
				attempt := fmt.Sprint("attempt-", attempts)
				key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
				keyOf[attempt] = key
				desks[i].Ask(now, loomclaim.Ask{Key: loomclaim.Key{Key: key}, Attempt: attempt}, decided)
			case 1:
				if b, ok := desks[i].Next(now); ok {
					flying = append(flying, &flight{desk: i, batch: b})
				}
			case 2:
				if f != nil {
					f.reply = table.Transact(f.batch.Request)
				}
			case 3:
				if f != nil {
					reply := f.reply
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						reply = nil
					}
					desks[f.desk].Done(now, f.batch, reply)
					flying = append(flying[:at], flying[at+1:]...)
				}
			default:
				for key, attempt := range granted {
					if settled[key] == "" {
						settled[key] = "answer of " + attempt
						desks[i].Settle(now, loomclaim.Key{Key: key}, attempt, 0, []byte(settled[key]))
						break
					}
				}
			}
			for len(decided) > 0 {
				d := <-decided
				key := keyOf[d.Attempt]
				switch d.Outcome {
				case loomclaim.Granted:
					assert.Equal(t, granted[key], "", "second grant under %s", key)
					granted[key] = d.Attempt
				case loomclaim.Answered:
					assert.Equal(t, string(d.Answer), settled[key])
				default:
				}
			}
		}
	})
}
