package loomgate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
	"swiftloom/loomquarantine"
)

// TestOddQuarantineRowIsReplaced guards against a row that is written in vain again and again,
// and rows that keep others from being written.
func TestOddQuarantineRowIsReplaced(t *testing.T) {
	s := newFakeSource()
	g := newTestGate(t, "a", s, &fakeRunner{})
	now := time.Now()
	q := loomquarantine.Quarantine{Version: 1, Ends: 3, UsedAt: now}.WithSuspects(loomquarantine.NewSuspects("m", []string{"p"}, "")...)
	g.quarantine.ledger.Apply(now, []loomquarantine.Change{q})
	key := quarantineRowKey(q)
	for _, value := range []string{"{", "[]", `{"ends":-1}`, `{"trials":4611686018427387904}`, `{"weights":-1}`} {
		_, err := s.Transact(t.Context(), &loompb.TransactRequest{Writes: []*loompb.Write{{Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
		rows := page(s.version, row(key, value, s.version))
		for i := range 2 * maxQuarantineRows {
			rows.Rows = append(rows.Rows, row(fmt.Sprintf("quarantine/odd-%d", i), value, 1))
		}
		g.quarantine.applyRows(now, rows, true)
		writes := g.quarantine.rowWrites(now)
		assert.Assert(t, len(writes) == 1, "%d writes after the row %s", len(writes), value)
		assert.NilError(t, g.quarantine.write(t.Context(), writes[0]))
		assert.Check(t, len(g.quarantine.rowWrites(now)) == 0, "the row %s is replaced again", value)
		assert.Check(t, strings.Contains(string(s.rows[key].GetValue()), `"parts":["p"]`))
	}
}
