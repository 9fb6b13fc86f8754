package loomhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomhttp"
)

// cutServer answers each request with the first bytes of a text and ends the connection.
type cutServer struct {
	listener net.Listener
	running  sync.WaitGroup

	mu      sync.Mutex
	text    string
	isReset bool
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &cutServer{listener: l}
	s.running.Go(s.accept)
	t.Cleanup(func() {
		_ = l.Close()
		s.running.Wait()
	})
	return s
}

// set sets the text, and whether the connection is reset after it.
func (s *cutServer) set(text string, isReset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.isReset = text, isReset
}

func (s *cutServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			s.mu.Lock()
			text, isReset := s.text, s.isReset
			s.mu.Unlock()
			_, _ = io.WriteString(c, text)
			if tcp, ok := c.(*net.TCPConn); ok && isReset {
				// What was sent arrives before the reset.
				time.Sleep(time.Millisecond)
				_ = tcp.SetLinger(0)
			}
		})
	}
}

// TestHeadThatBreaksOffIsNoResponse guards against a response whose head breaks off at any byte, also
// within the digits of its length, and that counts as a whole one with an empty or short body.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	heads := []struct {
		name, head string
	}{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 1234\r\n\r\n"},
		{"length first, kept alive", "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nKeep-Alive: timeout=5\r\nX-Id: r\r\n\r\n"},
		{"length, closed", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"until close", "HTTP/1.1 200 OK\r\nX-Id: r\r\nConnection: close\r\n\r\n"},
		{"version 1.0", "HTTP/1.0 200 OK\r\nX-Id: r\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\nX-Id: r\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Full\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n"},
		{"after an interim head", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 12\n\n"},
	}
	s := newCutServer(t)
	client := &http.Client{Transport: loomhttp.NewTransport(&http.Transport{}, func(*http.Response) bool { return true }), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for _, tt := range heads {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			t.Run(tt.name+"/"+method, func(t *testing.T) {
				for _, isReset := range []bool{false, true} {
					for cut := range len(tt.head) {
						s.set(tt.head[:cut], isReset)
						r, err := http.NewRequest(method, "http://"+s.listener.Addr().String(), http.NoBody)
						assert.NilError(t, err)
						w, err := client.Do(r)
						if err == nil {
							_ = w.Body.Close()
							t.Errorf("%q, reset %t: response with status %d and length %d", tt.head[:cut], isReset, w.StatusCode, w.ContentLength)
						}
					}
				}
			})
		}
	}
}

// TestBodyAfterWholeHeadBreaksOff guards against a body that breaks off and counts as whole, at any
// byte of it.
func TestBodyAfterWholeHeadBreaksOff(t *testing.T) {
	tests := []struct {
		name, head, body string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "0123456789ab"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n0\r\n\r\n"},
		{"chunks with a trailer", "HTTP/1.1 200 OK\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n0\r\nA: b\r\n\r\n"},
	}
	s := newCutServer(t)
	client := &http.Client{Transport: loomhttp.NewTransport(&http.Transport{}, func(*http.Response) bool { return true }), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for cut := range len(tt.body) {
				s.set(tt.head+tt.body[:cut], false)
				w, err := client.Get("http://" + s.listener.Addr().String())
				assert.NilError(t, err)
				_, err = io.ReadAll(w.Body)
				_ = w.Body.Close()
				assert.Check(t, err != nil, "%q counts as whole", tt.body[:cut])
			}
			s.set(tt.head+tt.body, false)
			w, err := client.Get("http://" + s.listener.Addr().String())
			assert.NilError(t, err)
			_, err = io.ReadAll(w.Body)
			_ = w.Body.Close()
			assert.NilError(t, err, fmt.Sprintf("%q", tt.body))
		})
	}
}
