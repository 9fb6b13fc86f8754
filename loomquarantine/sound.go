package loomquarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxSoundParts bounds the parts that are known to be sound. An entry takes about 200
	// bytes.
	maxSoundParts = 16_384
	// soundTTL is how long a complete answer clears the parts of its prompt.
	soundTTL = 10 * time.Minute
)

// soundParts holds the parts to which answers were complete, the most recent ones. It is safe
// for concurrent use.
type soundParts struct {
	recent *lru.Cache[Part, soundRecord]
}

// soundRecord is the newest version of the weights that has made a complete answer.
type soundRecord struct {
	version uint64
	at      time.Time
}

func newSoundParts() (*soundParts, error) {
	recent, err := lru.New[Part, soundRecord](maxSoundParts)
	if err != nil {
		return nil, err
	}
	return &soundParts{recent: recent}, nil
}

// add records a complete answer.
func (s *soundParts) add(now time.Time, p Part, version uint64) {
	if known, ok := s.recent.Get(p); ok {
		version = max(version, known.version)
	} else {
		p = p.clone()
	}
	s.recent.Add(p, soundRecord{version: version, at: now})
}

// clears reports whether an answer with weights of a version or later was complete.
func (s *soundParts) clears(now time.Time, p Part, version uint64) (uint64, bool) {
	known, ok := s.recent.Peek(p)
	if !ok || known.version < version || now.Sub(known.at) > soundTTL {
		return 0, false
	}
	return known.version, true
}
