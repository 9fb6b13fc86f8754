package loomfleet

import (
	"cmp"
	"slices"
	"time"
)

// Pace bounds how engines are taken out of service for new weights.
type Pace struct {
	// LoadLimit is how many engines may have an order under way at once.
	LoadLimit int
	// Lead is how long before its order an engine is emptied.
	Lead time.Duration
}

// Deadline is when engines with weights older than a version may no longer
// serve.
type Deadline struct {
	Version uint64
	At      time.Time
}

// LoadsAtOnce returns how many engines must load at once from now on so that
// each deadline is met, when one load takes loadTime: as few as possible, since
// an engine that loads does not serve and slows the loads of others down.
func LoadsAtOnce(now time.Time, engines []Engine, deadlines []Deadline, loadTime time.Duration) int {
	need := 1
	for _, d := range deadlines {
		stale := 0
		for _, e := range engines {
			if e.Usable && max(e.Version, e.Loading) < d.Version {
				stale++
			}
		}
		left := max(d.At.Sub(now), loadTime)
		need = max(need, int((time.Duration(stale)*loadTime+left-1)/left))
	}
	return need
}

// Rota decides which engines are emptied of long runs and when each gets its
// order. An engine that is ordered while long runs are under way takes no new
// requests until the last of them ends; one that was given only short runs
// beforehand is out of service for little more than the load itself. The zero
// value is ready; its methods may not be called concurrently.
type Rota struct {
	// due holds when each engine that is being emptied gets its order.
	due map[string]time.Time
}

// Emptying is an engine that gets its order at a time.
type Emptying struct {
	Engine string
	Due    time.Time
}

// Step returns the orders that are due at now, the earliest first. It begins to
// empty an engine when the lead before another's load is expected to be done.
func (r *Rota) Step(now time.Time, engines []Engine, w Want, p Pace) []Order {
	r.forget(engines, w)
	loading := r.pick(now, engines, w, p)
	var orders []Order
	for _, e := range r.Emptying() {
		if loading+len(orders) >= p.LoadLimit {
			break
		}
		i := slices.IndexFunc(engines, func(known Engine) bool { return known.ID == e.Engine })
		if e.Due.After(now) && engines[i].Outstanding > 0 {
			continue
		}
		orders = append(orders, Order{Engine: e.Engine, Address: engines[i].Address, Model: w.Model, Version: w.Version})
	}
	return orders
}

// pick begins to empty engines and returns how many load.
func (r *Rota) pick(now time.Time, engines []Engine, w Want, p Pace) int {
	loading, busy := 0, 0
	taken := slices.Clone(engines)
	for i, e := range taken {
		if e.Loading > 0 {
			loading++
		}
		if e.Loading > 0 && e.LoadedBy.After(now.Add(p.Lead)) {
			busy++
		}
		if _, ok := r.due[e.ID]; ok {
			taken[i].Loading = w.Version
		}
	}
	w.LoadLimit = p.LoadLimit
	for _, o := range Plan(taken, w, p.LoadLimit-busy-len(r.due)) {
		if r.due == nil {
			r.due = make(map[string]time.Time)
		}
		r.due[o.Engine] = now.Add(p.Lead)
	}
	return loading
}

// forget drops engines that are gone, load or need no order any more.
func (r *Rota) forget(engines []Engine, w Want) {
	for id := range r.due {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == id })
		if i < 0 || !engines[i].Usable || engines[i].Loading > 0 || (engines[i].Model == w.Model && engines[i].Version >= w.Version) {
			delete(r.due, id)
		}
	}
}

// Emptying returns the engines that are being emptied, the first to be ordered
// ahead.
func (r *Rota) Emptying() []Emptying {
	list := make([]Emptying, 0, len(r.due))
	for id, due := range r.due {
		list = append(list, Emptying{Engine: id, Due: due})
	}
	slices.SortFunc(list, func(a, b Emptying) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Engine, b.Engine))
	})
	return list
}
