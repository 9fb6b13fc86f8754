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
	// reserve and release account for the memory of an event; nil if nothing does. reserved
	// is what is reserved for the current one.
	reserve  func(n int64) error
	release  func(n int64)
	reserved int64
}

const (
	// readBufferBytes is the size of the read buffer, which suffices for events of a
	// few tokens.
	readBufferBytes = 2 << 10
	// freeEventBytes is the size up to which an event is not accounted for, and
	// eventCopies how often the text of a longer one is held at most: while its buffer
	// grows, and its ID.
	freeEventBytes = 4 << 10
	eventCopies    = 3
)

// NewEventReader returns a reader of the stream r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// NewAccountedEventReader is like NewEventReader for a reader that reserves the memory of long
// events before it holds them. Next returns the error of reserve. What is reserved for an event is
// released by the next call of Next or Release.
func NewAccountedEventReader(r io.Reader, reserve func(n int64) error, release func(n int64)) *EventReader {
	e := NewEventReader(r)
	e.reserve, e.release = reserve, release
	return e
}

// Release releases what is reserved for the last event, which the caller holds no longer.
func (e *EventReader) Release() {
	if e.reserved > 0 {
		e.release(e.reserved)
		e.reserved = 0
	}
}

// account reserves the memory of an event of n bytes. It doubles what is reserved, so that an event
// in short lines needs few calls.
func (e *EventReader) account(n int) error {
	need := int64(n) * eventCopies
	if e.reserve == nil || n <= freeEventBytes || need <= e.reserved {
		return nil
	}
	need = max(need, 2*e.reserved)
	if err := e.reserve(need - e.reserved); err != nil {
		return errors.Annotatef(err, "event of %d or more bytes", n)
	}
	e.reserved = need
	return nil
}

// Next returns the next event. The error is io.EOF if the stream has ended after a
// complete event; the record then holds the comments that followed that event. It is
// io.ErrUnexpectedEOF if the stream has ended within an event.
func (e *EventReader) Next() (EventRecord, error) {
	e.Release()
	var record EventRecord
	// text holds the comments and then, from event on, the lines of the event; line is the start
	// of the current one.
	var text []byte
	event, line := 0, 0
	isEvent := false
	for {
		part, err := e.r.ReadSlice('\n')
		if size := len(text) + len(part); size > maxEventBytes {
			return EventRecord{}, errors.NotValidf("event of %d or more bytes (maximum %d)", size, maxEventBytes)
		}
		if err := e.account(len(text) + len(part)); err != nil {
			return EventRecord{}, err
		}
		text = append(text, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(text) > event {
				return EventRecord{}, io.ErrUnexpectedEOF
			}
			record.Comments = text
			return record, err
		}
		current := bytes.TrimRight(text[line:], "\r\n")
		line = len(text)
		switch {
		case len(current) == 0 && isEvent:
			if event > 0 {
				record.Comments = text[:event:event]
			}
			record.Raw = text[event:]
			return record, nil
		case len(current) == 0:
			event = len(text)
			continue
		}
		switch name, value, _ := bytes.Cut(current, []byte(":")); string(name) {
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
