package loomturn_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomturn"
)

// TestOneInstanceAsksInEachInterval guards against a time in which no instance of a fleet asks, so
// that all of them may have lost the same notice: after any moment an instance that asked before
// then takes its turn within an interval and a quarter, and none asks more often than its cycle.
func TestOneInstanceAsksInEachInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := loomturn.Schedule{Interval: 1600 * time.Millisecond, MaxCycle: 25 * time.Second}
		n := rapid.IntRange(1, 300).Draw(t, "instances")
		cycle := s.Cycle(n)
		clock := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "clock"))
		first := 2 * cycle
		for rank := range n {
			wait := s.Wait(clock, rank, n)
			assert.Assert(t, wait > 0 && wait <= cycle+s.Interval/4, "rank %d waits %s of a cycle of %s", rank, wait, cycle)
			first = min(first, wait)
			next := s.Wait(clock+wait, rank, n)
			assert.Assert(t, next == cycle, "rank %d waits %s after its turn, cycle %s", rank, next, cycle)
		}
		assert.Assert(t, first <= s.Interval+s.Interval/4, "the first of %d instances asks after %s", n, first)
	})
}

func TestScheduleBoundsCalls(t *testing.T) {
	s := loomturn.Schedule{Interval: 1600 * time.Millisecond, MaxCycle: 25 * time.Second}
	tests := []struct {
		instances int
		cycle     time.Duration
	}{
		{0, 1600 * time.Millisecond},
		{1, 1600 * time.Millisecond},
		{7, 11200 * time.Millisecond},
		{15, 24 * time.Second},
		{16, 25 * time.Second},
		{295, 25 * time.Second},
	}
	for _, tt := range tests {
		assert.Equal(t, s.Cycle(tt.instances), tt.cycle, "%d instances", tt.instances)
	}
}
