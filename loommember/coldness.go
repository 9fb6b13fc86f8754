package loommember

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxColdLeft bounds how long an upstream can say that it stays cold, so that a wrong value
	// doesn't take it out of service for good.
	maxColdLeft = time.Minute
	// coldEcho is the longest time that a report is under way, by which it makes the end later.
	// A later end than the known one by no more than this may be an echo of what this
	// instance has reported itself and is ignored, so evidence counts for as much longer.
	coldEcho = 600 * time.Millisecond
	// minColdReport is the shortest rest of a cold period that is reported to peers.
	minColdReport = 50 * time.Millisecond
	// coldMemory is how long the end of a cold period is remembered, so that late reports are
	// told from new ones.
	coldMemory = 10 * time.Second
)

// ColdRow is what the entry of an upstream in the list says of its coldness.
type ColdRow struct {
	ID          string
	Incarnation uint64
	// Version is the version of the row.
	Version uint64
	// Left is how long the upstream stays cold, zero if it is not cold, and HasLeft is false
	// if the row doesn't say.
	Left    time.Duration
	HasLeft bool
	// WrittenAfter is a time before which the row was not written, or zero if none is known.
	WrittenAfter time.Time
}

// ColdReport is how much longer an incarnation of an upstream stays cold.
type ColdReport struct {
	ID          string
	Incarnation uint64
	Left        time.Duration
}

// Coldness decides until when upstreams are cold after a start: from their rows, from what
// they say in answers, from what other instances report, and from evidence that they may
// have started again. It errs towards longer times. A Coldness is not safe for concurrent
// use. Create it with NewColdness.
type Coldness struct {
	byID map[string]coldState
}

// coldState is what is known of one upstream.
type coldState struct {
	incarnation uint64
	// rowVersion is the version of the newest row.
	rowVersion uint64
	// end is when the upstream ceases to be cold, or zero if it never was.
	end time.Time
	// heardAt is when the latest evidence was heard. Only a row that was written later shows
	// that the upstream is not cold.
	heardAt time.Time
	// clearedAfter is a time before which the row was not written that last said that the
	// upstream is not cold.
	clearedAfter time.Time
	// isDown is set from a failure until the upstream answers.
	isDown bool
	// isReported is set if peers should know of the end.
	isReported bool
}

// NewColdness returns a Coldness that knows of no upstreams.
func NewColdness() *Coldness {
	return &Coldness{byID: make(map[string]coldState)}
}

// state returns the state of an incarnation, and false if a later one is known.
func (c *Coldness) state(id string, incarnation uint64) (coldState, bool) {
	s := c.byID[id]
	if incarnation > s.incarnation {
		s = coldState{incarnation: incarnation, rowVersion: s.rowVersion, end: s.end, isReported: s.isReported}
	}
	return s, incarnation == s.incarnation
}

// extend makes the cold period end no sooner than at end.
func (s *coldState) extend(now, end time.Time) {
	s.heardAt = now
	s.isReported = true
	if end.After(s.end) {
		s.end = end
	}
}

// HearRow applies a row, and reports whether the upstream is cold only by it or has ceased to
// be. A new incarnation whose row doesn't say is cold for a time of coldFor.
func (c *Coldness) HearRow(now time.Time, r ColdRow, coldFor time.Duration) bool {
	known, isKnown := c.byID[r.ID]
	s, ok := c.state(r.ID, r.Incarnation)
	if !ok || (isKnown && r.Version <= s.rowVersion) {
		return false
	}
	s.rowVersion = r.Version
	before := s.end
	end := now.Add(min(r.Left, maxColdLeft))
	switch {
	case !r.HasLeft:
		if isKnown && r.Incarnation > known.incarnation {
			s.extend(now, now.Add(coldFor))
		}
	case s.heardAt.IsZero() || r.WrittenAfter.After(s.heardAt):
		// The row is newer than all else that is known.
		s.isDown = false
		s.clear(now, r.WrittenAfter)
		if r.Left > 0 {
			s.end, s.isReported = end, true
		}
	case r.Left > 0 && end.After(s.end):
		s.end, s.isReported = end, true
	}
	c.byID[r.ID] = s
	return s.end.After(now) != before.After(now)
}

