package loomstandin

import (
	"slices"
	"strings"
	"sync"

	"swiftloom/loompb"
)

// Table is an in-memory table of versioned rows with transactions. The zero value
// is an empty table, ready to use. Its methods may be called concurrently.
type Table struct {
	mu sync.Mutex
	// keys holds the keys of rows in ascending order.
	keys []string
	rows map[string]*loompb.Row
	// versions holds the latest version of each key, also of deleted rows: a row
	// that is written again after its deletion must not reuse a version, or a
	// condition on the old row would hold for the new one.
	versions    map[string]uint64
	reads       uint64
	writes      uint64
	writtenRows uint64
}

// Transact applies the writes if every condition holds. Otherwise it applies none
// of them and returns the current rows of the conditions that failed. A write with
// IfAbsent set is skipped if its row exists, and that row is returned.
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

// row returns the row of a key, with version zero if it is absent. The caller must
// hold t.mu.
func (t *Table) row(key string) *loompb.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return &loompb.Row{Key: key}
}

// write applies a write or a delete. The caller must hold t.mu.
func (t *Table) write(w *loompb.Write) {
	if t.rows == nil {
		t.rows = make(map[string]*loompb.Row)
		t.versions = make(map[string]uint64)
	}
	t.writtenRows++
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

// ReadRows returns the rows of the requested keys, with version zero if absent.
// If a prefix is given, the rows whose keys start with it and are greater than
// After follow in ascending order, at most Limit of them if Limit is not zero.
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
	start := max(r.GetPrefix(), r.GetAfter()+"\x00")
	i, _ := slices.BinarySearch(t.keys, start)
	for n := uint32(0); i < len(t.keys) && strings.HasPrefix(t.keys[i], r.GetPrefix()); i++ {
		if r.GetLimit() > 0 && n >= r.GetLimit() {
			break
		}
		reply.Rows = append(reply.Rows, t.rows[t.keys[i]])
		n++
	}
	return &reply
}

// TableStats counts the read and write calls of a table and the rows written.
type TableStats struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Rows   uint64 `json:"rows"`
}

// Stats returns the usage counts of the table. Deletes count as written rows.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableStats{Reads: t.reads, Writes: t.writes, Rows: t.writtenRows}
}
