package loomstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes bounds one event of a stream; events carry a few tokens.
const maxEventBytes = 1 << 20

// EventRecord is one event of an event stream as it came, with the blank line
// that ends it.
type EventRecord struct {
	Raw []byte
	// ID is empty when the event carries none.
	ID string
	// Field is the value of the field that NewEventReader was asked for.
	Field string
}

// EventReader cuts a text/event-stream into whole events, so that a stream that
// breaks in the middle of one is never passed on in part.
type EventReader struct {
	r *bufio.Reader
	// field is the name of the field to report besides the ID.
	field []byte
}

// NewEventReader returns a reader that also reports the value of a field; the
// name is empty for none.
func NewEventReader(r io.Reader, field string) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, 2<<10), field: []byte(field)}
}

// Next returns the next event. At the end of a stream that ends between two
// events the error is io.EOF, and io.ErrUnexpectedEOF within one.
func (e *EventReader) Next() (EventRecord, error) {
	var record EventRecord
	for {
		line, err := e.r.ReadBytes('\n')
		record.Raw = append(record.Raw, line...)
		if err != nil {
			if err == io.EOF && len(record.Raw) > 0 {
				return EventRecord{}, io.ErrUnexpectedEOF
			}
			return EventRecord{}, err
		}
		if len(record.Raw) > maxEventBytes {
			return EventRecord{}, errors.NotValidf("event of more than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return record, nil
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch {
		case string(name) == "id":
			record.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		case len(e.field) > 0 && bytes.EqualFold(name, e.field):
			record.Field = string(bytes.TrimSpace(value))
		}
	}
}
