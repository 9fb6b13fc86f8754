package loomhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"swiftloom/loomhttp"
)

// gate delays calls while it is shut, as a process that is paused does.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// gatedListener passes accepted connections on, and lets them read, while its gates are open.
type gatedListener struct {
	*net.TCPListener
	accept, read *gate
	accepted     chan net.Conn
}

func (l gatedListener) Accept() (net.Conn, error) {
	l.accept.wait()
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.accepted <- c:
	default:
	}
	return &gatedConn{Conn: c, read: l.read}, nil
}

// hideArrivals keeps the kernel from waking the reader of a connection when bytes come.
func hideArrivals(t *testing.T, c net.Conn) {
	t.Helper()
	tcp, ok := c.(*net.TCPConn)
	assert.Assert(t, ok)
	raw, err := tcp.SyscallConn()
	assert.NilError(t, err)
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1<<16) })
	assert.NilError(t, err)
	assert.NilError(t, optErr)
}

type gatedConn struct {
	net.Conn
	read *gate
}

func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// Read returns only while the gate is open.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.read.wait()
	n, err := c.Conn.Read(b)
	c.read.wait()
	return n, err
}

// testServer is a server with gates.
type testServer struct {
	*loomhttp.Server
	address      string
	accept, read gate
	// accepted holds the first connections that were accepted.
	accepted chan net.Conn
}

func startServer(t *testing.T, h *http.Server) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tcp, ok := l.(*net.TCPListener)
	assert.Assert(t, ok)
	s := &testServer{address: l.Addr().String(), accepted: make(chan net.Conn, 4)}
	s.Server, err = loomhttp.NewServer(gatedListener{TCPListener: tcp, accept: &s.accept, read: &s.read, accepted: s.accepted})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	s.Start(h)
	return s
}

// shutdown starts a shutdown and returns a channel for its result.
func (s *testServer) shutdown(ctx context.Context) chan shutdownResult {
	result := make(chan shutdownResult, 1)
	go func() {
		drained, err := s.Shutdown(ctx)
		result <- shutdownResult{drained, err}
	}()
	return result
}

type shutdownResult struct {
	drained loomhttp.Drained
	err     error
}

// caller has one connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{t: t, conn: c, r: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// receive reads the answer to a request with a method and returns its body.
func (c *caller) receive(method string) (string, error) {
	w, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	return string(body), err
}

// echo answers with the path and the length of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = io.WriteString(w, r.URL.Path+" "+string(body[:min(len(body), 4)]))
}

const get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

// TestShutdownServesRequests guards against requests that are lost since a part of them, or
// nothing, was read when the shutdown began.
func TestShutdownServesRequests(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("b", 300_000)
	tests := []struct {
		name          string
		method        string
		before, after string
		want          string
	}{
		{"a byte read", "GET", get[:1], get[1:], "/a "},
		{"all but a byte read", "GET", get[:len(get)-1], get[len(get)-1:], "/a "},
		{"HEAD", "HEAD", "HEAD /a HTTP/1.1\r\n", "Host: x\r\n\r\n", ""},
		{"HTTP/1.0", "GET", "GET /a HTTP/1.0\r\n", "Host: x\r\n\r\n", "/a "},
		{"body after the head", "POST", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n", "body", "/a body"},
		{"body in chunks", "POST", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo", "\r\n2\r\ndy\r\n0\r\n\r\n", "/a body"},
		{"large body", "POST", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + large[:150_000], large[150_000:], "/a bbbb"},
	}
	for _, isFirst := range []bool{true, false} {
		for _, tt := range tests {
			name := tt.name
			if isFirst {
				name += ", first on its connection"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: 5 * time.Second})
				c := s.dial(t)
				if !isFirst {
					c.send(get)
					_, err := c.receive("GET")
					assert.NilError(t, err)
				}
				c.send(tt.before)
				time.Sleep(50 * time.Millisecond)
				stopped := s.shutdown(t.Context())
				time.Sleep(100 * time.Millisecond)
				c.send(tt.after)
				body, err := c.receive(tt.method)
				assert.NilError(t, err)
				assert.Equal(t, body, tt.want)
				assert.NilError(t, (<-stopped).err)
			})
		}
	}
}

