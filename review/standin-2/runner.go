package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of fields of the platform's messages. The first is also that of the order for weights.
const (
	fieldVersion = "version"
	fieldName    = "name"
)

// order is a call to a runner's /order.
type order struct {
	At       time.Time
	Runner   string
	Holder   string
	Fence    int64
	Version  uint64
	Status   int
	Instance string
}

// run is a request that a runner has run.
type run struct {
	At      time.Time
	ID      string
	Path    string
	Tenant  string
	Salt    string
	Version uint64
	// Used holds, for each part that was taken from the cache, "PART made by TENANT in REQUEST".
	Used []usedPart
	// Ended is zero while the run is in progress. IsDropped is set if its channel was closed.
	Ended     time.Time
	IsDropped bool
}

type usedPart struct {
	Part, MakerTenant, MakerRequest string
}

type cacheKey struct{ salt, model, part string }

// modelRunner stands in for a model runner, or a plain service if model is empty.
type modelRunner struct {
	id, address, service string
	slots                int
	model                string
	loadTime             time.Duration
	born                 int64
	store                *metadataStore
	rec                  *record
	// work is how long a request of a plain service runs.
	work func(r *http.Request) time.Duration

	mu      sync.Mutex
	version uint64
	named   map[uint64]bool
	busy    bool
	seq     int64
	beat    int64
	cache   map[cacheKey]usedPart
	events  [][]any
	changed chan struct{}
	orders  []order
	runs    []*run
}

func newModelRunner(id, service, model string, store *metadataStore, rec *record) *modelRunner {
	return &modelRunner{
		id: id, service: service, model: model, slots: 16, loadTime: 300 * time.Millisecond,
		born: time.Now().UnixMilli(), store: store, rec: rec, version: 1, named: map[uint64]bool{1: true},
		cache: make(map[cacheKey]usedPart), changed: make(chan struct{}),
	}
}

func (m *modelRunner) models() []map[string]any {
	if m.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{fieldName: m.model, fieldVersion: m.version, "adapters": []string{}}}
}

// register writes the runner's entry.
func (m *modelRunner) register() {
	m.mu.Lock()
	m.beat++
	entry := map[string]any{
		"service": m.service, "addr": m.address, "zone": homeZone, fieldVersion: "v1", "slots": m.slots, "state": "ready",
		"cold_left_ms": 0, "seq": m.beat, "born": m.born,
	}
	if m.model != "" {
		entry["stage"], entry["models"] = "unified", m.models()
	}
	m.mu.Unlock()
	m.store.put("servers", m.id, entry)
}

// beatLoop writes the entry each interval until done is closed.
func (m *modelRunner) beatLoop(interval time.Duration, done <-chan struct{}) {
	for {
		m.store.mu.Lock()
		isAway := m.store.isAway
		m.store.mu.Unlock()
		if !isAway {
			m.register()
		}
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
	}
}

func (m *modelRunner) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (m *modelRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Swiftloom-Target-Instance"); target != "" && target != m.id {
		w.Header().Set("Swiftloom-Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Swiftloom-Instance-Id", m.id)
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/report":
		m.mu.Lock()
		report := map[string]any{
			"stage": "unified", "models": m.models(), "busy": m.busy, "seq": m.seq, "queued": 0, "active": 0,
			"kv_used": 0, "kv_total": 169100, "handles": 0, "born": m.born,
		}
		m.mu.Unlock()
		m.writeJSON(w, http.StatusOK, report)
	case r.URL.Path == "/order":
		m.serveOrder(w, r)
	case r.URL.Path == "/kv-events":
		m.serveEvents(w, r)
	case r.Header.Get("Swiftloom-Request-Id") == "":
		w.Header().Set("Swiftloom-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case m.model == "":
		m.serveCall(w, r)
	default:
		m.servePrompt(w, r)
	}
}

