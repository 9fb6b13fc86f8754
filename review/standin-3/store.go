package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the metadata store. JSON encodes the value in base64.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row of the empty partition.
type rowID struct {
	table, key string
}

// condition requires that a row has a version; zero means that it is absent.
type condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"ver"`
}

// transaction is the body of /rows-tx.
type transaction struct {
	Expected []condition `json:"expected"`
	Puts     []row       `json:"puts"`
	Remove   []row       `json:"remove"`
}

// rowsAnswer is the body of all answers about rows.
type rowsAnswer struct {
	Rows       []row   `json:"rows"`
	HasMore    bool    `json:"has_more"`
	Version    uint64  `json:"ver"`
	ServerTime float64 `json:"server_time_ms"`
}

// store is a stand-in for the platform's metadata store. Its feed tells the newest state of each
// changed row.
type store struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowID]row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// put writes a row whose value is the JSON of v.
func (s *store) put(table, key string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.putBytes(table, key, data)
	return nil
}

// putBytes writes a row.
func (s *store) putBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: value})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Deleted: true})
}

// write gives a row the next version. The caller holds mu.
func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[rowID{r.Table, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns an answer with some rows. The caller holds mu.
func (s *store) answer(rows []row) rowsAnswer {
	return rowsAnswer{Rows: rows, Version: s.version, ServerTime: float64(time.Since(s.started).Milliseconds())}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/rows-get":
		s.serveGet(w, r)
	case "/rows-feed":
		s.serveFeed(w, r)
	case "/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.newerThan(q.Get("table"), 0)
	rows = slices.DeleteFunc(rows, func(r row) bool {
		return r.Deleted || r.Key < q.Get("from") || (q.Get("to") != "" && r.Key >= q.Get("to"))
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, s.answer(rows))
}

// newerThan returns the rows of a table with versions above one, in the order of their versions. The
// caller holds mu.
func (s *store) newerThan(table string, version uint64) []row {
	rows := []row{}
	for r := range maps.Values(s.rows) {
		if r.Table == table && r.Version > version {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
	return rows
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isLast := wait == 0; ; {
		s.mu.Lock()
		rows, changed := s.newerThan(q.Get("table"), after), s.changed
		answer := s.answer(rows)
		s.mu.Unlock()
		if len(rows) > 0 || isLast {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []row
	for _, c := range tx.Expected {
		known := s.rows[rowID{c.Table, c.Key}]
		version := known.Version
		if known.Deleted {
			version = 0
		}
		if version != c.Version {
			known.Table, known.Key = c.Table, c.Key
			failed = append(failed, known)
		}
	}
	if len(failed) > 0 {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(failed))
		return
	}
	for _, put := range tx.Puts {
		s.write(put)
	}
	for _, removed := range tx.Remove {
		removed.Deleted, removed.Value = true, nil
		s.write(removed)
	}
	writeJSON(w, http.StatusOK, s.answer([]row{}))
}

// writeJSON writes an answer with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
