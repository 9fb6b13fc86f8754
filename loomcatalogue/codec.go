package loomcatalogue

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"swiftloom/loomerror"
)

// Document is the JSON form of a Snapshot. It is used in the HTTP API, in
// catalogue files and between instances.
type Document struct {
	Revision uint64   `json:"revision"`
	Entries  []Change `json:"entries"`
}

// Document returns the JSON form of s.
func (s Snapshot) Document() Document {
	d := Document{Revision: s.revision}
	for _, e := range s.Entries("") {
		d.Entries = append(d.Entries, Change{ID: e.ID(), Spec: encode(e)})
	}
	return d
}

// FromDocument returns the snapshot with the revision and the entries of d. It
// decodes the entries but does not validate them.
func FromDocument(d Document) (Snapshot, error) {
	entries := make(map[ID]Entry, len(d.Entries))
	changed := make(map[Kind]bool)
	for _, c := range d.Entries {
		e, err := Decode(c.ID, c.Spec)
		if err != nil {
			return Snapshot{}, err
		}
		entries[c.ID] = e
		changed[c.Kind] = true
	}
	return Snapshot{}.withEntries(d.Revision, entries, changed), nil
}

// Decode decodes the fields in spec into an entry of the kind of id. The name
// is taken from id, whatever spec says. An unknown field is an error.
func Decode(id ID, spec json.RawMessage) (Entry, error) {
	switch id.Kind {
	case KindDeployment:
		var e Deployment
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindModel:
		var e Model
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindAdapter:
		var e Adapter
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindClientAccount:
		var e ClientAccount
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindKeptPrompt:
		var e KeptPrompt
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindUpstreamGroup:
		var e UpstreamGroup
		err := decodeStrict(id, spec, &e)
		e.Name = id.Name
		return e, err
	default:
		return nil, loomerror.New(loomerror.InvalidCatalogue, "%s: unknown kind of entry, expected one of %v", id, Kinds())
	}
}

// decodeStrict decodes spec into e and rejects unknown fields.
func decodeStrict(id ID, spec json.RawMessage, e any) error {
	d := json.NewDecoder(bytes.NewReader(spec))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return loomerror.New(loomerror.InvalidCatalogue, "%s: %s", id, err)
	}
	return nil
}

// encode returns e as JSON. It panics on an error, since entries consist only
// of types that JSON can represent.
func encode(e Entry) json.RawMessage {
	data, err := json.Marshal(e)
	if err != nil {
		panic(errors.Annotatef(err, "encode entry %s", e.ID()))
	}
	return data
}
