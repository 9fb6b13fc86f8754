package loomupstream

import (
	"context"
	"time"
)

// KeptPart identifies a part of a prompt whose KV cache state a store holds. The
// salt separates the state of different models, versions and accounts.
type KeptPart struct {
	Salt string
	ID   string
}

// KeptEvent reports that a store holds a part completely, or holds it no longer.
type KeptEvent struct {
	Part KeptPart
	// Tokens is the number of tokens of the part.
	Tokens int
	// Gone reports that the store has removed the part.
	Gone bool
}

// KeptEvents is a page of the event feed of a store.
type KeptEvents struct {
	// Epoch changes when the store restarts. It is empty after a restart.
	Epoch uint64
	// Next is the position from which the next call of Watch continues.
	Next uint64
	// Lost reports that events before this page are missing.
	Lost   bool
	Events []KeptEvent
	// Clock is the store's time on the clock that all upstreams share, or zero
	// when the store did not send it.
	Clock time.Duration
}

// KeptStores is a client of the stores that hold KV cache state. It is safe for
// concurrent use.
type KeptStores interface {
	// Watch returns the events after position since. It waits until there are
	// any, but at most for wait.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (KeptEvents, error)
	// Free removes parts from a store, unless the store has restarted since
	// epoch.
	Free(ctx context.Context, address string, epoch uint64, parts []KeptPart) error
}
