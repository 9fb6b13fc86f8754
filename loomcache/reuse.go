package loomcache

import (
	"cmp"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSeenParts is the number of recent last parts that are kept for a route. It
	// covers about 20 s at 100 requests per second.
	maxSeenParts = 2048
	// seenPartBytes is the memory that one of them takes.
	seenPartBytes = 56
	// defaultSeenRoutes is the number of routes of which a detector without a size keeps last
	// parts, and minSeenRoutes the least number.
	defaultSeenRoutes = 64
	minSeenRoutes     = 4
)

// ReuseDetector detects the routes on which the last part of a prompt is used
// again. On some routes the last part belongs to a session; on others it belongs
// to a single request and is not worth storing. The zero value is ready to use, and
// takes about 5 MiB at most; the methods are safe for concurrent use.
type ReuseDetector struct {
	// maxRoutes bounds the routes of which last parts are kept; zero means defaultSeenRoutes.
	// Beyond it those of the route without a record for the longest time are dropped.
	maxRoutes int

	mu     sync.Mutex
	routes map[string]*routeParts
	// records counts the calls of Record.
	records uint64
}

// NewReuseDetector returns a detector without routes that takes about size bytes at most.
func NewReuseDetector(size int64) *ReuseDetector {
	return &ReuseDetector{maxRoutes: max(int(size/(maxSeenParts*seenPartBytes)), minSeenRoutes)}
}

// Record records the last part of a prompt on a route, and reports whether any
// last part has been used again on that route so far.
func (r *ReuseDetector) Record(route, part string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = make(map[string]*routeParts)
	}
	s, ok := r.routes[route]
	if !ok {
		s = &routeParts{}
		r.routes[route] = s
	}
	r.records++
	s.recordedAt = r.records
	if s.isReused {
		return true
	}
	if s.seen == nil {
		r.makeRoom()
		s.seen = make(map[uint64]bool)
	}
	return s.record(xxhash.Sum64String(part))
}

// makeRoom drops the parts of a route if those of maxRoutes are kept. The caller holds mu.
func (r *ReuseDetector) makeRoom() {
	var oldest *routeParts
	kept := 0
	for _, s := range r.routes {
		if s.seen == nil {
			continue
		}
		if kept++; oldest == nil || s.recordedAt < oldest.recordedAt {
			oldest = s
		}
	}
	if kept >= cmp.Or(r.maxRoutes, defaultSeenRoutes) {
		oldest.forget()
	}
}

// IsReused reports whether any last part has been used again on a route so far.
func (r *ReuseDetector) IsReused(route string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.routes[route]
	return ok && s.isReused
}

// Bytes returns about how much memory the detector takes.
func (r *ReuseDetector) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.routes {
		n += len(s.recent)
	}
	return int64(n) * seenPartBytes
}

// routeParts holds the recent last parts of the prompts on one route.
type routeParts struct {
	// seen is the set of the hashes of parts in recent, a ring buffer in which next is the
	// index of the oldest part.
	seen   map[uint64]bool
	recent []uint64
	next   int
	// recordedAt is ReuseDetector.records at the latest record.
	recordedAt uint64
	// isReused is set when a part is seen for the second time, and never reset.
	isReused bool
}

// forget drops the parts that were seen.
func (s *routeParts) forget() {
	s.seen, s.recent, s.next = nil, nil, 0
}

func (s *routeParts) record(part uint64) bool {
	if s.seen[part] {
		s.isReused = true
		s.forget()
		return true
	}
	s.seen[part] = true
	if len(s.recent) < maxSeenParts {
		s.recent = append(s.recent, part)
		return false
	}
	delete(s.seen, s.recent[s.next])
	s.recent[s.next] = part
	s.next = (s.next + 1) % maxSeenParts
	return false
}