func (m *modelRunner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Version  uint64 `json:"version"`
		Mode     string `json:"mode"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	m.mu.Lock()
	status := http.StatusAccepted
	switch {
	case err != nil || o.Op != fieldVersion || o.Holder == "" || o.Fence == 0 || o.Model != m.model || !m.named[o.Version]:
		status = http.StatusBadRequest
	case m.busy || (o.Expected != nil && *o.Expected != m.seq):
		status = http.StatusConflict
	case o.Version == m.version:
		status = http.StatusOK
	default:
		m.busy = true
		m.seq++
		time.AfterFunc(m.loadTime, func() {
			m.mu.Lock()
			m.busy, m.version = false, o.Version
			clear(m.cache)
			m.mu.Unlock()
			m.register()
		})
	}
	done := order{At: time.Now(), Runner: m.id, Holder: o.Holder, Fence: o.Fence, Version: o.Version, Status: status}
	m.orders = append(m.orders, done)
	m.mu.Unlock()
	m.rec.printf("order at %s: holder %s, fence %d, version %d, answered %d", m.id, o.Holder, o.Fence, o.Version, status)
	w.WriteHeader(status)
}

func (m *modelRunner) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMs, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(min(waitMs, 1000)) * time.Millisecond)
	defer timer.Stop()
	isOver := false
	for {
		m.mu.Lock()
		events := [][]any{}
		if since < len(m.events) {
			events = m.events[max(since, 0):]
		}
		next, changed := len(m.events), m.changed
		m.mu.Unlock()
		if len(events) > 0 || isOver || waitMs == 0 {
			m.writeJSON(w, http.StatusOK, map[string]any{
				"epoch": m.born % 1000000, "next": next, "lost": false, "events": events, "clock_ms": time.Now().UnixMilli(), "born": m.born,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// setAnswerHeaders sets the fields of an answer to a request.
func (m *modelRunner) setAnswerHeaders(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Swiftloom-Request-Id", r.Header.Get("Swiftloom-Request-Id"))
	h.Set("Swiftloom-Instance-Id", m.id)
	h.Set("Swiftloom-Server-Stamp", "stamp."+m.id+"."+r.Header.Get("Swiftloom-Request-Id"))
}

func (m *modelRunner) begin(r *http.Request) *run {
	u := &run{At: time.Now(), ID: r.Header.Get("Swiftloom-Request-Id"), Path: r.URL.RequestURI(), Tenant: r.Header.Get("Swiftloom-Tenant"), Salt: r.Header.Get("Swiftloom-Cache-Salt")}
	m.mu.Lock()
	defer m.mu.Unlock()
	u.Version = m.version
	m.runs = append(m.runs, u)
	return u
}

func (m *modelRunner) end(u *run, isDropped bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u.Ended, u.IsDropped = time.Now(), isDropped
}

// serveCall runs a request of a plain service. It drops the request when its channel closes.
func (m *modelRunner) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u := m.begin(r)
	m.rec.printf("run at %s: request %s of tenant %s, %s %s, %d bytes", m.id, u.ID, u.Tenant, r.Method, u.Path, len(body))
	work := 15 * time.Millisecond
	if m.work != nil {
		work = m.work(r)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		m.end(u, true)
		m.rec.printf("run at %s: request %s dropped, since its channel was closed", m.id, u.ID)
		return
	}
	m.end(u, false)
	m.setAnswerHeaders(w, r)
	text := "done " + u.ID + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, text)
}

// servePrompt runs a request with a prompt. Parts are kept under their salt, and are used again
// if all parts before them are kept too.
func (m *modelRunner) servePrompt(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	m.mu.Lock()
	version, busy := m.version, m.busy
	m.mu.Unlock()
	if expected := r.Header.Get("Swiftloom-Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		w.Header().Set("Swiftloom-Instance-Id", m.id)
		w.Header().Set("Swiftloom-Weight-Versions", strconv.FormatUint(version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Set("Swiftloom-Request-Id", r.Header.Get("Swiftloom-Request-Id"))
		w.Header().Set("Swiftloom-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u := m.begin(r)
	m.mu.Lock()
	isPrefixKept := true
	for _, field := range strings.Split(r.Header.Get("Swiftloom-Prefix-Hash"), ",") {
		id, tokens, _ := strings.Cut(field, ":")
		key := cacheKey{salt: u.Salt, model: r.Header.Get("Swiftloom-Model"), part: id}
		kept, isKept := m.cache[key]
		if isPrefixKept = isPrefixKept && isKept; isPrefixKept {
			u.Used = append(u.Used, kept)
			continue
		}
		if !isKept {
			m.cache[key] = usedPart{Part: id, MakerTenant: u.Tenant, MakerRequest: u.ID}
			n, _ := strconv.Atoi(tokens)
			m.events = append(m.events, []any{len(m.events) + 1, "+", u.Salt, id, n, key.model})
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	used := u.Used
	m.mu.Unlock()
	m.rec.printf("run at %s: request %s of tenant %s, salt %q, weights %d, parts used from the cache: %v", m.id, u.ID, u.Tenant, u.Salt, u.Version, used)
	m.setAnswerHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Swiftloom-Weight-Versions", strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	for i := 1; i <= 4; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	m.end(u, false)
}
