package loomcatalogue_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loompb"
	"swiftloom/loomstandin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var errLost = errors.New("reply lost")

// flakyTable is a table whose writes can fail before or after they take effect.
type flakyTable struct {
	table *loomstandin.Table
	// loseReplies is the number of writes left that take effect but whose reply
	// is lost, and refuse the number of writes left that fail without effect.
	loseReplies int
	refuse      int
}

func (f *flakyTable) Transact(_ context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	if f.refuse > 0 {
		f.refuse--
		return nil, errLost
	}
	reply := f.table.Transact(r)
	if f.loseReplies > 0 {
		f.loseReplies--
		return nil, errLost
	}
	return reply, nil
}

func (f *flakyTable) ReadRows(_ context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	return f.table.ReadRows(r), nil
}

func group(t assert.TestingT, name string, maxQueued int) loomcatalogue.Change {
	e := loomcatalogue.UpstreamGroup{
		Header:       loomcatalogue.Header{Owner: "parish", Class: "gold"},
		UpstreamKind: "engine",
		MaxQueued:    maxQueued,
	}
	spec, err := json.Marshal(e)
	assert.NilError(t, err)
	return loomcatalogue.Change{ID: loomcatalogue.ID{Kind: loomcatalogue.KindUpstreamGroup, Name: name}, Spec: spec}
}

func edit(t assert.TestingT, id string, base uint64, maxQueued int) loomcatalogue.Edit {
	return loomcatalogue.Edit{ID: id, Operator: "jan", BaseRevision: base, Changes: []loomcatalogue.Change{group(t, "g", maxQueued)}}
}

// A commit whose reply is lost must not be applied twice: the edit ID in the table
// shows that it has taken effect.
func TestLostReplyIsNotAppliedTwice(t *testing.T) {
	table := &flakyTable{table: &loomstandin.Table{}, loseReplies: 1}
	replica := loomcatalogue.NewReplica(table)
	revision, err := replica.ApplyEdit(t.Context(), start, edit(t, "e1", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
	records, err := replica.History(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)

	revision, err = replica.ApplyEdit(t.Context(), start, edit(t, "e1", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1), "a repeated edit creates no new revision")
}

// A commit that fails without effect is retried within the same call of ApplyEdit.
func TestFailedWriteIsRetried(t *testing.T) {
	table := &flakyTable{table: &loomstandin.Table{}, refuse: 1}
	revision, err := loomcatalogue.NewReplica(table).ApplyEdit(t.Context(), start, edit(t, "e1", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
}

// Of two edits of the same revision the second is rejected, and succeeds once it
// is based on the current revision.
func TestConflictingEdits(t *testing.T) {
	table := &flakyTable{table: &loomstandin.Table{}}
	a, b := loomcatalogue.NewReplica(table), loomcatalogue.NewReplica(table)
	_, err := a.ApplyEdit(t.Context(), start, edit(t, "a1", 0, 1))
	assert.NilError(t, err)
	_, err = b.ApplyEdit(t.Context(), start, edit(t, "b1", 0, 2))
	assert.Assert(t, loomerror.Is(err, loomerror.RevisionConflict))
	assert.ErrorContains(t, err, "the catalogue is at revision 1")
	_, err = b.ApplyEdit(t.Context(), start, edit(t, "b2", 1, 2))
	assert.NilError(t, err)
}

// Operators edit concurrently through two replicas, from current and outdated
// revisions, and replies of writes are lost: each accepted edit must have exactly
// one audit record, and the revisions of the records must have no gaps.
func TestEditsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &flakyTable{table: &loomstandin.Table{}}
		ctx := context.Background()
		replicas := []*loomcatalogue.Replica{loomcatalogue.NewReplica(table), loomcatalogue.NewReplica(table)}
		accepted := make(map[string]uint64)
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			replica := replicas[rapid.IntRange(0, 1).Draw(t, "replica")]
			table.loseReplies = rapid.IntRange(0, 1).Draw(t, "lost")
			base := rapid.Uint64Range(0, uint64(len(accepted))).Draw(t, "base")
			id := fmt.Sprint("e", i)
			revision, err := replica.ApplyEdit(ctx, start, edit(t, id, base, i))
			if err != nil {
				assert.Assert(t, loomerror.Is(err, loomerror.RevisionConflict), "%s", err)
				continue
			}
			assert.Equal(t, revision, base+1)
			accepted[id] = revision
		}
		table.loseReplies = 0
		records, err := replicas[0].History(ctx, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(records), len(accepted))
		for i, r := range records {
			assert.Equal(t, r.Revision, uint64(i+1))
			assert.Equal(t, accepted[r.EditID], r.Revision)
		}
	})
}

