// Package loomplatform defines what an instance asks of the platform and
// holds the adapters that reach it.
package loomplatform

import (
	"context"
	"net"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
)

// Table is a transactional table. Its methods may be called concurrently. An
// error leaves open whether a write took effect.
type Table interface {
	Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error)
	ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error)
}

// Platform is the platform's service: a transactional table, an object store,
// a list of members and a weight store. Its methods may be called
// concurrently.
type Platform interface {
	Table
	PutObject(ctx context.Context, r *loompb.PutObjectRequest) (*loompb.PutObjectReply, error)
	GetObject(ctx context.Context, r *loompb.GetObjectRequest) (*loompb.GetObjectReply, error)
	Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error)
	Members(ctx context.Context, r *loompb.MembersRequest) (*loompb.MembersReply, error)
	// Close gives up the connections.
	Close() error
}

// Dialer opens a connection to an address. A nil Dialer means TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Options tells a driver where the platform is.
type Options struct {
	Addresses []string
	Dialer    Dialer
}

// Driver opens a platform of one kind.
type Driver interface {
	Open(o Options) (Platform, error)
}

var drivers loomkernel.Registry

// Register makes a driver available under a name. It panics when the name is
// taken.
func Register(name string, d Driver) {
	drivers.Register(name, d)
}

// Drivers returns the names of the registered drivers in order.
func Drivers() []string {
	return drivers.Names()
}

// Open opens the platform with the named driver.
func Open(driver string, o Options) (Platform, error) {
	plugin, ok := drivers.Lookup(driver)
	if !ok {
		return nil, errors.NotFoundf("platform driver %q (have %v)", driver, Drivers())
	}
	d, ok := plugin.(Driver)
	if !ok {
		return nil, errors.NotValidf("platform driver %q", driver)
	}
	return d.Open(o)
}
