package loomroute

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

func init() {
	Register("least_loaded", leastLoaded{})
	Register("prefix_hash", prefixHash{})
}

// leastLoaded takes the better of two random candidates by load.
type leastLoaded struct{}

// UsesKeptState implements Policy.
func (leastLoaded) UsesKeptState() bool { return false }

// Choose implements Policy.
func (leastLoaded) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	best := leastWait(candidates, random)
	return Choice{
		ID:        best.ID,
		Recompute: recompute(r, best.Held),
		Expected:  best.Wait + time.Duration(recompute(r, best.Held))*r.TokenTime,
	}
}

// leastWait returns the candidate with the shortest wait; among equals it
// draws.
func leastWait(candidates []Candidate, random *rand.Rand) Candidate {
	best := candidates[0]
	equals := 1
	for _, c := range candidates[1:] {
		switch {
		case less(c, best):
			best = c
			equals = 1
		case !less(best, c):
			equals++
			if random.IntN(equals) == 0 {
				best = c
			}
		}
	}
	return best
}

func less(a, b Candidate) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Wait != b.Wait {
		return a.Wait < b.Wait
	}
	return a.Outstanding < b.Outstanding
}

// prefixHash sends equal prefixes to the same candidate, and to the next one
// in rendezvous order while that is loaded far above the mean.
type prefixHash struct{}

const (
	loadBound = 1.25
	loadSlack = 2
)

// UsesKeptState implements Policy.
func (prefixHash) UsesKeptState() bool { return false }

// Choose implements Policy.
func (prefixHash) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	if len(r.Root) == 0 {
		return leastLoaded{}.Choose(r, candidates, random)
	}
	total := 0
	for _, c := range candidates {
		total += c.Outstanding
	}
	limit := int(loadBound*float64(total)/float64(len(candidates))) + loadSlack
	best := -1
	var bestWeight uint64
	for i, c := range candidates {
		if c.Outstanding > limit || c.Suspect {
			continue
		}
		w := xxhash.Sum64String(c.ID) ^ xxhash.Sum64(r.Root)
		w = mix(w)
		if best < 0 || w > bestWeight {
			best = i
			bestWeight = w
		}
	}
	if best < 0 {
		return leastLoaded{}.Choose(r, candidates, random)
	}
	c := candidates[best]
	return Choice{
		ID:        c.ID,
		Recompute: recompute(r, c.Held),
		Expected:  c.Wait + time.Duration(recompute(r, c.Held))*r.TokenTime,
	}
}

// mix spreads the bits of a value.
func mix(v uint64) uint64 {
	v ^= v >> 31
	v *= 0x7fb5d329728ea185
	v ^= v >> 27
	v *= 0x81dadef4bc2dd44d
	return v ^ v>>33
}
