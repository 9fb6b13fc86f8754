package loomtrial_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomtrial"
)

// TestGuaranteesUnderFaults checks that no guarantee to callers is violated while
// faults of all kinds overlap, during network partitions, and while the list of
// members lags. Latencies are not checked.
func TestGuaranteesUnderFaults(t *testing.T) {
	tests := []struct {
		name     string
		site     string
		seed     uint64
		faults   []string
		scenario string
		listLag  time.Duration
	}{
		{"none", "port", 1, nil, "", 0},
		{"all", "port", 2, []string{loomtrial.AllFaults}, "", 0},
		{"all at morrison", "morrison", 3, []string{loomtrial.AllFaults}, "", 0},
		{"partitions", "port", 4, nil, "partition", 0},
		{"list lags", "port", 5, []string{"engine_leave", "engine_kill", "service_kill"}, "", 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			site, err := loomtrial.SiteByName(tt.site)
			assert.NilError(t, err)
			site.ListLag = tt.listLag
			faults, err := loomtrial.ExpandFaults(tt.faults)
			assert.NilError(t, err)
			r, err := loomtrial.Run(t.Context(), loomtrial.Options{
				Site:     site,
				Policy:   "cost",
				Seed:     tt.seed,
				Requests: 400,
				Faults:   faults,
				Scenario: tt.scenario,
				Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			assert.NilError(t, err)
			assert.Assert(t, r.Answered > 0)
			assert.Assert(t, !r.HasViolations(), "%+v", r)
			if len(faults) == 0 && tt.scenario == "" {
				assert.Equal(t, r.Failed+r.RefusedNotRun, 0, "%+v", r)
			}
		})
	}
}
