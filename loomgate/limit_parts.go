package loomgate

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// partInterval is the longest mean time between two requests of a part of a
	// limit. A lower limit is divided among fewer instances.
	partInterval = 2 * time.Second
	// partTTL is how long the part of an instance that does not answer is left
	// unused. It may be disconnected from this instance and still send.
	partTTL = 30 * time.Second
	// partMembersInterval is how long a list of members is used again.
	partMembersInterval = 100 * time.Millisecond
)

// limitParts decides which part of an upstream's limit this instance has. The
// instances that choose upstreams have equal parts: all in a small fleet, and the
// coordinators in a large one. The part of an instance that is gone is divided among
// the others after partTTL, but only where most instances answer, so that two sides of
// a partition do not both use the whole limit.
type limitParts struct {
	gate *Gate

	mu        sync.Mutex
	updatedAt time.Time
	// members holds the instances with parts, by ID.
	members map[string]partMember
}

// partMember is an instance that has a part of each limit.
type partMember struct {
	id            string
	failureDomain string
	// aliveAt is when the instance was last known to be alive.
	aliveAt time.Time
}

// share returns the part of this instance, between zero and one, of a limit that is
// divided among holders.
func (p *limitParts) share(holders []string) float64 {
	if !slices.Contains(holders, p.gate.settings.ID) {
		return 0
	}
	return 1 / float64(len(holders))
}

// holders returns the instances that have parts of an upstream's limit, which is in
// requests per second.
func (p *limitParts) holders(now time.Time, upstream, failureDomain string, limit float64) []string {
	return partHolders(p.current(now), upstream, failureDomain, limit)
}

// partHolders selects the instances that have parts of an upstream's limit. Those of
// the upstream's failure domain come first, since they reach it longest.
func partHolders(members []partMember, upstream, failureDomain string, limit float64) []string {
	slices.SortFunc(members, func(a, b partMember) int {
		if isNear := a.failureDomain == failureDomain; isNear != (b.failureDomain == failureDomain) {
			if isNear {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hashString(upstream+"/"+a.id), hashString(upstream+"/"+b.id)), cmp.Compare(a.id, b.id))
	})
	count := min(max(int(limit*partInterval.Seconds()), 1), len(members))
	ids := make([]string, 0, count)
	for _, m := range members[:count] {
		ids = append(ids, m.id)
	}
	return ids
}

// current returns the instances with parts.
func (p *limitParts) current(now time.Time) []partMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.updatedAt) >= partMembersInterval || p.members == nil {
		p.update(now)
	}
	members := make([]partMember, 0, len(p.members))
	for _, m := range p.members {
		members = append(members, m)
	}
	return members
}

// update adds the instances that are alive and choose upstreams, and removes those
// that are gone. The caller holds mu.
func (p *limitParts) update(now time.Time) {
	p.updatedAt = now
	if p.members == nil {
		p.members = make(map[string]partMember)
	}
	alive := 0
	for _, m := range p.gate.choosers(now) {
		alive++
		p.members[m.id] = partMember{id: m.id, failureDomain: m.failureDomain, aliveAt: now}
	}
	if 2*alive <= len(p.members) {
		return
	}
	for id, m := range p.members {
		if now.Sub(m.aliveAt) > partTTL {
			delete(p.members, id)
		}
	}
}

// choosers returns the instances that are alive and choose upstreams, as far as this one knows.
func (g *Gate) choosers(now time.Time) []fleetMember {
	elected := g.coordinators.elected()
	return slices.DeleteFunc(g.peers.fleetMembers(now), func(m fleetMember) bool {
		return !m.isAlive || (elected != nil && !slices.Contains(elected[m.failureDomain], m.id))
	})
}

// ids returns the instances that choose upstreams, including those that have been
// silent for less than partTTL.
func (p *limitParts) ids(now time.Time) []string {
	members := p.current(now)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.id)
	}
	slices.Sort(ids)
	return ids
}
