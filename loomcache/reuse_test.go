package loomcache_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
)

func TestReuseDetector(t *testing.T) {
	var r loomcache.ReuseDetector
	for i := range 5000 {
		assert.Assert(t, !r.Record("own", strconv.Itoa(i)), "a part that is seen once is not reused")
	}
	assert.Assert(t, !r.Record("session", "a"))
	assert.Assert(t, !r.Record("session", "b"))
	assert.Assert(t, r.Record("session", "a"))
	assert.Assert(t, r.Record("session", "c"), "one reuse marks the whole route")
	assert.Assert(t, !r.Record("own", "a"), "routes are independent")
}

func storeClass(address string, capacity int, firstByte, perToken time.Duration) loomcache.StoreClass {
	return loomcache.StoreClass{Address: address, Capacity: capacity, FirstByte: firstByte, PerToken: perToken}
}

func TestStoreIndex(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fast := storeClass("fast", 10_000, time.Millisecond/2, time.Microsecond)
	large := storeClass("large", 100_000, 6*time.Millisecond, 2*time.Microsecond)
	small, big := loomcache.PromptPart{ID: "s", Tokens: 1000}, loomcache.PromptPart{ID: "b", Tokens: 9000}
	const token = 9 * time.Microsecond
	newIndex := func() *loomcache.StoreIndex {
		s := loomcache.NewStoreIndex()
		s.SetStores([]loomcache.StoreClass{fast, large})
		s.SetEpoch("fast", 1)
		s.SetEpoch("large", 1)
		return s
	}
	tests := []struct {
		name  string
		setup func(s *loomcache.StoreIndex)
		part  loomcache.PromptPart
		// source and target are the expected addresses, or empty.
		source, target string
	}{
		{"not stored, a small part", func(*loomcache.StoreIndex) {}, small, "", "fast"},
		{"not stored, a large part", func(*loomcache.StoreIndex) {}, big, "", "large"},
		{"stored", func(s *loomcache.StoreIndex) { s.AddPart("large", "x", "b", 9000) }, big, "large", ""},
		{"stored under another salt", func(s *loomcache.StoreIndex) { s.AddPart("large", "y", "b", 9000) }, big, "", "large"},
		{"stored in part", func(s *loomcache.StoreIndex) { s.AddPart("large", "x", "b", 4000) }, big, "", ""},
		{"freed", func(s *loomcache.StoreIndex) { s.AddPart("large", "x", "b", 9000); s.RemovePart("large", "x", "b") }, big, "", "large"},
		{"a store that is down", func(s *loomcache.StoreIndex) { s.AddPart("large", "x", "b", 9000); s.MarkDown("large") }, big, "", "fast"},
		{"a store that answers again with the same epoch", func(s *loomcache.StoreIndex) {
			s.AddPart("large", "x", "b", 9000)
			s.MarkDown("large")
			s.SetEpoch("large", 1)
		}, big, "large", ""},
		{"a store that has restarted", func(s *loomcache.StoreIndex) {
			s.AddPart("large", "x", "b", 9000)
			s.SetEpoch("large", 2)
		}, big, "", "large"},
		{"full", func(s *loomcache.StoreIndex) { s.AddPart("fast", "x", "o", 9500) }, small, "", "large"},
		{"a pending save", func(s *loomcache.StoreIndex) { s.Target(at, "x", big, token) }, big, "", ""},
		{"an expired pending save", func(s *loomcache.StoreIndex) { s.Target(at.Add(-time.Minute), "x", big, token) }, big, "", "large"},
		{"faster to compute", func(s *loomcache.StoreIndex) { s.AddPart("fast", "x", "o", 9500) }, loomcache.PromptPart{ID: "t", Tokens: 300}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newIndex()
			tt.setup(s)
			source, _ := s.Source("x", tt.part)
			assert.Equal(t, source.Address, tt.source)
			assert.Equal(t, s.Target(at, "x", tt.part, token), tt.target)
		})
	}
}

func TestResidency(t *testing.T) {
	parts := []loomcache.PromptPart{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}, {ID: "c", Tokens: 50}}
	r := loomcache.NewResidency()
	assert.Equal(t, r.CachedTokens("e", "x", parts), 0)
	r.RecordPrompt("e", "x", parts, 1000)
	assert.Equal(t, r.CachedTokens("e", "x", parts), 350)
	assert.Equal(t, r.CachedTokens("e", "y", parts), 0, "another salt")
	assert.Equal(t, r.CachedTokens("f", "x", parts), 0, "another engine")
	r.Evicted("e", "x", "b")
	assert.Equal(t, r.CachedTokens("e", "x", parts), 100, "only parts before the first gap count")
	r.Cached("e", "x", "b", 200)
	r.RecordPrompt("e", "x", []loomcache.PromptPart{{ID: "d", Tokens: 300}}, 400)
	assert.Equal(t, r.CachedTokens("e", "x", parts), 0, "the least recently used parts are evicted first")
	r.Forget("e")
	assert.Equal(t, r.CachedTokens("e", "x", []loomcache.PromptPart{{ID: "d", Tokens: 300}}), 0)
}
