package loomtrial

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An instance that starts while the platform is out gets catalogue and members
// from a peer and takes requests.
func TestNewbornDuringOutage(t *testing.T) {
	site, err := SiteByName("port")
	assert.NilError(t, err)
	site.Instances = 2
	site.Runners = 4
	trial, err := Start(t.Context(), site, "cost", 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	assert.NilError(t, err)
	t.Cleanup(trial.Stop)
	trial.setOutage(1)
	assert.NilError(t, trial.startInstance(t.Context(), site.FailureDomains[0]))
	all := trial.running()
	newborn := all[len(all)-1].instance
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if newborn.Revision() > 0 && len(newborn.Status(time.Now()).Members) >= site.Instances {
			break
		}
		pause(t.Context(), 50*time.Millisecond)
	}
	assert.Equal(t, newborn.Revision(), uint64(1))
	engines := 0
	for _, m := range newborn.Status(time.Now()).Members {
		if m.Kind == "engine" && m.State == "live" {
			engines++
		}
	}
	assert.Equal(t, engines, site.Runners+site.OtherRunners)
	trial.setOutage(-1)
}
