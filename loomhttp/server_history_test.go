package loomhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomhttp"
)

// historyListener records when the connections that it accepts are closed.
type historyListener struct {
	*net.TCPListener
	history *history
}

func (l historyListener) Accept() (net.Conn, error) {
	l.history.accept.wait()
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	added := &historyConn{Conn: c, history: l.history}
	l.history.mu.Lock()
	defer l.history.mu.Unlock()
	l.history.conns[c.RemoteAddr().String()] = added
	return added, nil
}

type historyConn struct {
	net.Conn
	history  *history
	closedAt time.Time
}

func (c *historyConn) NetConn() net.Conn { return c.Conn }

// Read returns only while the gate is open.
func (c *historyConn) Read(b []byte) (int, error) {
	c.history.read.wait()
	n, err := c.Conn.Read(b)
	c.history.read.wait()
	return n, err
}

func (c *historyConn) Close() error {
	c.history.mu.Lock()
	if c.closedAt.IsZero() {
		c.closedAt = time.Now()
	}
	c.history.mu.Unlock()
	return c.Conn.Close()
}

// history is what callers of a server and its handler have seen.
type history struct {
	accept, read gate
	isStopping   atomic.Bool

	mu sync.Mutex
	// conns holds the accepted connections by the caller's address.
	conns map[string]*historyConn
	// served counts the calls of the handler by path, answered holds the paths with a complete
	// answer.
	served   map[string]int
	answered map[string]bool
	requests []historyRequest
}

// historyRequest is a request that was sent as a whole.
type historyRequest struct {
	path, address string
	sentAt        time.Time
	// isAfterClose is set if an earlier answer on the connection announced its close.
	isAfterClose bool
	err          error
}

// ServeHTTP answers with the path.
func (h *history) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || int64(len(body)) != max(r.ContentLength, 0) {
		return
	}
	h.mu.Lock()
	h.served[r.URL.Path]++
	h.mu.Unlock()
	if n := r.Header.Get("Takes"); n != "" {
		d, _ := time.ParseDuration(n)
		time.Sleep(d)
	}
	if h.isStopping.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// historyStep is a request of a caller.
type historyStep struct {
	after, takes time.Duration
	body         int
	// parts are the ends of the parts in which it is sent, in hundredths, gap is the time
	// between them.
	parts []int
	gap   time.Duration
	// early is the number of bytes of the next request that follow at once.
	early int
	// isInOneWrite is set if these bytes are sent together with the request.
	isInOneWrite bool
}

func drawMillis(t *rapid.T, most int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
}

func drawStep(t *rapid.T) historyStep {
	return historyStep{
		after:        drawMillis(t, 60, "after"),
		takes:        drawMillis(t, 30, "takes"),
		body:         rapid.SampledFrom([]int{0, 0, 0, 1, 3000, 9000}).Draw(t, "body"),
		parts:        rapid.SliceOfN(rapid.IntRange(1, 99), 0, 2).Draw(t, "parts"),
		gap:          drawMillis(t, 40, "gap"),
		early:        rapid.SampledFrom([]int{0, 0, 0, 0, 1, 30, 1 << 20}).Draw(t, "early"),
		isInOneWrite: rapid.Bool().Draw(t, "in one write"),
	}
}

func (s historyStep) text(path string) string {
	if s.body == 0 {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\nTakes: %s\r\n\r\n", path, s.takes)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nTakes: %s\r\nContent-Length: %d\r\n\r\n%s", path, s.takes, s.body, strings.Repeat("b", s.body))
}

