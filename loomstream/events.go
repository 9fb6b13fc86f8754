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
}

// EventReader cuts a text/event-stream into whole events, so that a stream that
// breaks in the middle of one is never passed on in part.
type EventReader struct {
	r *bufio.Reader
}

// eventBuffer holds the events of some tokens each.
const eventBuffer = 2 << 10

// NewEventReader returns a reader of the stream r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event. At the end of a stream that ends between two
// events the error is io.EOF, and io.ErrUnexpectedEOF within one.
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
			return EventRecord{}, errors.NotValidf("event of more than %d bytes", maxEventBytes)
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
