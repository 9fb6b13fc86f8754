package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store as the wire has it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowsReply is the response to reads, feeds and transactions.
type rowsReply struct {
	Rows       []row   `json:"rows"`
	HasMore    bool    `json:"has_more"`
	Ver        uint64  `json:"ver"`
	ServerTime float64 `json:"server_time_ms"`
}

// transaction is the body of /rows-tx.
type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// door decides what happens to a call of one machine. A call that is not answered hangs until the
// caller closes its connection.
type door interface {
	// admit reports whether a call is carried out and whether it is answered.
	admit(r *http.Request, body []byte) (performed, answered bool)
	// done is called with the status of a call that was carried out and is to be answered, and the
	// number of rows in the answer. It reports whether the answer is sent.
	done(r *http.Request, body []byte, status, rows int) bool
}

// openDoor lets all calls through.
type openDoor struct{}

func (openDoor) admit(*http.Request, []byte) (bool, bool)  { return true, true }
func (openDoor) done(*http.Request, []byte, int, int) bool { return true }

// store is the platform's store. It keeps all of its history.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	ver     uint64
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
}

// put writes a row on behalf of the operator or a runner.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// write adds a row. s.mu must be held.
func (s *store) write(r row) {
	s.ver++
	r.Ver = s.ver
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the calls of one machine on a port of its own and returns the address.
func (s *store) listen(d door) string {
	l := mustListen()
	go serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(d, w, r) }))
	return l.Addr().String()
}

func (s *store) serve(d door, w http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	performed, answered := d.admit(r, body)
	status, reply := 0, rowsReply{}
	if performed {
		status, reply = s.perform(r, body)
	}
	if !answered || status == 0 || !d.done(r, body, status, len(reply.Rows)) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusOK || status == http.StatusPreconditionFailed {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// perform carries a call out. A status of zero means that the caller has left.
func (s *store) perform(r *http.Request, body []byte) (int, rowsReply) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		return http.StatusOK, s.get(q.Get("table"), q.Get("from"), q.Get("to"))
	case "/rows-feed":
		return s.feed(r)
	case "/rows-tx":
		return s.transact(body)
	default:
		return http.StatusNotFound, rowsReply{}
	}
}

// reply returns a reply with rows. s.mu must be held.
func (s *store) reply(rows []row) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, Ver: s.ver, ServerTime: float64(time.Since(s.began).Milliseconds())}
}

func (s *store) get(table, from, to string) rowsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return s.reply(rows)
}

func (s *store) feed(r *http.Request) (int, rowsReply) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := wait == 0; ; {
		s.mu.Lock()
		var rows []row
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Ver > after {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return int(int64(a.Ver) - int64(b.Ver)) })
		reply, changed := s.reply(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || isOver {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return 0, rowsReply{}
		}
	}
}

func (s *store) transact(body []byte) (int, rowsReply) {
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		return http.StatusBadRequest, rowsReply{}
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	isMet := true
	for _, e := range tx.Expected {
		r, ok := s.rows[e.Table+"\x00"+e.Key]
		ver := r.Ver
		if !ok || r.Deleted {
			ver = 0
		}
		isMet = isMet && ver == e.Ver
		if ver > 0 {
			current = append(current, r)
		}
	}
	if !isMet {
		return http.StatusPreconditionFailed, s.reply(current)
	}
	for _, r := range tx.Puts {
		s.write(r)
	}
	for _, r := range tx.Remove {
		r.Deleted, r.Value = true, nil
		s.write(r)
	}
	return http.StatusOK, s.reply(nil)
}
