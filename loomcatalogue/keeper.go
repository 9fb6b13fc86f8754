package loomcatalogue

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomerror"
	"swiftloom/loompb"
)

const (
	headKey      = "catalogue/head"
	auditPrefix  = "catalogue/audit/"
	editPrefix   = "catalogue/edit/"
	entryPrefix  = "catalogue/entry/"
	readLimit    = 500
	settleTries  = 5
	settlePause  = 200 * time.Millisecond
	keptRecords  = 2048
	auditKeyForm = auditPrefix + "%020d"
)

// Table is the part of the platform's transactional table that a Keeper uses.
type Table interface {
	Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error)
	ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error)
}

// Keeper holds the newest known catalogue of a process. Its revision never
// falls. Its methods may be called concurrently.
type Keeper struct {
	table Table

	mu       sync.RWMutex
	snapshot Snapshot
	// records holds the latest accepted records without a gap, oldest first;
	// the last one has the revision of snapshot.
	records []Record
	// changedAt is when the process took in the current revision.
	changedAt time.Time
}

// NewKeeper returns a Keeper of the empty catalogue.
func NewKeeper(table Table) *Keeper {
	return &Keeper{table: table}
}

// Snapshot returns the newest known catalogue.
func (k *Keeper) Snapshot() Snapshot {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.snapshot
}

// ChangedAt returns when the current revision was taken in.
func (k *Keeper) ChangedAt() time.Time {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.changedAt
}

// Since returns the records after a revision for a peer that is behind. The
// result is false when the kept records no longer reach back that far.
func (k *Keeper) Since(revision uint64) ([]Record, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	newest := k.snapshot.revision
	if revision >= newest {
		return nil, true
	}
	missing := newest - revision
	if missing > uint64(len(k.records)) {
		return nil, false
	}
	return k.records[uint64(len(k.records))-missing:], true
}

// Take adds records that follow the current revision and skips older ones. A
// gap is an error and leaves the rest out.
func (k *Keeper) Take(now time.Time, records []Record) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, rec := range records {
		if rec.Revision <= k.snapshot.revision {
			continue
		}
		next, err := k.snapshot.WithRecord(rec)
		if err != nil {
			return err
		}
		k.snapshot = next
		k.records = append(k.records, rec)
		k.changedAt = now
	}
	if extra := len(k.records) - keptRecords; extra > 0 {
		k.records = append([]Record(nil), k.records[extra:]...)
	}
	return nil
}

// TakeSnapshot replaces the catalogue by a newer one; an older one is ignored.
func (k *Keeper) TakeSnapshot(now time.Time, s Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.revision <= k.snapshot.revision {
		return
	}
	k.snapshot = s
	k.records = nil
	k.changedAt = now
}

// Refresh reads newer records from the platform.
func (k *Keeper) Refresh(ctx context.Context, now time.Time) error {
	for {
		revision := k.Snapshot().Revision()
		if revision == 0 {
			if err := k.readAll(ctx, now); err != nil {
				return err
			}
			revision = k.Snapshot().Revision()
		}
		records, err := k.readRecords(ctx, revision)
		if err != nil {
			return err
		}
		if err := k.Take(now, records); err != nil {
			return err
		}
		if len(records) < readLimit {
			return nil
		}
	}
}

// readAll reads the entries between two reads of the head and gives up the
// result when the head moved meanwhile.
func (k *Keeper) readAll(ctx context.Context, now time.Time) error {
	before, _, err := k.readHead(ctx)
	if err != nil || before == 0 {
		return err
	}
	doc := Document{Revision: before}
	after := ""
	for {
		reply, err := k.table.ReadRows(ctx, &loompb.ReadRowsRequest{Prefix: entryPrefix, After: after, Limit: readLimit})
		if err != nil {
			return errors.Annotate(err, "read catalogue entries")
		}
		for _, row := range reply.GetRows() {
			after = row.GetKey()
			doc.Entries = append(doc.Entries, Change{ID: entryID(row.GetKey()), Spec: row.GetValue()})
		}
		if len(reply.GetRows()) < readLimit {
			break
		}
	}
	head, _, err := k.readHead(ctx)
	if err != nil {
		return err
	}
	if head != before {
		return errors.Errorf("the catalogue moved from revision %d to %d during the read", before, head)
	}
	s, err := FromDocument(doc)
	if err != nil {
		return err
	}
	k.TakeSnapshot(now, s)
	return nil
}

func entryID(key string) ID {
	kind, name, _ := strings.Cut(strings.TrimPrefix(key, entryPrefix), "/")
	return ID{Kind(kind), name}
}

