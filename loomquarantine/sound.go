package loomquarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxSoundParts bounds the parts that are known to be sound, and maxSoundRequests the
	// requests. An entry takes about soundBytes.
	maxSoundParts    = 16_384
	maxSoundRequests = 4096
	soundBytes       = 400
	// defaultSoundBytes is the memory for both, of which partsShare is for parts.
	defaultSoundBytes = soundBytes * (maxSoundParts + maxSoundRequests)
	partsShare        = 0.8
	// minSound is the least number of each.
	minSound = 256
	// soundTTL is how long a complete answer clears the suspects of its request.
	soundTTL = 10 * time.Minute
)

// soundSet holds the suspects to which answers were complete, the most recent ones. Requests
// have room of their own, since most of them never return. It is safe for concurrent use.
type soundSet struct {
	parts, requests *lru.Cache[Suspect, soundRecord]
}

// soundRecord is the newest version of the weights that has made a complete answer.
type soundRecord struct {
	version uint64
	at      time.Time
}

// newSoundSet returns an empty set that takes about size bytes at most.
func newSoundSet(size int64) (*soundSet, error) {
	entries := float64(size) / soundBytes
	parts, err := lru.New[Suspect, soundRecord](max(min(int(entries*partsShare), maxSoundParts), minSound))
	if err != nil {
		return nil, err
	}
	requests, err := lru.New[Suspect, soundRecord](max(min(int(entries*(1-partsShare)), maxSoundRequests), minSound))
	if err != nil {
		return nil, err
	}
	return &soundSet{parts: parts, requests: requests}, nil
}

// bytes returns about how much memory the set takes.
func (s *soundSet) bytes() int64 {
	return int64(s.parts.Len()+s.requests.Len()) * soundBytes
}

// of returns the records of a kind of suspects.
func (s *soundSet) of(kind Kind) *lru.Cache[Suspect, soundRecord] {
	if kind == Request {
		return s.requests
	}
	return s.parts
}

// add records a complete answer.
func (s *soundSet) add(now time.Time, suspect Suspect, version uint64) {
	recent := s.of(suspect.Kind)
	if known, ok := recent.Get(suspect); ok {
		version = max(version, known.version)
	} else {
		suspect = suspect.clone()
	}
	recent.Add(suspect, soundRecord{version: version, at: now})
}

// clears reports whether an answer with weights of a version or later was complete.
func (s *soundSet) clears(now time.Time, suspect Suspect, version uint64) (uint64, bool) {
	known, ok := s.of(suspect.Kind).Peek(suspect)
	if !ok || known.version < version || now.Sub(known.at) > soundTTL {
		return 0, false
	}
	return known.version, true
}
