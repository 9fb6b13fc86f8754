package loomcatalogue

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"swiftloom/loomerror"
)

// Snapshot is the whole catalogue at one revision. It is immutable. The zero
// value is the empty catalogue at revision zero.
type Snapshot struct {
	revision uint64
	// entries is not modified after the snapshot is created, since copies of
	// the snapshot share it.
	entries map[ID]Entry
	// byKind holds the entries of each kind, ordered by name.
	byKind map[Kind][]Entry
	// accounts maps the hexadecimal SHA-256 digest of a bearer key to the
	// account that it belongs to.
	accounts map[string]ClientAccount
	// keptPrompts maps the key of a block, in hexadecimal, to its entry.
	keptPrompts map[string]KeptPrompt
}

// Change is the new state of one entry. An empty Spec, or one that is JSON
// null, deletes the entry.
type Change struct {
	ID
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Edit is a set of changes that is applied atomically.
type Edit struct {
	// ID identifies the edit when it is repeated, and makes it idempotent.
	ID       string `json:"edit_id"`
	Operator string `json:"operator"`
	// BaseRevision is the revision that the operator edited. The edit is
	// rejected if the catalogue is at another one.
	BaseRevision uint64   `json:"base_revision"`
	Changes      []Change `json:"changes"`
}

// Recorded is one change in the audit trail. Before is empty for a new entry,
// and After for a deleted one.
type Recorded struct {
	ID
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Record is one edit in the audit trail.
type Record struct {
	Revision     uint64     `json:"revision"`
	BaseRevision uint64     `json:"base_revision"`
	EditID       string     `json:"edit_id"`
	Operator     string     `json:"operator"`
	At           time.Time  `json:"at"`
	Changes      []Recorded `json:"changes"`
}

// Revision returns the revision of s.
func (s Snapshot) Revision() uint64 {
	return s.revision
}

// Entry returns the entry with the given ID.
func (s Snapshot) Entry(id ID) (Entry, bool) {
	e, ok := s.entries[id]
	return e, ok
}

// Entries returns the entries of a kind, or all entries for the empty kind,
// ordered by kind and name. The caller must not modify the slice.
func (s Snapshot) Entries(kind Kind) []Entry {
	if kind != "" {
		return s.byKind[kind]
	}
	var all []Entry
	for _, k := range slices.Sorted(maps.Keys(s.byKind)) {
		all = append(all, s.byKind[k]...)
	}
	return all
}

// Deployment returns the deployment entry with the given name.
func (s Snapshot) Deployment(name string) (Deployment, bool) {
	e, ok := s.entries[ID{KindDeployment, name}].(Deployment)
	return e, ok
}

// Model returns the model entry with the given name.
func (s Snapshot) Model(name string) (Model, bool) {
	e, ok := s.entries[ID{KindModel, name}].(Model)
	return e, ok
}

// Adapter returns the adapter entry with the given name.
func (s Snapshot) Adapter(name string) (Adapter, bool) {
	e, ok := s.entries[ID{KindAdapter, name}].(Adapter)
	return e, ok
}

// ClientAccount returns the account entry with the given name.
func (s Snapshot) ClientAccount(name string) (ClientAccount, bool) {
	e, ok := s.entries[ID{KindClientAccount, name}].(ClientAccount)
	return e, ok
}

// UpstreamGroup returns the group entry with the given name.
func (s Snapshot) UpstreamGroup(name string) (UpstreamGroup, bool) {
	e, ok := s.entries[ID{KindUpstreamGroup, name}].(UpstreamGroup)
	return e, ok
}

// AccountByKey returns the account to which a bearer key belongs.
func (s Snapshot) AccountByKey(key string) (ClientAccount, bool) {
	digest := sha256.Sum256([]byte(key))
	a, ok := s.accounts[hex.EncodeToString(digest[:])]
	return a, ok
}

// KeptPromptByBlock returns the kept-prompt entry for a block, whose key is in
// hexadecimal.
func (s Snapshot) KeptPromptByBlock(blockKey string) (KeptPrompt, bool) {
	p, ok := s.keptPrompts[blockKey]
	return p, ok
}

// KeptPromptCount returns the number of blocks that have a kept-prompt entry.
func (s Snapshot) KeptPromptCount() int {
	return len(s.keptPrompts)
}

// Edit returns the snapshot after e and the record of e for the audit trail. It
// returns an error for an edit of another revision, for one that lowers the
// version of a model or adapter, and for one after which the catalogue is
// invalid.
func (s Snapshot) Edit(now time.Time, e Edit) (Snapshot, Record, error) {
	if e.BaseRevision != s.revision {
		return s, Record{}, loomerror.New(loomerror.RevisionConflict, "the edit was made from revision %d, but the catalogue is at revision %d", e.BaseRevision, s.revision)
	}
	rec := Record{
		Revision:     s.revision + 1,
		BaseRevision: e.BaseRevision,
		EditID:       e.ID,
		Operator:     e.Operator,
		At:           now.UTC(),
	}
	for _, c := range e.Changes {
		r, err := s.newRecordedChange(c)
		if err != nil {
			return s, Record{}, err
		}
		rec.Changes = append(rec.Changes, r)
	}
	next, err := s.WithRecord(rec)
	if err != nil {
		return s, Record{}, err
	}
	if problems := next.Validate(); len(problems) > 0 {
		return s, Record{}, invalidCatalogue(problems)
	}
	return next, rec, nil
}

// newRecordedChange returns c with the current state of its entry. It decodes
// and encodes the new state, so that the audit trail holds the canonical form.
func (s Snapshot) newRecordedChange(c Change) (Recorded, error) {
	r := Recorded{ID: c.ID}
	old, exists := s.entries[c.ID]
	if exists {
		r.Before = encode(old)
	}
	if len(c.Spec) == 0 || string(c.Spec) == "null" {
		if !exists {
			return r, loomerror.New(loomerror.InvalidCatalogue, "%s: entry does not exist and can't be deleted", c.ID)
		}
		return r, nil
	}
	e, err := Decode(c.ID, c.Spec)
	if err != nil {
		return r, err
	}
	if exists && lowersVersion(old, e) {
		return r, loomerror.New(loomerror.InvalidCatalogue, "%s: version: must not fall", c.ID)
	}
	r.After = encode(e)
	return r, nil
}

// lowersVersion reports whether an edit from old to e lowers the version of a
// model or an adapter.
func lowersVersion(old, e Entry) bool {
	switch e := e.(type) {
	case Model:
		o, ok := old.(Model)
		return ok && e.Version < o.Version
	case Adapter:
		o, ok := old.(Adapter)
		return ok && e.Version < o.Version
	default:
		return false
	}
}

// WithRecord returns the snapshot after rec, which has been accepted and is not
// validated again. It returns an error if the revision of rec is not the one
// after s.
func (s Snapshot) WithRecord(rec Record) (Snapshot, error) {
	if rec.Revision != s.revision+1 {
		return s, loomerror.New(loomerror.RevisionConflict, "audit record %d does not follow revision %d; expected record %d", rec.Revision, s.revision, s.revision+1)
	}
	entries := maps.Clone(s.entries)
	if entries == nil {
		entries = make(map[ID]Entry)
	}
	changed := make(map[Kind]bool)
	for _, c := range rec.Changes {
		changed[c.Kind] = true
		if len(c.After) == 0 {
			delete(entries, c.ID)
			continue
		}
		e, err := Decode(c.ID, c.After)
		if err != nil {
			return s, err
		}
		entries[c.ID] = e
	}
	return s.withEntries(rec.Revision, entries, changed), nil
}

// withEntries returns a snapshot with the given entries. The argument changed
// holds the kinds whose entries differ from those of s; the indexes of the other
// kinds are shared with s.
func (s Snapshot) withEntries(revision uint64, entries map[ID]Entry, changed map[Kind]bool) Snapshot {
	next := Snapshot{revision: revision, entries: entries, byKind: maps.Clone(s.byKind), accounts: s.accounts, keptPrompts: s.keptPrompts}
	if next.byKind == nil {
		next.byKind = make(map[Kind][]Entry)
	}
	for kind := range changed {
		next.byKind[kind] = entriesOfKind(entries, kind)
	}
	if changed[KindClientAccount] {
		next.accounts = accountsByDigest(entries)
	}
	if changed[KindKeptPrompt] {
		next.keptPrompts = keptPromptsByBlock(entries)
	}
	return next
}

// entriesOfKind returns the entries of a kind, ordered by name.
func entriesOfKind(entries map[ID]Entry, kind Kind) []Entry {
	var es []Entry
	for id, e := range entries {
		if id.Kind == kind {
			es = append(es, e)
		}
	}
	slices.SortFunc(es, func(a, b Entry) int { return cmp.Compare(a.ID().Name, b.ID().Name) })
	return es
}

// accountsByDigest indexes the client accounts by the digests of their keys.
func accountsByDigest(entries map[ID]Entry) map[string]ClientAccount {
	accounts := make(map[string]ClientAccount)
	for _, e := range entries {
		if a, ok := e.(ClientAccount); ok {
			for _, d := range a.KeySHA256 {
				accounts[d] = a
			}
		}
	}
	return accounts
}

// keptPromptsByBlock indexes the kept prompts by the key of their block.
func keptPromptsByBlock(entries map[ID]Entry) map[string]KeptPrompt {
	kept := make(map[string]KeptPrompt)
	for _, e := range entries {
		if p, ok := e.(KeptPrompt); ok {
			kept[p.BlockKey] = p
		}
	}
	return kept
}

// invalidCatalogue returns an error that lists all problems.
func invalidCatalogue(problems []Problem) error {
	text := ""
	for i, p := range problems {
		if i > 0 {
			text += "; "
		}
		text += p.String()
	}
	return loomerror.New(loomerror.InvalidCatalogue, "%s", text)
}
