// Package loomfleet decides how the fleet of engines is brought into line with
// the catalogue: which engine loads which weights next.
package loomfleet

import (
	"cmp"
	"slices"
)

// Engine is what a reconciler knows of one engine of its failure domain.
type Engine struct {
	ID      string
	Address string
	Model   string
	Version uint64
	// Loading is the version that the engine is loading, or zero.
	Loading uint64
	// Outstanding is the number of requests that the engine is known to have.
	Outstanding int
	// Usable tells that the engine takes orders: it is live and has reported.
	Usable bool
}

// Want is what the catalogue asks of a group of engines.
type Want struct {
	Model   string
	Version uint64
	// LoadLimit is how many engines of the whole site may load at once.
	LoadLimit int
}

// Order asks that an engine load weights.
type Order struct {
	Engine  string
	Address string
	Model   string
	Version uint64
}

// Plan returns the orders that may be sent now, one for each free permit to
// load. Of the engines of a domain at most half, but at least one, load at
// once. Those with the oldest weights go first, and of these the least busy, so
// that capacity is kept.
func Plan(engines []Engine, w Want, permits int) []Order {
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
		if e.Model != w.Model || e.Version < w.Version {
			stale = append(stale, e)
		}
	}
	room := min(permits, max(usable/2, 1)-loading, w.LoadLimit)
	slices.SortFunc(stale, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Outstanding, b.Outstanding), cmp.Compare(a.ID, b.ID))
	})
	var orders []Order
	for _, e := range stale {
		if len(orders) >= room {
			break
		}
		orders = append(orders, Order{Engine: e.ID, Address: e.Address, Model: w.Model, Version: w.Version})
	}
	return orders
}