// TestShutdownServesExpectedContinue guards against a body that is asked for and then cut.
func TestShutdownServesExpectedContinue(t *testing.T) {
	t.Parallel()
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo)})
	c := s.dial(t)
	c.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	w, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	assert.NilError(t, w.Body.Close())
	assert.Equal(t, w.StatusCode, http.StatusContinue)
	stopped := s.shutdown(t.Context())
	time.Sleep(100 * time.Millisecond)
	c.send("body")
	body, err := c.receive("POST")
	assert.NilError(t, err)
	assert.Equal(t, body, "/a body")
	assert.NilError(t, (<-stopped).err)
}

// TestShutdownServesUnreadRequest guards against a connection that is closed with a request that
// a paused process has not read.
func TestShutdownServesUnreadRequest(t *testing.T) {
	t.Parallel()
	for _, first := range []int{0, 1, len(get) - 1} {
		s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), IdleTimeout: time.Minute})
		c, idle := s.dial(t), s.dial(t)
		for _, kept := range []*caller{c, idle} {
			kept.send(get)
			_, err := kept.receive("GET")
			assert.NilError(t, err)
		}
		c.send(get[:first])
		time.Sleep(20 * time.Millisecond)
		s.read.close()
		stopped := s.shutdown(t.Context())
		time.Sleep(50 * time.Millisecond)
		c.send(get[first:])
		time.Sleep(50 * time.Millisecond)
		s.read.open()
		_, err := c.receive("GET")
		assert.NilError(t, err, "%d bytes were read before", first)
		_, err = idle.receive("GET")
		assert.Assert(t, err != nil, "an idle connection got an answer")
		result := <-stopped
		assert.NilError(t, result.err)
		assert.Equal(t, result.drained.Cut, 0)
		assert.Assert(t, result.drained.IdleClosed >= 1)
	}
}

// TestIdleTimeoutServesUnreadRequest guards against a connection that is closed with a request
// that a paused process has not read when the idle timeout passes.
func TestIdleTimeoutServesUnreadRequest(t *testing.T) {
	t.Parallel()
	const idleTimeout = 200 * time.Millisecond
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), IdleTimeout: idleTimeout})
	c := s.dial(t)
	c.send(get)
	_, err := c.receive("GET")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	hideArrivals(t, <-s.accepted)
	began := time.Now()
	c.send(get)
	_, err = c.receive("GET")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) > idleTimeout/2, "the request was read before the timeout")
	_, err = c.receive("GET")
	assert.Assert(t, err != nil, "without a request, the timeout holds")
}

// TestHeaderTimeoutServesUnreadRequest guards against a connection that is closed with the rest of
// a request that a paused process has not read when the time for its head passes.
func TestHeaderTimeoutServesUnreadRequest(t *testing.T) {
	t.Parallel()
	const headerTimeout = 300 * time.Millisecond
	for _, first := range []int{1, len(get) / 2, len(get) - 1} {
		s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), IdleTimeout: headerTimeout, ReadHeaderTimeout: headerTimeout})
		c := s.dial(t)
		c.send(get)
		_, err := c.receive("GET")
		assert.NilError(t, err)
		c.send(get[:first])
		time.Sleep(50 * time.Millisecond)
		hideArrivals(t, <-s.accepted)
		began := time.Now()
		c.send(get[first:])
		_, err = c.receive("GET")
		assert.NilError(t, err, "%d bytes were read before", first)
		assert.Assert(t, time.Since(began) > headerTimeout/2, "the request was read before the timeout")
	}
}

// TestHeaderTimeoutEndsSlowRequest guards against a head that may be sent for as long as its
// caller wants.
func TestHeaderTimeoutEndsSlowRequest(t *testing.T) {
	t.Parallel()
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: 300 * time.Millisecond})
	c := s.dial(t)
	began := time.Now()
	for range 40 {
		if _, err := io.WriteString(c.conn, "G"); err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "the connection was open for %s", time.Since(began))
}

