package loomstream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomstream"
)

func TestSequence(t *testing.T) {
	tests := []struct {
		name string
		// after is the ID of the event after which the caller resumes the stream.
		after string
		// first holds the IDs of the first attempt, and second those of another
		// attempt that resumes the stream.
		first, second []string
		// rejected is the index in second of the ID that is an error, or -1.
		rejected int
		lastID   string
	}{
		{"continued", "", []string{"1", "2"}, []string{"3", "4"}, -1, "4"},
		{"nothing follows", "", []string{"1", "2"}, nil, -1, "2"},
		{"from the first event on", "", []string{"1", "2"}, []string{"1", "2", "3"}, 0, "2"},
		{"from the last event on", "", []string{"1", "2"}, []string{"2", "3"}, 0, "2"},
		{"event missing", "", []string{"1", "2"}, []string{"4"}, 0, "2"},
		{"event without ID", "", []string{"1", "2"}, []string{""}, 0, "2"},
		{"event without ID after the next one", "", []string{"1", "2"}, []string{"3", ""}, 1, "3"},
		{"other ID after the next one", "", []string{"1", "2"}, []string{"3", "a"}, 1, "3"},
		{"IDs with gaps", "", []string{"10", "20"}, []string{"30", "25"}, 1, "30"},
		{"repeats within an attempt", "", []string{"1"}, []string{"2", "2"}, 1, "2"},
		{"other IDs", "", []string{"a", "b"}, []string{"c"}, 0, "b"},
		{"no IDs", "", []string{"", ""}, []string{""}, -1, ""},
		{"resumed by the caller", "7", []string{"8", "9"}, []string{"10"}, -1, "10"},
		{"resumed by the caller, IDs with gaps", "7", []string{"17", "27"}, []string{"37"}, -1, "37"},
		{"resumed by the caller, begins anew", "7", []string{"1", "2"}, []string{"3"}, -1, "3"},
		{"resumed by the caller, repeats", "7", []string{"8"}, []string{"8"}, 0, "8"},
		{"resumed by the caller, event missing", "7", []string{"8"}, []string{"10"}, 0, "8"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loomstream.NewSequence(tt.after)
			for _, id := range tt.first {
				assert.NilError(t, s.Add(id))
			}
			s.Resume()
			rejected := -1
			for i, id := range tt.second {
				if err := s.Add(id); err != nil {
					rejected = i
					break
				}
			}
			assert.Equal(t, rejected, tt.rejected)
			assert.Equal(t, s.LastID(), tt.lastID)
		})
	}
}

func TestSequenceRepeatsWithinAttempt(t *testing.T) {
	tests := []struct {
		name string
		ids  []string
	}{
		{"same integer", []string{"1", "1"}},
		{"lower integer", []string{"5", "4"}},
		{"same text", []string{"a", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := loomstream.NewSequence("")
			last := len(tt.ids) - 1
			for _, id := range tt.ids[:last] {
				assert.NilError(t, s.Add(id))
			}
			assert.Assert(t, s.Add(tt.ids[last]) != nil)
		})
	}
}

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
