// Package loomhttp bounds what HTTP clients read from servers that may be in trouble, and lets
// HTTP servers stop without losing a request.
package loomhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/juju/errors"
)

// MaxHeaderBytes bounds the head of a response together with all interim responses
// before it.
const MaxHeaderBytes = 64 << 10

// maxHeaderLines bounds the lines of a response's head and of the interim ones before it. Each field
// takes some hundred bytes once it is parsed, however short it is.
const maxHeaderLines = 2000

// Transport is an http.Transport that reads at most MaxHeaderBytes before the body of
// a response, and that accepts no response that isn't one by the grammar of HTTP/1.1 (see
// checkHead). It checks after which responses a connection is used again. Its connections are
// of type *Conn.
type Transport struct {
	*http.Transport

	mayReuse func(w *http.Response) bool
	conns    *openConns
}

// openConns holds the open connections by address. Its methods may be called concurrently.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*Conn]struct{}
}

// add adds a connection until it is closed.
func (o *openConns) add(address string, c *Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress[address] == nil {
		o.byAddress[address] = make(map[*Conn]struct{})
	}
	o.byAddress[address][c] = struct{}{}
	c.closed = func() { o.remove(address, c) }
}

func (o *openConns) remove(address string, c *Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[address], c)
	if len(o.byAddress[address]) == 0 {
		delete(o.byAddress, address)
	}
}

// HasOpenSince reports whether a connection to an address is open that was made before a time, as far
// as the transport waits for data there and would see its end.
func (t Transport) HasOpenSince(address string, at time.Time) bool {
	t.conns.mu.Lock()
	defer t.conns.mu.Unlock()
	for c := range t.conns.byAddress[address] {
		if c.openedAt.Before(at) && c.isReading.Load() {
			return true
		}
	}
	return false
}

// NewTransport returns a Transport that uses t, which it changes. A connection is used
// again only after responses for which mayReuse returns true; it is called with the head of
// each response.
func NewTransport(t *http.Transport, mayReuse func(w *http.Response) bool) Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	conns := &openConns{byAddress: make(map[string]map[*Conn]struct{})}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := newConn(time.Now(), c)
		conns.add(address, conn)
		return conn, nil
	}
	return Transport{Transport: t, mayReuse: mayReuse, conns: conns}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for {
		w, foundSpent, err := t.roundTrip(r)
		if !foundSpent {
			return w, err
		}
		// Nothing was written, so a response on the connection is none to this request.
		if err == nil {
			_ = w.Body.Close()
		}
		var ok bool
		if r, ok = rewound(r); !ok {
			return nil, errors.New("connection was closed before the request was written")
		}
	}
}

// roundTrip sends r once. It returns true if the connection was spent and nothing was
// written.
func (t Transport) roundTrip(r *http.Request) (*http.Response, bool, error) {
	var trip roundTrip
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: trip.gotConn, Got1xxResponse: trip.interim.got1xxResponse})
	w, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if trip.foundSpent {
		return w, true, err
	}
	if err != nil {
		err = trip.explain(err)
		trip.finish(false)
		return nil, false, err
	}
	w.Request = r
	if err := trip.checkResponse(w); err != nil {
		trip.finish(false)
		_ = w.Body.Close()
		return nil, false, err
	}
	trip.finishResponse(w, t.mayReuse(w))
	return w, false, nil
}
