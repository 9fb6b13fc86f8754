package loomgate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQueueChecksInVainBecomeRarer answers the load of a fleet in which all engines are busy: 25
// instances, whose queues each ask the same coordinator, ask it at most 125 times a second.
func TestQueueChecksInVainBecomeRarer(t *testing.T) {
	tests := []struct {
		name     string
		isRemote bool
		vain     int
		want     time.Duration
	}{
		{"own choice", false, 5, queueInterval},
		{"first check by way of a coordinator", true, 0, remoteQueueInterval},
		{"after one in vain", true, 1, 2 * remoteQueueInterval},
		{"after two in vain", true, 2, maxRemoteQueueInterval},
		{"after many in vain", true, 10_000, maxRemoteQueueInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &groupQueue{}
			for range tt.vain {
				q.recordCheck(tt.isRemote, false)
			}
			q.isRemote = tt.isRemote
			assert.Equal(t, q.checkInterval(), tt.want)
			q.recordCheck(tt.isRemote, true)
			if tt.isRemote {
				assert.Equal(t, q.checkInterval(), remoteQueueInterval, "a request has had its turn")
			}
		})
	}
	const instances = 25
	assert.Check(t, instances*time.Second/maxRemoteQueueInterval <= 125)
}
