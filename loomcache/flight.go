package loomcache

import "sync"

// Flights knows the imports that are under way, so that requests for the same
// blocks at the same engine wait for one import in place of making their own.
// Keys hold the account, so that accounts never wait for each other. The zero
// value is ready to use; its methods may be called concurrently.
type Flights struct {
	mu sync.Mutex
	// open holds a channel for each import; it is closed when the import ends.
	open map[flightKey]chan struct{}
}

type flightKey struct {
	engine string
	last   Key
}

// Begin starts the import of the blocks up to last by an engine. The caller must
// call end, which may be called more than once. When such an import is under way,
// end is nil and the channel is closed at its end.
func (f *Flights) Begin(engine string, last Key) (end func(), ended <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := flightKey{engine: engine, last: last}
	if c, ok := f.open[k]; ok {
		return nil, c
	}
	if f.open == nil {
		f.open = make(map[flightKey]chan struct{})
	}
	c := make(chan struct{})
	f.open[k] = c
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, k)
		close(c)
	}), nil
}
