package loomcatalogue

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"swiftloom/loomsettings"
)

// ParseFile parses a catalogue file. A file that starts with a JSON object or
// an array of objects is parsed as JSON, any other as INI. The name of the file
// is used only in errors, which are of type loomsettings.Faults.
//
// In an INI file each entry is a section "[kind name]" with one key for each
// field.
func ParseFile(file string, data []byte) ([]Change, error) {
	text := bytes.TrimSpace(data)
	if isJSON(text) {
		return parseJSON(file, text)
	}
	return parseINI(file, data)
}

// isJSON reports whether text starts with a JSON object or an array of objects.
// An opening bracket alone is ambiguous, because INI sections start with one too.
func isJSON(text []byte) bool {
	if rest, ok := bytes.CutPrefix(text, []byte("[")); ok {
		text = bytes.TrimSpace(rest)
		return len(text) == 0 || text[0] == '{' || text[0] == ']'
	}
	return len(text) > 0 && text[0] == '{'
}

// parseJSON parses a Document or an array of its entries.
func parseJSON(file string, text []byte) ([]Change, error) {
	var doc Document
	target := any(&doc)
	if text[0] == '[' {
		target = &doc.Entries
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	if err == nil {
		if _, next := d.Token(); next != io.EOF {
			err = errors.New("text after the end of the catalogue")
		}
	}
	if err != nil {
		line := 1 + bytes.Count(text[:min(int(d.InputOffset()), len(text))], []byte("\n"))
		return nil, loomsettings.Faults{{File: file, Line: line, Message: err.Error()}}
	}
	return doc.Entries, nil
}

func parseINI(file string, data []byte) ([]Change, error) {
	source, err := ini.Load(data)
	if err != nil {
		return nil, loomsettings.Faults{{File: file, Message: err.Error()}}
	}
	var faults loomsettings.Faults
	var changes []Change
	for _, section := range source.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		c, fault := parseSection(section)
		if fault.Message != "" {
			fault.File = file
			fault.Line = loomsettings.Line(data, section.Name(), fault.Key)
			faults = append(faults, fault)
			continue
		}
		changes = append(changes, c)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return changes, nil
}

// parseSection returns the entry of a section. The Message of the fault is
// empty when the section is valid; the caller fills in file and line.
func parseSection(section *ini.Section) (Change, loomsettings.Fault) {
	kind, name, ok := strings.Cut(section.Name(), " ")
	fault := loomsettings.Fault{Section: section.Name()}
	if !ok {
		fault.Message = "section name must have the form [kind name]"
		return Change{}, fault
	}
	id := ID{Kind(kind), strings.TrimSpace(name)}
	fields, ok := fieldTypes(id.Kind)
	if !ok {
		fault.Message = "unknown kind of entry"
		return Change{}, fault
	}
	spec := make(map[string]json.RawMessage)
	for _, key := range section.Keys() {
		value, message := encodeField(fields[key.Name()], key.String())
		if message != "" {
			fault.Key = key.Name()
			fault.Message = message
			return Change{}, fault
		}
		spec[key.Name()] = value
	}
	data, err := json.Marshal(spec)
	if err != nil {
		fault.Message = err.Error()
	}
	return Change{ID: id, Spec: data}, fault
}

// fieldTypes returns the types of the fields of a kind, keyed by their JSON
// names, or false for an unknown kind. The name is left out, since it comes
// from the section.
func fieldTypes(kind Kind) (map[string]reflect.Type, bool) {
	e, err := Decode(ID{kind, "x"}, json.RawMessage("{}"))
	if err != nil {
		return nil, false
	}
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(reflect.TypeOf(e)) {
		if name := f.Tag.Get("json"); name != "" && name != "name" {
			fields[name] = f.Type
		}
	}
	return fields, true
}

// encodeField returns text as the JSON value of a field of type t, or a message
// that says why it can't. A nil type stands for a key that is no field.
func encodeField(t reflect.Type, text string) (json.RawMessage, string) {
	if t == nil {
		return nil, "unknown key"
	}
	var value any
	var err error
	switch t.Kind() {
	case reflect.String:
		value = text
	case reflect.Bool:
		value, err = strconv.ParseBool(text)
	case reflect.Slice:
		value = splitList(text)
	case reflect.Float64:
		value, err = strconv.ParseFloat(text, 64)
	case reflect.Uint64:
		value, err = strconv.ParseUint(text, 10, 64)
	default:
		value, err = strconv.ParseInt(text, 10, 64)
	}
	if err != nil {
		return nil, strconv.Quote(text) + " is not a value of type " + t.String()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, err.Error()
	}
	return data, ""
}

// splitList splits a comma-separated list and drops empty elements.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if p := strings.TrimSpace(part); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}
