package loomgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopPlanKnowsWhatItCanFinish guards against requests that a stop would cut, and against the
// refusal of those that came early or end in time.
func TestStopPlanKnowsWhatItCanFinish(t *testing.T) {
	begunAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := stopPlan{begunAt: begunAt, endsAt: begunAt.Add(7 * time.Second)}
	tests := []struct {
		name              string
		arrived, deadline time.Duration
		want              bool
	}{
		{"early, with a late deadline", time.Second, 16 * time.Second, true},
		{"as late as allowed", lateAfter, 16 * time.Second, true},
		{"late, with a late deadline", lateAfter + time.Millisecond, 16 * time.Second, false},
		{"late, with a deadline at the end", 5 * time.Second, 7 * time.Second, true},
		{"late, with a deadline after the end", 5 * time.Second, 7*time.Second + time.Millisecond, false},
		{"before the stop", -time.Second, 16 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, p.canFinish(begunAt.Add(tt.arrived), begunAt.Add(tt.deadline)), tt.want)
		})
	}
}
