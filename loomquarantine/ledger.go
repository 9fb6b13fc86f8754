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
