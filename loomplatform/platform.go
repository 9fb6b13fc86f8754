// Package loomplatform defines the interface to the platform, on which
// instances store shared state, and holds the drivers that connect to it.
package loomplatform

import (
	"context"
	"net"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
)

// Table is a transactional table. Its methods may be called concurrently. If
// Transact returns an error, the write may or may not have taken effect.
type Table interface {
	// Transact applies the writes if every row still has the version that the
	// conditions state. Otherwise it returns the rows of the failed conditions.
	Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error)
	// ReadRows returns the rows of the given keys, or a range of rows in key
	// order.
	ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error)
}

// Platform is a connection to the platform: a transactional table, an object
// store and a list of members. Its methods may be called concurrently.
type Platform interface {
	Table
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, r *loompb.PutObjectRequest) (*loompb.PutObjectReply, error)
	// GetObject returns the object of a name, if there is one.
	GetObject(ctx context.Context, r *loompb.GetObjectRequest) (*loompb.GetObjectReply, error)
	// Announce writes a member's entry in the list of members.
	Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error)
	// Members returns the changes of the list of members after a revision, or
	// the full list after revision zero.
	Members(ctx context.Context, r *loompb.MembersRequest) (*loompb.MembersReply, error)
	// Close closes the connections.
	Close() error
}

// Dialer opens a connection to an address. A nil Dialer uses TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a connection to an address, over TCP if d is nil.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d != nil {
		return d(ctx, address)
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Options holds the platform's addresses and the dialer for them.
type Options struct {
	Addresses []string
	Dialer    Dialer
}

// Driver connects to one kind of platform.
type Driver interface {
	// Open returns a platform at the addresses of the options.
	Open(o Options) (Platform, error)
}

var drivers loomkernel.Registry

// Register makes a driver available under a name. It panics if the name is
// taken.
func Register(name string, d Driver) {
	drivers.Register(name, d)
}

// Drivers returns the sorted names of the registered drivers.
func Drivers() []string {
	return drivers.Names()
}

// Open connects to the platform with the named driver.
func Open(driver string, o Options) (Platform, error) {
	plugin, ok := drivers.Lookup(driver)
	if !ok {
		return nil, errors.NotFoundf("platform driver %q (have %v)", driver, Drivers())
	}
	d, ok := plugin.(Driver)
	if !ok {
		return nil, errors.NotValidf("platform driver %q of type %T", driver, plugin)
	}
	return d.Open(o)
}
