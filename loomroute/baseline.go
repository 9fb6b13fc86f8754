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

// leastLoaded chooses the candidate with the shortest expected wait, and among
// equals one at random.
type leastLoaded struct{}

// UsesKVCache implements Policy.
func (leastLoaded) UsesKVCache() bool { return false }

// Choose implements Policy.
func (leastLoaded) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	best := leastWait(candidates, random)
	return Choice{
		ID:        best.ID,
		Recompute: tokensToCompute(r, best.CachedPrefix),
		Expected:  best.Wait + time.Duration(tokensToCompute(r, best.CachedPrefix))*r.TokenTime,
	}
}

// leastWait returns the first candidate in the order of lessLoaded. Among
// equals it chooses one uniformly at random.
func leastWait(candidates []Candidate, random *rand.Rand) Candidate {
	best := candidates[0]
	equals := 1
	for _, c := range candidates[1:] {
		switch {
		case lessLoaded(c, best):
			best = c
			equals = 1
		case !lessLoaded(best, c):
			equals++
			if random.IntN(equals) == 0 {
				best = c
			}
		}
	}
	return best
}

// lessLoaded orders candidates that are not suspect before suspect ones, then by
// wait and by the number of outstanding requests.
func lessLoaded(a, b Candidate) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	if a.Wait != b.Wait {
		return a.Wait < b.Wait
	}
	return a.Outstanding < b.Outstanding
}

// prefixHash chooses a candidate by rendezvous hashing of the first block, so
// that prompts with the same prefix reach the same upstream. Candidates that are
// suspect or loaded far above the mean are passed over in favour of the next in
// rendezvous order.
type prefixHash struct{}

const (
	// maxLoadFactor bounds the outstanding requests of a candidate, as a multiple
	// of the mean over all candidates.
	maxLoadFactor = 1.25
	// loadSlack is the number of requests added to that bound, so that it does
	// not exclude candidates while the mean is small.
	loadSlack = 2
)

// UsesKVCache implements Policy.
func (prefixHash) UsesKVCache() bool { return false }

// Choose implements Policy.
func (prefixHash) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	if len(r.Root) == 0 {
		return leastLoaded{}.Choose(r, candidates, random)
	}
	total := 0
	for _, c := range candidates {
		total += c.Outstanding
	}
	limit := int(maxLoadFactor*float64(total)/float64(len(candidates))) + loadSlack
	best := -1
	var bestWeight uint64
	for i, c := range candidates {
		if c.Outstanding > limit || c.Suspect {
			continue
		}
		w := xxhash.Sum64String(c.ID) ^ xxhash.Sum64(r.Root)
		w = mixBits(w)
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
		Recompute: tokensToCompute(r, c.CachedPrefix),
		Expected:  c.Wait + time.Duration(tokensToCompute(r, c.CachedPrefix))*r.TokenTime,
	}
}

// mixBits is a finalizer that spreads every bit of a hash over the whole result.
func mixBits(v uint64) uint64 {
	v ^= v >> 31
	v *= 0x7fb5d329728ea185
	v ^= v >> 27
	v *= 0x81dadef4bc2dd44d
	return v ^ v>>33
}
