package loomupstream_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomupstream"
)

// maxBodyBytes is the largest response body that the client accepts.
const maxBodyBytes = 8 << 20

// TestServiceResponseCutShortIsNotAnAnswer guards against a part of a response
// body that is returned as the whole one.
func TestServiceResponseCutShortIsNotAnAnswer(t *testing.T) {
	tests := []struct {
		name string
		// head is the status line and the headers, and body what the service
		// sends before it closes the connection.
		head string
		body []byte
		// isKilled is set if the service is gone when its connection ends.
		isKilled bool
		isWhole  bool
	}{
		{"whole, with length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", []byte("abcd"), false, true},
		{"whole, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []byte("4\r\nabcd\r\n0\r\n\r\n"), false, true},
		{"less than the length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", []byte("abcd"), false, false},
		{"cut between two chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []byte("4\r\nabcd\r\n"), false, false},
		{"cut within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []byte("5\r\nabcd"), false, false},
		{"cut within the headers", "HTTP/1.1 200 OK\r\nContent-Le", nil, false, false},
		{"until close", "HTTP/1.1 200 OK\r\n\r\n", []byte("abcd"), false, true},
		{"until close, of a killed service", "HTTP/1.1 200 OK\r\n\r\n", []byte("ab"), true, false},
		{"as large as allowed", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodyBytes), bytes.Repeat([]byte("x"), maxBodyBytes), false, true},
		{"larger than allowed, with length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1), bytes.Repeat([]byte("x"), maxBodyBytes+1), false, false},
		{"larger than allowed, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", maxBodyBytes+1, strings.Repeat("x", maxBodyBytes+1)), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.isKilled {
					_ = server.Listener.Close()
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write(append([]byte(tt.head), tt.body...))
				_ = conn.Close()
			}))
			defer server.Close()
			client := loomupstream.NewServices(nil)
			defer client.Close()
			outcome, err := client.Do(t.Context(), server.Listener.Addr().String(), loomupstream.Call{RequestID: "r", Path: "jobs"})
			assert.Assert(t, outcome.Delivered)
			if tt.isWhole {
				assert.NilError(t, err)
				assert.Equal(t, outcome.Status, http.StatusOK)
				return
			}
			assert.Assert(t, err != nil, "status %d with %d bytes", outcome.Status, len(outcome.Body))
			assert.Equal(t, outcome.Status, 0)
		})
	}
}

// TestServiceResponseWithoutEndIsNotRead guards against a call that reads for as long as
// bytes come, or that outlives its context.
func TestServiceResponseWithoutEndIsNotRead(t *testing.T) {
	const (
		ok = "HTTP/1.1 200 OK\r\n"
		// buffers is what the buffers of a connection take beside the bound.
		buffers     = 1 << 20
		fastBuffers = 8 << 20
		endless     = 48 << 20
	)
	tests := []struct {
		name   string
		head   string
		repeat string
		// accepted is the most that the service may get rid of.
		accepted int
	}{
		{"head", ok, "A: " + strings.Repeat("a", 1000) + "\r\n", buffers},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n", buffers},
		{"length that is too large", ok + "Content-Length: 1000000000000\r\n\r\n", "a", buffers},
		{"body until close", ok + "\r\n", "a", maxBodyBytes + fastBuffers},
		{"body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", 3*maxBodyBytes + fastBuffers},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "a", buffers},
		{"switched protocol, then silence", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "", buffers},
		{"silence", ok + "\r\n", "", buffers},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted := make(chan int, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetWriteBuffer(16 << 10)
				}
				n, err := conn.Write([]byte(tt.head))
				if tt.repeat == "" {
					_, err = conn.Read(make([]byte, 1))
				}
				block := bytes.Repeat([]byte(tt.repeat), 1+(16<<10)/(1+len(tt.repeat)))
				for total := n; err == nil && total < endless; n = total {
					var written int
					written, err = conn.Write(block)
					total += written
				}
				_ = conn.Close()
				accepted <- n
			}))
			defer server.Close()
			client := loomupstream.NewServices(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			outcome, err := client.Do(ctx, server.Listener.Addr().String(), loomupstream.Call{RequestID: "r", Path: "jobs"})
			assert.Assert(t, err != nil)
			assert.Assert(t, outcome.Delivered)
			assert.Equal(t, outcome.Status, 0)
			select {
			case n := <-accepted:
				assert.Assert(t, n <= tt.accepted, "%d bytes were accepted, at most %d may be", n, tt.accepted)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestEndOverTCPIsSeen guards against a process that ends itself by a panic when it looks whether an
// upstream has ended, without a dialer of its own.
func TestEndOverTCPIsSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	hasEnded, err := loomupstream.HasEnded(t.Context(), nil, address)
	assert.NilError(t, err)
	assert.Assert(t, !hasEnded)
	assert.NilError(t, l.Close())
	hasEnded, err = loomupstream.HasEnded(t.Context(), nil, address)
	assert.NilError(t, err)
	assert.Assert(t, hasEnded)
}
