package loomcatalogue

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomerror"
	"swiftloom/loompb"
)

const (
	headKey     = "catalogue/head"
	auditPrefix = "catalogue/audit/"
	editPrefix  = "catalogue/edit/"
	entryPrefix = "catalogue/entry/"
	// readBatchRows is the maximum number of rows of one read. The platform may
	// return fewer although more follow, so only a read without rows is the last.
	readBatchRows = 500
	// maxCommitAttempts is the number of times that a write is sent while its
	// outcome is unknown, and commitRetryDelay the delay between two of them.
	maxCommitAttempts = 5
	commitRetryDelay  = 200 * time.Millisecond
	// maxRecords is the maximum number of audit records that a replica retains
	// for peers.
	maxRecords = 2048
	// auditKeyFormat pads the revision with zeros, so that the order of the keys
	// is that of the revisions.
	auditKeyFormat = auditPrefix + "%020d"
)

// Table is the subset of the platform's transactional table that a Replica uses.
type Table interface {
	Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error)
	ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error)
}

// Replica is the copy of the catalogue in one process. Its revision never
// decreases. It is safe for concurrent use.
type Replica struct {
	table Table

	mu       sync.RWMutex
	snapshot Snapshot
	// records holds the newest audit records in order of their revisions and
	// without gaps. The last one, if any, has the revision of snapshot.
	records []Record
	// changedAt is when the replica reached its current revision.
	changedAt time.Time
	// unreadable has at most maxUnreadable elements, in the order in which they were found.
	unreadable []UnreadableRow
}

// NewReplica returns a replica that holds the empty catalogue at revision zero.
func NewReplica(table Table) *Replica {
	return &Replica{table: table}
}

// Snapshot returns the current state of the replica.
func (r *Replica) Snapshot() Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshot
}

// ChangedAt returns the time at which the replica reached its current revision.
func (r *Replica) ChangedAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changedAt
}

// RecordsSince returns the audit records after a revision, for a peer whose
// replica is behind. It returns false when the retained records do not reach
// back to that revision; the peer then needs a whole snapshot.
func (r *Replica) RecordsSince(revision uint64) ([]Record, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	newest := r.snapshot.revision
	if revision >= newest {
		return nil, true
	}
	missing := newest - revision
	if missing > uint64(len(r.records)) {
		return nil, false
	}
	return r.records[uint64(len(r.records))-missing:], true
}

// ApplyRecords applies records in order and skips those up to the current
// revision. It returns an error at the first record that leaves a gap or can't
// be decoded; the records before it stay applied.
func (r *Replica) ApplyRecords(now time.Time, records []Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if rec.Revision <= r.snapshot.revision {
			continue
		}
		next, err := r.snapshot.WithRecord(rec)
		if err != nil {
			return err
		}
		r.snapshot = next
		r.records = append(r.records, rec)
		r.changedAt = now
	}
	if extra := len(r.records) - maxRecords; extra > 0 {
		r.records = append([]Record(nil), r.records[extra:]...)
	}
	return nil
}

// InstallSnapshot replaces the state of the replica by s. It ignores a snapshot
// that is not newer than the current one.
func (r *Replica) InstallSnapshot(now time.Time, s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.revision <= r.snapshot.revision {
		return
	}
	r.snapshot = s
	r.records = nil
	r.changedAt = now
}

// Refresh reads the edits that follow the current revision from the platform and
// applies them. A replica at revision zero first reads all entries. Rows that hold no record
// or entry are skipped; all entries are read where a record is missing.
func (r *Replica) Refresh(ctx context.Context, now time.Time) error {
	for {
		revision := r.Snapshot().Revision()
		if revision == 0 {
			if err := r.readEntries(ctx, now); err != nil {
				return err
			}
			revision = r.Snapshot().Revision()
		}
		page, err := r.readPage(ctx, revision)
		if err != nil {
			return err
		}
		err = r.ApplyRecords(now, page.records)
		if page.hasUnreadable || loomerror.Is(err, loomerror.RevisionConflict) {
			return r.readMissed(ctx, now)
		}
		// The next refresh reads the records that follow a page that is not full.
		if err != nil || !page.isFull {
			return err
		}
	}
}

// recordPage is a part of the audit trail.
type recordPage struct {
	records []Record
	// hasUnreadable is set if rows were skipped that hold no record, and isFull if more
	// records may follow.
	hasUnreadable, isFull bool
}

// readPage reads the first page of the audit trail after a revision that has records.
func (r *Replica) readPage(ctx context.Context, revision uint64) (recordPage, error) {
	after := fmt.Sprintf(auditKeyFormat, revision)
	page := recordPage{isFull: true}
	for page.isFull && len(page.records) == 0 {
		rows, err := r.readRecordRows(ctx, after)
		if err != nil {
			return recordPage{}, err
		}
		page.records = r.readableRecords(rows)
		page.hasUnreadable = page.hasUnreadable || len(page.records) < len(rows)
		if page.isFull = len(rows) == readBatchRows; page.isFull {
			after = rows[len(rows)-1].GetKey()
		}
	}
	return page, nil
}

