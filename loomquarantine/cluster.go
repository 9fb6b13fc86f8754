package loomquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// clusterWindow is the time within which the ends of several upstreams count as one. A
	// failure of power or of a network ends many at once, whatever they run. Ends under the
	// same request count as one within requestWindow: few requests are in progress at several
	// upstreams before any has been answered.
	clusterWindow = 150 * time.Millisecond
	requestWindow = 30 * time.Millisecond
)

// cluster is a set of ends at about the same time. It is immutable.
type cluster struct {
	// ends are in order of time.
	ends []clusterEnd
	// suspects holds what the ends tell of each suspect.
	suspects map[Suspect]*clusterEntry
}

// clusterEnd is an end in a cluster.
type clusterEnd struct {
	at time.Time
	// changedAt is when this instance last learned more of it.
	changedAt time.Time
	exposures []Exposure
	// held are the IDs of the parts that each request held.
	held [][]string
}

// clusterEntry tells of a suspect in a cluster.
type clusterEntry struct {
	Exposure
	// ends is the number of separate ends, and at the time of the latest one that counts.
	ends int
	at   time.Time
}

// newCluster returns the cluster of some ends.
func newCluster(ends []clusterEnd) cluster {
	c := cluster{ends: ends, suspects: make(map[Suspect]*clusterEntry)}
	for _, e := range ends {
		for _, x := range e.exposures {
			c.add(e.at, x)
		}
	}
	return c
}

// add adds an exposure in an end at a time. Ends are added in their order.
func (c cluster) add(at time.Time, x Exposure) {
	known, ok := c.suspects[x.Suspect]
	if !ok {
		c.suspects[x.Suspect] = &clusterEntry{Exposure: x, ends: 1, at: at}
		return
	}
	known.Exposure = known.join(x)
	if x.Suspect.Kind == Request && at.Sub(known.at) > requestWindow {
		known.ends++
		known.at = at
	}
}

// has reports whether all suspects of q are exposed.
func (c cluster) has(q Quarantine) bool {
	return !slices.ContainsFunc(q.Suspects, func(s Suspect) bool { return c.suspects[s] == nil })
}

// count returns the number of separate ends in which the suspects of q are exposed.
func (c cluster) count(q Quarantine) int {
	if !c.has(q) {
		return 0
	}
	n := c.suspects[q.Suspects[0]].ends
	for _, s := range q.Suspects {
		n = min(n, c.suspects[s].ends)
	}
	return n
}

// isComplete reports whether nothing new has been learned of the cluster for settleTime, as it is
// when an instance that has started is told of earlier ends.
func (c cluster) isComplete(now time.Time) bool {
	return !slices.ContainsFunc(c.ends, func(e clusterEnd) bool { return now.Sub(e.changedAt) < settleTime })
}

// isAlone reports whether no others than the suspects of q could explain the cluster.
func (c cluster) isAlone(q Quarantine) bool {
	for s := range c.suspects {
		if !slices.Contains(q.Suspects, s) {
			return false
		}
	}
	return true
}

// without returns the ends that q doesn't explain. If the cluster has all suspects of q, but no
// end does, q explains those that have any, so that it always explains one.
func (c cluster) without(q Quarantine) cluster {
	if !c.has(q) {
		return c
	}
	isExplained := func(e clusterEnd) bool { return e.has(q) }
	if !slices.ContainsFunc(c.ends, isExplained) {
		isExplained = func(e clusterEnd) bool { return e.hasAny(q) }
	}
	return newCluster(slices.DeleteFunc(slices.Clone(c.ends), isExplained))
}

// holds reports whether some request held all of a set of parts. Without any word of requests
// that is assumed.
func (c cluster) holds(parts []Suspect) bool {
	isKnown := false
	for _, e := range c.ends {
		for _, held := range e.held {
			isKnown = true
			if !slices.ContainsFunc(parts, func(s Suspect) bool { return !slices.Contains(held, s.ID) }) {
				return true
			}
		}
	}
	return !isKnown
}

// has reports whether all suspects of q are exposed.
func (e clusterEnd) has(q Quarantine) bool {
	return !slices.ContainsFunc(q.Suspects, func(s Suspect) bool {
		return !slices.ContainsFunc(e.exposures, func(x Exposure) bool { return x.Suspect == s })
	})
}

// hasAny reports whether any suspect of q is exposed.
func (e clusterEnd) hasAny(q Quarantine) bool {
	return slices.ContainsFunc(e.exposures, func(x Exposure) bool { return slices.Contains(q.Suspects, x.Suspect) })
}

// clusters returns the clusters of all ends that have settled, without the requests that are
// exposed in one end only and explain nothing, since they are not quarantined either. The
// caller holds mu.
func (l *Ledger) clusters(now time.Time) []cluster {
	ends := slices.Clone(l.ends)
	slices.SortFunc(ends, func(a, b *endRecord) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	var groups [][]clusterEnd
	for _, e := range ends {
		if now.Sub(e.At) < settleTime {
			break
		}
		n := len(groups) - 1
		if n < 0 || e.At.Sub(groups[n][0].at) > clusterWindow {
			groups = append(groups, nil)
			n++
		}
		groups[n] = append(groups[n], l.newClusterEnd(e))
	}
	clusters := make([]cluster, 0, len(groups))
	for _, group := range groups {
		clusters = append(clusters, newCluster(group))
	}
	return clusters
}

// newClusterEnd returns an end with what it may be explained by. The caller holds mu.
func (l *Ledger) newClusterEnd(e *endRecord) clusterEnd {
	result := clusterEnd{at: e.At, changedAt: e.changedAt}
	for _, x := range e.exposures {
		if x.Suspect.Kind == Part || l.exposed[x.Suspect] > 1 || len(l.bySuspect[x.Suspect]) > 0 {
			result.exposures = append(result.exposures, x)
		}
		if x.Suspect.Kind == Request || len(x.Parts) > 0 {
			result.held = append(result.held, x.Parts)
		}
	}
	return result
}
