package loomcatalogue_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

// TestTextAfterJSONIsNotIgnored guards against a catalogue file of which only the
// first JSON value is read.
func TestTextAfterJSONIsNotIgnored(t *testing.T) {
	const entry = `{"kind":"client_account","name":"a","spec":{}}`
	tests := []struct {
		name string
		text string
		// entries is the number of entries, or -1 for an error.
		entries int
	}{
		{"array", "[" + entry + "]\n", 1},
		{"document", `{"entries":[` + entry + "]}\n\n", 1},
		{"two arrays", "[" + entry + "]\n[" + entry + "]", -1},
		{"two documents", `{"entries":[` + entry + `]}{"entries":[` + entry + `]}`, -1},
		{"text after the array", "[" + entry + "]\n]", -1},
		{"cut array", "[" + entry + ",", -1},
		{"cut document", `{"entries":[` + entry, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changes, err := loomcatalogue.ParseFile("f", []byte(tt.text))
			if tt.entries < 0 {
				assert.Assert(t, err != nil, "%d entries", len(changes))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(changes), tt.entries)
		})
	}
}
