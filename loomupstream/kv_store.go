package loomupstream

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// KVPart identifies a part of a prompt whose KV cache a store holds. The salt
// separates the caches of different models, versions and accounts.
type KVPart struct {
	Salt string
	ID   string
}

// KVEvent reports that a store holds a part completely, or holds it no longer.
type KVEvent struct {
	Part KVPart
	// Tokens is the number of tokens of the part.
	Tokens int
	// Gone reports that the store has removed the part.
	Gone bool
}

// ErrBusy is returned by Watch when a store or an engine has as many watches as it
// accepts. It is no failure of the store.
var ErrBusy = errors.New("too many watches")

// KVEvents is a page of the event feed of a store.
type KVEvents struct {
	// Epoch changes when the store restarts; a restarted store holds no parts.
	Epoch uint64
	// Next is the position from which the next call of Watch continues.
	Next uint64
	// Lost reports that events before this page are missing.
	Lost   bool
	Events []KVEvent
	// Clock is the store's time on the clock that all upstreams share, or zero
	// when the store did not send it.
	Clock time.Duration
	// Said is what the response says of the store or engine.
	Said Statement
}

// KVStores is a client of the stores that hold KV caches. It is safe for
// concurrent use.
type KVStores interface {
	// Watch returns the events after position since. It waits until there are
	// any, but at most for wait. What the store says of itself is valid also when the
	// error is not nil.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (KVEvents, error)
	// Free removes parts from a store, unless the store has restarted since
	// epoch.
	Free(ctx context.Context, address string, epoch uint64, parts []KVPart) error
}
