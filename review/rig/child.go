package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// A child is a runner as a process of its own, so that it can be killed. It serves streams of
// childEvents events, one each childInterval. A request whose id begins with unframedPrefix gets an
// answer without a length, which ends with its connection; the others get chunks. It writes nothing
// to the store: the rig does that for it.
const (
	childEvents   = 20
	childInterval = 150 * time.Millisecond

	unframedPrefix = "b"
)

// runChild serves on an address until the process is killed.
func runChild(id, address string) {
	l, err := listen(address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveChild(id, w, r) }))
}

func serveChild(id string, w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get(headerTarget); target != "" && target != id {
		w.Header().Set(headerInstance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		writeJSON(w, report{Stage: "unified", Models: modelOf(1), KVTotal: 100000, Born: childBorn})
	case "/kv-events":
		select {
		case <-time.After(800 * time.Millisecond):
			writeJSON(w, kvEvents{Epoch: childBorn, Next: 1, Events: [][]any{}, Born: childBorn})
		case <-r.Context().Done():
		}
	case healthPath:
		w.Header().Set(headerInstance, id)
	default:
		sendStream(id, w, r)
	}
}

// childBorn is when the process of a child has started, in Unix milliseconds.
var childBorn = time.Now().UnixMilli()

// sendStream answers a request with a stream.
func sendStream(id string, w http.ResponseWriter, r *http.Request) {
	_ = readAll(r)
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	isUnframed := strings.HasPrefix(r.Header.Get(headerRequestID), unframedPrefix)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nConnection: close\r\n",
		headerRequestID, r.Header.Get(headerRequestID), headerStamp, stampPrefix+id, headerWeights)
	if !isUnframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if !sendAll(rw.Writer, head+"\r\n") {
		return
	}
	for i := range childEvents {
		time.Sleep(childInterval)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i+1, i+1, childEvents)
		if !isUnframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !sendAll(rw.Writer, event) {
			return
		}
	}
	if !isUnframed {
		sendAll(rw.Writer, "0\r\n\r\n")
	}
}

func sendAll(w *bufio.Writer, text string) bool {
	_, err := w.WriteString(text)
	return err == nil && w.Flush() == nil
}

// child is the process of a runner.
type child struct {
	id, address string
	cmd         *exec.Cmd
	born        int64
	beats       int
	isDown      bool
}

// children are the processes of runners that were started.
var children []*child

func (c *child) start() {
	self, err := os.Executable()
	if err != nil {
		fail("find the rig's program: %v", err)
	}
	c.cmd = exec.CommandContext(context.Background(), self, "child", c.id, c.address) //nolint:gosec // the rig's own program
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		fail("start runner: %v", err)
	}
	c.born = time.Now().UnixMilli()
	children = append(children, c)
	for range 100 {
		if conn, err := dial(c.address); err == nil {
			_ = conn.Close()
			record("runner %s started at %s, process %d", c.id, c.address, c.cmd.Process.Pid)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fail("runner %s doesn't listen", c.id)
}

func (c *child) kill() {
	record("runner %s gets SIGKILL", c.id)
	_ = c.cmd.Process.Kill()
	_, _ = c.cmd.Process.Wait()
}

// entry is what the runner writes to the store.
func (c *child) entry() entry {
	c.beats++
	return entry{
		Service: modelGroup, Addr: c.address, Zone: zoneName, Version: "v1", Slots: 128, State: "ready", Stage: "unified",
		Models: modelOf(1), Seq: c.beats, Born: c.born,
	}
}

// freePort returns a loopback address that is free.
func freePort() string {
	l := mustListen()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// answer is what a client has got of a stream.
type answer struct {
	status   int
	events   []string
	complete bool
	failure  string
}

// stream sends a request for a stream and reads the answer. seen is called with the number of
// events so far and the ID of the runner.
func stream(g *gate, path, id string, seen func(n int, runner string)) answer {
	conn, err := dial(g.front)
	if err != nil {
		return answer{failure: err.Error()}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	body := strings.Repeat("x", 600)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nSwiftloom-Request-Id: %s\r\nSwiftloom-Model: %s\r\nSwiftloom-Token-Usage: 827,64\r\n"+
		"Swiftloom-Prefix-Hash: %s:827\r\nSwiftloom-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		path, hostName, id, modelName, id, keptKey, len(body))
	if _, err := conn.Write([]byte(head + "\r\n" + body)); err != nil {
		return answer{failure: err.Error()}
	}
	w, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{failure: err.Error()}
	}
	defer func() { _ = w.Body.Close() }()
	a := answer{status: w.StatusCode}
	scanner := bufio.NewScanner(w.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			a.events = append(a.events, data)
			seen(len(a.events), strings.TrimPrefix(w.Header.Get(headerStamp), stampPrefix))
		}
	}
	a.complete = scanner.Err() == nil
	if scanner.Err() != nil {
		a.failure = scanner.Err().Error()
	}
	return a
}
