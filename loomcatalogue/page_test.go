package loomcatalogue_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loompb"
	"swiftloom/loomstandin"
)

// pagedTable is a table that returns at most maxRows rows of a range, which may be
// less than the limit of the request.
type pagedTable struct {
	flakyTable
	maxRows uint32
}

func (p *pagedTable) ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	limited := &loompb.ReadRowsRequest{Keys: r.GetKeys(), Prefix: r.GetPrefix(), After: r.GetAfter(), Limit: min(r.GetLimit(), p.maxRows)}
	return p.flakyTable.ReadRows(ctx, limited)
}

// TestShortPageIsNotTheLastOne guards against a page with fewer rows than the
// limit that counts as the last one.
func TestShortPageIsNotTheLastOne(t *testing.T) {
	const entries = 5
	whole := &flakyTable{table: &loomstandin.Table{}}
	writer := loomcatalogue.NewReplica(whole)
	for i := range entries {
		e := edit(t, fmt.Sprint(i), uint64(i), 1)
		e.Changes[0].Name = fmt.Sprint("g", i)
		_, err := writer.ApplyEdit(t.Context(), start, e)
		assert.NilError(t, err)
	}
	for maxRows := uint32(1); maxRows <= entries+1; maxRows++ {
		t.Run(fmt.Sprint(maxRows), func(t *testing.T) {
			replica := loomcatalogue.NewReplica(&pagedTable{flakyTable: *whole, maxRows: maxRows})
			assert.NilError(t, replica.Refresh(t.Context(), start))
			s := replica.Snapshot()
			assert.Check(t, s.Revision() == entries)
			assert.Check(t, len(s.Entries(loomcatalogue.KindUpstreamGroup)) == entries, "%d entries at revision %d", len(s.Entries(loomcatalogue.KindUpstreamGroup)), s.Revision())
			records, err := replica.History(t.Context(), 0)
			assert.NilError(t, err)
			assert.Check(t, len(records) == entries, "%d records", len(records))
		})
	}
}

// TestRefreshCatchesUpOverShortPages checks that short pages of the audit trail only
// delay a replica that has read the entries before.
func TestRefreshCatchesUpOverShortPages(t *testing.T) {
	const edits = 5
	table := &pagedTable{flakyTable: flakyTable{table: &loomstandin.Table{}}, maxRows: 1}
	replica, writer := loomcatalogue.NewReplica(table), loomcatalogue.NewReplica(&table.flakyTable)
	for i := range edits {
		_, err := writer.ApplyEdit(t.Context(), start, edit(t, fmt.Sprint(i), uint64(i), i))
		assert.NilError(t, err)
		if i == 0 {
			assert.NilError(t, replica.Refresh(t.Context(), start))
		}
	}
	for range edits {
		assert.NilError(t, replica.Refresh(t.Context(), start))
	}
	assert.Equal(t, replica.Snapshot().Revision(), uint64(edits))
}
