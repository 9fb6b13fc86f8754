package loomupstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var pauseStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestConnWatchKnowsWhatItHasNotSeen guards against an end of a connection that counts as seen at once
// although it came while the process was paused or its caller read slowly.
func TestConnWatchKnowsWhatItHasNotSeen(t *testing.T) {
	type read struct {
		// gap is the time since the read before, and took that of the read.
		gap, took time.Duration
		hasPaused bool
	}
	tests := []struct {
		name   string
		reads  []read
		unseen time.Duration
	}{
		{"waited for the end", []read{{0, time.Second, false}}, 0},
		{"waited for data, then the end", []read{{0, time.Second, false}, {0, 0, false}}, 0},
		{"paused while it waited for the end", []read{{0, 2 * time.Second, true}}, 2 * time.Second},
		{"paused while it waited for data that the end followed", []read{{0, 2 * time.Second, true}, {0, 0, false}, {0, 0, false}}, 2 * time.Second},
		{"slow caller", []read{{0, time.Second, false}, {3 * time.Second, 0, false}, {0, 0, false}}, 3 * time.Second},
		{"slow caller, and then all is read", []read{{3 * time.Second, 0, false}, {0, time.Second, false}}, 0},
		{"long body in the buffers", []read{{0, 0, false}, {time.Millisecond, 0, false}, {time.Millisecond, 0, false}}, 2 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := pauseStart
			w := newConnWatch(now)
			for _, r := range tt.reads {
				began := now.Add(r.gap)
				now = began.Add(r.took)
				w = w.withRead(began, now, r.hasPaused)
			}
			assert.Equal(t, w.unseen(now), tt.unseen)
		})
	}
}

func TestPauseWatchFindsPauses(t *testing.T) {
	at := func(ms int) time.Time { return pauseStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name      string
		looks     []int
		from, now int
		want      bool
	}{
		{"ran", []int{25, 50, 75}, 0, 90, false},
		{"starved a little", []int{25, 150}, 0, 160, false},
		{"paused between two looks", []int{25, 1025, 1050}, 30, 1060, true},
		{"paused before", []int{25, 1025, 1050}, 1030, 1060, false},
		{"wakes up before the first look", []int{25}, 30, 1060, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := pauseWatch{seenAt: pauseStart}
			for _, ms := range tt.looks {
				w.look(at(ms))
			}
			assert.Equal(t, w.hasPaused(at(tt.from), at(tt.now)), tt.want)
		})
	}
}
