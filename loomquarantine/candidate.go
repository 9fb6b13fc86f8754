package loomquarantine

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a suspect with the clusters that it is exposed in.
type candidate struct {
	suspect  Suspect
	clusters []int
	// ends is the number of separate ends, and begun that of the clusters in which an answer
	// had begun.
	ends, begun int
	// minSent and maxSent bound the times from when requests were sent until the ends.
	minSent, maxSent time.Duration
	version          uint64
	// parts are the IDs of the parts that a request holds.
	parts []string
}

// candidates returns a candidate for each suspect in the clusters.
func candidates(clusters []cluster) map[Suspect]*candidate {
	bySuspect := make(map[Suspect]*candidate)
	for i, c := range clusters {
		for s, x := range c.suspects {
			k, ok := bySuspect[s]
			if !ok {
				k = &candidate{suspect: s, minSent: x.Sent}
				bySuspect[s] = k
			}
			k.clusters = append(k.clusters, i)
			k.ends += x.ends
			k.minSent, k.maxSent = min(k.minSent, x.Sent), max(k.maxSent, x.Sent)
			k.version = max(k.version, x.Version)
			if len(k.parts) == 0 {
				k.parts = x.Parts
			}
			if x.HasBegun {
				k.begun++
			}
		}
	}
	return bySuspect
}

// isSufficient reports whether the ends suffice for a quarantine. What ends upstreams does so
// at the same stage of each request, other suspects are at any.
func (k *candidate) isSufficient() bool {
	if k.suspect.Kind == Request {
		return k.ends >= minUnevenRequestEnds || (k.ends >= minRequestEnds && k.isEven())
	}
	return k.begun >= minEnds || (k.begun == 0 && len(k.clusters) >= minUnbegunEnds)
}

// begunPart returns begun for a part. A request may end upstreams before it has begun.
func (k *candidate) begunPart() int {
	if k.suspect.Kind == Request {
		return 0
	}
	return k.begun
}

// isEven reports whether the ends came at about the same time after a request was sent.
// sentTolerance allows for the time that upstreams let it wait.
func (k *candidate) isEven() bool {
	const sentTolerance = 100 * time.Millisecond
	return k.maxSent <= 2*k.minSent+sentTolerance
}

// compareCandidates orders candidates by the ends that they are exposed in. All instances
// come to the same order.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.ends, b.ends),
		compareBools(a.begunPart() >= minEnds, b.begunPart() >= minEnds),
		compareBools(a.suspect.Kind == Request, b.suspect.Kind == Request),
		cmp.Compare(a.begunPart(), b.begunPart()),
		cmp.Compare(b.maxSent-b.minSent, a.maxSent-a.minSent),
		compareSuspects(a.suspect, b.suspect),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// inseparable returns the suspect of k and those that can't be told from it, since they were
// always in progress together with it. Some request holds all of them.
func (k *candidate) inseparable(bySuspect map[Suspect]*candidate, clusters []cluster) []Suspect {
	alike := make([]*candidate, 0, len(bySuspect))
	for _, other := range bySuspect {
		if other != k && k.isLike(other) {
			alike = append(alike, other)
		}
	}
	slices.SortFunc(alike, func(a, b *candidate) int { return compareSuspects(a.suspect, b.suspect) })
	if k.suspect.Kind == Request {
		suspects := []Suspect{k.suspect}
		for _, other := range alike {
			if other.suspect.Kind == Part && slices.Contains(k.parts, other.suspect.ID) {
				suspects = append(suspects, other.suspect)
			}
		}
		return suspects
	}
	parts := []Suspect{k.suspect}
	for _, other := range alike {
		if other.suspect.Kind == Part && k.holdsWith(append(slices.Clone(parts), other.suspect), clusters) {
			parts = append(parts, other.suspect)
		}
	}
	if request := onlyRequest(alike); request != nil && request.holds(parts) {
		return append(parts, request.suspect)
	}
	return parts
}

// onlyRequest returns the only request among some candidates, or nil.
func onlyRequest(candidates []*candidate) *candidate {
	var request *candidate
	for _, k := range candidates {
		if k.suspect.Kind != Request {
			continue
		}
		if request != nil {
			return nil
		}
		request = k
	}
	return request
}

// isLike reports whether two candidates of one model are exposed at the same ends.
func (k *candidate) isLike(other *candidate) bool {
	return k.suspect.Model == other.suspect.Model && k.begun == other.begun && slices.Equal(k.clusters, other.clusters)
}

// holds reports whether a request has all of some parts.
func (k *candidate) holds(parts []Suspect) bool {
	return !slices.ContainsFunc(parts, func(s Suspect) bool { return !slices.Contains(k.parts, s.ID) })
}

// holdsWith reports whether some request held all of some parts in each of the clusters of k.
func (k *candidate) holdsWith(parts []Suspect, clusters []cluster) bool {
	return !slices.ContainsFunc(k.clusters, func(i int) bool { return !clusters[i].holds(parts) })
}
