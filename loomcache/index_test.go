package loomcache_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomcache"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func saltFor(account string, version uint64) loomcache.Salt {
	return loomcache.Salt{ClientAccount: account, Model: "m", Version: version}
}

func tokens(seed uint32, blocks int) []uint32 {
	all := make([]uint32, blocks*loomcache.BlockTokens)
	for i := range all {
		all[i] = seed + uint32(i)
	}
	return all
}

func TestKeysDependOnSalt(t *testing.T) {
	text := tokens(7, 3)
	base := loomcache.Chain(saltFor("a", 1), text)
	tests := []struct {
		name string
		salt loomcache.Salt
	}{
		{"account", saltFor("b", 1)},
		{"version", saltFor("a", 2)},
		{"model", loomcache.Salt{ClientAccount: "a", Model: "n", Version: 1}},
		{"adapter", loomcache.Salt{ClientAccount: "a", Model: "m", Adapter: "x", Version: 1}},
		{"adapter version", loomcache.Salt{ClientAccount: "a", Model: "m", Version: 1, AdapterVersion: 1}},
		{"concatenated names are equal", loomcache.Salt{ClientAccount: "am", Model: "", Version: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i, k := range loomcache.Chain(tt.salt, text) {
				assert.Assert(t, k != base[i])
			}
		})
	}
}

func TestChainsShareKeysOfCommonPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := tokens(1, 6)
		b := append([]uint32(nil), a...)
		at := rapid.IntRange(0, len(b)-1).Draw(t, "changed")
		b[at]++
		ka, kb := loomcache.Chain(saltFor("a", 1), a), loomcache.Chain(saltFor("a", 1), b)
		for i := range ka {
			assert.Equal(t, ka[i] == kb[i], i < at/loomcache.BlockTokens)
		}
	})
}

func TestSegmentsCoverTheChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := loomcache.Chain(saltFor("a", 1), tokens(1, rapid.IntRange(0, 100).Draw(t, "blocks")))
		var joined []loomcache.Key
		for _, s := range loomcache.Segments(keys) {
			assert.Assert(t, len(s) > 0)
			joined = append(joined, s...)
		}
		assert.DeepEqual(t, joined, append([]loomcache.Key(nil), keys...))
	})
}

func observe(x *loomcache.Index, now time.Time, salt loomcache.Salt, keys []loomcache.Key, engine string) []loomcache.Export {
	return x.Observe(now, loomcache.Observation{Salt: salt, Keys: keys, Engine: engine, Incarnation: 1})
}

func seal(x *loomcache.Index, now time.Time, salt loomcache.Salt, keys []loomcache.Key, generation uint64) {
	for _, k := range keys {
		x.Sealed(now, keys[0], k, salt, loomcache.Stored{Store: "s1", Incarnation: 1, Generation: generation, Length: 100})
	}
}

func TestLookupFindsHoldersAndStored(t *testing.T) {
	x := loomcache.NewIndex()
	salt := saltFor("a", 1)
	keys := loomcache.Chain(salt, tokens(1, 5))
	exports := observe(x, start, salt, keys[:3], "e1")
	assert.Equal(t, len(exports), 1)
	assert.Equal(t, len(exports[0].Keys), 3)
	assert.Equal(t, len(observe(x, start, salt, keys[:3], "e2")), 0, "an export in flight is not requested again")
	seal(x, start, salt, keys[:2], 1)
	found := x.Lookup(start, "a", keys)
	assert.Equal(t, len(found.Stored), 2)
	assert.Equal(t, len(found.Holders), 2)
	assert.Equal(t, found.Holders[0].Blocks, 3)

	assert.Equal(t, len(x.Lookup(start, "b", keys).Stored), 0, "another account finds nothing with the same keys")
}

func TestLookupStopsAtFirstGap(t *testing.T) {
	x := loomcache.NewIndex()
	salt := saltFor("a", 1)
	keys := loomcache.Chain(salt, tokens(1, 4))
	seal(x, start, salt, keys, 1)
	x.Freed(keys[0], keys[1], "s1", 2)
	assert.Equal(t, len(x.Lookup(start, "a", keys).Stored), 4, "freeing another generation has no effect")
	x.Freed(keys[0], keys[1], "s1", 1)
	assert.Equal(t, len(x.Lookup(start, "a", keys).Stored), 1)
}

