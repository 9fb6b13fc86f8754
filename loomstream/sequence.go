package loomstream

import (
	"strconv"

	"github.com/juju/errors"
)

// Sequence checks the order of a stream's events by their IDs, across all attempts.
// IDs that are integers must increase, and the first event of a further attempt
// must be the next one if all IDs so far were consecutive. All events of a further
// attempt after an integer must have an integer. Other IDs can't be ordered; they must
// differ from the one before. It is not safe for concurrent use.
type Sequence struct {
	// lastID is the ID of the last event, or empty if that event had none.
	lastID string
	// hasEvents is set once an event was added.
	hasEvents bool
	// hasGap is set once the IDs are known not to be consecutive integers.
	hasGap bool
	// isResumed is set until the first event of a further attempt, and isContinued from
	// that attempt on.
	isResumed, isContinued bool
}

// NewSequence returns the sequence of a stream that the caller resumes after the event
// with an ID, or begins if the ID is empty. Where the first event lies is between the
// caller and the upstream; it isn't checked.
func NewSequence(after string) Sequence {
	return Sequence{lastID: after}
}

// LastID returns the ID of the last event, after which the stream can be resumed. It
// is empty if that event had none.
func (s *Sequence) LastID() string {
	return s.lastID
}

// CanResume reports whether a further attempt can be checked to continue after the
// last event, which needs an ID that is an integer.
func (s *Sequence) CanResume() bool {
	_, err := strconv.ParseInt(s.lastID, 10, 64)
	return err == nil
}

// Resume begins a further attempt, which must continue after the last event.
func (s *Sequence) Resume() {
	s.isResumed = s.hasEvents
	s.isContinued = s.hasEvents
}

// Add adds the ID of the next event, which may be empty. The error says which event
// was expected; the sequence is then unchanged.
func (s *Sequence) Add(id string) error {
	next, err := strconv.ParseInt(id, 10, 64)
	isInteger := err == nil
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	areIntegers := isInteger && err == nil
	isNext := areIntegers && next == last+1
	switch {
	case !s.hasEvents, s.lastID == "":
		isNext = isInteger
	case id == s.lastID, areIntegers && next < last:
		return errors.NotValidf("event %q after event %q", id, s.lastID)
	case s.isContinued && !areIntegers:
		return errors.NotValidf("event %q after event %q of a stream that was resumed", id, s.lastID)
	case s.isResumed && !s.hasGap && !isNext:
		return errors.NotValidf("event %q as the first one of a stream that was resumed after event %q", id, s.lastID)
	}
	s.hasGap = s.hasGap || !isNext
	s.lastID, s.hasEvents, s.isResumed = id, true, false
	return nil
}
