package loomgate

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// instancesPerCoordinator is the number of instances of a failure domain that
	// one coordinator serves, and minCoordinators the number that a domain has in
	// any case, so that one may fail.
	instancesPerCoordinator = 20
	minCoordinators         = 2
)

// coordinators decides which instances choose upstreams on behalf of others. In a
// fleet with more instances than an upstream accepts event watches, not every
// instance can follow what engines and stores hold, and none hears of the load
// that all others cause soon enough. There, a few instances of each failure domain
// follow the upstreams and exchange loads, and the other instances ask them where
// to send each request. In a smaller fleet every instance chooses for itself.
//
// All instances rank the instances of a failure domain alike, and the first ones
// coordinate. An instance whose coordinators do not answer asks those of other
// failure domains, and chooses by itself if none answers. Only a coordinator that
// has been silent for long is replaced, since its successor has to learn first what
// the upstreams hold.
type coordinators struct {
	gate *Gate

	mu sync.Mutex
	// latest holds the result of the last election, of electedAt.
	latest    map[string][]string
	electedAt time.Time
}

// fleetMember is an instance as a possible coordinator.
type fleetMember struct {
	id            string
	failureDomain string
	// capacity is the processor capacity in cores.
	capacity float64
	isAlive  bool
}

// rankCoordinators returns the living instances of a failure domain in the order
// in which they are to coordinate, those with the most capacity first.
func rankCoordinators(members []fleetMember, failureDomain string) []string {
	var ranked []fleetMember
	for _, m := range members {
		if m.isAlive && m.failureDomain == failureDomain {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b fleetMember) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(hashString(a.id), hashString(b.id)), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, len(ranked))
	for _, m := range ranked {
		ids = append(ids, m.id)
	}
	return ids
}

// electCoordinators returns the coordinators of each failure domain, in order,
// when all of them together may use a number of event watches of an upstream. Each
// domain has at least one. None are kept back: the watches of a coordinator that fails
// end within watchHoldTime, and its successor is elected later.
func electCoordinators(members []fleetMember, watches int) map[string][]string {
	elected := make(map[string][]string)
	for _, m := range members {
		elected[m.failureDomain] = nil
	}
	most := max(watches/max(len(elected), 1), 1)
	for domain := range elected {
		ranked := rankCoordinators(members, domain)
		wanted := max((len(ranked)+instancesPerCoordinator-1)/instancesPerCoordinator, minCoordinators)
		elected[domain] = ranked[:min(wanted, most, len(ranked))]
	}
	return elected
}

// watchLimit returns the least number of event watches that an upstream accepts,
// or zero if none is stated.
func (c *coordinators) watchLimit() int {
	limit := 0
	routing := c.gate.view.routing()
	for _, s := range routing.Stores() {
		if s.MaxWatches > 0 && (limit == 0 || s.MaxWatches < limit) {
			limit = s.MaxWatches
		}
	}
	return limit
}

// electionInterval is how long the result of an election is used again.
const electionInterval = 100 * time.Millisecond

// elected returns the coordinators of each failure domain, or nil if the fleet is
// small enough to do without.
func (c *coordinators) elected() map[string][]string {
	now := time.Now()
	c.mu.Lock()
	latest, at := c.latest, c.electedAt
	c.mu.Unlock()
	if now.Sub(at) < electionInterval {
		return latest
	}
	latest = nil
	limit := c.watchLimit()
	if members := c.gate.peers.fleetMembers(now); limit > 0 && len(members) > limit {
		latest = electCoordinators(members, limit)
	}
	c.mu.Lock()
	c.latest, c.electedAt = latest, now
	c.mu.Unlock()
	return latest
}

// targets returns the peers that need the state of this instance, and false if
// all do. A coordinator reports to all others, any other instance to the one that
// it asks. Coordinators that do not answer are among the targets, so that their
// return is noticed. While no coordinator answers, any peer may be the first to hear that an
// upstream is cold after a start.
func (c *coordinators) targets() ([]string, bool) {
	elected := c.elected()
	if elected == nil {
		return nil, false
	}
	if c.isElected(elected) {
		return c.all(), true
	}
	choices := c.choices()
	if len(choices) == 0 && c.gate.cold.isConfigured() {
		return nil, false
	}
	ids := choices[:min(len(choices), 1)]
	return append(ids, c.gate.peers.failing(elected[c.gate.settings.FailureDomain])...), true
}

// isCoordinator reports whether this instance follows the upstreams: it has been
// elected, or the fleet has no coordinators.
func (c *coordinators) isCoordinator() bool {
	elected := c.elected()
	return elected == nil || c.isElected(elected)
}

func (c *coordinators) isElected(elected map[string][]string) bool {
	return slices.Contains(elected[c.gate.settings.FailureDomain], c.gate.settings.ID)
}

// hasCoordinator reports whether another instance chooses upstreams for this one.
func (c *coordinators) hasCoordinator() bool {
	return len(c.choices()) > 0
}

// choices returns the coordinators that this instance may ask, the best first:
// those of its failure domain in an order of its own, which spreads the instances
// over them, and then the others. It leaves out those that do not answer, and is
// empty if this instance is elected itself.
func (c *coordinators) choices() []string {
	elected := c.elected()
	if elected == nil || c.isElected(elected) {
		return nil
	}
	own := c.gate.settings
	var ids []string
	for domain, members := range elected {
		if domain != own.FailureDomain {
			ids = append(ids, members...)
		}
	}
	byHash := func(a, b string) int {
		return cmp.Or(cmp.Compare(hashString(own.ID+a), hashString(own.ID+b)), cmp.Compare(a, b))
	}
	slices.SortFunc(ids, byHash)
	near := slices.Clone(elected[own.FailureDomain])
	slices.SortFunc(near, byHash)
	near = append(near, ids...)
	failing := c.gate.peers.failing(near)
	return slices.DeleteFunc(near, func(id string) bool { return slices.Contains(failing, id) })
}

// meanInstances returns the mean number of instances for which one
// coordinator chooses, itself included.
func (c *coordinators) meanInstances() int {
	return max(len(c.gate.peers.liveInstances())/max(len(c.all()), 1), 1)
}

// all returns the sorted IDs of all coordinators, or nil if there are none.
func (c *coordinators) all() []string {
	var ids []string
	for _, members := range c.elected() {
		ids = append(ids, members...)
	}
	slices.Sort(ids)
	return ids
}
