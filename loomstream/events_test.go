package loomstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"swiftloom/loomstream"
)

func TestEventReader(t *testing.T) {
	tests := []struct {
		name   string
		stream string
		want   []loomstream.EventRecord
		err    error
	}{
		{"empty", "", nil, io.EOF},
		{"one", "id: 1\ndata: a\n\n", []loomstream.EventRecord{{Raw: []byte("id: 1\ndata: a\n\n"), ID: "1"}}, io.EOF},
		{"CRLF and no space after the colon", "id:2\r\ndata: a\r\n\r\n", []loomstream.EventRecord{{Raw: []byte("id:2\r\ndata: a\r\n\r\n"), ID: "2"}}, io.EOF},
		{"no id", "data: id: 3\n\n", []loomstream.EventRecord{{Raw: []byte("data: id: 3\n\n")}}, io.EOF},
		{"comments before an event", ": a\n\n\n: b\ndata: c\n\n", []loomstream.EventRecord{{Comments: []byte(": a\n\n\n"), Raw: []byte(": b\ndata: c\n\n")}}, io.EOF},
		{"retry field before an event", "retry: 9\n\ndata: c\n\n", []loomstream.EventRecord{{Comments: []byte("retry: 9\n\n"), Raw: []byte("data: c\n\n")}}, io.EOF},
		{"truncated within a comment", "id: 1\n\n: a\n", []loomstream.EventRecord{{Raw: []byte("id: 1\n\n"), ID: "1"}}, io.ErrUnexpectedEOF},
		{"truncated within a line", "id: 1\n\nid: 2\nda", []loomstream.EventRecord{{Raw: []byte("id: 1\n\n"), ID: "1"}}, io.ErrUnexpectedEOF},
		{"truncated before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := loomstream.NewEventReader(iotest.OneByteReader(strings.NewReader(tt.stream)))
			var got []loomstream.EventRecord
			for {
				event, err := r.Next()
				if err != nil {
					assert.ErrorIs(t, err, tt.err)
					break
				}
				got = append(got, event)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2")
	f.Fuzz(func(t *testing.T, stream string) {
		r := loomstream.NewEventReader(strings.NewReader(stream))
		relayed := ""
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			relayed += string(event.Text())
		}
		assert.Assert(t, strings.HasPrefix(stream, relayed), "events must be unmodified")
	})
}

func TestEventReaderTrailingComments(t *testing.T) {
	r := loomstream.NewEventReader(strings.NewReader("id: 1\n\n: a\n\n\n"))
	_, err := r.Next()
	assert.NilError(t, err)
	record, err := r.Next()
	assert.Equal(t, err, io.EOF)
	assert.DeepEqual(t, record, loomstream.EventRecord{Comments: []byte(": a\n\n\n")})
}

// endlessReader repeats a text for ever and counts what is read of it.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

// TestEventReaderEndsEventWithoutEnd guards against a stream without a complete event
// that is read for as long as it comes.
func TestEventReaderEndsEventWithoutEnd(t *testing.T) {
	// maxRead is the largest event with the read buffer.
	const maxRead = 1<<20 + 2<<10
	for _, text := range []string{"a", "data: a\n", "\r\n", ": a\n\n", "retry: 1\n\n", "\x00"} {
		t.Run(text, func(t *testing.T) {
			stream := &endlessReader{text: text}
			_, err := loomstream.NewEventReader(stream).Next()
			assert.ErrorContains(t, err, "event of")
			assert.Assert(t, stream.read <= maxRead, "%d bytes were read", stream.read)
		})
	}
}

// TestEventReaderKeepsLongLines guards against lines that are cut at the read buffer.
func TestEventReaderKeepsLongLines(t *testing.T) {
	const maxEvent = 1 << 20
	for _, n := range []int{2<<10 - 1, 2 << 10, 2<<10 + 1, 100_000, maxEvent - len("data: \n\n")} {
		text := ": " + strings.Repeat("c", 5000) + "\n\n" + "id: 1\n"
		n = min(n, maxEvent-len(text)-len("data: \n\n"))
		text += "data: " + strings.Repeat("a", n) + "\n\n"
		r := loomstream.NewEventReader(strings.NewReader(text))
		event, err := r.Next()
		assert.NilError(t, err)
		assert.Assert(t, string(event.Text()) == text, "line of %d bytes", n)
		assert.Equal(t, event.ID, "1")
		_, err = r.Next()
		assert.Equal(t, err, io.EOF)
	}
}
