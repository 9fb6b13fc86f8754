// Package loomfleet plans rollouts of model weights: it decides which engine loads
// which weights next, so that the fleet converges on the catalogue.
package loomfleet

import (
	"cmp"
	"slices"
)

// Engine is the state of one engine of a failure domain, as the reconciler of the
// domain knows it.
type Engine struct {
	ID      string
	Address string
	// Model and Version name the weights that the engine serves.
	Model   string
	Version uint64
	// Loading is the version that the engine is loading, or zero.
	Loading uint64
	// Outstanding is the number of running and queued requests.
	Outstanding int
	// Usable reports that the engine accepts orders: it is live and has reported
	// its state.
	Usable bool
}

// Target is the state that the catalogue specifies for a group of engines.
type Target struct {
	Model   string
	Version uint64
	// LoadLimit is the largest number of engines of the whole site that may load
	// weights concurrently.
	LoadLimit int
}

// Order instructs an engine to load weights.
type Order struct {
	Engine  string
	Address string
	Model   string
	Version uint64
}

// Plan returns the orders that may be sent now, at most one per permit. To keep
// serving capacity, at most half of the usable engines of the failure domain, but
// at least one, load concurrently. Engines with the oldest weights go first, and
// among these the ones with the fewest outstanding requests. An engine that has a
// newer version of the target's model is left as it is.
func Plan(engines []Engine, target Target, permits int) []Order {
	var stale []Engine
	loading, usable := 0, 0
	for _, e := range engines {
		if !e.Usable {
			continue
		}
		usable++
		if e.Loading > 0 {
			loading++
			continue
		}
		if e.Model != target.Model || e.Version < target.Version {
			stale = append(stale, e)
		}
	}
	maxOrders := min(permits, max(usable/2, 1)-loading, target.LoadLimit)
	slices.SortFunc(stale, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Outstanding, b.Outstanding), cmp.Compare(a.ID, b.ID))
	})
	var orders []Order
	for _, e := range stale {
		if len(orders) >= maxOrders {
			break
		}
		orders = append(orders, Order{Engine: e.ID, Address: e.Address, Model: target.Model, Version: target.Version})
	}
	return orders
}
