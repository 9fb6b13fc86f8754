package loomhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// countingServer answers the n-th request of each connection with answers[n], and the
// later ones with the last of them.
type countingServer struct {
	address string
	conns   atomic.Int64
}

func newCountingServer(t *testing.T, answers ...string) *countingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &countingServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveAnswers(c, answers)
		}
	}()
	return s
}

func serveAnswers(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		text := strings.ReplaceAll(answers[min(n, len(answers)-1)], "{BODY}", string(body))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func mayReuseSuccess(w *http.Response) bool { return w.StatusCode == http.StatusOK }

const (
	emptyRefusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	longRefusal  = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
	emptyAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

func post(t *testing.T, client *http.Client, address, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", NewOneTimeBody([]byte(body)))
	assert.Check(t, err)
	r.ContentLength = int64(len(body))
	w, err := client.Do(r)
	if !assert.Check(t, err) {
		return 0, ""
	}
	data, err := io.ReadAll(w.Body)
	assert.Check(t, err)
	assert.Check(t, w.Body.Close())
	return w.StatusCode, string(data)
}

func TestConnectionIsReusedOnlyAfterAllowedResponses(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		answer string
		conns  int64
	}{
		{"success", emptyAnswer, 1},
		{"refusal without a body", emptyRefusal, 5},
		{"refusal with a body", longRefusal, 5},
		{"answer with a body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newCountingServer(t, test.answer)
			client := &http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: 16}, mayReuseSuccess)}
			defer client.CloseIdleConnections()
			for range 5 {
				post(t, client, s.address, "body")
			}
			assert.Equal(t, s.conns.Load(), test.conns)
		})
	}
}

// TestRequestsBesideRefusalsAreSentOnce guards against a request that fails or is answered by
// the response to another one because it got the connection of a refusal.
func TestRequestsBesideRefusalsAreSentOnce(t *testing.T) {
	t.Parallel()
	const echo = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{BODY}"
	s := newCountingServer(t, echo, emptyAnswer, emptyRefusal, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	client := &http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: 16}, mayReuseSuccess)}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var refused atomic.Int64
	for n := range 16 {
		wg.Go(func() {
			for i := range 200 {
				body := fmt.Sprintf("%02d-%03d", n, i)
				status, answer := post(t, client, s.address, body)
				if status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
				assert.Check(t, answer == "" || answer == body, "request %s was answered with %q", body, answer)
			}
		})
	}
	wg.Wait()
	assert.Check(t, refused.Load() > 0)
}