// readMissed reads all entries if the catalogue is at a later revision than the replica: a
// record between them can't be read.
func (r *Replica) readMissed(ctx context.Context, now time.Time) error {
	revision, _, err := r.readHead(ctx)
	if err != nil || revision <= r.Snapshot().Revision() {
		return err
	}
	return r.readEntries(ctx, now)
}

// readableRecords returns the audit records in rows.
func (r *Replica) readableRecords(rows []*loompb.Row) []Record {
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var rec Record
		err := json.Unmarshal(row.GetValue(), &rec)
		if key := fmt.Sprintf(auditKeyFormat, rec.Revision); err == nil && key != row.GetKey() {
			err = errors.NotValidf("audit record of revision %d", rec.Revision)
		}
		if err != nil {
			r.addUnreadable(row.GetKey(), err)
			continue
		}
		records = append(records, rec)
	}
	return records
}

// maxUnreadable bounds the rows that are known to be unreadable.
const maxUnreadable = 64

// UnreadableRow is a row of the table that holds no record or entry of the catalogue.
type UnreadableRow struct {
	Key   string
	Cause error
}

// addUnreadable records an unreadable row, once for each key and at most maxUnreadable.
func (r *Replica) addUnreadable(key string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.unreadable, func(u UnreadableRow) bool { return u.Key == key }) || len(r.unreadable) >= maxUnreadable {
		return
	}
	r.unreadable = append(r.unreadable, UnreadableRow{Key: key, Cause: cause})
}

// Unreadable returns the unreadable rows after the first n that were found.
func (r *Replica) Unreadable(n int) []UnreadableRow {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Clone(r.unreadable[min(n, len(r.unreadable)):])
}

// readEntries reads all entries page by page, which is not atomic. It therefore
// reads the head before and after, and returns an error if the revision has
// changed meanwhile.
func (r *Replica) readEntries(ctx context.Context, now time.Time) error {
	before, _, err := r.readHead(ctx)
	if err != nil || before == 0 {
		return err
	}
	doc := Document{Revision: before}
	after := ""
	for {
		reply, err := r.table.ReadRows(ctx, &loompb.ReadRowsRequest{Prefix: entryPrefix, After: after, Limit: readBatchRows})
		if err != nil {
			return errors.Annotate(err, "read catalogue entries")
		}
		if len(reply.GetRows()) == 0 {
			break
		}
		for _, row := range reply.GetRows() {
			after = row.GetKey()
			c := Change{ID: entryID(row.GetKey()), Spec: row.GetValue()}
			if _, err := Decode(c.ID, c.Spec); err != nil {
				r.addUnreadable(row.GetKey(), err)
				continue
			}
			doc.Entries = append(doc.Entries, c)
		}
	}
	head, _, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if head != before {
		return errors.Errorf("catalogue changed from revision %d to %d while its entries were read", before, head)
	}
	s, err := FromDocument(doc)
	if err != nil {
		return err
	}
	r.InstallSnapshot(now, s)
	return nil
}

// entryID returns the ID of the entry that is stored under key.
func entryID(key string) ID {
	kind, name, _ := strings.Cut(strings.TrimPrefix(key, entryPrefix), "/")
	return ID{Kind(kind), name}
}

// readHead returns the revision in the head row and the version of that row. Both
// are zero when the row does not exist.
func (r *Replica) readHead(ctx context.Context) (revision, rowVersion uint64, err error) {
	reply, err := r.table.ReadRows(ctx, &loompb.ReadRowsRequest{Keys: []string{headKey}})
	if err != nil {
		return 0, 0, errors.Annotate(err, "read catalogue head")
	}
	for _, row := range reply.GetRows() {
		if row.GetVersion() == 0 {
			continue
		}
		if err := json.Unmarshal(row.GetValue(), &revision); err != nil {
			return 0, 0, errors.Annotate(err, "decode catalogue head")
		}
		return revision, row.GetVersion(), nil
	}
	return 0, 0, nil
}

// readRecords returns up to readBatchRows audit records after a revision.
func (r *Replica) readRecords(ctx context.Context, after uint64) ([]Record, error) {
	rows, err := r.readRecordRows(ctx, fmt.Sprintf(auditKeyFormat, after))
	if err != nil {
		return nil, err
	}
	return decodeRecords(rows)
}

// readRecordRows returns up to readBatchRows rows of the audit trail after a key.
func (r *Replica) readRecordRows(ctx context.Context, after string) ([]*loompb.Row, error) {
	reply, err := r.table.ReadRows(ctx, &loompb.ReadRowsRequest{Prefix: auditPrefix, After: after, Limit: readBatchRows})
	if err != nil {
		return nil, errors.Annotate(err, "read audit trail")
	}
	return reply.GetRows(), nil
}

func decodeRecords(rows []*loompb.Row) ([]Record, error) {
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var rec Record
		if err := json.Unmarshal(row.GetValue(), &rec); err != nil {
			return nil, errors.Annotatef(err, "decode audit record %s", row.GetKey())
		}
		records = append(records, rec)
	}
	return records, nil
}