func TestStoreRestartMarksBlocksLost(t *testing.T) {
	x := loomcache.NewIndex()
	salt := saltFor("a", 1)
	keys := loomcache.Chain(salt, tokens(1, 4))
	seal(x, start, salt, keys, 1)
	x.StoreLost("s2", 0)
	assert.Equal(t, x.Size().Stored, 4)
	x.StoreLost("s1", 2)
	assert.Equal(t, x.Size().Stored, 0)
	assert.Equal(t, len(observe(x, start, salt, keys, "e1")), 1, "lost blocks are exported again")
}

func TestFailedImportFreesAndExportsAgain(t *testing.T) {
	x := loomcache.NewIndex()
	salt := saltFor("a", 1)
	keys := loomcache.Chain(salt, tokens(1, 2))
	seal(x, start, salt, keys, 9)
	assert.Equal(t, len(x.Failed("b", keys)), 0)
	drops := x.Failed("a", keys)
	assert.Equal(t, len(drops), 1)
	assert.DeepEqual(t, drops[0].Generations, []uint64{9, 9})
	assert.Equal(t, len(observe(x, start, salt, keys, "e1")), 1)
}

// TestTrimKeepsReusedPrompts checks that blocks of an account whose prompts are
// reused after long idle gaps are kept in favour of those of an account whose
// prompts are never reused.
func TestTrimKeepsReusedPrompts(t *testing.T) {
	x := loomcache.NewIndex()
	now := start
	const prompts = 30
	keysOf := func(account string, i int) []loomcache.Key {
		return loomcache.Chain(saltFor(account, 1), tokens(uint32(i*100_000), 2))
	}
	for i := range prompts {
		for _, account := range []string{"comes-back", "never"} {
			keys := keysOf(account, i)
			observe(x, now, saltFor(account, 1), keys, "e1")
			seal(x, now, saltFor(account, 1), keys, 1)
		}
	}
	now = now.Add(time.Hour)
	for i := range prompts {
		x.Lookup(now, "comes-back", keysOf("comes-back", i))
	}
	now = now.Add(10 * time.Minute)
	drops := x.Trim(now, "s1", prompts*200, nil)
	assert.Equal(t, len(drops), 1)
	assert.Equal(t, len(drops[0].Keys), prompts*2)
	for i := range prompts {
		assert.Equal(t, len(x.Lookup(now, "comes-back", keysOf("comes-back", i)).Stored), 2)
		assert.Equal(t, len(x.Lookup(now, "never", keysOf("never", i)).Stored), 0)
	}
}

func TestPinnedPromptsAreTrimmedLast(t *testing.T) {
	x := loomcache.NewIndex()
	salt := saltFor("a", 1)
	pinned := loomcache.Chain(salt, tokens(1, 1))
	other := loomcache.Chain(salt, tokens(999_999, 1))
	seal(x, start, salt, pinned, 1)
	seal(x, start.Add(time.Minute), salt, other, 1)
	x.Pin(pinned[0], start.Add(time.Hour))
	drops := x.Trim(start.Add(2*time.Minute), "s1", 1, nil)
	assert.DeepEqual(t, drops[0].Keys, other)
}

func TestOverBudgetTrimsToBudget(t *testing.T) {
	x := loomcache.NewIndex()
	for i := range 10 {
		for _, account := range []string{"greedy", "modest"} {
			keys := loomcache.Chain(saltFor(account, 1), tokens(uint32(i*100_000), 1))
			seal(x, start, saltFor(account, 1), keys, 1)
		}
	}
	drops := x.TrimOverBudget(start, "s1", []loomcache.Budget{{ClientAccount: "greedy", Bytes: 400}, {ClientAccount: "modest", Bytes: 2000}})
	assert.Equal(t, len(drops), 1)
	assert.Equal(t, len(drops[0].Keys), 6)
	assert.Equal(t, len(x.TrimOverBudget(start, "s1", []loomcache.Budget{{ClientAccount: "greedy", Bytes: 400}})), 0)
}

func TestRetireDropsOtherVersions(t *testing.T) {
	x := loomcache.NewIndex()
	for version := uint64(1); version <= 3; version++ {
		salt := saltFor("a", version)
		seal(x, start, salt, loomcache.Chain(salt, tokens(1, 2)), version)
	}
	drops := x.Retire("m", func(v uint64) bool { return v >= 3 })
	assert.Equal(t, len(drops), 1)
	assert.Equal(t, len(drops[0].Keys), 4)
	assert.Equal(t, x.Size().Trees, 1)
}

