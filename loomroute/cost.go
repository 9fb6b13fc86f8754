package loomroute

import (
	"math/rand/v2"
	"time"
)

func init() {
	Register("cost", cost{})
}

const (
	// adapterLoadTime is the expected time to load an adapter.
	adapterLoadTime = 200 * time.Millisecond
	// crossDomainTime is the added time to reach another failure domain.
	crossDomainTime = time.Millisecond
	// importSetup is the time that an import takes besides its bytes.
	importSetup = 3 * time.Millisecond
	// nearEqual is the part of the best score within which candidates are
	// drawn by lot, and nearEqualFloor the least such distance.
	nearEqual      = 0.05
	nearEqualFloor = time.Millisecond
	// suspectPenalty keeps suspect candidates behind all others.
	suspectPenalty = time.Hour
)

// cost takes the candidate with the least expected time to first token plus
// the weighed time to recompute tokens. For each candidate it compares
// computing all that the engine lacks with fetching stored blocks.
type cost struct{}

// UsesKeptState implements Policy.
func (cost) UsesKeptState() bool { return true }

// Choose implements Policy.
func (cost) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	best, second := -1, -1
	var bestScore, secondScore time.Duration
	var bestChoice, secondChoice Choice
	offset := random.IntN(len(candidates))
	for n := range candidates {
		i := (n + offset) % len(candidates)
		choice, score := appraise(r, candidates[i])
		switch {
		case best < 0 || score < bestScore:
			second, secondScore, secondChoice = best, bestScore, bestChoice
			best, bestScore, bestChoice = i, score, choice
		case second < 0 || score < secondScore:
			second, secondScore, secondChoice = i, score, choice
		}
	}
	margin := max(time.Duration(nearEqual*float64(bestScore)), nearEqualFloor)
	if second < 0 || secondScore-bestScore > margin {
		return bestChoice
	}
	if candidates[second].Outstanding < candidates[best].Outstanding {
		return secondChoice
	}
	return bestChoice
}

// appraise returns the best use of a candidate and its score.
func appraise(r Request, c Candidate) (Choice, time.Duration) {
	if c.Stored > 0 {
		r.Stored = c.Stored
	}
	if c.BlockTime > 0 {
		r.BlockTime = c.BlockTime
	}
	lead := c.Wait
	if c.LacksAdapter {
		lead += adapterLoadTime
	}
	if c.FailureDomain != r.FailureDomain {
		lead += crossDomainTime
	}
	if c.Suspect {
		lead += suspectPenalty
	}
	choice, score := withoutImport(r, c, lead)
	if r.Stored <= c.Held {
		return choice, score
	}
	imported, importScore := withImport(r, c, lead)
	if importScore < score {
		return imported, importScore
	}
	return choice, score
}

func withoutImport(r Request, c Candidate, lead time.Duration) (Choice, time.Duration) {
	n := recompute(r, c.Held)
	compute := time.Duration(n) * r.TokenTime
	choice := Choice{ID: c.ID, Recompute: n, Expected: lead + compute}
	if c.Held >= r.Stored && importPays(r) {
		choice.Import = r.Stored
	}
	return choice, choice.Expected + weighed(r, compute)
}

// importPays reports whether fetching the stored blocks beats computing them,
// should the engine turn out to have evicted what it is believed to hold. An
// engine fetches only what it lacks.
func importPays(r Request) bool {
	fetch := importSetup + r.LinkWait + time.Duration(r.Stored)*r.BlockTime
	return fetch < time.Duration(r.Stored*r.BlockTokens)*r.TokenTime
}

func withImport(r Request, c Candidate, lead time.Duration) (Choice, time.Duration) {
	n := recompute(r, r.Stored)
	compute := time.Duration(n) * r.TokenTime
	fetch := importSetup + r.LinkWait + time.Duration(r.Stored-c.Held)*r.BlockTime
	choice := Choice{ID: c.ID, Import: r.Stored, Recompute: n, Expected: max(lead, fetch) + compute}
	return choice, choice.Expected + weighed(r, compute)
}

func weighed(r Request, compute time.Duration) time.Duration {
	return time.Duration(r.RecomputeWeight * float64(compute))
}
