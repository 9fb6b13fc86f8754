package loomquarantine

import (
	"slices"
	"time"
)

const (
	// minEnds is the number of separate ends, in each of which an answer to a request with the
	// part had just begun, that it takes to quarantine a part. minUnbegunEnds is that number
	// for a part to which no answer begins, which shows less.
	minEnds        = 3
	minUnbegunEnds = 4
	// minRequestEnds is the number of separate ends that it takes to quarantine a request, and
	// minUnevenRequestEnds that number if these came at different times after it was sent.
	minRequestEnds       = 3
	minUnevenRequestEnds = 4
	// settleTime is the time after an end in which other instances tell what they had in
	// progress there.
	settleTime = 120 * time.Millisecond
)

// Judge decides by all evidence and returns the quarantines that are new. A suspect that
// explains the most ends comes first. Ends that it explains say nothing of the suspects that
// were in progress beside it.
func (l *Ledger) Judge(now time.Time) []Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	isSettled := l.judgedAt.Sub(l.changedAt) >= settleTime
	l.judgedAt = now
	if isSettled || !l.canDecide() {
		return nil
	}
	open := l.clusters(now)
	l.withdraw(now, open)
	for _, r := range l.quarantines {
		open = withoutExplained(open, r.Quarantine)
	}
	var decided []Quarantine
	for {
		q, ok := l.separated(now, open)
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

// canDecide reports whether there is evidence that could lead to a quarantine or change one.
// The caller holds mu.
func (l *Ledger) canDecide() bool {
	if len(l.quarantines) > 0 {
		return len(l.exposed) > 0
	}
	for _, ends := range l.exposed {
		if ends >= minEnds {
			return true
		}
	}
	return false
}

// withdraw removes quarantines for which the evidence no longer speaks, since later ends have
// shown that other suspects explain theirs. The caller holds mu.
func (l *Ledger) withdraw(now time.Time, clusters []cluster) {
	explaining := explanation(clusters)
	rest := clusters
	for _, q := range explaining {
		rest = withoutExplained(rest, q)
	}
	for key, r := range l.quarantines {
		isChosen := slices.ContainsFunc(explaining, func(q Quarantine) bool { return q.Key() == key })
		if !isChosen && countEnds(clusters, r.Quarantine) >= minEnds && countEnds(rest, r.Quarantine) == 0 {
			l.withdrawn[key] = withdrawal{at: now, trials: r.Trials, triedAt: r.triedAt}
			l.remove(key)
		}
	}
}

// countEnds returns the number of separate ends in which the suspects of q are exposed.
func countEnds(clusters []cluster, q Quarantine) int {
	n := 0
	for _, c := range clusters {
		n += c.count(q)
	}
	return n
}

// explanation returns the suspects that explain the clusters if nothing was decided before.
func explanation(clusters []cluster) []Quarantine {
	open := clusters
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

// withoutExplained returns what q doesn't explain of the clusters.
func withoutExplained(clusters []cluster, q Quarantine) []cluster {
	rest := make([]cluster, 0, len(clusters))
	for _, c := range clusters {
		if c = c.without(q); len(c.ends) > 0 {
			rest = append(rest, c)
		}
	}
	return rest
}

// separated returns the suspects of a quarantine under which an upstream has ended without
// the others, or false if there are none. The caller holds mu.
func (l *Ledger) separated(now time.Time, clusters []cluster) (Quarantine, bool) {
	for _, c := range clusters {
		if !c.isComplete(now) {
			continue
		}
		for _, r := range l.quarantines {
			q := Quarantine{Ends: 1}
			for _, s := range r.Suspects {
				if x, ok := c.suspects[s]; ok && x.HasBegun {
					q = q.WithSuspects(append(q.Suspects, s)...)
					q.Version = max(q.Version, x.Version)
				}
			}
			if len(q.Suspects) > 0 && len(q.Suspects) < len(r.Suspects) {
				return q, true
			}
		}
	}
	return Quarantine{}, false
}

// mostExposed returns the suspect that is exposed in the most ends of those for which these
// suffice, with all that can't be told from it, or false if there is none.
func mostExposed(clusters []cluster) (Quarantine, bool) {
	bySuspect := candidates(clusters)
	var best *candidate
	for _, k := range bySuspect {
		if k.isSufficient() && (best == nil || compareCandidates(k, best) > 0) {
			best = k
		}
	}
	if best == nil {
		return Quarantine{}, false
	}
	q := Quarantine{Version: best.version, Ends: best.ends}.WithSuspects(best.inseparable(bySuspect, clusters)...)
	q.IsCertain = slices.ContainsFunc(clusters, func(c cluster) bool { return c.has(q) && c.isAlone(q) })
	return q, true
}
