package loomhttp

import (
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
