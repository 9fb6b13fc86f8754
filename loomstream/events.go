package loomstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maxEventBytes is the maximum size of one event. Usual events carry a few tokens.
const maxEventBytes = 1 << 20

// EventRecord is one event of an event stream.
type EventRecord struct {
	// Raw is the unmodified text of the event, including the blank line that
	// ends it.
	Raw []byte
	// ID is the value of the id field, or empty if the event has none.
	ID string
}

// IsComment reports whether the record has no field, only comments.
func (r EventRecord) IsComment() bool {
	for line := range bytes.Lines(r.Raw) {
		text := bytes.TrimRight(line, "\r\n")
		if len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// EventReader splits a text/event-stream into events. It returns only complete
// events, so that a relay never forwards part of an event when the stream breaks.
type EventReader struct {
	r *bufio.Reader
}

// readBufferBytes is the size of the read buffer, which suffices for events of a
// few tokens.
const readBufferBytes = 2 << 10

// NewEventReader returns a reader of the stream r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event. The error is io.EOF if the stream has ended after a
// complete event, and io.ErrUnexpectedEOF if it has ended within an event.
func (e *EventReader) Next() (EventRecord, error) {
	var record EventRecord
	for {
		line, err := e.r.ReadBytes('\n')
		record.Raw = append(record.Raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(record.Raw) > 0 {
				return EventRecord{}, io.ErrUnexpectedEOF
			}
			return EventRecord{}, err
		}
		if len(record.Raw) > maxEventBytes {
			return EventRecord{}, errors.NotValidf("event of %d or more bytes (maximum %d)", len(record.Raw), maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return record, nil
		}
		if name, value, _ := bytes.Cut(text, []byte(":")); string(name) == "id" {
			record.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
