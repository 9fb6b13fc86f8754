package loomcache

import "sync"

// returnsMemory is how many last parts of a route are remembered: at a hundred
// requests a second, those of some twenty seconds.
const returnsMemory = 2048

// Returns learns on which routes the last part of a prompt comes back. On some
// it belongs to a session, on others to one request alone, and is not worth
// keeping. The zero value has seen nothing; its methods may be called
// concurrently.
type Returns struct {
	mu     sync.Mutex
	routes map[string]*routeReturns
}

type routeReturns struct {
	// seen holds the last parts in recent, a ring whose next place is next.
	seen   map[string]bool
	recent []string
	next   int
	// returned is set by the first part that came back; it is never unset.
	returned bool
}

// See notes the last part of a prompt on a route, and reports whether such parts
// were seen to come back there.
func (r *Returns) See(route, part string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = make(map[string]*routeReturns)
	}
	s, ok := r.routes[route]
	if !ok {
		s = &routeReturns{seen: make(map[string]bool)}
		r.routes[route] = s
	}
	return s.see(part)
}

func (s *routeReturns) see(part string) bool {
	if s.returned {
		return true
	}
	if s.seen[part] {
		s.returned = true
		s.seen, s.recent = nil, nil
		return true
	}
	s.seen[part] = true
	if len(s.recent) < returnsMemory {
		s.recent = append(s.recent, part)
		return false
	}
	delete(s.seen, s.recent[s.next])
	s.recent[s.next] = part
	s.next = (s.next + 1) % returnsMemory
	return false
}
