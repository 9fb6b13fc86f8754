package loomquarantine

import "time"

// logged is a change with the time at which it was added.
type logged struct {
	change Change
	at     time.Time
}

// append adds a change to the log. The caller holds mu.
func (l *Ledger) append(now time.Time, c Change) {
	l.log = append(l.log, logged{change: c, at: now})
	l.next++
}

// Changes returns the changes from number from on, at most limit of them, and the
// number from which the next call continues. The first call passes zero. If changes since
// from are no longer kept, all quarantines come first.
func (l *Ledger) Changes(from uint64, limit int) (changes []Change, next uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	first := l.next - uint64(len(l.log))
	if from < first {
		for _, r := range l.quarantines {
			changes = append(changes, r.Quarantine)
		}
	}
	from = max(from, first)
	if from >= l.next {
		return changes, l.next
	}
	rest := l.log[from-first:]
	rest = rest[:min(len(rest), limit)]
	for _, entry := range rest {
		changes = append(changes, entry.change)
	}
	return changes, from + uint64(len(rest))
}

// Latest returns all quarantines and the latest changes, at most limit of these, for a peer of
// which it isn't known what it has been told.
func (l *Ledger) Latest(limit int) []Change {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var changes []Change
	for _, r := range l.quarantines {
		changes = append(changes, r.Quarantine)
	}
	for _, entry := range l.log[max(len(l.log)-limit, 0):] {
		changes = append(changes, entry.change)
	}
	return changes
}

// Apply merges the changes of a peer and reports whether they tell of an end, or of a part of
// one, that was not known.
func (l *Ledger) Apply(now time.Time, changes []Change) bool {
	hasNews := false
	for _, c := range changes {
		switch c := c.(type) {
		case End:
			hasNews = l.RecordEnd(now, c) || hasNews
		case Sound:
			l.addSound(now, c)
		case Quarantine:
			l.addQuarantine(now, c)
		}
	}
	return hasNews
}