// Records and snapshots arrive out of order, more than once and late, as they do
// from the platform and from peers: the revision of a replica must never decrease,
// and its entries must be those of its revision.
func TestRevisionNeverDecreases(t *testing.T) {
	table := &flakyTable{table: &loomstandin.Table{}}
	writer := loomcatalogue.NewReplica(table)
	const revisions = 8
	for i := range uint64(revisions) {
		_, err := writer.ApplyEdit(t.Context(), start, edit(t, fmt.Sprint("e", i), i, int(i)))
		assert.NilError(t, err)
	}
	records, err := writer.History(t.Context(), 0)
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		replica := loomcatalogue.NewReplica(table)
		last := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			from := rapid.IntRange(0, revisions-1).Draw(t, "from")
			to := rapid.IntRange(from+1, revisions).Draw(t, "to")
			if rapid.Bool().Draw(t, "snapshot") {
				s := loomcatalogue.Snapshot{}
				for _, r := range records[:to] {
					s, err = s.WithRecord(r)
					assert.NilError(t, err)
				}
				s, err = loomcatalogue.FromDocument(s.Document())
				assert.NilError(t, err)
				replica.InstallSnapshot(start, s)
			} else {
				_ = replica.ApplyRecords(start, records[from:to])
			}
			now := replica.Snapshot().Revision()
			assert.Assert(t, now >= last)
			last = now
			if now > 0 {
				g, ok := replica.Snapshot().UpstreamGroup("g")
				assert.Assert(t, ok)
				assert.Equal(t, g.MaxQueued, int(now-1))
			}
		}
	})
}

// A replica at revision zero reads all entries instead of the whole audit trail, so
// it has no audit records to send to peers.
func TestRefreshFromEmpty(t *testing.T) {
	table := &flakyTable{table: &loomstandin.Table{}}
	writer := loomcatalogue.NewReplica(table)
	for i := range uint64(3) {
		_, err := writer.ApplyEdit(t.Context(), start, edit(t, fmt.Sprint("e", i), i, int(i)))
		assert.NilError(t, err)
	}
	replica := loomcatalogue.NewReplica(table)
	assert.NilError(t, replica.Refresh(t.Context(), start))
	assert.Equal(t, replica.Snapshot().Revision(), uint64(3))
	missing, ok := replica.RecordsSince(1)
	assert.Assert(t, !ok && missing == nil, "a replica that was initialized from the entries has no records for peers")
	missing, ok = writer.RecordsSince(1)
	assert.Assert(t, ok)
	assert.Equal(t, len(missing), 2)
}

func TestValidation(t *testing.T) {
	tests := []struct {
		name string
		id   loomcatalogue.ID
		spec string
		want string
	}{
		{"no owner", loomcatalogue.ID{Kind: "upstream_group", Name: "g"}, `{"class":"gold","upstream_kind":"engine"}`, "owner: is required"},
		{"bad class", loomcatalogue.ID{Kind: "upstream_group", Name: "g"}, `{"owner":"p","class":"tin","upstream_kind":"engine"}`, "class: must be gold, silver or bronze"},
		{"bad name", loomcatalogue.ID{Kind: "upstream_group", Name: "G/1"}, `{"owner":"p","class":"gold","upstream_kind":"engine"}`, "name: must be"},
		{"unknown field", loomcatalogue.ID{Kind: "upstream_group", Name: "g"}, `{"owner":"p","colour":"red"}`, `unknown field "colour"`},
		{"unknown kind", loomcatalogue.ID{Kind: "boat", Name: "g"}, `{}`, "unknown kind of entry"},
		{"reference to a missing entry", loomcatalogue.ID{Kind: "adapter", Name: "a"}, `{"owner":"p","class":"gold","model":"m","version":1}`, `names the model "m", which does not exist`},
		{"no key", loomcatalogue.ID{Kind: "client_account", Name: "a"}, `{"owner":"p","class":"gold","share":1,"tokens_per_second":1,"burst_tokens":1,"max_queued":1}`, "must hold at least one digest"},
		{"domain shares above 100 percent", loomcatalogue.ID{Kind: "deployment", Name: "d"}, `{"owner":"p","class":"gold","load_limit":1,"min_domain_share":60,"failure_domains":["a","b"]}`, "min_domain_share"},
		{"deletion of a missing entry", loomcatalogue.ID{Kind: "adapter", Name: "a"}, ``, "can't be deleted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s loomcatalogue.Snapshot
			_, _, err := s.Edit(start, loomcatalogue.Edit{ID: "e", Changes: []loomcatalogue.Change{{ID: tt.id, Spec: json.RawMessage(tt.spec)}}})
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func ExampleSnapshot_Edit() {
	var s loomcatalogue.Snapshot
	change := loomcatalogue.Change{
		ID:   loomcatalogue.ID{Kind: loomcatalogue.KindUpstreamGroup, Name: "engines"},
		Spec: json.RawMessage(`{"owner":"parish","class":"gold","upstream_kind":"engine"}`),
	}
	next, record, err := s.Edit(start, loomcatalogue.Edit{ID: "first", Operator: "jan", Changes: []loomcatalogue.Change{change}})
	fmt.Println(next.Revision(), record.Operator, err)
	// Output: 1 jan <nil>
}