// History reads all audit records after a revision from the platform.
func (r *Replica) History(ctx context.Context, after uint64) ([]Record, error) {
	var all []Record
	for {
		records, err := r.readRecords(ctx, after)
		if err != nil {
			return nil, loomerror.Wrap(loomerror.PlatformUnavailable, err, "read the audit trail after revision %d", after)
		}
		if len(records) == 0 {
			return all, nil
		}
		all = append(all, records...)
		last := records[len(records)-1].Revision
		if last <= after {
			return nil, errors.NotValidf("audit record with revision %d after revision %d", last, after)
		}
		after = last
	}
}

// ApplyEdit validates an edit, commits it to the platform and returns the
// revision that the edit created. It is idempotent: for an edit ID that is
// already committed it returns the revision of that edit, so that a caller can
// repeat an edit whose reply was lost.
func (r *Replica) ApplyEdit(ctx context.Context, now time.Time, e Edit) (uint64, error) {
	if revision, err := r.editRevision(ctx, e.ID); err != nil || revision > 0 {
		return revision, err
	}
	if err := r.Refresh(ctx, now); err != nil {
		return 0, platformUnavailable(err)
	}
	next, rec, err := r.Snapshot().Edit(now, e)
	if err != nil {
		return 0, err
	}
	_, rowVersion, err := r.readHead(ctx)
	if err != nil {
		return 0, platformUnavailable(err)
	}
	request, err := editRequest(rec, rowVersion)
	if err != nil {
		return 0, err
	}
	if err := r.commit(ctx, request, e); err != nil {
		return 0, err
	}
	return next.Revision(), r.ApplyRecords(now, []Record{rec})
}

// commit sends a conditional write and repeats it until its outcome is known, up
// to maxCommitAttempts times. Repeating it is safe, since its conditions let it
// take effect at most once.
func (r *Replica) commit(ctx context.Context, request *loompb.TransactRequest, e Edit) error {
	var cause error
	for range maxCommitAttempts {
		reply, err := r.table.Transact(ctx, request)
		if err == nil && reply.GetApplied() {
			return nil
		}
		revision, readErr := r.editRevision(ctx, e.ID)
		if readErr == nil && revision > 0 {
			return nil
		}
		if err == nil && readErr == nil {
			return r.revisionConflict(ctx, e)
		}
		cause = cmp.Or(err, readErr)
		select {
		case <-ctx.Done():
			return outcomeUnknown(cause)
		case <-time.After(commitRetryDelay):
		}
	}
	return outcomeUnknown(cause)
}

// editRequest returns the transaction that commits rec. Its conditions are that
// the head row still has rowVersion and that the edit ID and the revision are
// unused.
func editRequest(rec Record, rowVersion uint64) (*loompb.TransactRequest, error) {
	record, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Annotatef(err, "encode audit record %d", rec.Revision)
	}
	revision := []byte(fmt.Sprint(rec.Revision))
	request := &loompb.TransactRequest{
		Conditions: []*loompb.Condition{
			{Key: headKey, Version: rowVersion},
			{Key: editPrefix + rec.EditID},
			{Key: fmt.Sprintf(auditKeyFormat, rec.Revision)},
		},
		Writes: []*loompb.Write{
			{Key: headKey, Value: revision},
			{Key: editPrefix + rec.EditID, Value: revision},
			{Key: fmt.Sprintf(auditKeyFormat, rec.Revision), Value: record},
		},
	}
	for _, c := range rec.Changes {
		request.Writes = append(request.Writes, &loompb.Write{
			Key:    entryPrefix + c.String(),
			Value:  c.After,
			Delete: len(c.After) == 0,
		})
	}
	return request, nil
}

// editRevision returns the revision that a committed edit created, or zero if
// there is no edit with that ID.
func (r *Replica) editRevision(ctx context.Context, editID string) (uint64, error) {
	reply, err := r.table.ReadRows(ctx, &loompb.ReadRowsRequest{Keys: []string{editPrefix + editID}})
	if err != nil {
		return 0, platformUnavailable(err)
	}
	for _, row := range reply.GetRows() {
		var revision uint64
		if row.GetVersion() > 0 {
			err = json.Unmarshal(row.GetValue(), &revision)
			return revision, errors.Annotatef(err, "decode revision of edit %s", editID)
		}
	}
	return 0, nil
}

// revisionConflict returns the error for an edit whose conditions failed.
func (r *Replica) revisionConflict(ctx context.Context, e Edit) error {
	revision, _, err := r.readHead(ctx)
	if err != nil {
		return loomerror.New(loomerror.RevisionConflict, "another edit of revision %d was committed first", e.BaseRevision)
	}
	return loomerror.New(loomerror.RevisionConflict, "the edit was made from revision %d, but the catalogue is at revision %d", e.BaseRevision, revision)
}

// outcomeUnknown returns the error for a commit whose outcome is not known.
func outcomeUnknown(cause error) error {
	return loomerror.Wrap(loomerror.OutcomeUnknown, cause, "the platform did not confirm whether the edit was committed; repeat it with the same edit id")
}

// platformUnavailable returns the error for a failed call to the platform.
func platformUnavailable(err error) error {
	return loomerror.Wrap(loomerror.PlatformUnavailable, err, "the platform did not answer the request")
}
