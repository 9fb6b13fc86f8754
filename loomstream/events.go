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
	// Comments is the text before the event that belongs to none: comments, blank
	// lines and blocks without an ID and data.
	Comments []byte
	// Raw is the unmodified text of the event, including the blank line that
	// ends it.
	Raw []byte
	// ID is the value of the id field, or empty if the event has none.
	ID string
	// Type is the value of the event field, or empty if the event has none.
	Type string
}

// Text returns the unmodified text of the event with the comments before it.
func (r EventRecord) Text() []byte {
	if len(r.Comments) == 0 {
		return r.Raw
	}
	return append(r.Comments, r.Raw...)
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
// complete event; the record then holds the comments that followed that event. It is
// io.ErrUnexpectedEOF if the stream has ended within an event.
func (e *EventReader) Next() (EventRecord, error) {
	var record EventRecord
	isEvent := false
	start := 0
	for {
		part, err := e.r.ReadSlice('\n')
		record.Raw = append(record.Raw, part...)
		if size := len(record.Comments) + len(record.Raw); size > maxEventBytes {
			return EventRecord{}, errors.NotValidf("event of %d or more bytes (maximum %d)", size, maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(record.Raw) > 0 {
				return EventRecord{}, io.ErrUnexpectedEOF
			}
			return record, err
		}
		text := bytes.TrimRight(record.Raw[start:], "\r\n")
		start = len(record.Raw)
		switch {
		case len(text) == 0 && isEvent:
			return record, nil
		case len(text) == 0:
			record.Comments = append(record.Comments, record.Raw...)
			record.Raw = nil
			start = 0
		}
		switch name, value, _ := bytes.Cut(text, []byte(":")); string(name) {
		case "id":
			record.ID = string(bytes.TrimPrefix(value, []byte(" ")))
			isEvent = true
		case "event":
			record.Type = string(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			isEvent = true
		}
	}
}
