package loomquarantine

import (
	"slices"
	"time"
)

const (
	// maxTrials bounds the requests that are sent in spite of a quarantine, over all
	// instances and for as long as it lasts. Each may end an engine.
	maxTrials = 2
	// trialDelay is the time from the decision until the first trial, so that engines have
	// started again, and trialInterval the least time between two.
	trialDelay    = 3 * time.Second
	trialInterval = 10 * time.Second
	// certainTrialDelay is trialDelay if no other suspect explains the ends. Upstreams that end
	// for another reason often enough may still do so under the same request.
	certainTrialDelay = 20 * time.Second
)

// Try reports whether a request may be sent in spite of a quarantine that applies to it, to
// show whether its suspects are sound, and counts the trial. That is so once, sooner if other
// suspects may have been the reason for the ends, and if the weights, of which version is the
// oldest in use, are newer than those under which upstreams have ended. There may be no
// evidence against others of the request's suspects. Only one instance may ask for a
// quarantine.
func (l *Ledger) Try(now time.Time, q Quarantine, suspects []Suspect, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.quarantines[q.Key()]
	if !ok || r.Trials >= maxTrials || now.Sub(r.knownAt) < trialDelay || now.Sub(r.triedAt) < trialInterval {
		return false
	}
	hasNewerWeights := version > r.Version
	isOpen := r.Trials == 0 && (!r.IsCertain || now.Sub(r.knownAt) >= certainTrialDelay)
	if !hasNewerWeights && !isOpen {
		return false
	}
	for _, s := range suspects {
		if !slices.Contains(r.Suspects, s) && (l.exposed[s] > 0 || len(l.bySuspect[s]) > 0) {
			return false
		}
	}
	r.Quarantine = r.WithTrial(version)
	r.triedAt = now
	l.announce(now, r)
	return true
}
