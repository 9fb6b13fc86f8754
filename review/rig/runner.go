package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// order is the body of an order.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  uint64 `json:"version"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Expected *int64 `json:"expected"`
}

// arrival is an order that has reached a runner.
type arrival struct {
	at     time.Time
	runner string
	order  order
	answer string
}

// runner is a model runner. It doesn't check fencing tokens.
type runner struct {
	id, service, address string
	store                *store
	born                 int64
	// load is how long it loads weights.
	load time.Duration
	// named returns the newest version that the operator has named.
	named func() uint64
	// saw is called with each order.
	saw func(arrival)
	// serve answers requests.
	serve http.HandlerFunc

	mu      sync.Mutex
	version uint64
	seq     int64
	busy    bool
	running int
	beats   int
}

// start listens and keeps the runner's entry up to date.
func (r *runner) start() {
	l := mustListen()
	r.address, r.born, r.version = l.Addr().String(), time.Now().UnixMilli(), 1
	go serve(l, r)
	r.beat()
	go func() {
		for range time.Tick(heartbeat) {
			r.beat()
		}
	}()
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	r.store.put("servers", r.id, entry{
		Service: r.service, Addr: r.address, Zone: zoneName, Version: "v1", Slots: 128, State: "ready", Stage: "unified",
		Models: r.models(), Seq: r.beats, Born: r.born,
	})
}

// models returns the weights. r.mu must be held.
func (r *runner) models() []model {
	return modelOf(r.version)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get(headerTarget); id != "" && id != r.id {
		w.Header().Set(headerInstance, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, report{Stage: "unified", Models: r.models(), Busy: r.busy, Seq: r.seq, KVTotal: 100000, Born: r.born})
	case "/order":
		r.takeOrder(w, q)
	case "/kv-events":
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		writeJSON(w, kvEvents{Epoch: r.born, Next: 1, Events: [][]any{}, Born: r.born})
	case healthPath:
		w.Header().Set(headerInstance, r.id)
	default:
		if r.serve != nil {
			r.serve(w, q)
			return
		}
		r.serveStream(w, q)
	}
}

func (r *runner) takeOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.Unmarshal(readAll(q), &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.carryOut(o)
	r.saw(arrival{at: time.Now(), runner: r.id, order: o, answer: fmt.Sprint(status)})
	w.WriteHeader(status)
}

// carryOut begins to carry an order out and returns the status that answers it.
func (r *runner) carryOut(o order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.Op != "version" || o.Model != modelName || o.Version > r.named():
		return http.StatusBadRequest
	case r.busy || (o.Expected != nil && *o.Expected != r.seq):
		return http.StatusConflict
	case o.Version <= r.version:
		return http.StatusOK
	}
	r.seq++
	r.busy = true
	go r.loadWeights(o.Version)
	return http.StatusAccepted
}

// loadWeights loads new weights once the running requests have ended.
func (r *runner) loadWeights(version uint64) {
	for isFree := false; !isFree; {
		r.mu.Lock()
		isFree = r.running == 0
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(r.load)
	r.mu.Lock()
	r.busy, r.version = false, version
	r.mu.Unlock()
	record("runner %s has version %d", r.id, version)
	r.beat()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
