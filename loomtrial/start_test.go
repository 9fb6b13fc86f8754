package loomtrial

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInstanceStartDuringOutage starts an instance while the platform is
// unavailable. The instance must get the catalogue and the list of live engines
// from its peers.
func TestInstanceStartDuringOutage(t *testing.T) {
	site, err := SiteByName("port")
	assert.NilError(t, err)
	site.Instances = 2
	site.Runners = 4
	trial, err := Start(t.Context(), site, "cost", 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	t.Cleanup(trial.Stop)
	trial.addOutage(1)
	assert.NilError(t, trial.startInstance(t.Context(), site.FailureDomains[0]))
	instances := trial.runningInstances()
	started := instances[len(instances)-1].instance
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if started.Revision() > 0 && len(started.Status(time.Now()).Members) >= site.Instances {
			break
		}
		pause(t.Context(), 50*time.Millisecond)
	}
	assert.Equal(t, started.Revision(), uint64(1))
	engines := 0
	for _, m := range started.Status(time.Now()).Members {
		if m.Kind == "engine" && m.State == "live" {
			engines++
		}
	}
	assert.Equal(t, engines, site.Runners+site.OtherRunners)
	trial.addOutage(-1)
}
