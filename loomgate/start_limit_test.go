package loomgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

func TestSilenceLimitLeavesTimeForAnotherAttempt(t *testing.T) {
	stream := loomcatalogue.Route{LatencyObjective: 400 * time.Millisecond, EventGapObjective: 400 * time.Millisecond}
	tests := []struct {
		name  string
		route loomcatalogue.Route
		left  time.Duration
		want  time.Duration
	}{
		{"half of the time until the caller leaves a stream", stream, 10 * time.Second, 1600 * time.Millisecond},
		{"half of the time until the deadline", stream, 2 * time.Second, time.Second},
		{"not while a slow upstream may still answer", loomcatalogue.Route{LatencyObjective: 100 * time.Millisecond}, 700 * time.Millisecond, minSilence},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, silenceLimit(tt.route, tt.left), tt.want)
		})
	}
}
