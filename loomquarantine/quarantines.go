package loomquarantine

import (
	"slices"
	"time"
)

type quarantineRecord struct {
	Quarantine
	announcedAt time.Time
	// knownAt is when this instance decided or learned it, and triedAt when a request was
	// last sent in spite of it.
	knownAt, triedAt time.Time
}

// withdrawalDelay is the time after a withdrawal in which the word of peers doesn't bring the
// quarantine back. They withdraw it as well once they have the same evidence.
const withdrawalDelay = 10 * time.Second

// withdrawal is a quarantine that later evidence did not bear out.
type withdrawal struct {
	at time.Time
	// trials and triedAt count on if it is decided again.
	trials  int
	triedAt time.Time
}

// IsEmpty reports whether there are no quarantines.
func (l *Ledger) IsEmpty() bool {
	return l.active.Load() == 0
}

// Find returns the quarantine that applies to a request with suspects, if there is one, and
// counts its use.
func (l *Ledger) Find(now time.Time, suspects []Suspect) (Quarantine, bool) {
	if l.IsEmpty() {
		return Quarantine{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range suspects {
		for _, key := range l.bySuspect[s] {
			r := l.quarantines[key]
			if !r.matches(suspects) {
				continue
			}
			r.Quarantine = r.WithUse(now)
			if now.Sub(r.announcedAt) > announceInterval {
				l.announce(now, r)
			}
			return r.Quarantine, true
		}
	}
	return Quarantine{}, false
}

// put adds a quarantine, or joins it with the known one of the same suspects. It reports whether
// that was not known or has changed. The caller holds mu.
func (l *Ledger) put(q Quarantine, now time.Time) bool {
	key := q.Key()
	if known, ok := l.quarantines[key]; ok {
		before := known.Quarantine
		known.UsedAt = known.WithUse(q.UsedAt).UsedAt
		known.Version = max(known.Version, q.Version)
		known.Ends = max(known.Ends, q.Ends)
		known.IsCertain = known.IsCertain || q.IsCertain
		if q.Trials > known.Trials {
			known.Trials, known.triedAt = q.Trials, now
		}
		return known.Version != before.Version || known.Trials != before.Trials || known.IsCertain != before.IsCertain
	}
	if len(l.quarantines) >= maxQuarantines {
		l.remove(l.leastUsed())
	}
	w := l.withdrawn[key]
	q.Trials = max(q.Trials, w.trials)
	l.quarantines[key] = &quarantineRecord{Quarantine: q, announcedAt: now, knownAt: now, triedAt: w.triedAt}
	for _, s := range q.Suspects {
		l.bySuspect[s] = append(l.bySuspect[s], key)
	}
	l.active.Store(int64(len(l.quarantines)))
	return true
}

// remove removes a quarantine. The caller holds mu.
func (l *Ledger) remove(key string) {
	r, ok := l.quarantines[key]
	if !ok {
		return
	}
	delete(l.quarantines, key)
	for _, s := range r.Suspects {
		l.bySuspect[s] = slices.DeleteFunc(l.bySuspect[s], func(k string) bool { return k == key })
		if len(l.bySuspect[s]) == 0 {
			delete(l.bySuspect, s)
		}
	}
	l.active.Store(int64(len(l.quarantines)))
}

// leastUsed returns the key of the quarantine that was used least recently. The caller holds
// mu.
func (l *Ledger) leastUsed() string {
	least := ""
	for key, r := range l.quarantines {
		if least == "" || r.UsedAt.Before(l.quarantines[least].UsedAt) {
			least = key
		}
	}
	return least
}

// Quarantines returns all quarantines, sorted by model and suspects.
func (l *Ledger) Quarantines() []Quarantine {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]Quarantine, 0, len(l.quarantines))
	for _, r := range l.quarantines {
		all = append(all, r.Quarantine)
	}
	slices.SortFunc(all, func(a, b Quarantine) int {
		if a.Key() < b.Key() {
			return -1
		}
		return 1
	})
	return all
}

// announce adds a quarantine to the log. The caller holds mu.
func (l *Ledger) announce(now time.Time, r *quarantineRecord) {
	r.announcedAt = now
	l.append(now, r.Quarantine)
}

// addQuarantine merges a quarantine that a peer has decided. It is lifted if a suspect is
// known to be sound.
func (l *Ledger) addQuarantine(now time.Time, q Quarantine) {
	if len(q.Suspects) == 0 || now.Sub(q.UsedAt) > quarantineTTL {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range slices.Clone(q.Suspects) {
		if version, ok := l.sound.clears(now, s, q.Version); ok {
			l.append(now, Sound{Suspect: s, Version: version})
			q = q.without(s)
		}
	}
	if w, ok := l.withdrawn[q.Key()]; ok && now.Sub(w.at) < withdrawalDelay {
		return
	}
	if len(q.Suspects) > 0 && l.put(q, now) {
		l.changedAt = now
		l.append(now, q)
	}
}
