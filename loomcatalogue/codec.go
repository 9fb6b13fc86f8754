package loomcatalogue

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"swiftloom/loomerror"
)

// Document is a snapshot in the form in which it is stored and passed on.
type Document struct {
	Revision uint64   `json:"revision"`
	Entries  []Change `json:"entries"`
}

// Document returns s in the form for storage.
func (s Snapshot) Document() Document {
	d := Document{Revision: s.revision}
	for _, e := range s.Entries("") {
		d.Entries = append(d.Entries, Change{ID: e.ID(), Spec: encode(e)})
	}
	return d
}

// FromDocument returns the snapshot that d describes.
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
	return Snapshot{}.derive(d.Revision, entries, changed), nil
}

// Decode returns the entry that spec describes. The name of id wins over one
// in spec; unknown fields are refused.
func Decode(id ID, spec json.RawMessage) (Entry, error) {
	switch id.Kind {
	case KindDeployment:
		var e Deployment
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindModel:
		var e Model
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindAdapter:
		var e Adapter
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindClientAccount:
		var e ClientAccount
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindKeptPrompt:
		var e KeptPrompt
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	case KindUpstreamGroup:
		var e UpstreamGroup
		err := decodeInto(id, spec, &e)
		e.Name = id.Name
		return e, err
	default:
		return nil, loomerror.New(loomerror.InvalidCatalogue, "%s: unknown kind of entry", id)
	}
}

func decodeInto(id ID, spec json.RawMessage, e any) error {
	d := json.NewDecoder(bytes.NewReader(spec))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return loomerror.New(loomerror.InvalidCatalogue, "%s: %s", id, err)
	}
	return nil
}

func encode(e Entry) json.RawMessage {
	data, err := json.Marshal(e)
	if err != nil {
		panic(errors.Annotatef(err, "encode %s", e.ID()))
	}
	return data
}
