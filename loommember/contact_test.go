package loommember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestContact(t *testing.T) {
	at := func(tenths int) time.Time { return listedAt.Add(time.Duration(tenths) * 100 * time.Millisecond) }
	tests := []struct {
		name string
		of   Contact
		// want is the zero time if the platform doesn't answer.
		want time.Time
	}{
		{"no call", Contact{}, time.Time{}},
		{"an answer", Contact{}.WithAnswer(at(1), at(2)), at(2)},
		{"a later answer", Contact{}.WithAnswer(at(1), at(2)).WithAnswer(at(3), at(4)), at(2)},
		{"a failure", Contact{}.WithAnswer(at(1), at(2)).WithFailure(at(3)), time.Time{}},
		{"an answer after a failure", Contact{}.WithAnswer(at(1), at(2)).WithFailure(at(3)).WithAnswer(at(4), at(5)), at(5)},
		{"an answer long after a failed call", Contact{}.WithFailure(at(3)).WithAnswer(at(18), at(19)), at(3).Add(maxReturnDelay)},
		{"a peer's answers long after a failed call", Contact{}.WithFailure(at(3)).WithPeerAnswers(at(18), at(19)), at(3).Add(maxReturnDelay)},
		{"a late answer to a call before a failure", Contact{}.WithFailure(at(3)).WithAnswer(at(1), at(4)), time.Time{}},
		{"a late failure of a call before an answer", Contact{}.WithAnswer(at(3), at(4)).WithFailure(at(1)), at(4)},
		{"a peer's answers from before the return", Contact{}.WithFailure(at(3)).WithAnswer(at(5), at(6)).WithPeerAnswers(at(0), at(2)), at(6)},
		{"a peer's answers after a failure", Contact{}.WithFailure(at(3)).WithAnswer(at(5), at(6)).WithPeerAnswers(at(0), at(4)), at(0)},
		{"a peer's answers from before a failure, alone", Contact{}.WithFailure(at(3)).WithPeerAnswers(at(0), at(2)), time.Time{}},
		{"a peer's answers, alone", Contact{}.WithFailure(at(3)).WithPeerAnswers(at(0), at(4)), at(0)},
		{"a peer that was answered later", Contact{}.WithAnswer(at(1), at(2)).WithPeerAnswers(at(4), at(5)), at(2)},
		{"a failure after a peer's answers", Contact{}.WithPeerAnswers(at(0), at(2)).WithFailure(at(3)), time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			since, ok := tt.of.AnswersSince()
			assert.Equal(t, since, tt.want)
			assert.Equal(t, ok, !tt.want.IsZero())
		})
	}
}

func TestContactTellsPeersOnlyOwnAnswers(t *testing.T) {
	_, _, ok := Contact{}.WithPeerAnswers(listedAt, listedAt).OwnAnswers()
	assert.Check(t, !ok, "a peer's answers are told to other peers")
}
