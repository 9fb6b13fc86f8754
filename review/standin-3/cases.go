package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// serviceName is the service of plain runners.
const serviceName = "app"

// route returns a route of a manifest.
func route(name, host, prefix, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeoutMs, "goal_ms": goalMs,
		"gap_target_ms": 300, "attempts": attempts, "priority": 2, "public": false, "sticky": service != serviceName, "resumable": false,
	}
}

// plainRouting has one idempotent and one route that may run once, to a service of plain runners.
func plainRouting() routing {
	return routing{
		Version: 10,
		Routes: []map[string]any{
			route("r1", "a.example", "/status/", "idempotent", serviceName, 20000, 5000, 2),
			route("r2", "a.example", "/call/", "non_idempotent", serviceName, 20000, 5000, 1),
		},
		Services: []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_conns": 100}},
		Limits:   limits(),
	}
}

// modelRouting has one route to a service of engines.
func modelRouting() routing {
	return routing{
		Version: 10,
		Routes: []map[string]any{
			route("r1", "m.example", "/draft/", "idempotent", "llm", 5000, 500, 2),
		},
		Services: []map[string]any{{"name": "llm", "health_path": "/healthz", "max_conns": 600, "engine": map[string]any{
			"slots": 64, "kv_tokens": 179183, "kv_bytes": 35136.0, "link_mbps": 260000.0, "models": []any{map[string]any{"name": modelName}},
		}}},
		Limits: limits(),
	}
}

// startPlain starts the store with a manifest, plain runners and an instance that is in touch.
func (s *site) startPlain(ctx context.Context, m routing, runners int, work time.Duration, answer http.HandlerFunc) (*gate, error) {
	storeAddress, err := s.open(ctx, m)
	if err != nil {
		return nil, err
	}
	for i := range runners {
		r := &runner{id: fmt.Sprintf("a-%d", i+1), service: serviceName, zone: "zone-1", work: work, answer: answer}
		if err := s.addRunner(ctx, r); err != nil {
			return nil, err
		}
	}
	g, err := s.startGate(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	return g, pause(ctx, inTouch)
}

// inTouch is longer than contact_ms.
const inTouch = 4 * time.Second

// requestIDs counts the requests of all clients.
var requestIDs atomic.Int64

func nextID() string {
	return fmt.Sprintf("q%08d", requestIDs.Add(1))
}

// request returns a request without a body as it is written.
func request(host, path, id string, deadline time.Duration, more ...string) string {
	lines := []string{"GET " + path + " HTTP/1.1", "Host: " + host, headerRequestID + ": " + id, fmt.Sprintf("%s: %d", headerDeadline, deadline.Milliseconds())}
	return strings.Join(append(lines, more...), "\r\n") + "\r\n\r\n"
}

// ask sends a request on a new channel and returns the status of the answer, or zero if there is none.
func ask(ctx context.Context, address, text string, within time.Duration) int {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte(text)); err != nil {
		return 0
	}
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = w.Body.Close()
	return w.StatusCode
}

// prompts sends prompts at an interval until ctx ends, and counts the statuses of the answers.
func (s *site) prompts(ctx context.Context, g *gate, interval time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		for pause(ctx, interval) == nil {
			id := nextID()
			all.Go(func() {
				text := request("m.example", "/draft/1", id, 4*time.Second, "Swiftloom-Model: "+modelName, "Swiftloom-Token-Usage: 200,20", "Swiftloom-Prefix-Hash: aa:100,"+id[1:]+":100")
				s.record.printf("client: %s sent", id)
				s.record.printf("client: %s answered %d", id, ask(ctx, g.callers, text, 5*time.Second))
			})
		}
	})
	return &all
}

