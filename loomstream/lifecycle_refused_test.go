package loomstream_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomstream"
)

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
