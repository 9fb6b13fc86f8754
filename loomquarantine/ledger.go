package loomquarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// evidenceTTL is how long the end of an upstream counts, and changeTTL how long a change
	// waits for peers.
	evidenceTTL = 10 * time.Minute
	changeTTL   = time.Minute
	// quarantineTTL is how long a quarantine lasts after the last request that it refused.
	quarantineTTL = 10 * time.Minute
	// announceInterval is the time after which a quarantine in use is told to peers again,
	// so that it lasts at those that get no such requests.
	announceInterval = time.Minute
	// mergeWindow is the greatest difference between the times at which two instances see
	// the same end. An upstream takes longer to start again.
	mergeWindow = 1200 * time.Millisecond
	// maxEnds bounds the ends that are kept, maxExposures the suspects of one, and
	// maxQuarantines the quarantines; the oldest go first.
	maxEnds        = 128
	maxExposures   = 64
	maxQuarantines = 512
	// maxChanges bounds the changes that wait for peers.
	maxChanges = 2048
)

// Ledger holds what an instance knows of the ends of upstreams, and decides which requests and
// parts are quarantined. Instances merge their ledgers by telling each other the changes;
// the order in which these arrive does not matter. The methods are safe for concurrent use.
type Ledger struct {
	sound *soundSet
	// active is the number of quarantines, so that a request needs no lock without any.
	active atomic.Int64

	mu sync.RWMutex
	// ends is in no order.
	ends []*endRecord
	// exposed counts, for each suspect, the ends that it is exposed in.
	exposed map[Suspect]int
	// quarantines is keyed by Quarantine.Key, and bySuspect holds the keys of those that have
	// a suspect.
	quarantines map[string]*quarantineRecord
	bySuspect   map[Suspect][]string
	// withdrawn is keyed like quarantines.
	withdrawn map[string]withdrawal
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
	// changedAt is when this instance last learned more of it.
	changedAt time.Time
	exposures map[Suspect]Exposure
}

// NewLedger returns a ledger without evidence.
func NewLedger() (*Ledger, error) {
	return NewLedgerOf(defaultSoundBytes)
}

// NewLedgerOf is like NewLedger, with about size bytes for what is known to be sound.
func NewLedgerOf(size int64) (*Ledger, error) {
	sound, err := newSoundSet(size)
	if err != nil {
		return nil, errors.Annotate(err, "create the set of sound suspects")
	}
	return &Ledger{
		sound:       sound,
		exposed:     make(map[Suspect]int),
		quarantines: make(map[string]*quarantineRecord),
		bySuspect:   make(map[Suspect][]string),
		withdrawn:   make(map[string]withdrawal),
		next:        1,
	}, nil
}

// Bytes returns about how much memory takes what is known to be sound.
func (l *Ledger) Bytes() int64 {
	return l.sound.bytes()
}

// Unsound returns those of a request's suspects to which no answer with weights of a version
// or later has been complete of late.
func (l *Ledger) Unsound(now time.Time, suspects []Suspect, version uint64) []Suspect {
	var unsound []Suspect
	for _, s := range suspects {
		if _, ok := l.sound.clears(now, s, version); !ok {
			unsound = append(unsound, s)
		}
	}
	return unsound
}

// IsExposed reports whether a suspect was in progress at the end of a number of upstreams
// and is not known to be sound.
func (l *Ledger) IsExposed(suspects []Suspect, ends int) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return l.exposed[s] >= ends })
}

// RecordSound records a complete answer to a request, made with weights of a version.
func (l *Ledger) RecordSound(now time.Time, suspects []Suspect, version uint64) {
	for _, s := range suspects {
		l.addSound(now, Sound{Suspect: s, Version: version})
	}
}