// playLateOrder loses the first orders to two runners, which are carried out late, after the runners have got
// the next weights and started again under their names.
func playLateOrder(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	storeAddress, err := s.open(ctx, modelRouting())
	if err != nil {
		return nil, err
	}
	if err := s.nameVersion(1); err != nil {
		return nil, err
	}
	var lost atomic.Int64
	if isCalm {
		lost.Store(lostOrders)
	}
	for i := range 12 {
		if err := s.addRunner(ctx, newForgetful(i, &lost)); err != nil {
			return nil, err
		}
	}
	g, err := s.startGate(ctx, storeAddress)
	if err != nil {
		return nil, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	clients := s.prompts(traffic, g, 50*time.Millisecond)
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	if err := s.nameVersion(2); err != nil {
		return nil, err
	}
	if err := awaitLost(ctx, &lost); err != nil {
		return nil, err
	}
	if err := s.nameVersion(3); err != nil {
		return nil, err
	}
	named := time.Now()
	var restarts sync.WaitGroup
	for _, r := range s.runners {
		restarts.Go(func() { s.restartWith(ctx, r, 3) })
	}
	restarts.Wait()
	s.record.printf("all restarts are over %s after the naming", time.Since(named).Round(time.Millisecond))
	// 1.5 x version_ms since the ack and since the start of the runners, and what the late orders take.
	if err := pause(ctx, 18*time.Second+lateOrder); err != nil {
		return nil, err
	}
	endTraffic()
	clients.Wait()
	return s.judgeVersions(3, time.Since(named)), nil
}

// newForgetful returns an engine that may be one of those that lose their first order.
func newForgetful(i int, lost *atomic.Int64) *runner {
	r := &runner{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: "zone-1", version: 1, work: 30 * time.Millisecond}
	r.delays = func() (time.Duration, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.hasLost || r.version > 1 || lost.Load() >= lostOrders {
			return 0, false
		}
		lost.Add(1)
		r.hasLost = true
		return lateOrder, true
	}
	return r
}

// awaitLost waits until all orders that are to be lost are, or for 5 s.
func awaitLost(ctx context.Context, lost *atomic.Int64) error {
	for began := time.Now(); time.Since(began) < 5*time.Second && lost.Load() < lostOrders; {
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// judgeVersions returns what breaks the rule if, some time after a version was named, more than one runner and
// over a tenth of them have an older one.
func (s *site) judgeVersions(version uint64, after time.Duration) verdict {
	old := 0
	for _, r := range s.runners {
		s.record.printf("runner %s: version %d at the end", r.id, r.current())
		if r.current() < version {
			old++
		}
	}
	if old <= 1 || old*10 <= len(s.runners) {
		return nil
	}
	return verdict{fmt.Sprintf("VERSION: %d of %d runners still have an older version %s after version %d was acknowledged", old, len(s.runners), after.Round(time.Second), version)}
}

// lostOrders is the number of orders that get no answer.
const lostOrders = 3

// lateOrder is how long after its arrival an order without an answer is carried out.
const lateOrder = 11 * time.Second

// nameVersion names new weights.
func (s *site) nameVersion(version uint64) error {
	s.record.printf("operator: version %d is named", version)
	return s.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
}

// restartWith starts a runner that has lost an order again under its name once it has a version.
func (s *site) restartWith(ctx context.Context, r *runner, version uint64) {
	for end := time.Now().Add(14 * time.Second); r.current() < version && time.Now().Before(end); {
		if pause(ctx, 20*time.Millisecond) != nil {
			return
		}
	}
	if !r.hasLost {
		return
	}
	if pause(ctx, 300*time.Millisecond) != nil {
		return
	}
	s.record.printf("runner %s: crashes with version %d", r.id, r.current())
	r.crash()
	if pause(ctx, time.Second) != nil {
		return
	}
	if err := r.start(ctx); err != nil {
		s.record.printf("runner %s: %s", r.id, err)
		return
	}
	s.record.printf("runner %s: starts again under its name", r.id)
}

// playSentAhead lets two of seven callers send a second request ahead and leave while the first one runs.
func playSentAhead(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	g, err := s.startPlain(ctx, plainRouting(), 2, 3*time.Second, nil)
	if err != nil {
		return nil, err
	}
	var left sync.Map
	var callers sync.WaitGroup
	for i := range 140 {
		callers.Go(func() {
			if i%7 == 0 || i%7 == 3 {
				s.callAndLeave(ctx, g, &left, !isCalm)
				return
			}
			id := nextID()
			s.record.printf("client: %s sent", id)
			s.record.printf("client: %s answered %d", id, ask(ctx, g.callers, request("a.example", "/status/1", id, 15*time.Second), 15*time.Second))
		})
		if err := pause(ctx, 30*time.Millisecond); err != nil {
			return nil, err
		}
	}
	callers.Wait()
	if err := pause(ctx, 8*time.Second); err != nil {
		return nil, err
	}
	return s.judgeGone(&left), nil
}

// callAndLeave sends a request, and another one ahead if sendsAhead is set, and closes the channel while the
// first one runs. The time goes into left.
func (s *site) callAndLeave(ctx context.Context, g *gate, left *sync.Map, sendsAhead bool) {
	c, err := openChannel(ctx, g.callers)
	if err != nil {
		s.record.printf("client: %s", err)
		return
	}
	ids := []string{nextID()}
	_, _ = io.WriteString(c, request("a.example", "/status/1", ids[0], 15*time.Second))
	_ = pause(ctx, 200*time.Millisecond)
	if sendsAhead {
		ids = append(ids, nextID())
		_, _ = io.WriteString(c, request("a.example", "/status/1", ids[1], 15*time.Second))
	}
	_ = pause(ctx, 300*time.Millisecond)
	c.close()
	for _, id := range ids {
		left.Store(id, time.Now())
	}
	s.record.printf("client: %v sent, channel closed", ids)
}

// judgeGone returns what breaks the rule among the runs of requests whose callers have left.
func (s *site) judgeGone(left *sync.Map) verdict {
	const late = 500 * time.Millisecond
	began, atWork, total := 0, 0, 0
	for _, r := range s.runners {
		for _, q := range r.done() {
			at, _ := left.Load(q.id)
			closed, ok := at.(time.Time)
			if !ok {
				continue
			}
			s.record.printf("runner %s: %s began %+.3f s and ended %+.3f s after the channel was closed, cancelled %t", r.id, q.id, q.began.Sub(closed).Seconds(), q.ends.Sub(closed).Seconds(), q.isCancelled)
			switch {
			case q.began.Sub(closed) > late:
				began++
			case q.ends.Sub(closed) > late:
				atWork++
				total++
			default:
				total++
			}
		}
	}
	s.record.printf("%d requests began over half a second after their callers had left; of %d others, %d were at work then", began, total, atWork)
	var found verdict
	if began > 3 {
		found = append(found, fmt.Sprintf("GONE: %d requests reached a runner over half a second after their callers had closed their channels", began))
	}
	if atWork*4 > total {
		found = append(found, fmt.Sprintf("GONE: runners were at work on %d of %d requests half a second after their callers had closed their channels", atWork, total))
	}
	return found
}

// playForeignEntry lets a runner leave, whose entry is removed, and another writer put an entry under its name
// in which fields are missing.
func playForeignEntry(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	g, err := s.startPlain(ctx, plainRouting(), 3, 20*time.Millisecond, nil)
	if err != nil {
		return nil, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var clients sync.WaitGroup
	var unanswered atomic.Int64
	clients.Go(func() {
		for pause(traffic, 20*time.Millisecond) == nil {
			id := nextID()
			clients.Go(func() {
				s.record.printf("client: %s sent", id)
				status := ask(ctx, g.callers, request("a.example", "/call/1", id, 2*time.Second), 3*time.Second)
				s.record.printf("client: %s answered %d", id, status)
				if status != http.StatusOK {
					unanswered.Add(1)
				}
			})
		}
	})
	if err := pause(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	leaver := s.runners[0]
	leaver.stopBeat()
	s.store.remove("servers", leaver.id)
	acked := time.Now()
	s.record.printf("runner %s: its entry is removed, the runner goes on serving", leaver.id)
	if err := pause(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	if !isCalm {
		foreign := map[string]any{"service": serviceName, "addr": leaver.address, "zone": leaver.zone, "state": "ready"}
		if err := s.store.put("servers", leaver.id, foreign); err != nil {
			return nil, err
		}
		s.record.printf("another writer: entry %v under the name %s", foreign, leaver.id)
	}
	if err := pause(ctx, 7*time.Second); err != nil {
		return nil, err
	}
	leaver.crash()
	s.record.printf("runner %s: ends", leaver.id)
	if err := pause(ctx, time.Second); err != nil {
		return nil, err
	}
	endTraffic()
	clients.Wait()
	late := 0
	var last time.Duration
	for _, q := range leaver.done() {
		after := q.began.Sub(acked)
		if after > 2*time.Second {
			late++
			last = max(last, after)
		}
	}
	s.record.printf("runner %s: %d requests arrived over drain_ms after its entry was removed; %d calls of clients had no success", leaver.id, late, unanswered.Load())
	if late > 0 {
		return verdict{fmt.Sprintf("DRAIN: %d requests reached %s later than 2 s after the store had acknowledged that it is gone, the last one after %s", late, leaver.id, last.Round(time.Millisecond))}, nil
	}
	return nil, nil
}

// playHeaderLimit lets the operator raise the limit on heads while callers keep their channels.
func playHeaderLimit(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	const low, high = 8 << 10, 64 << 10
	m := plainRouting()
	m.Limits["header_bytes"] = low
	if isCalm {
		m.Limits["header_bytes"] = high
	}
	g, err := s.startPlain(ctx, m, 2, 10*time.Millisecond, nil)
	if err != nil {
		return nil, err
	}
	channels := make([]*channel, 40)
	for i := range channels {
		if channels[i], err = openChannel(ctx, g.callers); err != nil {
			return nil, err
		}
		if status, err := channels[i].ask(request("a.example", "/call/1", nextID(), 2*time.Second), 3*time.Second); status != http.StatusOK {
			return nil, fmt.Errorf("first request on a channel: status %d, %w", status, err)
		}
	}
	s.record.printf("client: %d channels kept, one request answered on each", len(channels))
	if !isCalm {
		m.Version += 7
		m.Limits = limits()
		m.Limits["header_bytes"] = high
		if err := s.store.put("op", "config", m); err != nil {
			return nil, err
		}
		s.record.printf("operator: manifest %d acknowledged, header_bytes from %d to %d", m.Version, low, high)
	}
	if err := pause(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	return s.judgeDenied(channels), nil
}

// judgeDenied sends a request with a long head on each channel and returns what breaks the rule among the answers.
func (s *site) judgeDenied(channels []*channel) verdict {
	denied := 0
	for _, c := range channels {
		id := nextID()
		status, err := c.ask(request("a.example", "/call/1", id, 2*time.Second, "X-Note: "+strings.Repeat("n", 20<<10)), 3*time.Second)
		s.record.printf("client: %s with a head of 20 KiB answered %d (%v)", id, status, err)
		if status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests {
			denied++
		}
		c.close()
	}
	all := 2 * len(channels)
	if denied <= 5+all/500 {
		return nil
	}
	return verdict{fmt.Sprintf("DENIED: %d of %d requests that the manifest allows were ended with a 4xx of the instance", denied, all)}
}

// channel is a kept channel of a client.
type channel struct {
	net.Conn
	answers *bufio.Reader
}

func openChannel(ctx context.Context, address string) (*channel, error) {
	return dialChannel(ctx, net.Dialer{Timeout: time.Second}, address)
}

func dialChannel(ctx context.Context, d net.Dialer, address string) (*channel, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, answers: bufio.NewReader(c)}, nil
}

// ask sends a request and returns the status of its answer, whose body it reads.
func (c *channel) ask(text string, within time.Duration) (int, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	w, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}

func (c *channel) close() {
	_ = c.Close()
}

const (
	// streamEvents is the number of events of a stream, each of eventBytes.
	streamEvents = 20000
	eventBytes   = 200
)

// unframed answers with a stream that has neither a length nor chunks and ends with its channel.
func unframed(w http.ResponseWriter, q *http.Request) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	out := bufio.NewWriter(c)
	defer func() { _ = out.Flush() }()
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: stamp\r\n\r\n", headerRequestID, q.Header.Get(headerRequestID), headerStamp)
	if !strings.HasPrefix(q.URL.Path, "/stream/") {
		_, _ = io.WriteString(out, "done")
		return
	}
	for i := range streamEvents {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", eventBytes))
	}
}

// playSlowReader lets callers read streams slowly whose ends are those of their channels.
func playSlowReader(ctx context.Context, s *site, isCalm bool) (verdict, error) {
	m := plainRouting()
	m.Routes = append(m.Routes, route("r3", "a.example", "/stream/", "streaming", serviceName, 15000, 600, 1))
	g, err := s.startPlain(ctx, m, 2, 10*time.Millisecond, unframed)
	if err != nil {
		return nil, err
	}
	cut := 0
	const streams = 8
	for range streams {
		id := nextID()
		n, err := s.readStream(ctx, g, id, !isCalm)
		s.record.printf("client: %s got %d bytes, end of the answer: %v", id, n, err)
		if err != nil {
			cut++
		}
	}
	for _, r := range s.runners {
		for _, q := range r.done() {
			s.record.printf("runner %s: ran %s, cancelled %t", r.id, q.id, q.isCancelled)
		}
	}
	if cut > 3 {
		return verdict{fmt.Sprintf("LOST: %d of %d requests were passed on to a sound runner and their channels were closed without the whole answer", cut, streams)}, nil
	}
	return nil, nil
}

// readStream asks for a stream on a channel that was in use before and reads it, slowly if isSlow is set. It
// returns the number of bytes, and an error unless the answer is complete.
func (s *site) readStream(ctx context.Context, g *gate, id string, isSlow bool) (int, error) {
	d := net.Dialer{Timeout: time.Second, Control: smallWindow}
	conn, err := d.DialContext(ctx, "tcp", g.callers)
	if err != nil {
		return 0, err
	}
	c := &channel{Conn: conn, answers: bufio.NewReaderSize(conn, 4<<10)}
	defer c.close()
	if status, err := c.ask(request("a.example", "/call/1", id+"-0", 2*time.Second), 3*time.Second); status != http.StatusOK {
		return 0, fmt.Errorf("first request: status %d, %w", status, err)
	}
	_ = c.SetDeadline(time.Now().Add(14 * time.Second))
	s.record.printf("client: %s sent on a kept channel", id)
	if _, err := io.WriteString(c, request("a.example", "/stream/1", id, 14*time.Second)); err != nil {
		return 0, err
	}
	w, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = w.Body.Close() }()
	total := 0
	for piece := make([]byte, 8<<10); ; {
		n, err := w.Body.Read(piece)
		total += n
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if isSlow {
			_ = pause(ctx, time.Duration(n)*time.Second/slowRate)
		}
	}
}

// slowRate is the rate of a slow reader in bytes per second.
const slowRate = 1 << 20

// smallWindow gives a socket the window and the segments of a slow link, of which the buffers are small.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10), syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400))
	})
	return errors.Join(controlErr, err)
}
