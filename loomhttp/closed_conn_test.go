package loomhttp

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestOfClosedConnectionIsNotServed guards against a request that runs although its
// connection was closed when it had just been read: its caller may send it again.
func TestRequestOfClosedConnectionIsNotServed(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := NewServer(l)
	assert.NilError(t, err)
	defer s.Close()
	var served atomic.Int64
	s.Start(&http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				_ = c.Close()
			}
		},
	})
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, _ = io.ReadAll(c)
	_, err = s.Shutdown(t.Context())
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, served.Load(), int64(0))
}
