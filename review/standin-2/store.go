package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's metadata store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeChange is a row as a transaction has written it.
type storeChange struct {
	row storeRow
	at  time.Time
}

// metadataStore stands in for the platform's metadata store. It loses nothing but what returnFrom
// takes back.
type metadataStore struct {
	mu      sync.Mutex
	rows    map[string]storeRow
	log     []storeChange
	version uint64
	era     uint64
	isAway  bool
	changed chan struct{}
	started time.Time
	// oldest is the version up to which the feed has no history.
	oldest uint64
}

func newMetadataStore() *metadataStore {
	return &metadataStore{rows: make(map[string]storeRow), era: 1, changed: make(chan struct{}), started: time.Now()}
}

func rowID(r storeRow) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator or a runner does.
func (s *metadataStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		// All values are maps of plain values.
		data = []byte(err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: data, Version: s.version})
	s.notify()
}

// apply stores a row of the current version. s.mu must be held.
func (s *metadataStore) apply(r storeRow) {
	s.rows[rowID(r)] = r
	s.log = append(s.log, storeChange{row: r, at: time.Now()})
}

func (s *metadataStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setAway makes the store close connections without an answer, or serve again.
func (s *metadataStore) setAway(isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = isAway
	s.notify()
}

// returnFrom makes the store return from a copy of the given time, in a new era.
func (s *metadataStore) returnFrom(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := sort.Search(len(s.log), func(i int) bool { return s.log[i].at.After(at) })
	s.log = s.log[:n:n]
	s.rows = make(map[string]storeRow)
	s.version = 0
	for _, c := range s.log {
		s.rows[rowID(c.row)] = c.row
		s.version = c.row.Version
	}
	s.era++
	s.isAway = false
	s.notify()
}

type storeAnswer struct {
	Rows         []storeRow `json:"rows"`
	HasMore      bool       `json:"has_more"`
	Version      uint64     `json:"ver"`
	ServerTimeMs float64    `json:"server_time_ms"`
}

type storeTransaction struct {
	Expected []storeRow `json:"expected"`
	Puts     []storeRow `json:"puts"`
	Remove   []storeRow `json:"remove"`
}

// answer writes a JSON answer. s.mu must be held.
func (s *metadataStore) answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.Version = s.version
	a.ServerTimeMs = float64(time.Since(s.started).Microseconds()) / 1000
	if a.Rows == nil {
		a.Rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

// checkAway ends the connection of a call if the store is away. s.mu must be held.
func (s *metadataStore) checkAway() {
	if s.isAway {
		s.mu.Unlock()
		panic(http.ErrAbortHandler) //nolint:forbidigo // net/http offers no other way
	}
}

// ServeHTTP implements http.Handler.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
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

func (s *metadataStore) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	s.checkAway()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		to := q.Get("to")
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted && row.Key >= q.Get("from") && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	a := storeAnswer{Rows: rows}
	if len(rows) > limit {
		a.Rows, a.HasMore = rows[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *metadataStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer until.Stop()
	isOver := false
	for {
		s.mu.Lock()
		s.checkAway()
		if after > s.version || after < s.oldest {
			s.answer(w, http.StatusGone, storeAnswer{})
			s.mu.Unlock()
			return
		}
		var rows []storeRow
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || isOver || waitMs == 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			s.answer(w, http.StatusOK, storeAnswer{Rows: rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metadataStore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx storeTransaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.checkAway()
	defer s.mu.Unlock()
	holds := true
	var current []storeRow
	for _, e := range tx.Expected {
		row, ok := s.rows[rowID(e)]
		if !ok || row.Deleted {
			row = storeRow{Table: e.Table, Part: e.Part, Key: e.Key}
		}
		if row.Version != e.Version {
			holds = false
		}
		current = append(current, row)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, storeAnswer{Rows: current})
		return
	}
	for _, row := range append(append([]storeRow{}, tx.Puts...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range tx.Puts {
		row.Version = s.version
		s.apply(row)
	}
	for _, row := range tx.Remove {
		s.apply(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.notify()
	s.answer(w, http.StatusOK, storeAnswer{})
}
