package loomfleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomfleet"
)

var (
	rotaStart = time.Unix(1000, 0)
	rotaPace  = loomfleet.Pace{LoadLimit: 1, Lead: time.Second}
	rotaWant  = loomfleet.Want{Model: "m", Version: 2}
)

func busy(id string, version, loading uint64) loomfleet.Engine {
	e := engine(id, version, loading)
	e.Outstanding = 5
	return e
}

func TestRotaEmptiesBeforeTheOrder(t *testing.T) {
	var r loomfleet.Rota
	engines := []loomfleet.Engine{busy("a", 1, 0), busy("b", 1, 0), busy("c", 1, 0), busy("d", 1, 0)}
	assert.Equal(t, len(r.Step(rotaStart, engines, rotaWant, rotaPace)), 0)
	assert.DeepEqual(t, r.Emptying(), []loomfleet.Emptying{{Engine: "a", Due: rotaStart.Add(time.Second)}})

	orders := r.Step(rotaStart.Add(time.Second), engines, rotaWant, rotaPace)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Engine, "a")

	engines[0].Loading = 2
	engines[0].LoadedBy = rotaStart.Add(3 * time.Second)
	r.Step(rotaStart.Add(1500*time.Millisecond), engines, rotaWant, rotaPace)
	assert.Equal(t, len(r.Emptying()), 0, "no engine is emptied long before it may load")
	r.Step(rotaStart.Add(2*time.Second), engines, rotaWant, rotaPace)
	assert.Equal(t, r.Emptying()[0].Engine, "b")
	orders = r.Step(rotaStart.Add(3*time.Second), engines, rotaWant, rotaPace)
	assert.Equal(t, len(orders), 0, "the load takes longer than expected")
	engines[0] = busy("a", 2, 0)
	orders = r.Step(rotaStart.Add(3100*time.Millisecond), engines, rotaWant, rotaPace)
	assert.Equal(t, orders[0].Engine, "b")
}

func TestRotaOrdersAnEmptyEngineAtOnce(t *testing.T) {
	var r loomfleet.Rota
	orders := r.Step(rotaStart, []loomfleet.Engine{engine("a", 1, 0), busy("b", 1, 0)}, rotaWant, rotaPace)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Engine, "a")
}

func TestRotaForgets(t *testing.T) {
	tests := []struct {
		name string
		now  []loomfleet.Engine
	}{
		{"an engine that is gone", nil},
		{"an engine that has the weights", []loomfleet.Engine{busy("a", 2, 0)}},
		{"an engine that loads", []loomfleet.Engine{busy("a", 1, 2)}},
		{"an engine that takes no orders", []loomfleet.Engine{{ID: "a", Model: "m", Version: 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r loomfleet.Rota
			r.Step(rotaStart, []loomfleet.Engine{busy("a", 1, 0)}, rotaWant, rotaPace)
			assert.Equal(t, len(r.Emptying()), 1)
			assert.Equal(t, len(r.Step(rotaStart.Add(time.Minute), tt.now, rotaWant, rotaPace)), 0)
			assert.Equal(t, len(r.Emptying()), 0)
		})
	}
}

// An engine that is being emptied when newer weights are named loads only those.
func TestRotaSkipsWeightsThatWereReplaced(t *testing.T) {
	var r loomfleet.Rota
	engines := []loomfleet.Engine{busy("a", 1, 0), busy("b", 1, 0)}
	r.Step(rotaStart, engines, rotaWant, rotaPace)
	newer := loomfleet.Want{Model: "m", Version: 3}
	orders := r.Step(rotaStart.Add(time.Second), engines, newer, rotaPace)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Version, uint64(3))
}

// Whatever the fleet and the times of loading, no more engines than the limits
// allow are out of service at once, and all get the weights in the end.
func TestRotaBringsAllEnginesToTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := loomfleet.Pace{
			LoadLimit: rapid.IntRange(1, 4).Draw(t, "limit"),
			Lead:      time.Duration(rapid.IntRange(0, 2000).Draw(t, "lead")) * time.Millisecond,
		}
		var engines []loomfleet.Engine
		for i := range rapid.IntRange(1, 20).Draw(t, "engines") {
			engines = append(engines, busy(fmt.Sprintf("e%02d", i), 1, 0))
		}
		until := make(map[string]time.Time)
		var r loomfleet.Rota
		for step := range 2000 {
			now := rotaStart.Add(time.Duration(step) * 100 * time.Millisecond)
			left, loading := 0, 0
			for i := range engines {
				e := &engines[i]
				if e.Loading > 0 && !now.Before(until[e.ID]) {
					e.Version, e.Loading = e.Loading, 0
				}
				if e.Loading > 0 {
					loading++
				}
				if e.Version < 2 {
					left++
				}
			}
			if left == 0 {
				return
			}
			for _, o := range r.Step(now, engines, rotaWant, pace) {
				for i := range engines {
					if engines[i].ID == o.Engine {
						engines[i].Loading = o.Version
						engines[i].LoadedBy = now.Add(1500 * time.Millisecond)
						until[o.Engine] = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "load")) * time.Millisecond)
						loading++
					}
				}
			}
			if loading > pace.LoadLimit || len(r.Emptying()) > pace.LoadLimit {
				t.Fatalf("%d engines load and %d are emptied, of %+v", loading, len(r.Emptying()), pace)
			}
		}
		t.Fatal("not all engines got the weights")
	})
}

func TestLoadsAtOnce(t *testing.T) {
	at := func(s int) time.Time { return rotaStart.Add(time.Duration(s) * time.Second) }
	twelve := make([]loomfleet.Engine, 12)
	for i := range twelve {
		twelve[i] = busy(fmt.Sprint(i), 1, 0)
	}
	half := slices.Clone(twelve)
	for i := range 6 {
		half[i].Version = 2
	}
	loading := slices.Clone(twelve)
	for i := range 6 {
		loading[i].Loading = 2
	}
	gone := slices.Clone(twelve)
	for i := range gone {
		gone[i].Usable = false
	}
	tests := []struct {
		name      string
		engines   []loomfleet.Engine
		deadlines []loomfleet.Deadline
		want      int
	}{
		{"nothing is named", twelve, nil, 1},
		{"time enough", twelve, []loomfleet.Deadline{{Version: 2, At: at(30)}}, 1},
		{"some at once", twelve, []loomfleet.Deadline{{Version: 2, At: at(10)}}, 3},
		{"half is done", half, []loomfleet.Deadline{{Version: 2, At: at(10)}}, 2},
		{"half is under way", loading, []loomfleet.Deadline{{Version: 2, At: at(10)}}, 2},
		{"the earlier deadline binds", twelve, []loomfleet.Deadline{{Version: 2, At: at(6)}, {Version: 3, At: at(20)}}, 4},
		{"the later deadline binds", half, []loomfleet.Deadline{{Version: 2, At: at(12)}, {Version: 3, At: at(8)}}, 3},
		{"the time has passed", twelve, []loomfleet.Deadline{{Version: 2, At: at(-5)}}, 12},
		{"no engine takes orders", gone, []loomfleet.Deadline{{Version: 2, At: at(-5)}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, loomfleet.LoadsAtOnce(rotaStart, tt.engines, tt.deadlines, 2*time.Second), tt.want)
		})
	}
}
