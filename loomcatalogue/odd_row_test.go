package loomcatalogue_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loompb"
	"swiftloom/loomstandin"
)

// TestReplicaFollowsBesideOddRows guards against rows that keep replicas from following the
// catalogue, or from reading it at their start.
func TestReplicaFollowsBesideOddRows(t *testing.T) {
	record := func(revision int) string { return fmt.Sprintf("catalogue/audit/%020d", revision) }
	type row struct{ key, value string }
	var thousands []row
	for i := range 1200 {
		thousands = append(thousands, row{fmt.Sprintf("%s-%d", record(2), i), "odd"})
	}
	tests := []struct {
		name string
		rows []row
	}{
		{"newest record", []row{{record(3), "{"}}},
		{"record between others", []row{{record(2), strings.Repeat("[", 20_000)}}},
		{"two records", []row{{record(2), "null"}, {record(3), `{"revision":1e400}`}}},
		{"record of another revision", []row{{record(3), `{"revision":7}`}}},
		{"largest revision", []row{{record(3), `{"revision":18446744073709551615}`}}},
		{"other keys", []row{{"catalogue/audit/", "odd"}, {"catalogue/audit/zzz", "odd"}, {record(2) + "\x00", "odd"}, {"catalogue/audit/\xff", ""}}},
		{"thousands of rows", thousands},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := &flakyTable{table: &loomstandin.Table{}}
			writer, follower := loomcatalogue.NewReplica(table), loomcatalogue.NewReplica(table)
			apply := func(revision uint64) {
				t.Helper()
				_, err := writer.ApplyEdit(t.Context(), start, edit(t, fmt.Sprint("e", revision), revision-1, int(revision)))
				assert.NilError(t, err)
			}
			hasFollowed := func(replica *loomcatalogue.Replica, revision uint64) {
				t.Helper()
				for range 3 {
					assert.Check(t, replica.Refresh(t.Context(), start))
				}
				assert.Check(t, replica.Snapshot().Revision() == revision, "revision %d, want %d", replica.Snapshot().Revision(), revision)
				g, _ := replica.Snapshot().UpstreamGroup("g")
				assert.Check(t, g.MaxQueued == int(revision))
			}
			apply(1)
			hasFollowed(follower, 1)
			apply(2)
			apply(3)
			for _, r := range tt.rows {
				table.table.Transact(&loompb.TransactRequest{Writes: []*loompb.Write{{Key: r.key, Value: []byte(r.value)}}})
			}
			hasFollowed(follower, 3)
			apply(4)
			hasFollowed(follower, 4)
			hasFollowed(loomcatalogue.NewReplica(table), 4)
			assert.Check(t, len(follower.Unreadable(0)) > 0 && len(follower.Unreadable(0)) <= 64)
		})
	}
}

// TestOddEntryHidesNoOther guards against an entry of the catalogue that keeps replicas from
// reading the others.
func TestOddEntryHidesNoOther(t *testing.T) {
	for _, key := range []string{"catalogue/entry/upstream_group/x", "catalogue/entry/other/x", "catalogue/entry/", "catalogue/entry/\xff"} {
		for _, value := range []string{"", "null", "{", "[]", strings.Repeat("[", 20_000), `{"max_queued":1e400}`} {
			table := &flakyTable{table: &loomstandin.Table{}}
			_, err := loomcatalogue.NewReplica(table).ApplyEdit(t.Context(), start, edit(t, "e1", 0, 1))
			assert.NilError(t, err)
			table.table.Transact(&loompb.TransactRequest{Writes: []*loompb.Write{{Key: key, Value: []byte(value)}}})
			replica := loomcatalogue.NewReplica(table)
			assert.Check(t, replica.Refresh(t.Context(), start), "%q: %.20q", key, value)
			_, ok := replica.Snapshot().UpstreamGroup("g")
			assert.Check(t, ok, "%q: %.20q", key, value)
		}
	}
}
