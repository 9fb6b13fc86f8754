package loomhttp

import (
	"io"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// minFinalStatus is the lowest status of a response that isn't interim.
const minFinalStatus = 200

// errMalformed is the cause of errors that say that a response isn't one by the grammar of HTTP.
var errMalformed = errors.New("malformed response")

// checkHead returns an error unless the head of w, which net/http has parsed, is that of a final response
// by RFC 9110 and RFC 9112: a status of three digits from 200 on, a version 1.x, and field names that are
// tokens. A status of 600 or more is a failure of the server like 500 (RFC 9110, section 15). A
// switch to another protocol is refused, since the transport would no longer close the connection when the
// request's context ends.
func checkHead(w *http.Response) error {
	if w.ProtoMajor != 1 {
		return errors.Annotatef(errMalformed, "version %q, want HTTP/1.1", w.Proto)
	}
	if w.StatusCode < minFinalStatus {
		return errors.Annotatef(errMalformed, "status %q of a final response", w.Status)
	}
	return checkFields(w.Header)
}

// checkFields returns an error unless each field of a head or trailer has a name that is a token and a value
// without control characters. net/http accepts names with blanks.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(errMalformed, "field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errors.Annotatef(errMalformed, "value %q of field %s", v, name)
			}
		}
	}
	return nil
}

// trailedBody is the body of a response that may have a trailer, whose fields are checked at its end.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if faulty := checkFields(b.response.Trailer); faulty != nil {
			return n, errors.Annotate(faulty, "trailer")
		}
	}
	return n, err
}

// checkResponse returns an error unless w is a response by the grammar of HTTP whose body has a clear end.
func (t *roundTrip) checkResponse(w *http.Response) error {
	if err := t.interim.failure(); err != nil {
		return errors.Annotate(err, "interim response")
	}
	if t.conn != nil && t.conn.hasFaultyFraming.Load() {
		return errors.Annotate(errMalformed, "Transfer-Encoding with Content-Length or in HTTP/1.0")
	}
	return checkHead(w)
}

// explain returns err, with which the transport has failed, with what caused it.
func (t *roundTrip) explain(err error) error {
	faulty := t.interim.failure()
	switch {
	case faulty != nil:
		return errors.Annotate(faulty, "interim response")
	case t.conn != nil && t.conn.isHeadTooLong.Load():
		// The transport may blame the line within which the head was cut.
		return errors.Annotatef(err, "headers exceeded %d lines", maxHeaderLines)
	default:
		return err
	}
}
