package loomgate

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomplatform"
)

// ErrHistoryLost is returned when the platform no longer has the requested
// changes. The caller must read a full snapshot.
var ErrHistoryLost = errors.New("history lost")

// ErrPollEnded is returned when a poll was ended early, since the connection on which it
// waits may have fallen silent. The caller polls again.
var ErrPollEnded = errors.New("poll ended")

// ErrPollOverdue is returned when the answer to a poll that waits is overdue. It may be lost, with
// the changes that it told of. The caller polls again.
var ErrPollOverdue = errors.New("poll overdue")

// Topic identifies a kind of rows that the platform provides.
type Topic int

// The topics of the platform.
const (
	// TopicCatalogue has the routing and target versions that operators set.
	TopicCatalogue Topic = iota
	// TopicUpstreams has the entries that upstreams write about themselves.
	TopicUpstreams
	// TopicInstances has the rows that instances write about themselves.
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

// Row is one row of a topic as the platform stores it.
type Row struct {
	Key   string
	Value []byte
	// Version is the loomplatform.Position of the row, which increases with each change
	// of any row, and when the platform's table returns from an older copy.
	Version uint64
	Deleted bool
	// DroppedBytes is the size of a value that was too large to be kept, or zero.
	DroppedBytes int
}

// Unmarshal decodes the JSON value of the row into v.
func (r Row) Unmarshal(v any) error {
	if r.DroppedBytes > 0 {
		return errors.NotValidf("row with a value of %d bytes", r.DroppedBytes)
	}
	return errors.Trace(json.Unmarshal(r.Value, v))
}

// Page is a result of the platform: changes in order, or all rows of a topic.
type Page struct {
	Rows []Row
	// Version is the loomplatform.Position after which the next call continues.
	Version uint64
	// AsOf is a time at which the platform held these rows, or later ones: when it was
	// asked for them.
	AsOf time.Time
	// AnswersSince is since when the platform answers the instance that has read the rows,
	// or zero if it has not been away.
	AnswersSince time.Time
}

// Source provides the platform's table and its topics. Its methods may be
// called concurrently.
type Source interface {
	loomplatform.Table
	// Changes returns the changes of a topic after a version, as soon as there is
	// one or wait has passed. It returns ErrHistoryLost if the platform no
	// longer has them, ErrPollEnded if it can't tell, and ErrPollOverdue if there is no answer
	// soon after wait has passed.
	Changes(ctx context.Context, t Topic, after uint64, wait time.Duration) (Page, error)
	// Snapshot returns all rows of a topic.
	Snapshot(ctx context.Context, t Topic) (Page, error)
	// Epoch returns the newest epoch of the platform's table that a call has shown. It
	// rises when the table returns from an older copy.
	Epoch() uint64
	// Clock returns a recent reading of the platform's steady clock, or false if there
	// is none.
	Clock(now time.Time) (ClockReading, bool)
	// Decode decodes a row. The change is nil if the row holds nothing that an
	// instance uses.
	Decode(t Topic, r Row) (Change, error)
}

// ClockReading is a reading of the platform's clock. It was made between the times From and
// Until of this process.
type ClockReading struct {
	Time        time.Duration
	From, Until time.Time
}

// platformTime returns the time of the platform's clock at a time of this process. The result
// is not later than the true one.
func (c ClockReading) platformTime(at time.Time) time.Duration {
	return c.Time - c.Until.Sub(at)
}

// localTime returns the time of this process at which the platform's clock showed d. The
// result is not later than the true one.
func (c ClockReading) localTime(d time.Duration) time.Time {
	return c.From.Add(d - c.Time)
}

// canBePast reports whether the platform's clock can have shown a number of milliseconds by
// now. A time before the clock's start is one of at most an age before it.
func (c ClockReading) canBePast(now time.Time, ms int64, age time.Duration) bool {
	latest := c.Time + now.Sub(c.From)
	return ms >= -age.Milliseconds() && ms <= latest.Milliseconds()
}

// Change is the decoded content of a row. It is one of RoutingChanged,
// TargetVersionSet, EvacuationStarted, EvacuationEnded, UpstreamListed and
// UpstreamRemoved.
type Change interface {
	change()
}

// RoutingChanged holds a revision of the routing.
type RoutingChanged struct {
	Routing loomcatalogue.Routing
}

// TargetVersionSet holds the target version of a model's weights.
type TargetVersionSet struct {
	Model   string
	Version uint64
}

// UpstreamListed holds an upstream's entry in the list.
type UpstreamListed struct {
	Upstream loommember.Upstream
	Leaving  bool
	// Version is the version of the row.
	Version uint64
	// ColdLeft is how much longer the upstream stays cold after its start, if HasColdLeft is
	// set.
	ColdLeft    time.Duration
	HasColdLeft bool
}

// UpstreamRemoved reports that an upstream's entry was deleted.
type UpstreamRemoved struct {
	ID      string
	Version uint64
}

func (RoutingChanged) change()   {}
func (TargetVersionSet) change() {}
func (UpstreamListed) change()   {}
func (UpstreamRemoved) change()  {}
