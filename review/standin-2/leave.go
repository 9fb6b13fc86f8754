package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The streams of playLeave, and when the runner that leaves says so.
const (
	leaveStreams  = 10
	leaveEvents   = 45
	eventInterval = 100 * time.Millisecond
	leaveSaidAt   = 500 * time.Millisecond
	drainTime     = 2 * time.Second
	// lostAllowed is how often a channel may be closed without an answer.
	lostAllowed = 3
)

// leavingRunner stands in for a runner that ends its streams with their channels, and that stops as
// usual servers do: it accepts no more channels, finishes what it has, and exits.
type leavingRunner struct {
	id       string
	listener net.Listener
	rec      *record

	mu   sync.Mutex
	runs map[string]bool
	// active are the streams in progress.
	active sync.WaitGroup
}

func newLeavingRunner(s *site, id string) (*leavingRunner, error) {
	l, err := listen(s.newIP())
	if err != nil {
		return nil, err
	}
	r := &leavingRunner{id: id, listener: l, rec: s.rec, runs: make(map[string]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c.(*net.TCPConn))
		}
	}()
	return r, nil
}

// entry returns the runner's entry in a state.
func (r *leavingRunner) entry(state string, seq int) map[string]any {
	return map[string]any{
		"service": "model-desk", "addr": r.listener.Addr().String(), "zone": homeZone, fieldVersion: "v1", "slots": 64, "state": state, "cold_left_ms": 0,
		"stage": "unified", "models": []map[string]any{{fieldName: "model-a", fieldVersion: 1, "adapters": []string{}}}, "seq": seq, "born": 1790000000000,
	}
}

// serve serves the one request of a channel.
func (r *leavingRunner) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Swiftloom-Request-Id")
	head := "HTTP/1.1 200 OK\r\nSwiftloom-Request-Id: " + id + "\r\nSwiftloom-Instance-Id: " + r.id + "\r\nConnection: close\r\n"
	switch {
	case q.Header.Get("Swiftloom-Target-Instance") != "" && q.Header.Get("Swiftloom-Target-Instance") != r.id:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nSwiftloom-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", r.id)
	case q.URL.Path == "/kv-events":
		time.Sleep(800 * time.Millisecond)
		body := `{"epoch":1,"next":0,"lost":false,"events":[]}`
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
	case id == "":
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nSwiftloom-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	default:
		r.active.Add(1)
		defer r.active.Done()
		r.stream(c, id, head+"Swiftloom-Server-Stamp: stamp."+id+"\r\nSwiftloom-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\r\n")
	}
}

// stream answers with a stream without a length, whose end is that of the channel.
func (r *leavingRunner) stream(c *net.TCPConn, id, head string) {
	r.rec.printf("run at %s: request %s", r.id, id)
	_, err := io.WriteString(c, head)
	for i := 1; i <= leaveEvents && err == nil; i++ {
		_, err = fmt.Fprintf(c, "id: %d\ndata: token-%d\n\n", i, i)
		time.Sleep(eventInterval)
	}
	r.mu.Lock()
	r.runs[id] = err == nil
	r.mu.Unlock()
	_ = c.CloseWrite()
	// The peer has nothing more to send. Reading to its end keeps the channel from being reset.
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, c)
	r.rec.printf("run at %s: request %s has ended, all %d events sent: %t", r.id, id, leaveEvents, err == nil)
}

// leave stops the runner as the pages say: it reports that it is draining, goes on for the time for
// which requests may come, then accepts no more and finishes its streams.
func (r *leavingRunner) leave(s *site) {
	s.store.put("servers", r.id, r.entry("draining", 2))
	s.rec.printf("runner %s reports that it is draining", r.id)
	time.Sleep(drainTime + 300*time.Millisecond)
	_ = r.listener.Close()
	s.rec.printf("runner %s accepts no more channels, and finishes its streams", r.id)
	r.active.Wait()
	s.rec.printf("runner %s exits", r.id)
}

// playLeave lets a runner leave while it has streams in progress that end with their channels.
func playLeave(s *site, trouble bool) error {
	r, err := newLeavingRunner(s, "i-7f3a91c2")
	if err != nil {
		return err
	}
	s.store.put("servers", r.id, r.entry("ready", 1))
	config := manifest(7, nil)
	draft := config["routes"].([]map[string]any)[0]
	draft["resumable"], draft["attempts"] = false, 1
	s.store.put("op", "config", config)
	g, err := s.startGate()
	if err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond)
	var clients sync.WaitGroup
	answers := make([]answer, leaveStreams)
	for i := range answers {
		clients.Go(func() {
			answers[i] = s.send(g, http.MethodPost, "/draft/1", fmt.Sprintf("d2af7%011d", i), promptHeader("port-council", "d"+fmt.Sprint(i)), "prompt", 12*time.Second)
		})
	}
	time.Sleep(leaveSaidAt)
	if trouble {
		r.leave(s)
	}
	clients.Wait()
	time.Sleep(1200 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, whole := 0, 0
	last := fmt.Sprintf("id: %d\n", leaveEvents)
	for i, a := range answers {
		id := fmt.Sprintf("d2af7%011d", i)
		switch {
		case !r.runs[id]:
			s.rec.printf("request %s: the runner has not sent its whole answer", id)
		case a.err != nil:
			lost++
			s.rec.printf("LOST: request %s ran to its end at a sound runner, and its channel was closed within the answer: %v (last event received: %t)", id, a.err, strings.Contains(a.body, last))
		case a.status == http.StatusOK && strings.Contains(a.body, last):
			whole++
		}
	}
	s.rec.printf("channels closed without a whole answer: %d of %d (allowed %d); whole answers: %d", lost, leaveStreams, lostAllowed, whole)
	if lost > lostAllowed {
		return errBroken
	}
	if whole < leaveStreams/2 {
		return fmt.Errorf("%d of %d answers are whole", whole, leaveStreams)
	}
	return nil
}
