package loomgate

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
	"swiftloom/loomquarantine"
)

const (
	// quarantineKeyPrefix begins the keys of the rows about quarantines, so that these
	// are known after all instances have started again.
	quarantineKeyPrefix = "quarantine/"
	// maxQuarantineRows bounds the rows.
	maxQuarantineRows = 64
	// maxRowWrites bounds the writes after one comparison.
	maxRowWrites = 8
	// quarantineRowInterval is the time between two comparisons of the rows with what this
	// instance knows.
	quarantineRowInterval = 500 * time.Millisecond
	// writerStep is the time that an instance waits for each one that is to write before it.
	writerStep = time.Second
)

// quarantineRow is the platform's row about a quarantine.
type quarantineRow struct {
	Model     string   `json:"model"`
	Parts     []string `json:"parts"`
	Request   string   `json:"request,omitempty"`
	Version   uint64   `json:"weights"`
	Ends      int      `json:"ends"`
	Trials    int      `json:"trials"`
	IsCertain bool     `json:"is_certain"`
	// position is that of the row, or zero if there is none.
	position uint64
	// isUnreadable is set if the row holds no quarantine.
	isUnreadable bool
}

func newQuarantineRow(q loomquarantine.Quarantine) quarantineRow {
	return quarantineRow{Model: q.Model(), Parts: q.Parts(), Request: q.Request(), Version: q.Version, Ends: q.Ends, Trials: q.Trials, IsCertain: q.IsCertain}
}

// quarantine returns the content of the row.
func (r quarantineRow) quarantine(now time.Time) loomquarantine.Quarantine {
	return loomquarantine.Quarantine{Version: r.Version, Ends: r.Ends, Trials: r.Trials, IsCertain: r.IsCertain, UsedAt: now}.
		WithSuspects(loomquarantine.NewSuspects(r.Model, r.Parts, r.Request)...)
}

// isOutdated reports whether the row lacks what an instance knows of the same quarantine.
func (r quarantineRow) isOutdated(q loomquarantine.Quarantine) bool {
	return r.position == 0 || r.isUnreadable || q.Trials > r.Trials || q.Version > r.Version
}

// quarantineRowKey returns the key of the row about a quarantine.
func quarantineRowKey(q loomquarantine.Quarantine) string {
	return quarantineKeyPrefix + strconv.FormatUint(hashString(q.Key()), 36)
}

// applyRows applies the rows about quarantines in a page of TopicInstances. If full is set,
// the page is a complete snapshot.
func (q *quarantine) applyRows(now time.Time, page Page, full bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if full {
		clear(q.rows)
	}
	for _, row := range page.Rows {
		if strings.HasPrefix(row.Key, quarantineKeyPrefix) {
			q.applyRow(now, row)
		}
	}
}

// applyRow applies a row, which is absent if its version is zero. The caller holds mu.
func (q *quarantine) applyRow(now time.Time, row Row) {
	if row.Deleted || row.Version == 0 {
		delete(q.rows, row.Key)
		return
	}
	r, err := decodeQuarantineRow(row)
	if err != nil {
		q.gate.unreadable.record(now, TopicInstances, row, err)
		q.rows[row.Key] = quarantineRow{position: row.Version, isUnreadable: true}
		return
	}
	_, isKnown := q.rows[row.Key]
	q.rows[row.Key] = r
	if !isKnown {
		q.ledger.Apply(now, []loomquarantine.Change{r.quarantine(now)})
	}
}

// maxQuarantineCount bounds the counts in a row.
const maxQuarantineCount = math.MaxInt32

// decodeQuarantineRow decodes a row that exists.
func decodeQuarantineRow(row Row) (quarantineRow, error) {
	r := quarantineRow{position: row.Version}
	if err := row.Unmarshal(&r); err != nil {
		return quarantineRow{}, errors.Annotate(err, "decode quarantine row")
	}
	if r.Ends < 0 || r.Ends > maxQuarantineCount || r.Trials < 0 || r.Trials > maxQuarantineCount {
		return quarantineRow{}, errors.NotValidf("quarantine row with %d ends and %d trials (maximum %d)", r.Ends, r.Trials, maxQuarantineCount)
	}
	return r, nil
}

