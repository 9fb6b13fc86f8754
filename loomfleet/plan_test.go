package loomfleet_test

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomfleet"
)

// A fixed seed makes property tests reproducible; the flag -rapid.seed overrides
// it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func engine(id string, version, loading uint64) loomfleet.Engine {
	return loomfleet.Engine{ID: id, Model: "m", Version: version, Loading: loading, Usable: true}
}

func TestPlan(t *testing.T) {
	target := loomfleet.Target{Model: "m", Version: 2, LoadLimit: 3}
	busy := engine("a", 1, 0)
	busy.Outstanding = 9
	unusable := engine("a", 1, 0)
	unusable.Usable = false
	otherModel := engine("a", 2, 0)
	otherModel.Model = "n"
	tests := []struct {
		name    string
		engines []loomfleet.Engine
		permits int
		want    []string
	}{
		{"all up to date", []loomfleet.Engine{engine("a", 2, 0), engine("b", 3, 0)}, 3, nil},
		{"no permit", []loomfleet.Engine{engine("a", 1, 0)}, 0, nil},
		{"a single engine loads", []loomfleet.Engine{engine("a", 1, 0)}, 3, []string{"a"}},
		{"at most half of the engines load", []loomfleet.Engine{engine("a", 1, 0), engine("b", 1, 0), engine("c", 1, 0), engine("d", 1, 0)}, 3, []string{"a", "b"}},
		{"engines that are loading count", []loomfleet.Engine{engine("a", 1, 2), engine("b", 1, 0), engine("c", 1, 0)}, 3, nil},
		{"the engine with fewest requests first", []loomfleet.Engine{busy, engine("b", 1, 0)}, 3, []string{"b"}},
		{"unusable engines get no orders", []loomfleet.Engine{unusable}, 3, nil},
		{"another model is replaced", []loomfleet.Engine{otherModel}, 3, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, o := range loomfleet.Plan(tt.engines, target, tt.permits) {
				got = append(got, o.Engine)
				assert.Equal(t, o.Version, target.Version)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// For any fleet, there are no more orders than permits, orders never bring the
// number of loading engines above half of the usable ones or one, and no order goes
// to an engine that is loading, up to date or unusable.
func TestPlanKeepsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []loomfleet.Engine
		usable, loading := 0, 0
		stale := make(map[string]bool)
		for i := range rapid.IntRange(0, 12).Draw(t, "engines") {
			e := engine(fmt.Sprint(i), rapid.Uint64Range(1, 3).Draw(t, "version"), rapid.Uint64Range(0, 1).Draw(t, "loading"))
			e.Usable = rapid.Bool().Draw(t, "usable")
			if e.Usable {
				usable++
				if e.Loading > 0 {
					loading++
				}
			}
			stale[e.ID] = e.Usable && e.Loading == 0 && e.Version < 2
			engines = append(engines, e)
		}
		permits := rapid.IntRange(0, 4).Draw(t, "permits")
		orders := loomfleet.Plan(engines, loomfleet.Target{Model: "m", Version: 2, LoadLimit: 4}, permits)
		assert.Assert(t, len(orders) <= permits)
		if len(orders) > 0 {
			assert.Assert(t, len(orders)+loading <= max(usable/2, 1))
		}
		for _, o := range orders {
			assert.Assert(t, stale[o.Engine])
		}
	})
}
