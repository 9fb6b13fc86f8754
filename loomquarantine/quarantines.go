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

// IsEmpty reports whether there are no quarantines.
func (l *Ledger) IsEmpty() bool {
	return l.active.Load() == 0
}

// Find returns the quarantine that applies to a prompt, if there is one, and counts
// its use.
func (l *Ledger) Find(now time.Time, model string, parts []string) (Quarantine, bool) {
	if l.IsEmpty() {
		return Quarantine{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range parts {
		for _, key := range l.byPart[Part{Model: model, ID: id}] {
			r := l.quarantines[key]
			if !r.matches(model, parts) {
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

// put adds a quarantine, or joins it with the known one of the same parts. It reports whether
// that was not known or has changed. The caller holds mu.
func (l *Ledger) put(q Quarantine, now time.Time) bool {
	key := q.key()
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
	l.quarantines[key] = &quarantineRecord{Quarantine: q, announcedAt: now, knownAt: now}
	for _, id := range q.Parts {
		p := Part{Model: q.Model, ID: id}
		l.byPart[p] = append(l.byPart[p], key)
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
	for _, id := range r.Parts {
		p := Part{Model: r.Model, ID: id}
		l.byPart[p] = slices.DeleteFunc(l.byPart[p], func(k string) bool { return k == key })
		if len(l.byPart[p]) == 0 {
			delete(l.byPart, p)
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

// Quarantines returns all quarantines, sorted by model and parts.
func (l *Ledger) Quarantines() []Quarantine {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]Quarantine, 0, len(l.quarantines))
	for _, r := range l.quarantines {
		all = append(all, r.Quarantine)
	}
	slices.SortFunc(all, func(a, b Quarantine) int {
		if a.key() < b.key() {
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

// addQuarantine merges a quarantine that a peer has decided. It is lifted if a part is known
// to be sound.
func (l *Ledger) addQuarantine(now time.Time, q Quarantine) {
	if len(q.Parts) == 0 || now.Sub(q.UsedAt) > quarantineTTL {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range slices.Clone(q.Parts) {
		p := Part{Model: q.Model, ID: id}
		if version, ok := l.sound.clears(now, p, q.Version); ok {
			l.append(now, Sound{Part: p, Version: version})
			q = q.without(id)
		}
	}
	if len(q.Parts) > 0 && l.put(q, now) {
		l.changedAt = now
		l.append(now, q)
	}
}
