package loomcache_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
)

// filledStore returns a store of 10,000 tokens with parts of 1,000 that were
// last used a minute apart, the first ones at the start.
func filledStore(start time.Time, parts int) *loomcache.StoreIndex {
	s := loomcache.NewStoreIndex()
	s.SetStores([]loomcache.StoreClass{storeClass("k", 10_000, time.Millisecond, time.Microsecond)})
	s.Restarted("k", 1)
	for i := range parts {
		s.Holds(start.Add(time.Duration(i)*time.Minute), "k", "x", fmt.Sprint(i), 1000)
	}
	return s
}

func TestRetire(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := start.Add(time.Hour)
	tests := []struct {
		name  string
		parts int
		play  func(s *loomcache.StoreIndex)
		now   time.Time
		want  []string
	}{
		{"there is room", 7, nil, later, nil},
		{"the parts not used for longest", 9, nil, later, []string{"0", "1", "2", "3"}},
		{"a use counts", 9, func(s *loomcache.StoreIndex) { s.Used(later, "x", "0") }, later, []string{"1", "2", "3", "4"}},
		{"a use under another salt does not", 9, func(s *loomcache.StoreIndex) { s.Used(later, "y", "0") }, later, []string{"0", "1", "2", "3"}},
		{"what was used just now stays", 9, nil, start.Add(2 * time.Minute), []string{"0", "1"}},
		{"a store that is down", 9, func(s *loomcache.StoreIndex) { s.Down("k") }, later, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := filledStore(start, tt.parts)
			if tt.play != nil {
				tt.play(s)
			}
			before, ok := s.Retire(tt.now, "k")
			assert.Equal(t, ok, tt.want != nil)
			got := make(map[string]bool)
			for _, part := range s.Idle("k", before, 100) {
				got[part.ID] = true
			}
			assert.Equal(t, len(got), len(tt.want))
			for _, id := range tt.want {
				assert.Assert(t, got[id], "part %s is not retired", id)
			}
		})
	}
}

// A part that is about to be freed is no source, even for a prompt that comes
// back right then, until its retirement is over.
func TestRetiredPartsAreNoSource(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := filledStore(start, 9)
	first, last := loomcache.PromptPart{ID: "0", Tokens: 1000}, loomcache.PromptPart{ID: "8", Tokens: 1000}
	before, ok := s.Retire(start.Add(time.Hour), "k")
	assert.Assert(t, ok)
	s.SetRetired("k", before)
	s.Used(start.Add(time.Hour), "x", "0")
	_, found := s.Source("x", first)
	assert.Assert(t, !found, "it is about to be freed")
	assert.Equal(t, s.Target(start.Add(time.Hour), "x", first, time.Second), "", "it is still there, so it can't be saved again")
	_, found = s.Source("x", last)
	assert.Assert(t, found, "the others stay")
	s.Gone("k", "x", "0")
	assert.Equal(t, s.Target(start.Add(time.Hour), "x", first, time.Second), "k", "it is saved again")
	s.Holds(start.Add(time.Hour), "k", "x", "0", 1000)
	_, found = s.Source("x", first)
	assert.Assert(t, found, "the new copy is no retired one")

	second := loomcache.PromptPart{ID: "1", Tokens: 1000}
	s.SetRetired("k", time.Time{})
	_, found = s.Source("x", second)
	assert.Assert(t, found, "the retirement was given up")
}