// play makes the requests of a caller on one connection.
func (h *history) play(address, name string, wait time.Duration, steps []historyStep) {
	time.Sleep(wait)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	sent, isClosing := 0, false
	for n, step := range steps {
		if sent == 0 {
			time.Sleep(step.after)
		}
		request := historyRequest{path: fmt.Sprintf("/%s/%d", name, n), address: conn.LocalAddr().String()}
		text := step.text(request.path)
		rest := text[sent:]
		var next string
		if n+1 < len(steps) && step.early > 0 {
			next = steps[n+1].text(fmt.Sprintf("/%s/%d", name, n+1))
			next = next[:min(step.early, len(next))]
		}
		for _, end := range step.parts {
			part := rest[:len(rest)*end/100]
			rest = rest[len(part):]
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			time.Sleep(step.gap)
		}
		if step.isInOneWrite {
			rest += next
		}
		if _, err := io.WriteString(conn, rest); err != nil {
			return
		}
		request.sentAt = time.Now()
		if !step.isInOneWrite && next != "" {
			time.Sleep(step.takes / 2)
			if _, err := io.WriteString(conn, next); err != nil {
				next = ""
			}
		}
		sent = len(next)
		request.isAfterClose = isClosing
		w, err := http.ReadResponse(reader, nil)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(w.Body)
			_ = w.Body.Close()
			isClosing = w.Close
		}
		if err == nil && string(body) != request.path {
			err = fmt.Errorf("answer %q", body)
		}
		request.err = err
		h.mu.Lock()
		h.requests = append(h.requests, request)
		h.answered[request.path] = err == nil
		h.mu.Unlock()
		if err != nil || isClosing {
			return
		}
	}
}

// crossing is the time in which a request and a close may cross.
const crossing = 2 * time.Millisecond

// check returns what is wrong with a history.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var wrong []string
	for path, n := range h.served {
		if n != 1 || !h.answered[path] {
			wrong = append(wrong, fmt.Sprintf("%s was served %d times, answered: %t", path, n, h.answered[path]))
		}
	}
	for _, r := range h.requests {
		if r.err == nil || r.isAfterClose {
			continue
		}
		c := h.conns[r.address]
		if c != nil && c.closedAt.Sub(r.sentAt) > crossing {
			wrong = append(wrong, fmt.Sprintf("%s was sent %s before its connection was closed: %v", r.path, c.closedAt.Sub(r.sentAt), r.err))
		}
	}
	for address, c := range h.conns {
		if c.closedAt.IsZero() {
			wrong = append(wrong, "the connection of "+address+" is open")
		}
	}
	return wrong
}

// TestShutdownLosesNoRequestOfRandomHistories guards against requests that are lost, or served
// twice, and connections that stay open, in any order of requests, pauses and stops.
func TestShutdownLosesNoRequestOfRandomHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		tcp, ok := l.(*net.TCPListener)
		assert.Assert(t, ok)
		h := &history{conns: make(map[string]*historyConn), served: make(map[string]int), answered: make(map[string]bool)}
		server, err := loomhttp.NewServer(historyListener{TCPListener: tcp, history: h})
		assert.NilError(t, err)
		defer server.Close()
		newServer := func() *http.Server {
			idle := rapid.SampledFrom([]time.Duration{0, 25 * time.Millisecond, time.Minute}).Draw(rt, "idle timeout")
			return &http.Server{Handler: h, IdleTimeout: idle, ReadHeaderTimeout: 5 * time.Second}
		}
		server.Start(newServer())
		var callers sync.WaitGroup
		for n := range rapid.IntRange(1, 8).Draw(rt, "callers") {
			wait := drawMillis(rt, 120, "wait")
			steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 6).Draw(rt, "steps")
			callers.Go(func() { h.play(l.Addr().String(), fmt.Sprint(n), wait, steps) })
		}
		for range rapid.IntRange(0, 3).Draw(rt, "events") {
			time.Sleep(drawMillis(rt, 30, "until the event"))
			switch rapid.SampledFrom([]string{"replace", "pause", "announce"}).Draw(rt, "event") {
			case "replace":
				assert.NilError(t, server.Replace(newServer()))
			case "pause":
				h.read.close()
				time.Sleep(drawMillis(rt, 40, "pause"))
				h.read.open()
			case "announce":
				h.isStopping.Store(true)
			}
		}
		isPaused := rapid.Bool().Draw(rt, "paused at the stop")
		if isPaused {
			h.read.close()
			h.accept.close()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		var drained loomhttp.Drained
		go func() {
			var err error
			drained, err = server.Shutdown(ctx)
			stopped <- err
		}()
		if isPaused {
			time.Sleep(drawMillis(rt, 60, "pause at the stop"))
			h.read.open()
			h.accept.open()
		}
		assert.Check(rt, <-stopped)
		callers.Wait()
		assert.Check(rt, drained.Cut == 0, "%d connections were cut", drained.Cut)
		if wrong := h.check(); len(wrong) > 0 {
			rt.Fatalf("%s", strings.Join(wrong, "\n"))
		}
	})
}
