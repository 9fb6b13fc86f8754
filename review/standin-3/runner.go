package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the protocol that the stand-ins use.
const (
	headerRequestID   = "Swiftloom-Request-Id"
	headerDeadline    = "Swiftloom-Deadline-Ms"
	headerStamp       = "Swiftloom-Server-Stamp"
	headerTarget      = "Swiftloom-Target-Instance"
	headerInstance    = "Swiftloom-Instance-Id"
	headerNotExecuted = "Swiftloom-Not-Executed"
	headerExpect      = "Swiftloom-Expect-Version"
	headerVersions    = "Swiftloom-Weight-Versions"
)

const (
	modelName = "m0"
	// loadTime is how long a runner takes to load weights.
	loadTime = 500 * time.Millisecond
	// beatInterval is the time between two writes of a runner's entry, and entryLife the time without
	// one after which the store removes the entry.
	beatInterval = 1200 * time.Millisecond
)

// entry is what a runner writes about itself into the store.
type entry struct {
	Service  string    `json:"service"`
	Addr     string    `json:"addr"`
	Zone     string    `json:"zone"`
	Version  string    `json:"version"`
	Slots    int       `json:"slots"`
	State    string    `json:"state"`
	ColdLeft int       `json:"cold_left_ms"`
	Seq      int       `json:"seq"`
	Born     int64     `json:"born"`
	Models   []weights `json:"models,omitempty"`
}

// weights is a model with the version of its weights.
type weights struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// order is the body of POST /order.
type order struct {
	Op       string  `json:"op"`
	Model    string  `json:"model"`
	Version  uint64  `json:"version"`
	Holder   *string `json:"holder"`
	Fence    *uint64 `json:"fence"`
	Expected *int64  `json:"expected"`
}

// runner is a stand-in for a runner, which is an engine if it has weights.
type runner struct {
	id, service, zone string
	store             *store
	record            *record
	// work is how long a request runs.
	work time.Duration
	// answer replaces the answer to a request that has run, unless it is nil.
	answer http.HandlerFunc
	// delays returns whether the next order gets no answer and is carried out late, after the time.
	delays func() (time.Duration, bool)

	address  string
	listener net.Listener
	server   *http.Server
	stopBeat context.CancelFunc

	mu      sync.Mutex
	version uint64
	born    int64
	seq     int64
	beats   int
	busy    bool
	state   string
	runs    []run
	// hasLost is set once an order to the runner was lost.
	hasLost bool
}

// run is one request that a runner has worked on.
type run struct {
	id          string
	began, ends time.Time
	// isCancelled is set if the channel was closed before the work was done.
	isCancelled bool
}

// start begins an incarnation of the runner, at the address of the one before if there was one.
func (r *runner) start(ctx context.Context) error {
	var config net.ListenConfig
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	beat, stop := context.WithCancel(ctx)
	r.mu.Lock()
	r.address, r.listener, r.stopBeat = l.Addr().String(), l, stop
	r.born, r.seq, r.busy, r.state = time.Now().UnixMilli(), 0, false, "ready"
	born := r.born
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, born) }), ReadHeaderTimeout: time.Minute}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.writeEntry()
	go r.beat(beat)
	return nil
}

// crash ends the incarnation. All its channels are reset or closed.
func (r *runner) crash() {
	r.stopBeat()
	_ = r.server.Close()
}

// beat writes the entry until ctx ends.
func (r *runner) beat(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.writeEntry()
		}
	}
}

// writeEntry writes the runner's entry into the store.
func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	e := entry{Service: r.service, Addr: r.address, Zone: r.zone, Version: "v1", Slots: 64, State: r.state, Seq: r.beats, Born: r.born}
	if r.version > 0 {
		e.Models = r.models()
	}
	_ = r.store.put("servers", r.id, e)
}

// models returns the models of the runner. The caller holds mu.
func (r *runner) models() []weights {
	return []weights{{Name: modelName, Version: r.version, Adapters: []string{}}}
}

// serve serves a call of the incarnation that was born at a time.
func (r *runner) serve(w http.ResponseWriter, q *http.Request, born int64) {
	if target := q.Header.Get(headerTarget); target != "" && target != r.id {
		w.Header().Set(headerInstance, r.id)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		r.serveReport(w)
	case "/order":
		r.serveOrder(w, q)
	case "/kv-events":
		time.Sleep(900 * time.Millisecond)
		writeJSON(w, http.StatusOK, map[string]any{"epoch": born, "next": 0, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli()})
	case "/healthz":
		w.Header().Set(headerInstance, r.id)
	default:
		r.serveRequest(w, q)
	}
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": r.models(), "busy": r.busy, "seq": r.seq, "born": r.born,
		"queued": 0, "active": 0, "kv_used": 0, "kv_total": 179183, "handles": 0,
	})
}

// serveOrder accepts an order, or keeps one that is delayed for later.
func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == nil || o.Fence == nil || o.Op != "version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.delays != nil {
		if late, ok := r.delays(); ok {
			r.record.printf("runner %s: order for version %d (expected %d) from %s gets no answer, is carried out %s later", r.id, o.Version, value(o.Expected), *o.Holder, late)
			time.AfterFunc(late, func() {
				status := r.accept(o)
				r.record.printf("runner %s: late order for version %d (expected %d): %d", r.id, o.Version, value(o.Expected), status)
			})
			<-q.Context().Done()
			return
		}
	}
	status := r.accept(o)
	r.record.printf("runner %s: order for version %d (expected %d) from %s: %d", r.id, o.Version, value(o.Expected), *o.Holder, status)
	w.WriteHeader(status)
}

func value(n *int64) int64 {
	if n == nil {
		return -1
	}
	return *n
}

// accept returns the status of an order and begins to carry it out if it is accepted.
func (r *runner) accept(o order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != r.seq, r.busy:
		return http.StatusConflict
	case o.Version == r.version:
		return http.StatusOK
	}
	r.seq++
	r.busy = true
	born := r.born
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		isSame := r.born == born
		if isSame {
			r.version, r.busy = o.Version, false
		}
		r.mu.Unlock()
		if isSame {
			r.record.printf("runner %s: has weights of version %d", r.id, o.Version)
			r.writeEntry()
		}
	})
	return http.StatusAccepted
}

// serveRequest works on a request and answers it.
func (r *runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	r.mu.Lock()
	version, busy := r.version, r.busy
	r.mu.Unlock()
	if version > 0 {
		w.Header().Set(headerVersions, strconv.FormatUint(version, 10))
	}
	if expected := q.Header.Get(headerExpect); expected != "" && expected != strconv.FormatUint(version, 10) {
		w.Header().Set(headerInstance, r.id)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	began := time.Now()
	isCancelled := false
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		isCancelled = true
	}
	r.record.printf("runner %s: ran %s", r.id, id)
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, began: began, ends: time.Now(), isCancelled: isCancelled})
	r.mu.Unlock()
	w.Header().Set(headerStamp, "stamp."+r.id)
	if r.answer != nil {
		r.answer(w, q)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// done returns the requests that the runner has worked on.
func (r *runner) done() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// current returns the version of the runner's weights.
func (r *runner) current() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
