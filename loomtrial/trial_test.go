package loomtrial_test

import (
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomtrial"
)

// Promises hold while everything that can fail does, twice at once. Times are
// not looked at.
func TestPromisesUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		site   string
		seed   uint64
		faults []string
	}{
		{"none", "port", 1, nil},
		{"all", "port", 2, []string{loomtrial.AllFaults}},
		{"all at morrison", "morrison", 3, []string{loomtrial.AllFaults}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			site, err := loomtrial.SiteByName(tt.site)
			assert.NilError(t, err)
			faults, err := loomtrial.ExpandFaults(tt.faults)
			assert.NilError(t, err)
			r, err := loomtrial.Run(t.Context(), loomtrial.Options{
				Site:     site,
				Policy:   "cost",
				Seed:     tt.seed,
				Requests: 400,
				Faults:   faults,
				Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			assert.NilError(t, err)
			assert.Assert(t, r.Answered > 0)
			assert.Assert(t, !r.Broken(), "%+v", r)
			if len(faults) == 0 {
				assert.Equal(t, r.Failed+r.RefusedNotRun, 0, "%+v", r)
			}
		})
	}
}
