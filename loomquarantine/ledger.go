package loomquarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// evidenceTTL is how long the end of an upstream counts.
	evidenceTTL = time.Minute
	// quarantineTTL is how long a quarantine lasts after the last request that it refused.
	quarantineTTL = 10 * time.Minute
	// announceInterval is the time after which a quarantine in use is told to peers again,
	// so that it lasts at those that get no such requests.
	announceInterval = time.Minute
	// mergeWindow is the greatest difference between the times at which two instances see
	// the same end. An upstream takes longer to start again.
	mergeWindow = 1200 * time.Millisecond
	// maxEnds bounds the ends that are kept, maxExposures the parts of one, and
	// maxQuarantines the quarantines; the oldest go first.
	maxEnds        = 128
	maxExposures   = 64
	maxQuarantines = 512
	// maxChanges bounds the changes that wait for peers.
	maxChanges = 2048
)

// Ledger holds what an instance knows of the ends of upstreams, and decides which parts
// are quarantined. Instances merge their ledgers by telling each other the changes;
// the order in which these arrive does not matter. The methods are safe for concurrent use.
type Ledger struct {
	sound *soundParts
	// active is the number of quarantines, so that a request needs no lock without any.
	active atomic.Int64

	mu sync.RWMutex
	// ends is in no order.
	ends []*endRecord
	// exposed counts, for each part, the ends that it is exposed in.
	exposed map[Part]int
	// quarantines is keyed by Quarantine.key, and byPart holds the keys of those that have
	// a part.
	quarantines map[string]*quarantineRecord
	byPart      map[Part][]string
	// log holds the latest changes in the order of their numbers, which are consecutive
	// and begin at one; next is the number of the next one.
	log  []logged
	next uint64
	// judgedAt is when the evidence was last judged, and changedAt when it last changed.
	judgedAt, changedAt time.Time
}

// endRecord is an end as far as it is known.
type endRecord struct {
	End
	exposures map[Part]Exposure
}

type quarantineRecord struct {
	Quarantine
	announcedAt time.Time
	// knownAt is when this instance decided or learned it, and triedAt when a request was
	// last sent in spite of it.
	knownAt, triedAt time.Time
}

// logged is a change with the time at which it was added.
type logged struct {
	change Change
	at     time.Time
}

// NewLedger returns a ledger without evidence.
func NewLedger() (*Ledger, error) {
	sound, err := newSoundParts()
	if err != nil {
		return nil, errors.Annotate(err, "create the set of sound parts")
	}
	return &Ledger{
		sound:       sound,
		exposed:     make(map[Part]int),
		quarantines: make(map[string]*quarantineRecord),
		byPart:      make(map[Part][]string),
		next:        1,
	}, nil
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

// Unsound returns those of a prompt's parts to which no answer with weights of a version or
// later has been complete of late.
func (l *Ledger) Unsound(now time.Time, model string, parts []string, version uint64) []Part {
	var unsound []Part
	for _, id := range parts {
		p := Part{Model: model, ID: id}
		if _, ok := l.sound.clears(now, p, version); !ok {
			unsound = append(unsound, p)
		}
	}
	return unsound
}

// IsExposed reports whether a part of a prompt was in progress at the end of a number of
// upstreams and is not known to be sound.
func (l *Ledger) IsExposed(parts []Part, ends int) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.ContainsFunc(parts, func(p Part) bool { return l.exposed[p] >= ends })
}

// RecordSound records a complete answer to a request, made with weights of a version.
func (l *Ledger) RecordSound(now time.Time, model string, parts []string, version uint64) {
	for _, id := range parts {
		l.addSound(now, Sound{Part: Part{Model: model, ID: id}, Version: version})
	}
}

