package loomhttp_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomhttp"
)

// countingReader counts the bytes that are read of an endless body.
type countingReader struct {
	read int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	r.read += int64(len(p))
	return len(p), nil
}

// TestReadAllEndsAtTheLimit guards against a part of a body that counts as the whole,
// and against a body that is read for as long as it comes.
func TestReadAllEndsAtTheLimit(t *testing.T) {
	const limit = 10_000
	tests := []struct {
		name   string
		body   io.Reader
		length int64
		// want is the number of bytes of the result, or -1 for ErrTooLarge.
		want int
	}{
		{"empty", strings.NewReader(""), -1, 0},
		{"as large as the limit", strings.NewReader(strings.Repeat("a", limit)), -1, limit},
		{"as large as the limit, with length", strings.NewReader(strings.Repeat("a", limit)), limit, limit},
		{"larger", strings.NewReader(strings.Repeat("a", limit+1)), -1, -1},
		{"larger, with length", strings.NewReader(strings.Repeat("a", limit+1)), limit + 1, -1},
		{"spaces after the limit", strings.NewReader("{}" + strings.Repeat(" ", limit)), -1, -1},
		{"without end", &countingReader{}, -1, -1},
		{"without end, with length", &countingReader{}, 1 << 40, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := loomhttp.ReadAll(tt.body, tt.length, limit)
			if r, ok := tt.body.(*countingReader); ok {
				assert.Assert(t, r.read <= limit+1, "%d bytes were read", r.read)
			}
			if tt.want < 0 {
				assert.Assert(t, errors.Is(err, loomhttp.ErrTooLarge), "%v", err)
				assert.Equal(t, len(data), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(data), tt.want)
		})
	}
}
