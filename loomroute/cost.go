package loomroute

import (
	"math/rand/v2"
	"time"
)

func init() {
	Register("cost", cost{})
}

const (
	// adapterLoadTime is the expected time in which an engine loads an adapter.
	adapterLoadTime = 200 * time.Millisecond
	// crossDomainTime is the extra latency of an upstream in another failure
	// domain.
	crossDomainTime = time.Millisecond
	// importSetupTime is the fixed cost of an import, on top of the transfer.
	importSetupTime = 3 * time.Millisecond
	// tieFraction and minTieMargin define when the two best scores count as
	// tied: when they differ by at most this fraction of the best score, or by
	// at most minTieMargin. The one with fewer outstanding requests then wins,
	// and the one with the better score if both have as many.
	tieFraction  = 0.05
	minTieMargin = time.Millisecond
	// suspectPenalty is added to the score of suspect candidates. It exceeds
	// any other term, so that they are chosen only when all are suspect.
	suspectPenalty = time.Hour
)

// cost chooses the candidate with the lowest score: the expected time to first
// token plus the weighted time to recompute tokens. For each candidate it
// compares computing all blocks that the engine has not cached with importing
// stored blocks. Scoring starts at a random candidate, so that the same candidate
// does not win every tie.
type cost struct{}

// UsesKVCache implements Policy.
func (cost) UsesKVCache() bool { return true }

// Choose implements Policy.
func (cost) Choose(r Request, candidates []Candidate, random *rand.Rand) Choice {
	best, second := -1, -1
	var bestScore, secondScore time.Duration
	var bestChoice, secondChoice Choice
	offset := random.IntN(len(candidates))
	for n := range candidates {
		i := (n + offset) % len(candidates)
		choice, score := scoreCandidate(r, candidates[i])
		switch {
		case best < 0 || score < bestScore:
			second, secondScore, secondChoice = best, bestScore, bestChoice
			best, bestScore, bestChoice = i, score, choice
		case second < 0 || score < secondScore:
			second, secondScore, secondChoice = i, score, choice
		}
	}
	margin := max(time.Duration(tieFraction*float64(bestScore)), minTieMargin)
	if second < 0 || secondScore-bestScore > margin {
		return bestChoice
	}
	if candidates[second].Outstanding < candidates[best].Outstanding {
		return secondChoice
	}
	return bestChoice
}

// scoreCandidate returns the choice with the lower score, with or without an
// import, for the candidate c.
func scoreCandidate(r Request, c Candidate) (Choice, time.Duration) {
	if c.Stored > 0 {
		r.Stored = c.Stored
	}
	if c.BlockTime > 0 {
		r.BlockTime = c.BlockTime
	}
	if c.TokenTime > 0 {
		r.TokenTime = c.TokenTime
	}
	startDelay := c.Wait
	if c.LacksAdapter {
		startDelay += adapterLoadTime
	}
	if c.FailureDomain != r.FailureDomain {
		startDelay += crossDomainTime
	}
	if c.Suspect {
		startDelay += suspectPenalty
	}
	choice, score := scoreWithoutImport(r, c, startDelay)
	if r.Stored <= c.CachedPrefix {
		return choice, score
	}
	imported, importScore := scoreWithImport(r, c, startDelay)
	if importScore < score {
		return imported, importScore
	}
	return choice, score
}

// scoreWithoutImport returns the choice of computing all blocks that the engine
// has not cached, and its score. startDelay is the expected time until the
// engine starts on the prompt.
func scoreWithoutImport(r Request, c Candidate, startDelay time.Duration) (Choice, time.Duration) {
	n := tokensToCompute(r, c.CachedPrefix)
	compute := time.Duration(n) * r.TokenTime
	choice := Choice{ID: c.ID, Recompute: n, Expected: startDelay + compute}
	if c.CachedPrefix >= r.Stored && isImportFaster(r) {
		choice.Import = r.Stored
	}
	return choice, choice.Expected + weightedCompute(r, compute) + pauseCost(r, c, n)
}

// isImportFaster reports whether fetching all stored blocks takes less time than
// computing them. It decides whether a request to an engine that is expected to
// have them cached offers an import as well, in case the engine has evicted
// them. An engine fetches only the blocks that it has not cached.
func isImportFaster(r Request) bool {
	fetch := importSetupTime + r.LinkWait + time.Duration(r.Stored)*r.BlockTime
	return fetch < time.Duration(r.Stored*r.BlockTokens)*r.TokenTime
}

// scoreWithImport returns the choice of importing the stored blocks that the
// engine has not cached, and its score. The fetch overlaps with startDelay.
func scoreWithImport(r Request, c Candidate, startDelay time.Duration) (Choice, time.Duration) {
	n := tokensToCompute(r, r.Stored)
	compute := time.Duration(n) * r.TokenTime
	fetch := importSetupTime + r.LinkWait + time.Duration(r.Stored-c.CachedPrefix)*r.BlockTime
	choice := Choice{ID: c.ID, Import: r.Stored, Recompute: n, Expected: max(startDelay, fetch) + compute}
	return choice, choice.Expected + weightedCompute(r, compute) + pauseCost(r, c, n)
}

// maxReadingShare is the share of the pause objective that an engine may spend on
// prompts without a break. The rest is for the steps of the streams themselves and
// for the way of their tokens.
const maxReadingShare = 0.8

// pauseCost returns how much longer the streams of a candidate would pause than they
// may, summed over all of them, if the engine computed n more prompt tokens after
// those that it already has to. It keeps long prompts away from engines with many
// streams as far as the load makes them wait, and no further.
func pauseCost(r Request, c Candidate, n int) time.Duration {
	if r.PauseObjective == 0 {
		return 0
	}
	reading := time.Duration(c.TokensAhead+n) * r.TokenTime
	excess := reading - time.Duration(maxReadingShare*float64(r.PauseObjective))
	return max(excess, 0) * time.Duration(c.Outstanding)
}

// weightedCompute returns the term of the score for recomputed tokens.
func weightedCompute(r Request, compute time.Duration) time.Duration {
	return time.Duration(r.RecomputeWeight * float64(compute))
}
