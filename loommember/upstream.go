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

// removalGrace is how long an upstream stays usable after its entry was removed
// around an outage of the platform, when the entry may have expired only because
// the upstream could not renew it.
const removalGrace = 1800 * time.Millisecond

// Directory decides which upstreams may receive requests, from the platform's list
// and from direct evidence. A leaving mark is final for an incarnation. A Directory
// is not safe for concurrent use. Its zero value is empty.
type Directory struct {
	entries map[string]*directoryEntry
	// leaving holds the latest incarnation of each upstream, by ID, that was
	// marked as leaving. It outlives the entry.
	leaving map[string]leavingMark
	// outageUntil is the time until which a removed entry may have expired
	// because of an outage.
	outageUntil time.Time
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
}

type leavingMark struct {
	incarnation uint64
	at          time.Time
}

// leavingMarkMaxAge is how long a leaving mark is kept once the upstream has no
// entry. Rows and rumours about the upstream no longer arrive after that time.
const leavingMarkMaxAge = time.Minute

func (d *Directory) init() {
	if d.entries == nil {
		d.entries = make(map[string]*directoryEntry)
		d.leaving = make(map[string]leavingMark)
	}
}

// Put applies an entry of the list and reports whether the upstream or its
// usability changed. A row or an incarnation older than the known one is ignored.
func (d *Directory) Put(now time.Time, u Upstream, leaving bool, version uint64) bool {
	d.init()
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
	if mark, ok := d.leaving[u.ID]; ok && mark.incarnation == u.Incarnation {
		leaving = true
	}
	if leaving {
		d.leaving[u.ID] = leavingMark{incarnation: u.Incarnation, at: now}
	}
	entry := &directoryEntry{upstream: u, version: version, leaving: leaving}
	changed := !known || e.leaving != leaving || e.removed || !sameUpstream(e.upstream, u)
	d.entries[u.ID] = entry
	return changed
}

// sameUpstream reports whether two entries of an ID are equal.
func sameUpstream(a, b Upstream) bool {
	return a.Group == b.Group && a.Address == b.Address && a.Incarnation == b.Incarnation &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && slices.Equal(a.Weights, b.Weights)
}

// Remove records that an entry was removed from the list, and reports until when the
// upstream stays usable and whether it was listed until now. Around an outage of the
// platform the entry may have expired although its upstream is alive, so the upstream
// stays usable for removalGrace.
func (d *Directory) Remove(now time.Time, id string, version uint64) (usableUntil time.Time, removed bool) {
	e, known := d.entries[id]
	if !known || version < e.version || e.removed {
		return time.Time{}, false
	}
	e.version = version
	e.removed = true
	e.unusableAt = now
	if now.Before(d.outageUntil) && !e.leaving {
		e.unusableAt = now.Add(removalGrace)
	}
	return e.unusableAt, true
}

// Outage records that the platform was unreachable at now. Entries that are
// removed within outageEffect after the latest outage may have expired because
// their upstreams could not renew them.
func (d *Directory) Outage(now time.Time) {
	d.outageUntil = now.Add(outageEffect)
}

// outageEffect is how long after an outage the removal of an entry may still be
// caused by it: the time in which a listed upstream renews its entry twice.
const outageEffect = 4 * time.Second

// Mark records that an incarnation is leaving and reports whether that was not
// known yet. An incarnation of zero stands for the known one.
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
	d.leaving[id] = leavingMark{incarnation: incarnation, at: now}
	return true
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
			delete(d.entries, id)
			expired = append(expired, id)
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
	return !e.leaving && (!e.removed || now.Before(e.unusableAt))
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
