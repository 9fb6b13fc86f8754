package loomhttp

import (
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ErrTooLarge is the cause of the error of ReadBody for a body above the limit.
var ErrTooLarge = errors.New("response body too large")

// ReadBody reads the body of w to its end. A body of more than limit bytes is an error
// that satisfies errors.Is for ErrTooLarge. The caller closes the body, which also
// closes the connection unless the body was read to its end.
func ReadBody(w *http.Response, limit int64) ([]byte, error) {
	return ReadAll(w.Body, w.ContentLength, limit)
}

// ReadAll is ReadBody for a body with a declared length in bytes, or a negative one if
// it is unknown. A declared length above the limit is an error before anything is read.
func ReadAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes declared, limit %d", length, limit)
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Annotatef(ErrTooLarge, "limit %d", limit)
	}
	return data, nil
}

// firstAnswerBytes is the room for an answer without a declared length, which doubles as it
// fills.
const firstAnswerBytes = 8 << 10

// ReadAnswer is ReadAll for an answer that is held for the caller of the request with the context
// ctx: its bytes are reserved before they are read. It waits for room until ctx ends. After an
// error nothing stays reserved.
func ReadAnswer(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	m := MemoryOf(ctx)
	if length > limit {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes declared, limit %d", length, limit)
	}
	room := length + 1
	if length < 0 {
		room = min(firstAnswerBytes, limit+1)
	}
	data, err := readGrowing(body, room, limit, func(n int64) error { return m.ReserveAnswer(ctx, n) }, m.ReleaseAnswer)
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		m.ReleaseAnswer(int64(cap(data)))
		return nil, errors.Annotatef(ErrTooLarge, "limit %d", limit)
	}
	return data, nil
}

// ReadRequestBody reads a request body of length bytes, or of an unknown number if that is
// negative, and reserves them in m. The body must end with an error above limit bytes, as that of
// http.MaxBytesReader does. After an error nothing stays reserved.
func ReadRequestBody(m RequestMemory, body io.Reader, length, limit int64) ([]byte, error) {
	room := length + 1
	if length < 0 {
		room = min(firstBodyBytes, limit+1)
	}
	return readGrowing(body, room, limit, m.Reserve, m.Release)
}

// firstBodyBytes is the room for a request body without a declared length.
const firstBodyBytes = 2 << 10

// readGrowing reads body to its end, or to limit+1 bytes, into a buffer that has room for so many
// bytes at first and doubles when it is full. The capacity of the result is reserved; after an
// error nothing is.
func readGrowing(body io.Reader, room, limit int64, reserve func(int64) error, release func(int64)) ([]byte, error) {
	if err := reserve(room); err != nil {
		return nil, err
	}
	data := make([]byte, 0, room)
	for {
		if int64(len(data)) == room {
			if room > limit {
				return data, nil
			}
			grown := min(2*room, limit+1)
			if err := reserve(grown); err != nil {
				release(room)
				return nil, err
			}
			data = append(make([]byte, 0, grown), data...)
			release(room)
			room = grown
		}
		n, err := body.Read(data[len(data):room])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			release(room)
			return nil, err
		}
	}
}