func (k *Keeper) readHead(ctx context.Context) (revision, rowVersion uint64, err error) {
	reply, err := k.table.ReadRows(ctx, &loompb.ReadRowsRequest{Keys: []string{headKey}})
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

func (k *Keeper) readRecords(ctx context.Context, after uint64) ([]Record, error) {
	reply, err := k.table.ReadRows(ctx, &loompb.ReadRowsRequest{
		Prefix: auditPrefix,
		After:  fmt.Sprintf(auditKeyForm, after),
		Limit:  readLimit,
	})
	if err != nil {
		return nil, errors.Annotate(err, "read audit trail")
	}
	return decodeRecords(reply.GetRows())
}

func decodeRecords(rows []*loompb.Row) ([]Record, error) {
	records := make([]Record, 0, len(rows))
	for _, row := range rows {
		var rec Record
		if err := json.Unmarshal(row.GetValue(), &rec); err != nil {
			return nil, errors.Annotatef(err, "decode %s", row.GetKey())
		}
		records = append(records, rec)
	}
	return records, nil
}

// History reads the audit trail after a revision from the platform.
func (k *Keeper) History(ctx context.Context, after uint64) ([]Record, error) {
	var all []Record
	for {
		records, err := k.readRecords(ctx, after)
		if err != nil {
			return nil, loomerror.Wrap(loomerror.PlatformUnavailable, err, "the audit trail can't be read")
		}
		all = append(all, records...)
		if len(records) < readLimit {
			return all, nil
		}
		after = records[len(records)-1].Revision
	}
}

// Apply carries an edit to the platform and returns the revision that it made.
// An edit whose identity the platform already holds returns its revision, so
// that a caller may repeat an edit whose reply was lost.
func (k *Keeper) Apply(ctx context.Context, now time.Time, e Edit) (uint64, error) {
	if revision, err := k.editRevision(ctx, e.ID); err != nil || revision > 0 {
		return revision, err
	}
	if err := k.Refresh(ctx, now); err != nil {
		return 0, unavailable(err)
	}
	next, rec, err := k.Snapshot().Edit(now, e)
	if err != nil {
		return 0, err
	}
	_, rowVersion, err := k.readHead(ctx)
	if err != nil {
		return 0, unavailable(err)
	}
	request, err := editRequest(rec, rowVersion)
	if err != nil {
		return 0, err
	}
	if err := k.commit(ctx, request, e); err != nil {
		return 0, err
	}
	return next.Revision(), k.Take(now, []Record{rec})
}

// commit sends a conditional write until it is known whether it took effect.
// Its conditions let it take effect once at most.
func (k *Keeper) commit(ctx context.Context, request *loompb.TransactRequest, e Edit) error {
	var cause error
	for range settleTries {
		reply, err := k.table.Transact(ctx, request)
		if err == nil && reply.GetApplied() {
			return nil
		}
		revision, readErr := k.editRevision(ctx, e.ID)
		if readErr == nil && revision > 0 {
			return nil
		}
		if err == nil && readErr == nil {
			return k.conflict(ctx, e)
		}
		cause = cmp.Or(err, readErr)
		select {
		case <-ctx.Done():
			return unknownOutcome(cause)
		case <-time.After(settlePause):
		}
	}
	return unknownOutcome(cause)
}

func editRequest(rec Record, rowVersion uint64) (*loompb.TransactRequest, error) {
	record, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Annotate(err, "encode record")
	}
	revision := []byte(fmt.Sprint(rec.Revision))
	request := &loompb.TransactRequest{
		Conditions: []*loompb.Condition{
			{Key: headKey, Version: rowVersion},
			{Key: editPrefix + rec.EditID},
			{Key: fmt.Sprintf(auditKeyForm, rec.Revision)},
		},
		Writes: []*loompb.Write{
			{Key: headKey, Value: revision},
			{Key: editPrefix + rec.EditID, Value: revision},
			{Key: fmt.Sprintf(auditKeyForm, rec.Revision), Value: record},
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

func (k *Keeper) editRevision(ctx context.Context, editID string) (uint64, error) {
	reply, err := k.table.ReadRows(ctx, &loompb.ReadRowsRequest{Keys: []string{editPrefix + editID}})
	if err != nil {
		return 0, unavailable(err)
	}
	for _, row := range reply.GetRows() {
		var revision uint64
		if row.GetVersion() > 0 {
			err = json.Unmarshal(row.GetValue(), &revision)
			return revision, errors.Annotate(err, "decode edit")
		}
	}
	return 0, nil
}

func (k *Keeper) conflict(ctx context.Context, e Edit) error {
	revision, _, err := k.readHead(ctx)
	if err != nil {
		return loomerror.New(loomerror.RevisionConflict, "another edit of revision %d came first", e.BaseRevision)
	}
	return loomerror.New(loomerror.RevisionConflict, "the edit was made from revision %d, but the catalogue is at revision %d", e.BaseRevision, revision)
}

func unknownOutcome(cause error) error {
	return loomerror.Wrap(loomerror.OutcomeUnknown, cause, "the platform did not say whether the edit took effect; repeat it under the same edit id")
}

func unavailable(err error) error {
	return loomerror.Wrap(loomerror.PlatformUnavailable, err, "the platform does not answer")
}
