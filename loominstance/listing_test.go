package loominstance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

// TestListingOfFormerShardsIsNotTakenForComplete guards against a listing that was
// requested before the home table changed and ends the listing that the change
// requires.
func TestListingOfFormerShardsIsNotTakenForComplete(t *testing.T) {
	tests := []struct {
		name string
		// cursor is the cursor of the store when the listing is requested.
		cursor uint64
	}{
		{"first listing", 0},
		{"later listing", 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			st := &store{member: loommember.Member{ID: "store"}, incarnation: 1, listCursor: tt.cursor}
			n := &Instance{index: &loomcache.Index{}, stores: &stores{byID: map[string]*store{"store": st}}}
			request := st.listRequest(now)
			assert.Assert(t, !request.GetLoadOnly())
			n.stores.resetListings()
			n.applyListing(now, st, request, &loompb.ListReply{Incarnation: 1, Last: 9})
			next := st.listRequest(now)
			assert.Equal(t, next.GetAfter(), uint64(0))
			assert.Assert(t, !next.GetLoadOnly(), "the blocks of the new shards are never listed")
		})
	}
}
