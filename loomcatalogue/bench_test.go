package loomcatalogue_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

// BenchmarkWithRecord measures the time and memory that an instance needs to apply
// one edit to catalogues of several sizes, and the size of its record in JSON.
func BenchmarkWithRecord(b *testing.B) {
	for _, entries := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var s loomcatalogue.Snapshot
			e := loomcatalogue.Edit{ID: "install", Operator: "jan"}
			for i := range entries {
				e.Changes = append(e.Changes, group(b, fmt.Sprintf("g%d", i), i))
			}
			s, _, err := s.Edit(start, e)
			assert.NilError(b, err)
			_, rec, err := s.Edit(start, loomcatalogue.Edit{ID: "edit-1", Operator: "jan", BaseRevision: 1, Changes: []loomcatalogue.Change{group(b, "g7", 9)}})
			assert.NilError(b, err)
			data, err := json.Marshal(rec)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err = s.WithRecord(rec)
			}
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "B/record")
		})
	}
}