// writerRank returns how many live instances are to write the row of an entry, or to try it,
// before this one.
func (q *quarantine) writerRank(entry loomquarantine.Quarantine) int {
	ids := q.gate.peers.liveInstances()
	if all := q.gate.coordinators.all(); all != nil {
		ids = all
	}
	key := quarantineRowKey(entry)
	own := hashString(key + q.gate.settings.ID)
	rank := 0
	for _, id := range ids {
		if id != q.gate.settings.ID && hashString(key+id) < own {
			rank++
		}
	}
	return rank
}

// run keeps the platform's rows in line with what this instance knows until ctx ends.
func (q *quarantine) run(ctx context.Context) error {
	for loomkernel.Sleep(ctx, quarantineRowInterval) == nil {
		now := time.Now()
		for _, w := range q.rowWrites(now) {
			if err := q.write(ctx, w); err != nil {
				q.gate.log.Warn("quarantine_row_unwritten", "key", w.GetWrites()[0].GetKey(), "cause", err.Error())
				break
			}
		}
	}
	return nil
}

// rowWrites returns the transactions that are due: rows that are missing or outdated, and
// those of quarantines that have been lifted or forgotten.
func (q *quarantine) rowWrites(now time.Time) []*loompb.TransactRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var writes []*loompb.TransactRequest
	n := q.readableRows()
	current := make(map[string]bool)
	for _, known := range q.ledger.Quarantines() {
		key := quarantineRowKey(known)
		current[key] = true
		row := q.rows[key]
		if !row.isOutdated(known) || n >= maxQuarantineRows {
			delete(q.dueAt, key)
			continue
		}
		if !q.isDue(now, key, known) {
			continue
		}
		value, err := json.Marshal(newQuarantineRow(known))
		if err != nil {
			q.gate.log.Error("quarantine_row_unwritten", "key", key, "cause", err.Error())
			continue
		}
		writes = append(writes, newRowWrite(row.position, &loompb.Write{Key: key, Value: value}))
	}
	for key, row := range q.rows {
		if !current[key] && !row.isUnreadable && len(writes) < maxRowWrites && q.isDue(now, key, row.quarantine(now)) {
			writes = append(writes, newRowWrite(row.position, &loompb.Write{Key: key, Delete: true}))
		}
	}
	return writes
}

// readableRows returns the number of rows that hold a quarantine. The caller holds mu.
func (q *quarantine) readableRows() int {
	n := 0
	for _, row := range q.rows {
		if !row.isUnreadable {
			n++
		}
	}
	return n
}

// isDue reports whether this instance is to write a row now. The one that ranks first does so
// at once, each other one if those before it have not. The caller holds mu.
func (q *quarantine) isDue(now time.Time, key string, known loomquarantine.Quarantine) bool {
	at, ok := q.dueAt[key]
	if !ok {
		at = now.Add(time.Duration(q.writerRank(known)) * writerStep)
		q.dueAt[key] = at
	}
	return !now.Before(at)
}

// newRowWrite returns a transaction with a write of a row that is at a position.
func newRowWrite(position uint64, w *loompb.Write) *loompb.TransactRequest {
	return &loompb.TransactRequest{Conditions: []*loompb.Condition{{Key: w.GetKey(), Version: position}}, Writes: []*loompb.Write{w}}
}

// write carries out a transaction and applies the row that it has written, or that another
// instance has written before.
func (q *quarantine) write(ctx context.Context, r *loompb.TransactRequest) error {
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := q.gate.source.Transact(call, r)
	if err != nil {
		return errors.Annotate(err, "write row")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	w := r.GetWrites()[0]
	delete(q.dueAt, w.GetKey())
	now := time.Now()
	if reply.GetApplied() {
		q.applyRow(now, Row{Key: w.GetKey(), Value: w.GetValue(), Version: reply.GetVersion(), Deleted: w.GetDelete()})
		return nil
	}
	for _, row := range reply.GetRows() {
		q.applyRow(now, Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()})
	}
	return nil
}