// addSound applies a complete answer. Peers are told only of suspects with evidence against
// them.
func (l *Ledger) addSound(now time.Time, s Sound) {
	l.sound.add(now, s.Suspect, s.Version)
	l.mu.RLock()
	isSuspected := l.exposed[s.Suspect] > 0 || len(l.bySuspect[s.Suspect]) > 0
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

// clear removes a suspect from the evidence and the quarantines up to a version of the
// weights, and reports whether it was there. The caller holds mu.
func (l *Ledger) clear(s Sound) bool {
	found := false
	for _, e := range l.ends {
		if x, ok := e.exposures[s.Suspect]; ok && x.Version <= s.Version {
			l.removeExposure(e, s.Suspect)
			found = true
		}
	}
	for _, key := range slices.Clone(l.bySuspect[s.Suspect]) {
		r := l.quarantines[key]
		if r.Version > s.Version {
			continue
		}
		found = true
		l.remove(key)
		if rest := r.without(s.Suspect); len(rest.Suspects) > 0 {
			l.put(rest, r.knownAt)
		}
	}
	return found
}

func (l *Ledger) removeExposure(e *endRecord, s Suspect) {
	delete(e.exposures, s)
	if l.exposed[s]--; l.exposed[s] <= 0 {
		delete(l.exposed, s)
	}
}

// RecordEnd records that an upstream ended under a request, of which exposures holds the
// suspects that are not known to be sound. It reports whether that is new.
func (l *Ledger) RecordEnd(now time.Time, e End) bool {
	if len(e.Exposures) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addEnd(now, e)
}

// addEnd merges an end and reports whether a suspect of it is new. Those that are known to be
// sound are told to peers as such. The caller holds mu.
func (l *Ledger) addEnd(now time.Time, e End) bool {
	if now.Sub(e.At) > evidenceTTL {
		return false
	}
	record := l.endOf(e)
	news := End{Upstream: e.Upstream, Incarnation: e.Incarnation, At: record.At}
	for _, x := range e.Exposures {
		if version, ok := l.sound.clears(now, x.Suspect, x.Version); ok {
			l.append(now, Sound{Suspect: x.Suspect, Version: version})
			continue
		}
		known, isKnown := record.exposures[x.Suspect]
		joined := known.join(x)
		if !isKnown {
			joined = x.clone()
		}
		if (isKnown && !joined.tellsMore(known)) || (!isKnown && len(record.exposures) >= maxExposures) {
			continue
		}
		if !isKnown {
			l.exposed[joined.Suspect]++
		}
		record.exposures[joined.Suspect] = joined
		news.Exposures = append(news.Exposures, joined)
	}
	if len(news.Exposures) > 0 {
		l.changedAt, record.changedAt = now, now
		l.append(now, news)
	}
	return len(news.Exposures) > 0
}

// endOf returns the record of an end, which it adds if necessary. The caller holds mu.
func (l *Ledger) endOf(e End) *endRecord {
	for _, known := range l.ends {
		if known.isSame(e) {
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
	record := &endRecord{End: e, exposures: make(map[Suspect]Exposure)}
	record.Exposures = nil
	l.ends = append(l.ends, record)
	return record
}

// isSame reports whether e is the end of the same process. A process that is known by its
// incarnation ends only once.
func (r *endRecord) isSame(e End) bool {
	return r.Upstream == e.Upstream && r.Incarnation == e.Incarnation && (e.Incarnation != 0 || r.At.Sub(e.At).Abs() <= mergeWindow)
}

// drop removes ends from the evidence. The caller holds mu.
func (l *Ledger) drop(isDropped func(*endRecord) bool) {
	l.ends = slices.DeleteFunc(l.ends, func(e *endRecord) bool {
		if !isDropped(e) {
			return false
		}
		for s := range e.exposures {
			l.removeExposure(e, s)
		}
		return true
	})
}

// expire removes evidence and quarantines that no longer count. The caller holds mu.
func (l *Ledger) expire(now time.Time) {
	l.drop(func(e *endRecord) bool { return now.Sub(e.At) > evidenceTTL })
	for key, r := range l.quarantines {
		if now.Sub(r.UsedAt) > quarantineTTL {
			l.remove(key)
		}
	}
	for key, w := range l.withdrawn {
		if now.Sub(w.at) > evidenceTTL {
			delete(l.withdrawn, key)
		}
	}
	kept := 0
	for kept < len(l.log) && (now.Sub(l.log[kept].at) > changeTTL || len(l.log)-kept > maxChanges) {
		kept++
	}
	l.log = slices.Delete(l.log, 0, kept)
}
