package loomstandin

import (
	"slices"
	"strings"
	"sync"

	"swiftloom/loompb"
)

// Table is a transactional table in memory. The zero value is empty and ready
// to use; its methods may be called concurrently.
type Table struct {
	mu sync.Mutex
	// keys is sorted and holds the keys of rows.
	keys []string
	rows map[string]*loompb.Row
	// versions outlive their rows, so that a row that is deleted and written
	// again does not get an old version.
	versions map[string]uint64
	reads    uint64
	writes   uint64
	rowCount uint64
}

// Transact applies all writes when every condition holds, else none.
func (t *Table) Transact(r *loompb.TransactRequest) *loompb.TransactReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	var reply loompb.TransactReply
	for _, c := range r.GetConditions() {
		if row := t.row(c.GetKey()); row.GetVersion() != c.GetVersion() {
			reply.Rows = append(reply.Rows, row)
		}
	}
	if len(reply.GetRows()) > 0 {
		return &reply
	}
	reply.Applied = true
	for _, w := range r.GetWrites() {
		if row := t.row(w.GetKey()); w.GetIfAbsent() && row.GetVersion() > 0 {
			reply.Rows = append(reply.Rows, row)
			continue
		}
		t.write(w)
	}
	return &reply
}

func (t *Table) row(key string) *loompb.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return &loompb.Row{Key: key}
}

func (t *Table) write(w *loompb.Write) {
	if t.rows == nil {
		t.rows = make(map[string]*loompb.Row)
		t.versions = make(map[string]uint64)
	}
	t.rowCount++
	key := w.GetKey()
	i, exists := slices.BinarySearch(t.keys, key)
	t.versions[key]++
	switch {
	case w.GetDelete() && exists:
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.rows, key)
		return
	case w.GetDelete():
		return
	case !exists:
		t.keys = slices.Insert(t.keys, i, key)
	}
	t.rows[key] = &loompb.Row{Key: key, Value: w.GetValue(), Version: t.versions[key]}
}

// ReadRows returns the named rows, absent ones with version zero, and then the
// rows of the range.
func (t *Table) ReadRows(r *loompb.ReadRowsRequest) *loompb.ReadRowsReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var reply loompb.ReadRowsReply
	for _, key := range r.GetKeys() {
		reply.Rows = append(reply.Rows, t.row(key))
	}
	if r.GetPrefix() == "" {
		return &reply
	}
	from := max(r.GetPrefix(), r.GetAfter()+"\x00")
	i, _ := slices.BinarySearch(t.keys, from)
	for n := uint32(0); i < len(t.keys) && strings.HasPrefix(t.keys[i], r.GetPrefix()); i++ {
		if r.GetLimit() > 0 && n >= r.GetLimit() {
			break
		}
		reply.Rows = append(reply.Rows, t.rows[t.keys[i]])
		n++
	}
	return &reply
}

// TableUse counts the calls of a table.
type TableUse struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Rows   uint64 `json:"rows"`
}

// Use returns how often the table was called and how many rows it wrote.
func (t *Table) Use() TableUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableUse{Reads: t.reads, Writes: t.writes, Rows: t.rowCount}
}
