// Package loomhttp bounds what HTTP clients read from servers that may be in trouble, and lets
// HTTP servers stop without losing a request.
package loomhttp

import (
	"net/http"

	"github.com/juju/errors"
)

// MaxHeaderBytes bounds the head of a response together with all interim responses
// before it.
const MaxHeaderBytes = 64 << 10

// Transport is an http.Transport that reads at most MaxHeaderBytes before the body of
// a response, and that accepts no switch to another protocol: the transport would no
// longer close the connection when the request's context ends.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which it changes.
func NewTransport(t *http.Transport) Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if w.StatusCode == http.StatusSwitchingProtocols {
		_ = w.Body.Close()
		return nil, errors.NotValidf("response with status %d", w.StatusCode)
	}
	return w, nil
}