// clear ends the cold period by a row that was not written before a time.
func (s *coldState) clear(now, writtenAfter time.Time) {
	if s.end.After(now) {
		s.end = now
	}
	s.clearedAfter = writtenAfter
	s.isReported = false
}

// HearFailure records that a request to an upstream failed in a way that it may have
// started again. If its process surely ended, hasEnded is set. It reports whether the
// upstream counts as cold only now.
func (c *Coldness) HearFailure(now time.Time, id string, incarnation uint64, coldFor time.Duration, hasEnded bool) bool {
	s, ok := c.state(id, incarnation)
	if !ok {
		return false
	}
	wasCold := s.end.After(now)
	isReported := s.isReported
	s.extend(now, now.Add(coldFor+coldEcho))
	s.isDown = true
	s.isReported = hasEnded || (wasCold && isReported)
	c.byID[id] = s
	return !wasCold
}

// HearAnswer records that an upstream answers, and reports whether it counts as cold from now
// on since it had failed before.
func (c *Coldness) HearAnswer(now time.Time, id string, incarnation uint64, coldFor time.Duration) bool {
	s, ok := c.state(id, incarnation)
	if !ok || !s.isDown {
		return false
	}
	s.isDown = false
	s.extend(now, now.Add(coldFor+coldEcho))
	c.byID[id] = s
	return true
}

// Mark makes an upstream cold for a time until a row that was written since says otherwise.
func (c *Coldness) Mark(now time.Time, id string, incarnation uint64, coldFor time.Duration) {
	if s, ok := c.state(id, incarnation); ok {
		s.extend(now, now.Add(min(coldFor, maxColdLeft)))
		c.byID[id] = s
	}
}

// HearReport applies the report of a peer, and reports whether the upstream is cold for longer
// than was known. The cold period of the upstreams is coldFor.
func (c *Coldness) HearReport(now time.Time, r ColdReport, coldFor time.Duration) bool {
	s, ok := c.state(r.ID, r.Incarnation)
	end := now.Add(min(r.Left, maxColdLeft))
	isNew := r.Incarnation > c.byID[r.ID].incarnation
	if !ok || !end.After(s.end.Add(coldEcho)) || (!isNew && s.isEcho(now, end, coldFor)) {
		return false
	}
	if !s.clearedAfter.IsZero() && !end.After(s.clearedAfter.Add(coldFor+2*coldEcho)) {
		// The evidence is older than the row that said otherwise.
		return false
	}
	s.extend(now, end)
	c.byID[r.ID] = s
	return true
}

// isEcho reports whether a reported end can be due to the same start as the latest cold period,
// which is over: it is not that of a start just now.
func (s coldState) isEcho(now, end time.Time, coldFor time.Duration) bool {
	isRecent := !s.end.After(now) && now.Sub(s.end) <= coldMemory
	return isRecent && end.Before(now.Add(coldFor-coldEcho))
}

// LatestEnd returns when the last upstream ceases or ceased to be cold, or zero if none has
// been.
func (c *Coldness) LatestEnd() time.Time {
	var latest time.Time
	for _, s := range c.byID {
		if s.end.After(latest) {
			latest = s.end
		}
	}
	return latest
}

// End returns when an upstream ceases or ceased to be cold, or zero if that is long ago.
func (c *Coldness) End(id string) time.Time {
	return c.byID[id].end
}

// Reports returns the upstreams that are cold, for peers, sorted by ID.
func (c *Coldness) Reports(now time.Time) []ColdReport {
	var reports []ColdReport
	for id, s := range c.byID {
		if left := s.end.Sub(now); s.isReported && left >= minColdReport {
			reports = append(reports, ColdReport{ID: id, Incarnation: s.incarnation, Left: left})
		}
	}
	slices.SortFunc(reports, func(a, b ColdReport) int { return cmp.Compare(a.ID, b.ID) })
	return reports
}

// Retain removes the upstreams that are neither in keep nor were cold within coldMemory.
func (c *Coldness) Retain(now time.Time, keep []string) {
	for id, s := range c.byID {
		if !slices.Contains(keep, id) && now.Sub(s.end) > coldMemory {
			delete(c.byID, id)
		}
	}
}
