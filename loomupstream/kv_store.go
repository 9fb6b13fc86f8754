package loomupstream

import (
	"context"
	"time"
)

// KeptPart names a part of a prompt under its salt.
type KeptPart struct {
	Salt string
	ID   string
}

// KeptEvent says that a store holds a part whole, or no longer.
type KeptEvent struct {
	Part   KeptPart
	Tokens int
	Gone   bool
}

// KeptEvents is what a store tells of its changes.
type KeptEvents struct {
	// Epoch changes when the store starts again, with nothing in it.
	Epoch uint64
	// Next is where the next call goes on.
	Next uint64
	// Lost tells that events before these are missing.
	Lost   bool
	Events []KeptEvent
	// Clock is the time at the store, by the clock that all upstreams share;
	// zero when it was not told.
	Clock time.Duration
}

// KeptStores speaks with stores for kept state. Its methods may be called
// concurrently.
type KeptStores interface {
	// Watch returns the events after a number, as soon as there are some or wait
	// has passed.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (KeptEvents, error)
	// Free frees parts, unless the store has started again since epoch.
	Free(ctx context.Context, address string, epoch uint64, parts []KeptPart) error
}
