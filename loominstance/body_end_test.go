package loominstance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallerWithoutEndIsAnswered guards against a request of a caller that is read for as
// long as its bytes come, or waited for when they don't.
func TestCallerWithoutEndIsAnswered(t *testing.T) {
	const (
		start    = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-port-00\r\n"
		maxBytes = 1 << 20
		limit    = 13 * time.Second
	)
	trial := newTrial(t, io.Discard)
	tests := []struct {
		name   string
		head   string
		repeat string
		pause  time.Duration
		status int
	}{
		{"head", start, "A: " + strings.Repeat("a", 2000) + "\r\n", 0, http.StatusRequestHeaderFieldsTooLarge},
		{"slow body with length", start + "Content-Length: 100000\r\n\r\n", "a", 100 * time.Millisecond, http.StatusRequestTimeout},
		{"slow body in chunks", start + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 100 * time.Millisecond, http.StatusRequestTimeout},
	}
	// The subtests run beside each other before the trial stops.
	t.Run("group", func(t *testing.T) {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", trial.Addresses()[0])
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetWriteBuffer(16 << 10)
				}
				started := time.Now()
				assert.NilError(t, conn.SetDeadline(started.Add(limit)))
				status := make(chan string, 1)
				go func() {
					w, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						status <- err.Error()
						return
					}
					status <- fmt.Sprint(w.StatusCode)
					_, _ = io.Copy(io.Discard, w.Body)
					_ = w.Body.Close()
				}()
				accepted, err := io.WriteString(conn, tt.head)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, tt.repeat)
					accepted += n
					time.Sleep(tt.pause)
				}
				assert.Check(t, time.Since(started) < limit, "the connection was open for %s", time.Since(started))
				assert.Check(t, accepted <= maxBytes, "%d bytes were accepted, at most %d may be", accepted, maxBytes)
				assert.Equal(t, <-status, fmt.Sprint(tt.status))
			})
		}
	})
}