// TestShutdownServesRequestAfterIdleTimeout guards against a request that is cut since the idle
// timeout and the shutdown came in the pause in which its first byte did.
func TestShutdownServesRequestAfterIdleTimeout(t *testing.T) {
	t.Parallel()
	const idleTimeout = 100 * time.Millisecond
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), IdleTimeout: idleTimeout, ReadHeaderTimeout: 5 * time.Second})
	c := s.dial(t)
	c.send(get)
	_, err := c.receive("GET")
	assert.NilError(t, err)
	s.read.close()
	time.Sleep(2 * idleTimeout)
	stopped := s.shutdown(t.Context())
	c.send(get[:1])
	time.Sleep(20 * time.Millisecond)
	s.read.open()
	time.Sleep(50 * time.Millisecond)
	c.send(get[1:])
	_, err = c.receive("GET")
	assert.NilError(t, err)
	assert.NilError(t, (<-stopped).err)
}

// TestShutdownServesNextRequest guards against a connection that is closed as idle although the
// next request began before the last one had its response.
func TestShutdownServesNextRequest(t *testing.T) {
	t.Parallel()
	for _, early := range []int{1, len(get) / 2, len(get)} {
		handling := make(chan struct{}, 2)
		s := startServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handling <- struct{}{}
			time.Sleep(300 * time.Millisecond)
			echo(w, r)
		}), ReadHeaderTimeout: 5 * time.Second})
		c := s.dial(t)
		c.send(get)
		<-handling
		time.Sleep(20 * time.Millisecond)
		c.send(get[:early])
		stopped := s.shutdown(t.Context())
		_, err := c.receive("GET")
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		if early < len(get) {
			c.send(get[early:])
		}
		_, err = c.receive("GET")
		assert.NilError(t, err, "%d bytes came early", early)
		assert.NilError(t, (<-stopped).err)
	}
}

// TestShutdownServesPipelinedRequest guards against a connection that is closed with a request of
// which a part, or all, was read together with the request before.
func TestShutdownServesPipelinedRequest(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// together is how much of the request is read with the one before.
		together int
		// stopAfter is when the shutdown begins, where each request takes 200 ms.
		stopAfter time.Duration
	}{
		{"a byte, during the first request", 1, 100 * time.Millisecond},
		{"half, during the first request", len(get) / 2, 100 * time.Millisecond},
		{"half, after the first request", len(get) / 2, 300 * time.Millisecond},
		{"all, during the first request", len(get), 100 * time.Millisecond},
		{"all, during the second request", len(get), 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(200 * time.Millisecond)
				echo(w, r)
			}), ReadHeaderTimeout: 5 * time.Second})
			c := s.dial(t)
			c.send(get + get[:tt.together])
			time.Sleep(tt.stopAfter)
			stopped := s.shutdown(t.Context())
			_, err := c.receive("GET")
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			c.send(get[tt.together:])
			_, err = c.receive("GET")
			assert.NilError(t, err)
			assert.NilError(t, (<-stopped).err)
		})
	}
}

// TestShutdownAcceptsWaitingConnections guards against connections that are reset since a paused
// process has not accepted them when the time for that passes.
func TestShutdownAcceptsWaitingConnections(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{60 * time.Millisecond, 600 * time.Millisecond} {
		s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo)})
		first := s.dial(t)
		first.send(get)
		_, err := first.receive("GET")
		assert.NilError(t, err)
		s.accept.close()
		// The call of Accept under way takes one connection.
		_ = s.dial(t)
		callers := make([]*caller, 20)
		for n := range callers {
			callers[n] = s.dial(t)
			callers[n].send(get)
		}
		stopped := s.shutdown(t.Context())
		time.Sleep(pause)
		s.accept.open()
		for n, c := range callers {
			_, err := c.receive("GET")
			assert.NilError(t, err, "caller %d after a pause of %s", n, pause)
		}
		assert.NilError(t, (<-stopped).err)
	}
}

