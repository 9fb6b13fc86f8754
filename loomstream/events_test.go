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
			relayed += string(event.Raw)
		}
		assert.Assert(t, strings.HasPrefix(stream, relayed), "events must be unmodified")
	})
}

func TestIsComment(t *testing.T) {
	tests := []struct {
		raw  string
		want bool
	}{
		{": keep-alive\n\n", true},
		{"\r\n", true},
		{"data: a\n\n", false},
		{": keep-alive\ndata: a\n\n", false},
	}
	for _, tt := range tests {
		assert.Equal(t, loomstream.EventRecord{Raw: []byte(tt.raw)}.IsComment(), tt.want, "%q", tt.raw)
	}
}
