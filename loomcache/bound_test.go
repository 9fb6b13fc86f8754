package loomcache_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
)

// heapOf returns by how many bytes the heap has grown in a call, and keeps what it returns alive.
func heapOf(call func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := call()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// headOf returns a part whose ID is a piece of a long head, as a parsed request has it.
func headOf(n, idBytes, tokens int) loomcache.PromptPart {
	head := fmt.Sprintf("%0*x%s", idBytes, n, strings.Repeat("x", 8<<10))
	return loomcache.PromptPart{ID: head[:idBytes], Tokens: tokens}
}

// TestRetentionIsBounded guards against parts of prompts that take more memory than the bound
// states, whatever their number, their tokens and the text that they are pieces of.
func TestRetentionIsBounded(t *testing.T) {
	const size = 4 << 20
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		fill func() any
	}{
		{"residency, parts of one token", func() any {
			r := loomcache.NewResidencyOf(size)
			for n := range 200_000 {
				r.RecordPrompt(fmt.Sprint("e", n%18), "s", []loomcache.PromptPart{headOf(n, 16, 1)}, 169_100)
			}
			return r
		}},
		{"residency, events", func() any {
			r := loomcache.NewResidencyOf(size)
			for n := range 200_000 {
				r.Cached(fmt.Sprint("e", n%18), "s", headOf(n, 16, 100).ID, 100)
			}
			return r
		}},
		{"residency, sums that overflow", func() any {
			r := loomcache.NewResidencyOf(size)
			for n := range 100_000 {
				r.Cached("e", "s", headOf(n, 16, 1).ID, 1<<62)
			}
			return r
		}},
		{"stored parts", func() any {
			s := loomcache.NewStoreIndexOf(size)
			s.SetStores([]loomcache.StoreClass{storeClass("a", 100_000_000, 0, 0), storeClass("b", 100_000_000, 0, 0)})
			s.SetEpoch("a", 1)
			s.SetEpoch("b", 1)
			for n := range 100_000 {
				p := headOf(n, 100, 100)
				s.AddPart([]string{"a", "b"}[n%2], strings.Clone("salt"), strings.Clone(p.ID), p.Tokens)
			}
			return s
		}},
		{"pending saves", func() any {
			s := loomcache.NewStoreIndexOf(size)
			s.SetStores([]loomcache.StoreClass{storeClass("a", 100_000_000, 0, 0)})
			s.SetEpoch("a", 1)
			for n := range 20_000 {
				s.Target(at, "salt", headOf(n, 100, 1), time.Microsecond)
			}
			return s
		}},
		{"last parts", func() any {
			r := loomcache.NewReuseDetector(size)
			for n := range 200_000 {
				r.Record(fmt.Sprint("route", n/2000), headOf(n, 2000, 1).ID)
			}
			return r
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			grown := heapOf(tt.fill)
			t.Logf("%d KiB of %d", grown>>10, size>>10)
			assert.Assert(t, grown <= size, "%d bytes, want at most %d", grown, size)
		})
	}
}

// TestBoundKeepsOrdinaryParts guards against a bound that drives out the parts of ordinary prompts
// before those of prompts with very many short parts.
func TestBoundKeepsOrdinaryParts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const engines, capacity = 18, 135_000
	r := loomcache.NewResidencyOf(2 << 20)
	sessions := make([][]loomcache.PromptPart, 0, 200)
	for n := range 200 {
		sessions = append(sessions, []loomcache.PromptPart{{ID: "shared", Tokens: 650}, {ID: fmt.Sprint("session", n), Tokens: 200 + n}})
	}
	engineOf := func(n int) string { return fmt.Sprint("e", n%engines) }
	for n := range 200_000 {
		r.RecordPrompt(engineOf(random.IntN(engines)), "s", []loomcache.PromptPart{{ID: fmt.Sprint("short", n), Tokens: 1 + n%4}}, capacity)
		if n%1000 == 0 {
			session := n / 1000
			r.RecordPrompt(engineOf(session), "s", sessions[session], capacity)
		}
	}
	kept := 0
	for n, parts := range sessions {
		if r.CachedTokens(engineOf(n), "s", parts) == 850+n {
			kept++
		}
	}
	assert.Assert(t, kept == len(sessions), "%d of %d sessions are known", kept, len(sessions))
}
