package loomlink_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomlink"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const rate = 1 << 20

func TestBacklogLimitOfEachClass(t *testing.T) {
	tests := []struct {
		name    string
		backlog time.Duration
		want    []bool
	}{
		{"idle", 0, []bool{true, true, true, true}},
		{"short backlog", 3 * time.Millisecond, []bool{true, true, true, false}},
		{"medium backlog", 10 * time.Millisecond, []bool{true, true, false, false}},
		{"long backlog", 100 * time.Millisecond, []bool{true, false, false, false}},
		{"backlog above all limits", 2 * time.Second, []bool{false, false, false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for class, want := range tt.want {
				b := loomlink.NewBudget(rate)
				b.Report(start, int64(tt.backlog.Seconds()*rate), rate)
				assert.Equal(t, b.Begin(start, loomlink.Class(class), 1), want, "class %d", class)
			}
		})
	}
}

func TestPrefetchWaitsForImports(t *testing.T) {
	b := loomlink.NewBudget(rate)
	assert.Assert(t, b.Begin(start, loomlink.Import, 1))
	assert.Assert(t, !b.Begin(start, loomlink.Prefetch, 1))
	b.End(loomlink.Import, 1)
	assert.Assert(t, b.Begin(start, loomlink.Prefetch, 1))
}

// TestExportBacklogIsBounded checks that exports extend the backlog by at most
// one transfer of 10 ms beyond their limit of 20 ms.
func TestExportBacklogIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := loomlink.NewBudget(rate)
		b.Report(start, 0, rate)
		now := start
		const maxBytes = rate / 100
		for range rapid.IntRange(1, 200).Draw(t, "transfers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause_ms")) * time.Millisecond)
			n := rapid.Int64Range(1, maxBytes).Draw(t, "bytes")
			if b.Begin(now, loomlink.Export, n) {
				b.End(loomlink.Export, n)
			}
			assert.Assert(t, b.Wait(now) <= 31*time.Millisecond)
		}
	})
}
