package loomclaim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomclaim"
)

func TestTicketIsSigned(t *testing.T) {
	ticket := loomclaim.NewTicketStore().Issue(start, "hotel", "entry-1", 7)
	key, err := ticket.Sign("secret")
	assert.NilError(t, err)
	parsed, err := loomclaim.ParseTicket(key, "secret")
	assert.NilError(t, err)
	assert.Equal(t, parsed, ticket)
	tests := []struct{ name, key, secret string }{
		{"other secret", key, "guess"},
		{"changed", key[:20] + "A" + key[21:], "secret"},
		{"cut", key[:len(key)-1], "secret"},
		{"plain key", "k1", "secret"},
		{"empty", "ticket.", "secret"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loomclaim.ParseTicket(tt.key, tt.secret)
			assert.ErrorContains(t, err, "not valid")
		})
	}
}

// While attempts claim, release and settle a ticket in any order, a second attempt
// is granted only after the first was released, and every answer is that of the
// attempt that ran.
func TestTicketIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := loomclaim.NewTicketStore()
		now := start
		ticket := store.Issue(now, "a", "h", 1)
		holder, settled := "", ""
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause_s")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				attempt := fmt.Sprint(i)
				d := store.Claim(now, ticket, loomclaim.Request{Attempt: attempt})
				if d.Outcome == loomclaim.Granted {
					assert.Equal(t, holder, "")
					holder = attempt
				}
				if d.Outcome == loomclaim.Answered {
					assert.Equal(t, string(d.Answer), settled)
				}
			case 2:
				if holder != "" && settled == "" {
					store.Release(ticket, holder)
					holder = ""
				}
			default:
				if holder != "" && settled == "" {
					settled = "by " + holder
					store.Settle(ticket, holder, []byte(settled))
				}
			}
		}
		now = now.Add(loomclaim.TicketLifetime)
		assert.Equal(t, store.Claim(now, ticket, loomclaim.Request{Attempt: "late"}).Outcome, loomclaim.InDoubt)
	})
}

// TestTicketAnswersAreBounded guards against answers of many tickets that exceed the memory for
// them: an answer that isn't kept makes a repeated request InDoubt, never run again.
func TestTicketAnswersAreBounded(t *testing.T) {
	const most = 64 << 20
	s := loomclaim.NewTicketStore()
	claim := func(now time.Time) (loomclaim.Ticket, loomclaim.Request) {
		ticket := s.Issue(now, "hotel", "entry-1", 7)
		r := loomclaim.Request{Attempt: fmt.Sprint("a", ticket.Serial), Digest: 1}
		assert.Equal(t, s.Claim(now, ticket, r).Outcome, loomclaim.Granted)
		return ticket, r
	}
	kept := 0
	for range most/loomclaim.MaxAnswer + 100 {
		ticket, r := claim(start)
		s.Settle(ticket, r.Attempt, make([]byte, loomclaim.MaxAnswer))
		switch d := s.Claim(start, ticket, loomclaim.Request{Attempt: "again", Digest: 1}); d.Outcome {
		case loomclaim.Answered:
			kept++
		case loomclaim.InDoubt:
		default:
			t.Fatalf("outcome %v of a repeated request", d.Outcome)
		}
	}
	assert.Equal(t, kept, most/loomclaim.MaxAnswer)
	later := start.Add(loomclaim.TicketLifetime)
	ticket, r := claim(later)
	s.Settle(ticket, r.Attempt, []byte("answer"))
	d := s.Claim(later, ticket, loomclaim.Request{Attempt: "again", Digest: 1})
	assert.Equal(t, d.Outcome, loomclaim.Answered, "expired tickets must make room")
}
