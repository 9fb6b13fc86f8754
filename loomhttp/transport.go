// Package loomhttp bounds what HTTP clients read from servers that may be in trouble.
package loomhttp

import "net/http"

// MaxHeaderBytes bounds the head of a response together with all interim responses
// before it.
const MaxHeaderBytes = 64 << 10

// Transport is an http.Transport that reads at most MaxHeaderBytes before the body of
// a response.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which it changes.
func NewTransport(t *http.Transport) Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return Transport{Transport: t}
}
