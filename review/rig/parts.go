package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The figures of morrison-dispatch: limits.memory_mb of the settings, the number of runners
	// and their memory in tokens.
	memoryMB    = 134
	partRunners = 18
	partTokens  = 169100
	// headBytes is about how long the head of a misbehaving client's request is, below the
	// manifest's header_bytes of 16,384.
	headBytes = 16000
	// partConns is the number of connections of the misbehaving client to each gate, on each of
	// which a request follows partInterval after the answer to the one before.
	partConns    = 20
	partInterval = 30 * time.Millisecond
	// partKills is how often the processes of a machine end by the rule. partTime bounds the time
	// of the case, and calmPartTime that without the disruption.
	partKills    = 3
	partTime     = 100 * time.Second
	calmPartTime = 45 * time.Second
)

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kb >> 10
		}
	}
	return 0
}

// partHead returns a request for a short stream. With trouble the prompt consists of very many
// parts of one token, each with an ID of its own; else of two parts with as many tokens.
func partHead(n int) string {
	head := fmt.Sprintf("POST /skrot/x HTTP/1.1\r\nHost: %s\r\nSwiftloom-Request-Id: d%015d\r\nSwiftloom-Model: %s\r\n"+
		"Swiftloom-Deadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n", hostName, n, modelName, keptKey)
	var parts []string
	for size := len(head); size < headBytes; size += len(parts[len(parts)-1]) + 1 {
		parts = append(parts, fmt.Sprintf("%x:1", n<<12|len(parts)))
	}
	prefix := strings.Join(parts, ",")
	if !trouble {
		prefix = fmt.Sprintf("5c1e07a2:650,%x:%d", n<<12, len(parts)-650)
	}
	return head + fmt.Sprintf("Swiftloom-Token-Usage: %d,2\r\nSwiftloom-Prefix-Hash: %s\r\n\r\n0123456789", len(parts), prefix)
}

// victim is a gate with the clients that press it.
type victim struct {
	gate *gate

	mu             sync.Mutex
	sent, answered int
	kills          int
	peak           int
}

// next returns the number of the next request.
func (v *victim) next() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent++
	return v.sent
}

// press sends requests on one connection after the other until ctx ends.
func (v *victim) press(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := dial(v.gate.front)
		if err != nil {
			time.Sleep(partInterval)
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
			if _, err := io.WriteString(conn, partHead(v.next())); err != nil {
				break
			}
			w, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, w.Body)
			_ = w.Body.Close()
			v.mu.Lock()
			if w.StatusCode == http.StatusOK {
				v.answered++
			}
			v.mu.Unlock()
			time.Sleep(partInterval)
		}
		_ = conn.Close()
	}
}

// watch does what the platform does: it kills the process when it holds more than its limit, and
// starts it again after a short delay.
func (v *victim) watch(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(50 * time.Millisecond)
		mb := residentMB(v.gate.cmd.Process.Pid)
		v.mu.Lock()
		v.peak = max(v.peak, mb)
		sent, answered := v.sent, v.answered
		v.mu.Unlock()
		if i%60 == 0 {
			record("gate %s: %d MiB resident, %d requests sent, %d answered with 200", v.gate.name, mb, sent, answered)
		}
		if mb <= memoryMB {
			continue
		}
		record("gate %s: %d MiB resident after %d requests: over its limit of %d MiB, the platform kills it", v.gate.name, mb, sent, memoryMB)
		v.gate.signal(syscall.SIGKILL)
		<-v.gate.ended
		v.mu.Lock()
		v.kills++
		isEnough := v.kills == partKills
		v.mu.Unlock()
		if isEnough {
			return
		}
		time.Sleep(time.Second)
		restarts <- v.gate
		v.gate.awaitReady()
	}
}

// restarts are the gates that are to be started again. The main goroutine does that, since
// processes end with the thread that has started them.
var restarts = make(chan *gate)

// parts: a client sends requests of legal size whose prompts consist of very many short parts. The
// rule speaks of a tenth of the machines, two at least, whose processes end three times.
func parts() bool {
	s := newSite(partRunners, partTokens)
	for _, r := range s.runners {
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			_ = readAll(q)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(headerRequestID, q.Header.Get(headerRequestID))
			w.Header().Set(headerStamp, stampPrefix+r.id)
			w.Header().Set(headerWeights, "1")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		}
		r.start()
	}
	var victims []*victim
	for _, name := range []string{"front-1", "front-2"} {
		v := &victim{gate: newGate(name, memoryMB, s.store.listen(openDoor{}))}
		v.gate.start()
		victims = append(victims, v)
	}
	record("a request has %d bytes and %d parts of one token", len(partHead(1)), strings.Count(partHead(1), ":1,")+1)
	limit := partTime
	if !trouble {
		limit = calmPartTime
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var watching, pressing sync.WaitGroup
	for _, v := range victims {
		v.gate.awaitReady()
		watching.Go(func() { v.watch(ctx) })
		for range partConns {
			pressing.Go(func() { v.press(ctx) })
		}
	}
	done := make(chan struct{})
	go func() { watching.Wait(); close(done) }()
	for isOver := false; !isOver; {
		select {
		case g := <-restarts:
			g.start()
		case <-done:
			isOver = true
		}
	}
	cancel()
	isBroken := true
	for _, v := range victims {
		v.mu.Lock()
		record("gate %s: %d requests sent, %d answered with 200, %d MiB at most, killed %d times", v.gate.name, v.sent, v.answered, v.peak, v.kills)
		isBroken = isBroken && v.kills >= partKills
		v.mu.Unlock()
	}
	return isBroken
}