// crowdedListener fails to accept while its process has no file descriptor left.
type crowdedListener struct {
	*net.TCPListener
	failures atomic.Int32
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", unix.EMFILE)}
	}
	return l.TCPListener.Accept()
}

// TestShutdownAcceptsAfterFailure guards against connections that are reset since one could not be
// accepted at once.
func TestShutdownAcceptsAfterFailure(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tcp, ok := l.(*net.TCPListener)
	assert.Assert(t, ok)
	crowded := &crowdedListener{TCPListener: tcp}
	server, err := loomhttp.NewServer(crowded)
	assert.NilError(t, err)
	s := &testServer{Server: server, address: l.Addr().String()}
	defer s.Close()
	callers := make([]*caller, 20)
	for n := range callers {
		callers[n] = s.dial(t)
		callers[n].send(get)
	}
	crowded.failures.Store(4)
	s.Start(&http.Server{Handler: http.HandlerFunc(echo)})
	stopped := s.shutdown(t.Context())
	for n, c := range callers {
		_, err := c.receive("GET")
		assert.NilError(t, err, "caller %d", n)
	}
	assert.NilError(t, (<-stopped).err)
}

// TestShutdownClosesConnectionsWithoutRequest guards against a shutdown that waits for callers
// who send nothing.
func TestShutdownClosesConnectionsWithoutRequest(t *testing.T) {
	t.Parallel()
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute})
	kept := s.dial(t)
	kept.send(get)
	_, err := kept.receive("GET")
	assert.NilError(t, err)
	began := time.Now()
	fresh := s.dial(t)
	time.Sleep(20 * time.Millisecond)
	stopped := s.shutdown(t.Context())
	_, err = kept.receive("GET")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "an idle connection was open for %s", time.Since(began))
	_, err = fresh.receive("GET")
	assert.Assert(t, err != nil)
	result := <-stopped
	assert.NilError(t, result.err)
	assert.Equal(t, result.drained, loomhttp.Drained{IdleClosed: 2})
	assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "the shutdown took %s", time.Since(began))
}

// TestShutdownEndsWithContext guards against a shutdown that lasts as long as a caller wants.
func TestShutdownEndsWithContext(t *testing.T) {
	t.Parallel()
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Minute})
	c := s.dial(t)
	c.send(get[:5])
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	result := <-s.shutdown(ctx)
	assert.ErrorIs(t, result.err, context.DeadlineExceeded)
	assert.Equal(t, result.drained.Cut, 1)
	_, err := c.receive("GET")
	assert.Assert(t, err != nil)
}

// TestReplaceKeepsConnections guards against requests that are lost when limits change.
func TestReplaceKeepsConnections(t *testing.T) {
	t.Parallel()
	s := startServer(t, &http.Server{Handler: http.HandlerFunc(echo)})
	c := s.dial(t)
	c.send(get[:5])
	for range 20 {
		fresh := s.dial(t)
		fresh.send(get)
		assert.NilError(t, s.Replace(&http.Server{Handler: http.HandlerFunc(echo)}))
		_, err := fresh.receive("GET")
		assert.NilError(t, err)
	}
	c.send(get[5:])
	_, err := c.receive("GET")
	assert.NilError(t, err)
	c.send(get[:5])
	time.Sleep(20 * time.Millisecond)
	stopped := s.shutdown(t.Context())
	time.Sleep(50 * time.Millisecond)
	c.send(get[5:])
	_, err = c.receive("GET")
	assert.NilError(t, err)
	assert.NilError(t, (<-stopped).err)
}

// TestRefusedBodyEndsConnectionWithoutReset guards against a reset that takes the response from a
// caller that still sends a body which was refused.
func TestRefusedBodyEndsConnectionWithoutReset(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := loomhttp.NewServer(l)
	assert.NilError(t, err)
	defer server.Close()
	server.Start(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 10))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		assert.Check(t, err != nil)
	})})
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("b", 5000))
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	w, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.NilError(t, w.Body.Close())
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
