package loommember

import (
	"cmp"
	"slices"
	"time"
)

// Weights is a model with the version of its weights.
type Weights struct {
	Model   string
	Version uint64
}

// Upstream is one upstream in one incarnation, as it lists itself. It is
// immutable.
type Upstream struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	// Incarnation changes when the upstream starts again under the same ID.
	Incarnation uint64
	// Slots is how many requests run at once; zero when it is not told.
	Slots int
	// Weights holds the models that the upstream has loaded.
	Weights []Weights
}

// Version returns the version of a model's weights, or zero.
func (u Upstream) Version(model string) uint64 {
	for _, w := range u.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// WithVersion returns a copy of u whose weights of a model have a version.
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

// withNewest returns a copy of u with the versions of old where these are newer:
// an upstream lists its weights some time after it has loaded them.
func (u Upstream) withNewest(old Upstream) Upstream {
	for _, w := range old.Weights {
		if w.Version > u.Version(w.Model) {
			u = u.WithVersion(w.Model, w.Version)
		}
	}
	return u
}

// lapseGrace is how long an entry that was removed around an outage of the
// platform may still come back before the upstream counts as gone.
const lapseGrace = 1800 * time.Millisecond

// Directory decides which upstreams may get work, from the platform's list and
// from evidence. A leaving mark sticks to its incarnation. Its owner must guard
// it; the zero value is empty.
type Directory struct {
	entries map[string]*directoryEntry
	// left holds the incarnations that were marked as leaving, by ID, with the
	// time of the mark.
	left map[string]leftMark
	// outageUntil is the end of the time in which a removed entry may be one
	// that lapsed.
	outageUntil time.Time
}

type directoryEntry struct {
	upstream Upstream
	// version is that of the row; it only rises.
	version uint64
	leaving bool
	// removed is set while the entry is gone from the list, and goneAt is when
	// it stops to get work.
	removed bool
	goneAt  time.Time
}

type leftMark struct {
	incarnation uint64
	at          time.Time
}

// leftMemory is how long the leaving mark of a removed upstream is kept; rows
// and rumours of it are older than that.
const leftMemory = time.Minute

func (d *Directory) init() {
	if d.entries == nil {
		d.entries = make(map[string]*directoryEntry)
		d.left = make(map[string]leftMark)
	}
}

// List takes in an entry and reports whether it changed what gets work. A row
// that is older than what is known changes nothing.
func (d *Directory) List(now time.Time, u Upstream, leaving bool, version uint64) bool {
	d.init()
	e, known := d.entries[u.ID]
	if known && version < e.version {
		return false
	}
	if known && u.Incarnation < e.upstream.Incarnation {
		return false
	}
	if known && u.Incarnation == e.upstream.Incarnation {
		u = u.withNewest(e.upstream)
	}
	if mark, ok := d.left[u.ID]; ok && mark.incarnation == u.Incarnation {
		leaving = true
	}
	if leaving {
		d.left[u.ID] = leftMark{incarnation: u.Incarnation, at: now}
	}
	next := &directoryEntry{upstream: u, version: version, leaving: leaving}
	changed := !known || e.leaving != leaving || e.removed || !sameUpstream(e.upstream, u)
	d.entries[u.ID] = next
	return changed
}

func sameUpstream(a, b Upstream) bool {
	return a.Group == b.Group && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && slices.Equal(a.Weights, b.Weights)
}

// Remove takes in that an entry is gone from the list, and reports whether that
// changed what gets work. Around an outage of the platform the entry may have
// lapsed while its upstream lives; it then keeps its place for a short time.
func (d *Directory) Remove(now time.Time, id string, version uint64) bool {
	e, known := d.entries[id]
	if !known || version < e.version || e.removed {
		return false
	}
	e.version = version
	e.removed = true
	e.goneAt = now
	if now.Before(d.outageUntil) && !e.leaving {
		e.goneAt = now.Add(lapseGrace)
	}
	return true
}

// Outage notes that the platform was not reachable at now. Entries that are
// removed until a while after its return may be lapsed ones.
func (d *Directory) Outage(now time.Time) {
	d.outageUntil = now.Add(outageMemory)
}

// outageMemory is how long after an outage removed entries may be lapsed ones:
// the time in which a listed upstream writes again, twice.
const outageMemory = 4 * time.Second

// Mark notes that an incarnation leaves; an incarnation of zero means the one
// that is known. It reports whether that was new.
func (d *Directory) Mark(now time.Time, id string, incarnation uint64) bool {
	d.init()
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
	d.left[id] = leftMark{incarnation: incarnation, at: now}
	return true
}

// SetVersion notes the version of a model's weights that an upstream was seen
// to have, and reports whether that was new.
func (d *Directory) SetVersion(id string, incarnation uint64, model string, version uint64) bool {
	e, known := d.entries[id]
	if !known || (incarnation != 0 && e.upstream.Incarnation != incarnation) || e.upstream.Version(model) >= version {
		return false
	}
	e.upstream = e.upstream.WithVersion(model, version)
	return true
}

// Tidy drops what is of no more use and reports whether what gets work has
// changed.
func (d *Directory) Tidy(now time.Time) bool {
	changed := false
	for id, e := range d.entries {
		if e.removed && !now.Before(e.goneAt) {
			delete(d.entries, id)
			changed = true
		}
	}
	for id, mark := range d.left {
		if _, listed := d.entries[id]; !listed && now.Sub(mark.at) > leftMemory {
			delete(d.left, id)
		}
	}
	return changed
}

// Get returns an upstream that may get work.
func (d *Directory) Get(now time.Time, id string) (Upstream, bool) {
	e, known := d.entries[id]
	if !known || !e.usable(now) {
		return Upstream{}, false
	}
	return e.upstream, true
}

func (e *directoryEntry) usable(now time.Time) bool {
	return !e.leaving && (!e.removed || now.Before(e.goneAt))
}

// Usable returns the upstreams that may get work, in the order of their names.
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

// Listed returns the IDs of all entries that are in the list.
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
