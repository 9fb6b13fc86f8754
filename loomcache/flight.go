package loomcache

import "sync"

// Flights deduplicates concurrent imports: requests for the same blocks at the
// same engine wait for the import in flight instead of starting another. Block
// keys depend on the account, so accounts never wait for each other. The zero
// value is ready to use; the methods are safe for concurrent use.
type Flights struct {
	mu sync.Mutex
	// inFlight has a channel for each import in flight, which is closed when the
	// import ends.
	inFlight map[flightKey]chan struct{}
}

type flightKey struct {
	engine string
	last   Key
}

// Begin registers the import of the blocks up to last by an engine. The caller
// must call end when the import has ended; further calls of end do nothing. If
// such an import is already in flight, end is nil and ended is closed when that
// import ends.
func (f *Flights) Begin(engine string, last Key) (end func(), ended <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := flightKey{engine: engine, last: last}
	if c, ok := f.inFlight[k]; ok {
		return nil, c
	}
	if f.inFlight == nil {
		f.inFlight = make(map[flightKey]chan struct{})
	}
	c := make(chan struct{})
	f.inFlight[k] = c
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.inFlight, k)
		close(c)
	}), nil
}
