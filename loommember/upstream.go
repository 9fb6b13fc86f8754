package loommember

import (
	"cmp"
	"slices"
	"time"

	"swiftloom/loomplatform"
)

// Weights is a model with the version of its weights.
type Weights struct {
	Model   string
	Version uint64
}

// Upstream is one incarnation of an upstream, as it registers itself in the
// platform's list. It is immutable.
type Upstream struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	// Incarnation increases when the upstream restarts under the same ID.
	Incarnation uint64
	// Slots is the number of requests that run concurrently, or zero when it is
	// not known.
	Slots int
	// Weights holds the models that the upstream has loaded, one entry each.
	Weights []Weights
}

// Version returns the version of a model's weights, or zero when the model is not
// loaded.
func (u Upstream) Version(model string) uint64 {
	for _, w := range u.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// WithVersion returns a copy of u that has the given version of a model's weights.
func (u Upstream) WithVersion(model string, version uint64) Upstream {
	weights := []Weights{{Model: model, Version: version}}
	for _, w := range u.Weights {
		if w.Model != model {
			weights = append(weights, w)
		}
	}
	u.Weights = weights
	return u
}

// withNewerWeights returns a copy of u with the weights of known where those are
// newer: the list shows weights only some time after the upstream has loaded them.
func (u Upstream) withNewerWeights(known Upstream) Upstream {
	for _, w := range known.Weights {
		if w.Version > u.Version(w.Model) {
			u = u.WithVersion(w.Model, w.Version)
		}
	}
	return u
}

// lapseLimit is the time from the platform's return until the entries of living upstreams
// that expired meanwhile are back.
const lapseLimit = 2 * time.Second

// sendAllowance is the time from the choice of an upstream until a request arrives there.
const sendAllowance = 400 * time.Millisecond

// Directory decides which upstreams may receive requests, from the platform's list
// and from direct evidence. A leaving mark is final for an incarnation. A Directory
// is not safe for concurrent use.
type Directory struct {
	entries map[string]*directoryEntry
	// leaving holds the latest incarnation of each upstream, by ID, that was
	// marked as leaving. It outlives the entry.
	leaving map[string]leavingMark
	// departed holds the upstreams whose entries were removed because they had left, by
	// ID. It outlives the entry.
	departed map[string]departure
	// leavingLimit bounds how long after its removal an entry is used, and renewal is
	// the interval at which upstreams renew their entries.
	leavingLimit, renewal time.Duration
}

// NewDirectory returns an empty Directory. No request may arrive at an upstream later
// than leavingLimit after its entry was removed. Upstreams renew their entries at an
// interval of renewal.
func NewDirectory(leavingLimit, renewal time.Duration) *Directory {
	return &Directory{
		entries: make(map[string]*directoryEntry),
		leaving: make(map[string]leavingMark),

		departed:     make(map[string]departure),
		leavingLimit: leavingLimit,
		renewal:      renewal,
	}
}

type directoryEntry struct {
	upstream Upstream
	// version is the version of the row; it never decreases.
	version uint64
	leaving bool
	// removed is set while the entry is absent from the list, and unusableAt is
	// when a removed entry stops receiving requests.
	removed    bool
	unusableAt time.Time
	// heldUntil is set while an entry from an older copy of the list is not used since
	// its upstream had left before.
	heldUntil time.Time
	// saidAt is when the upstream was first heard to say that it leaves, while its entry
	// says that it is ready; zero otherwise.
	saidAt time.Time
}

type leavingMark struct {
	incarnation uint64
	at          time.Time
	// saidAt is when the upstream itself was first heard to say so, or zero.
	saidAt time.Time
}

// departure is the removal of an upstream that had left.
type departure struct {
	incarnation uint64
	// version is the version of the removal.
	version uint64
	at      time.Time
}

// expiryRenewals is the number of renewals that an upstream must miss before its entry is
// removed, and one more.
const expiryRenewals = 4

// leavingMarkMaxAge is how long a leaving mark is kept once the upstream has no
// entry. Rows and rumours about the upstream no longer arrive after that time.
const leavingMarkMaxAge = time.Minute

// Put applies an entry of the list and reports whether the upstream or its
// usability changed. A row or an incarnation older than the known one is ignored.
func (d *Directory) Put(now time.Time, u Upstream, leaving bool, version uint64) bool {
	e, known := d.entries[u.ID]
	if known && version < e.version {
		return false
	}
	if known && u.Incarnation < e.upstream.Incarnation {
		return false
	}
	if known && u.Incarnation == e.upstream.Incarnation {
		u = u.withNewerWeights(e.upstream)
	}
	entry := &directoryEntry{upstream: u, version: version, heldUntil: d.holdUntil(now, u, version)}
	mark, isMarked := d.leaving[u.ID]
	isMarked = isMarked && mark.incarnation == u.Incarnation
	switch {
	case leaving:
		d.leaving[u.ID] = leavingMark{incarnation: u.Incarnation, at: now}
	case isMarked:
		leaving, entry.saidAt = true, mark.saidAt
	}
	entry.leaving = leaving
	changed := !known || e.leaving != leaving || e.removed || !e.heldUntil.Equal(entry.heldUntil) || !sameUpstream(e.upstream, u)
	d.entries[u.ID] = entry
	return changed
}

// holdUntil returns until when an entry must not be used, or zero. An upstream that had
// left and is listed by an older copy is used only if its entry is written again or does
// not expire.
func (d *Directory) holdUntil(now time.Time, u Upstream, version uint64) time.Time {
	left, ok := d.departed[u.ID]
	if !ok || left.incarnation != u.Incarnation {
		return time.Time{}
	}
	epoch := loomplatform.PositionEpoch(version)
	if epoch == loomplatform.PositionEpoch(left.version) {
		delete(d.departed, u.ID)
		return time.Time{}
	}
	e, known := d.entries[u.ID]
	switch {
	case !known || e.removed || epoch != loomplatform.PositionEpoch(e.version):
		return now.Add(expiryRenewals * d.renewal)
	case version == e.version:
		return e.heldUntil
	default:
		delete(d.departed, u.ID)
		return time.Time{}
	}
}

// sameUpstream reports whether two entries of an ID are equal.
func sameUpstream(a, b Upstream) bool {
	return a.Group == b.Group && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && slices.Equal(a.Weights, b.Weights)
}

// Removal is the removal of an upstream's entry from the list.
type Removal struct {
	ID string
	// Version is the version of the removal, or of the list that lacks the entry.
	Version uint64
	// After is when the list was read that last held the entry, or zero if that list says
	// nothing about the one without it.
	After time.Time
	// AnswersSince is since when the platform answers whoever has read the list without
	// the entry, or zero if it has not been away.
	AnswersSince time.Time
}

// Remove records that an entry was removed from the list, and reports until when the
// upstream stays usable and whether it was listed until now. Around an outage of the
// platform the entry may have expired although its upstream is alive.
func (d *Directory) Remove(now time.Time, r Removal) (usableUntil time.Time, removed bool) {
	e, known := d.entries[r.ID]
	if !known || r.Version < e.version || e.removed {
		return time.Time{}, false
	}
	e.version = r.Version
	e.removed = true
	e.unusableAt = now
	if end := d.lapseEnd(r); end.After(now) && !e.leaving && e.heldUntil.IsZero() {
		e.unusableAt = end
		return end, true
	}
	d.departed[r.ID] = departure{incarnation: e.upstream.Incarnation, version: r.Version, at: now}
	return now, true
}

// lapseEnd returns until when a removed entry counts as expired in an outage of the
// platform. It counts from the platform's return and not from when this instance learns of
// the removal, so that the time to learn of it is not added.
func (d *Directory) lapseEnd(r Removal) time.Time {
	if r.AnswersSince.IsZero() {
		return time.Time{}
	}
	end := r.AnswersSince.Add(lapseLimit)
	if r.AnswersSince.Sub(r.After) >= d.renewal {
		return end
	}
	// The entry was held by a list since the platform's return, or the platform was not
	// away for long enough, so the time of the removal itself is bounded.
	if bound := r.After.Add(d.leavingLimit - sendAllowance); bound.Before(end) {
		return bound
	}
	return end
}

// Mark records that an incarnation is leaving and reports whether that was not
// known yet. An incarnation of zero stands for the known one.
func (d *Directory) Mark(now time.Time, id string, incarnation uint64) bool {
	e, known := d.entries[id]
	if !known {
		return false
	}
	if incarnation == 0 {
		incarnation = e.upstream.Incarnation
	}
	if e.upstream.Incarnation != incarnation || e.leaving {
		return false
	}
	e.leaving = true
	d.leaving[id] = leavingMark{incarnation: incarnation, at: now}
	return true
}

// HearLeaving records that an incarnation has said in an answer, heard at a time, that it
// leaves, and reports whether it was not known to leave yet. Like every leaving mark it is
// final: an upstream that leaves ends, and its successor is another incarnation.
func (d *Directory) HearLeaving(now, at time.Time, id string, incarnation uint64) bool {
	e, known := d.entries[id]
	if !known || e.upstream.Incarnation != incarnation {
		return false
	}
	mark, isMarked := d.leaving[id]
	isMarked = isMarked && mark.incarnation == incarnation
	if isMarked && (mark.saidAt.IsZero() || !at.Before(mark.saidAt)) {
		return false
	}
	d.leaving[id] = leavingMark{incarnation: incarnation, at: now, saidAt: at}
	e.leaving, e.saidAt = true, at
	return !isMarked
}

// LeavingStatement is an upstream's own statement that it leaves.
type LeavingStatement struct {
	ID          string
	Incarnation uint64
	// At is when an instance first heard it.
	At time.Time
}

// LeavingStatements returns the statements of the listed upstreams whose entries say that
// they are ready, sorted by ID.
func (d *Directory) LeavingStatements() []LeavingStatement {
	var statements []LeavingStatement
	for id, e := range d.entries {
		if !e.saidAt.IsZero() && !e.removed {
			statements = append(statements, LeavingStatement{ID: id, Incarnation: e.upstream.Incarnation, At: e.saidAt})
		}
	}
	slices.SortFunc(statements, func(a, b LeavingStatement) int { return cmp.Compare(a.ID, b.ID) })
	return statements
}

// lastResortShare is the share of leavingLimit for which an upstream that says that it leaves
// still gets requests if its group has no other. It may have left the list some time before.
const lastResortShare = 0.5

// LastResorts returns the upstreams that say themselves that they leave and may still get
// requests if their groups have no others, sorted by ID, and when the first of them may no
// longer.
func (d *Directory) LastResorts(now time.Time) (upstreams []Upstream, until time.Time) {
	for _, e := range d.entries {
		end := e.saidAt.Add(time.Duration(lastResortShare * float64(d.leavingLimit)))
		if e.saidAt.IsZero() || e.removed || !e.heldUntil.IsZero() || !now.Before(end) {
			continue
		}
		upstreams = append(upstreams, e.upstream)
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return upstreams, until
}

// SetVersion records the version of a model's weights that an upstream has been
// observed to use, and reports whether it is newer than the known one. An
// incarnation of zero stands for the known one.
func (d *Directory) SetVersion(id string, incarnation uint64, model string, version uint64) bool {
	e, known := d.entries[id]
	if !known || (incarnation != 0 && e.upstream.Incarnation != incarnation) || e.upstream.Version(model) >= version {
		return false
	}
	e.upstream = e.upstream.WithVersion(model, version)
	return true
}

// RemoveExpired deletes removed entries that are no longer usable, and old
// leaving marks of upstreams without an entry. It returns the IDs of the deleted
// entries.
func (d *Directory) RemoveExpired(now time.Time) []string {
	var expired []string
	for id, e := range d.entries {
		if e.removed && !now.Before(e.unusableAt) {
			d.departed[id] = departure{incarnation: e.upstream.Incarnation, version: e.version, at: now}
			delete(d.entries, id)
			expired = append(expired, id)
		}
	}
	for id, left := range d.departed {
		if _, listed := d.entries[id]; !listed && now.Sub(left.at) > leavingMarkMaxAge {
			delete(d.departed, id)
		}
	}
	for id, mark := range d.leaving {
		if _, listed := d.entries[id]; !listed && now.Sub(mark.at) > leavingMarkMaxAge {
			delete(d.leaving, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// ReleaseHeld makes the upstreams usable that an older copy of the list has shown for so
// long that they must live, and returns their sorted IDs.
func (d *Directory) ReleaseHeld(now time.Time) []string {
	var released []string
	for id, e := range d.entries {
		if e.heldUntil.IsZero() || e.removed || now.Before(e.heldUntil) {
			continue
		}
		e.heldUntil = time.Time{}
		delete(d.departed, id)
		released = append(released, id)
	}
	slices.Sort(released)
	return released
}

// IsHeld reports whether an upstream is listed and not used until ReleaseHeld.
func (d *Directory) IsHeld(id string) bool {
	e, known := d.entries[id]
	return known && !e.heldUntil.IsZero()
}

// Get returns an upstream, or false when it is unknown or must not receive
// requests.
func (d *Directory) Get(now time.Time, id string) (Upstream, bool) {
	e, known := d.entries[id]
	if !known || !e.usable(now) {
		return Upstream{}, false
	}
	return e.upstream, true
}

func (e *directoryEntry) usable(now time.Time) bool {
	return !e.leaving && e.heldUntil.IsZero() && (!e.removed || now.Before(e.unusableAt))
}

// Usable returns the upstreams that may receive requests, sorted by ID.
func (d *Directory) Usable(now time.Time) []Upstream {
	usable := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		if e.usable(now) {
			usable = append(usable, e.upstream)
		}
	}
	slices.SortFunc(usable, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// All returns every upstream that has an entry, whether it may receive requests or not.
func (d *Directory) All() []Upstream {
	all := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.upstream)
	}
	return all
}

// HasExpiring reports whether an upstream without an entry is still usable.
func (d *Directory) HasExpiring(now time.Time) bool {
	for _, e := range d.entries {
		if e.removed && e.usable(now) {
			return true
		}
	}
	return false
}

// Listed returns the sorted IDs of all entries that are in the list.
func (d *Directory) Listed() []string {
	var ids []string
	for id, e := range d.entries {
		if !e.removed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
