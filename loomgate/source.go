package loomgate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomplatform"
)

// ErrHistoryLost says that the platform no longer has the changes that were
// asked for, and that everything must be read again.
var ErrHistoryLost = errors.New("history lost")

// Topic is one kind of what the platform tells.
type Topic int

// The topics of the platform.
const (
	// TopicCatalogue holds what operators ask for.
	TopicCatalogue Topic = iota
	// TopicUpstreams holds the upstreams as they list themselves.
	TopicUpstreams
	// TopicInstances holds the rows that instances write of themselves.
	TopicInstances
)

// String returns the topic in lower case.
func (t Topic) String() string {
	switch t {
	case TopicCatalogue:
		return "catalogue"
	case TopicUpstreams:
		return "upstreams"
	default:
		return "instances"
	}
}

// Row is one row of a topic as the platform holds it.
type Row struct {
	Key   string
	Value []byte
	// Version rises with each change of any row.
	Version uint64
	Deleted bool
}

// Page is an answer of the platform: changes in order, or all rows of a topic.
type Page struct {
	Rows []Row
	// Version is where the next call goes on.
	Version uint64
}

// Source is what an instance learns from the platform. Its methods may be
// called concurrently.
type Source interface {
	loomplatform.Table
	// Feed returns the changes of a topic after a version, as soon as there is
	// one or wait has passed. It returns ErrHistoryLost when the platform no
	// longer has them.
	Feed(ctx context.Context, t Topic, after uint64, wait time.Duration) (Page, error)
	// Snapshot returns all rows of a topic.
	Snapshot(ctx context.Context, t Topic) (Page, error)
	// Decode turns a row into what it says. The change is nil when the row says
	// nothing that an instance uses.
	Decode(t Topic, r Row) (Change, error)
}

// Change is what a row says. It is one of RoutingChanged, WeightsNamed,
// UpstreamListed and UpstreamRemoved.
type Change interface {
	change()
}

// RoutingChanged is a revision of the routing.
type RoutingChanged struct {
	Routing loomcatalogue.Routing
}

// WeightsNamed says which version a model should have.
type WeightsNamed struct {
	Model   string
	Version uint64
}

// UpstreamListed is an upstream's entry in the list.
type UpstreamListed struct {
	Upstream loommember.Upstream
	Leaving  bool
	// Version is that of the row.
	Version uint64
}

// UpstreamRemoved says that an upstream's entry is gone.
type UpstreamRemoved struct {
	ID      string
	Version uint64
}

func (RoutingChanged) change()  {}
func (WeightsNamed) change()    {}
func (UpstreamListed) change()  {}
func (UpstreamRemoved) change() {}
