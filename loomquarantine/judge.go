package loomquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minEnds is the number of separate ends, in each of which an answer to a request with the
	// part had just begun, that it takes to quarantine a part. minUnbegunEnds is that number
	// for a part to which no answer begins, which shows less.
	minEnds        = 3
	minUnbegunEnds = 4
	// settleTime is the time after an end in which other instances tell what they had in
	// progress there.
	settleTime = 120 * time.Millisecond
	// clusterWindow is the time within which the ends of several upstreams count as one. A
	// failure of power or of a network ends many at once, whatever they run.
	clusterWindow = 150 * time.Millisecond
)

// cluster is a set of ends at about the same time.
type cluster map[Part]Exposure

// has reports whether all parts of q are exposed.
func (c cluster) has(q Quarantine) bool {
	return !slices.ContainsFunc(q.Parts, func(id string) bool {
		_, ok := c[Part{Model: q.Model, ID: id}]
		return !ok
	})
}

// Judge decides by all evidence and returns the quarantines that are new. A part that
// explains the most ends comes first. Ends that it explains say nothing of the parts that
// were in progress beside it.
func (l *Ledger) Judge(now time.Time) []Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	isSettled := l.judgedAt.Sub(l.changedAt) >= settleTime
	l.judgedAt = now
	if len(l.exposed) == 0 || isSettled {
		return nil
	}
	open := l.clusters(now)
	l.withdraw(open)
	for _, r := range l.quarantines {
		open = withoutExplained(open, r.Quarantine)
	}
	var decided []Quarantine
	for {
		q, ok := l.separated(open)
		if !ok {
			q, ok = mostExposed(open)
		}
		if !ok {
			return decided
		}
		q.UsedAt = now
		l.put(q, now)
		l.append(now, q)
		decided = append(decided, q)
		open = withoutExplained(open, q)
	}
}

// withdraw removes quarantines for which the evidence no longer speaks, since later ends have
// shown that other parts explain theirs. The caller holds mu.
func (l *Ledger) withdraw(clusters []cluster) {
	explaining := explanation(clusters)
	for key, r := range l.quarantines {
		ends, explained := 0, 0
		for _, c := range clusters {
			if !c.has(r.Quarantine) {
				continue
			}
			ends++
			if slices.ContainsFunc(explaining, func(q Quarantine) bool { return q.key() != key && c.has(q) }) {
				explained++
			}
		}
		isChosen := slices.ContainsFunc(explaining, func(q Quarantine) bool { return q.key() == key })
		if !isChosen && ends >= minEnds && explained == ends {
			l.remove(key)
		}
	}
}

// explanation returns the parts that explain the clusters if nothing was decided before.
func explanation(clusters []cluster) []Quarantine {
	open := slices.Clone(clusters)
	var explaining []Quarantine
	for {
		q, ok := mostExposed(open)
		if !ok {
			return explaining
		}
		explaining = append(explaining, q)
		open = withoutExplained(open, q)
	}
}

// withoutExplained returns the clusters that q doesn't explain. It may change the slice.
func withoutExplained(clusters []cluster, q Quarantine) []cluster {
	return slices.DeleteFunc(clusters, func(c cluster) bool { return c.has(q) })
}

// separated returns the parts of a quarantine under which an upstream has ended without the
// other parts, or false if there are none. The caller holds mu.
func (l *Ledger) separated(clusters []cluster) (Quarantine, bool) {
	for _, c := range clusters {
		for _, r := range l.quarantines {
			q := Quarantine{Model: r.Model, Ends: 1}
			for _, id := range r.Parts {
				if x, ok := c[Part{Model: r.Model, ID: id}]; ok && x.HasBegun {
					q.Parts = append(q.Parts, id)
					q.Version = max(q.Version, x.Version)
				}
			}
			if len(q.Parts) > 0 && len(q.Parts) < len(r.Parts) {
				return q, true
			}
		}
	}
	return Quarantine{}, false
}

// clusters returns the clusters of all ends that have settled. The caller holds mu.
func (l *Ledger) clusters(now time.Time) []cluster {
	ends := slices.Clone(l.ends)
	slices.SortFunc(ends, func(a, b *endRecord) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	var clusters []cluster
	var start time.Time
	for _, e := range ends {
		if now.Sub(e.At) < settleTime {
			break
		}
		if len(clusters) == 0 || e.At.Sub(start) > clusterWindow {
			clusters = append(clusters, make(cluster))
			start = e.At
		}
		c := clusters[len(clusters)-1]
		for p, x := range e.exposures {
			known := c[p]
			known.Part = p
			c[p] = known.join(x)
		}
	}
	return clusters
}

// candidate is a part with the clusters that it is exposed in.
type candidate struct {
	part     Part
	clusters []int
	// begun is the number of clusters in which an answer had begun.
	begun   int
	version uint64
}

// isSufficient reports whether the ends suffice to quarantine the part. What ends engines does
// so at the same stage of each request, other parts are at any.
func (k *candidate) isSufficient() bool {
	return k.begun >= minEnds || (k.begun == 0 && len(k.clusters) >= minUnbegunEnds)
}

// mostExposed returns the part that is exposed in the most clusters of those for which these
// suffice, with all parts that can't be told from it, or false if there is none.
func mostExposed(clusters []cluster) (Quarantine, bool) {
	byPart := make(map[Part]*candidate)
	for i, c := range clusters {
		for p, x := range c {
			k, ok := byPart[p]
			if !ok {
				k = &candidate{part: p}
				byPart[p] = k
			}
			k.clusters = append(k.clusters, i)
			k.version = max(k.version, x.Version)
			if x.HasBegun {
				k.begun++
			}
		}
	}
	var best *candidate
	for _, k := range byPart {
		if k.isSufficient() && (best == nil || compareCandidates(k, best) > 0) {
			best = k
		}
	}
	if best == nil {
		return Quarantine{}, false
	}
	q := Quarantine{Model: best.part.Model, Version: best.version, Ends: len(best.clusters)}
	for p, k := range byPart {
		if p.Model == q.Model && k.begun == best.begun && slices.Equal(k.clusters, best.clusters) {
			q.Parts = append(q.Parts, p.ID)
		}
	}
	slices.Sort(q.Parts)
	q.IsCertain = slices.ContainsFunc(clusters, func(c cluster) bool { return c.has(q) && len(c) == len(q.Parts) })
	return q, true
}

// compareCandidates orders candidates by the clusters that they are exposed in. All
// instances come to the same order.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(len(a.clusters), len(b.clusters)),
		cmp.Compare(a.begun, b.begun),
		cmp.Compare(a.part.Model, b.part.Model),
		cmp.Compare(a.part.ID, b.part.ID),
	)
}
