package loomstream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomstream"
)

// TestSequenceRepeatedOtherID guards against events that come twice in a stream whose
// IDs are not integers.
func TestSequenceRepeatedOtherID(t *testing.T) {
	tests := []struct {
		name  string
		first []string
		// again is the ID with which a further attempt begins anew.
		again string
	}{
		{"words", []string{"a", "b"}, "a"},
		{"integers above int64", []string{"18446744073709551614", "18446744073709551615"}, "18446744073709551614"},
		{"same integer written otherwise", []string{"1", "2"}, "02"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loomstream.NewSequence("")
			for _, id := range tt.first {
				assert.NilError(t, s.Add(id))
			}
			s.Resume()
			assert.Assert(t, s.Add(tt.again) != nil)
		})
	}
}