// TestIndexFollowsEvents compares the index with a model of the stores. In any
// order of events, a lookup must return neither a freed generation of a block nor
// a block of another account.
func TestIndexFollowsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := loomcache.NewIndex()
		accounts := []string{"a", "b"}
		stored := make(map[string]uint64)
		generation := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			salt := saltFor(account, 1)
			keys := loomcache.Chain(salt, tokens(uint32(rapid.IntRange(0, 2).Draw(t, "prompt")*100_000), 3))
			k := keys[rapid.IntRange(0, 2).Draw(t, "block")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				generation++
				x.Sealed(start, keys[0], k, salt, loomcache.Stored{Store: "s", Incarnation: 1, Generation: generation, Length: 1})
				stored[k.String()] = generation
			case 2:
				x.Freed(keys[0], k, "s", stored[k.String()])
				delete(stored, k.String())
			case 3:
				observe(x, start, salt, keys, "e")
			default:
				x.StoreLost("s", 2)
				clear(stored)
			}
			for i, s := range x.Lookup(start, account, keys).Stored {
				assert.Equal(t, s.Generation, stored[keys[i].String()])
			}
			for _, other := range accounts {
				if other != account {
					assert.Equal(t, len(x.Lookup(start, other, keys).Stored), 0)
				}
			}
		}
		assert.Equal(t, x.Size().Stored, len(stored))
	})
}

func BenchmarkCacheLookup(b *testing.B) {
	const blocks = 24
	for _, bench := range []struct {
		fleet, homes int
	}{{10_000, 1}, {10_000, 8}, {4_300_000, 1400}, {400_000, 1}} {
		b.Run(fmt.Sprintf("prompts=%d/homes=%d", bench.fleet, bench.homes), func(b *testing.B) {
			x := loomcache.NewIndex()
			salt := saltFor("a", 1)
			n := bench.fleet / bench.homes
			chains := make([][]loomcache.Key, n)
			for i := range chains {
				chains[i] = loomcache.Chain(salt, tokens(uint32(i*blocks*loomcache.BlockTokens), blocks))
				seal(x, start, salt, chains[i], 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			i := 0
			for b.Loop() {
				x.Lookup(start, "a", chains[i%n])
				i++
			}
		})
	}
}

func BenchmarkChain(b *testing.B) {
	text := tokens(1, 32)
	b.ReportAllocs()
	for b.Loop() {
		loomcache.Chain(saltFor("a", 1), text)
	}
}

// BenchmarkIndexMemory measures the heap memory per stored block of the index.
func BenchmarkIndexMemory(b *testing.B) {
	const blocks = 24
	for _, prompts := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("prompts=%d", prompts), func(b *testing.B) {
			salt := saltFor("a", 1)
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				x := loomcache.NewIndex()
				for i := range prompts {
					for _, segment := range loomcache.Segments(loomcache.Chain(salt, tokens(uint32(i*blocks*loomcache.BlockTokens), blocks))) {
						observe(x, start, salt, segment, "e1")
						seal(x, start, salt, segment, 1)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(prompts*blocks), "B/block")
				runtime.KeepAlive(x)
			}
		})
	}
}

// TestIndexBoundsItsMemory guards against prompts of one account that make the index exceed its
// bound or forget the prompts of another.
func TestIndexBoundsItsMemory(t *testing.T) {
	const size = 2 << 20
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x := loomcache.NewIndexOf(size)
	observe := func(account string, seed uint32, blocks int) [][]loomcache.Key {
		salt := loomcache.Salt{ClientAccount: account, Model: "m", Version: 1}
		segments := loomcache.Segments(loomcache.Chain(salt, tokens(seed, blocks)))
		for _, keys := range segments {
			x.Observe(now, loomcache.Observation{Salt: salt, Keys: keys, Engine: "e"})
		}
		return segments
	}
	ordinary := make([][][]loomcache.Key, 0, 20)
	for n := range uint32(20) {
		ordinary = append(ordinary, observe("ordinary", 1_000_000+n*10_000, 16))
	}
	for n := range uint32(300) {
		now = now.Add(time.Second)
		observe("crowd", n*10_000+2_000_000, 100)
		if blocks := x.Size().Blocks; blocks > size/400+100 {
			t.Fatalf("%d blocks after %d prompts, want at most %d", blocks, n+1, size/400)
		}
	}
	for i, segments := range ordinary {
		for _, keys := range segments {
			found := x.Lookup(now, "ordinary", keys)
			assert.Assert(t, len(found.Holders) == 1 && found.Holders[0].Blocks == len(keys), "ordinary prompt %d: %+v", i, found.Holders)
		}
	}
}