// addSound applies a complete answer. Peers are told only of parts that are suspected.
func (l *Ledger) addSound(now time.Time, s Sound) {
	l.sound.add(now, s.Part, s.Version)
	l.mu.RLock()
	isSuspected := l.exposed[s.Part] > 0 || len(l.byPart[s.Part]) > 0
	l.mu.RUnlock()
	if !isSuspected {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clear(s) {
		l.changedAt = now
		l.append(now, s)
	}
}

// clear removes a part from the evidence and the quarantines up to a version of the weights,
// and reports whether it was there. The caller holds mu.
func (l *Ledger) clear(s Sound) bool {
	found := false
	for _, e := range l.ends {
		if x, ok := e.exposures[s.Part]; ok && x.Version <= s.Version {
			l.removeExposure(e, s.Part)
			found = true
		}
	}
	for _, key := range slices.Clone(l.byPart[s.Part]) {
		r := l.quarantines[key]
		if r.Version > s.Version {
			continue
		}
		found = true
		l.remove(key)
		if rest := r.without(s.Part.ID); len(rest.Parts) > 0 {
			l.put(rest, r.knownAt)
		}
	}
	return found
}

func (l *Ledger) removeExposure(e *endRecord, p Part) {
	delete(e.exposures, p)
	if l.exposed[p]--; l.exposed[p] <= 0 {
		delete(l.exposed, p)
	}
}

// RecordEnd records that an upstream ended under a request, of which exposures holds the
// parts that are not known to be sound. It reports whether that is new.
func (l *Ledger) RecordEnd(now time.Time, e End) bool {
	if len(e.Exposures) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addEnd(now, e)
}

// addEnd merges an end and reports whether a part of it is new. Parts that are known to be
// sound are told to peers as such. The caller holds mu.
func (l *Ledger) addEnd(now time.Time, e End) bool {
	if now.Sub(e.At) > evidenceTTL {
		return false
	}
	record := l.endOf(e)
	news := End{Upstream: e.Upstream, Incarnation: e.Incarnation, At: record.At}
	for _, x := range e.Exposures {
		if version, ok := l.sound.clears(now, x.Part, x.Version); ok {
			l.append(now, Sound{Part: x.Part, Version: version})
			continue
		}
		known, isKnown := record.exposures[x.Part]
		joined := known.join(x)
		if !isKnown {
			joined.Part = x.Part.clone()
		}
		if (isKnown && joined == known) || (!isKnown && len(record.exposures) >= maxExposures) {
			continue
		}
		if !isKnown {
			l.exposed[joined.Part]++
		}
		record.exposures[joined.Part] = joined
		news.Exposures = append(news.Exposures, joined)
	}
	if len(news.Exposures) > 0 {
		l.changedAt = now
		l.append(now, news)
	}
	return len(news.Exposures) > 0
}

// endOf returns the record of an end, which it adds if necessary. The caller holds mu.
func (l *Ledger) endOf(e End) *endRecord {
	for _, known := range l.ends {
		if known.Upstream == e.Upstream && known.Incarnation == e.Incarnation && known.At.Sub(e.At).Abs() <= mergeWindow {
			if e.At.Before(known.At) {
				known.At = e.At
			}
			return known
		}
	}
	if len(l.ends) >= maxEnds {
		oldest := slices.MinFunc(l.ends, func(a, b *endRecord) int { return a.At.Compare(b.At) })
		l.drop(func(r *endRecord) bool { return r == oldest })
	}
	record := &endRecord{End: e, exposures: make(map[Part]Exposure)}
	record.Exposures = nil
	l.ends = append(l.ends, record)
	return record
}

// drop removes ends from the evidence. The caller holds mu.
func (l *Ledger) drop(isDropped func(*endRecord) bool) {
	l.ends = slices.DeleteFunc(l.ends, func(e *endRecord) bool {
		if !isDropped(e) {
			return false
		}
		for p := range e.exposures {
			l.removeExposure(e, p)
		}
		return true
	})
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

// expire removes evidence and quarantines that no longer count. The caller holds mu.
func (l *Ledger) expire(now time.Time) {
	l.drop(func(e *endRecord) bool { return now.Sub(e.At) > evidenceTTL })
	for key, r := range l.quarantines {
		if now.Sub(r.UsedAt) > quarantineTTL {
			l.remove(key)
		}
	}
	kept := 0
	for kept < len(l.log) && (now.Sub(l.log[kept].at) > evidenceTTL || len(l.log)-kept > maxChanges) {
		kept++
	}
	l.log = slices.Delete(l.log, 0, kept)
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

// append adds a change to the log. The caller holds mu.
func (l *Ledger) append(now time.Time, c Change) {
	l.log = append(l.log, logged{change: c, at: now})
	l.next++
}

// announce adds a quarantine to the log. The caller holds mu.
func (l *Ledger) announce(now time.Time, r *quarantineRecord) {
	r.announcedAt = now
	l.append(now, r.Quarantine)
}

// Changes returns the changes from number from on, at most limit of them, and the
// number from which the next call continues. The first call passes zero and gets all
// quarantines, also those that were decided long before.
func (l *Ledger) Changes(from uint64, limit int) (changes []Change, next uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if from == 0 {
		for _, r := range l.quarantines {
			changes = append(changes, r.Quarantine)
		}
	}
	first := l.next - uint64(len(l.log))
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
