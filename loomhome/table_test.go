package loomhome_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomhome"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("entry-%d", i)
	}
	return all
}

func TestRemovalMovesOnlyShardsOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "members")
		members := names(n)
		removed := rapid.IntRange(0, n-1).Draw(t, "lost")
		before := loomhome.NewTable(members)
		rest := append(append([]string(nil), members[:removed]...), members[removed+1:]...)
		after := loomhome.NewTable(rest)
		for s := range loomhome.Shard(loomhome.ShardCount) {
			if before.Owner(s) != members[removed] && before.Owner(s) != after.Owner(s) {
				t.Fatalf("shard %d moved from %s to %s", s, before.Owner(s), after.Owner(s))
			}
		}
	})
}

// TestWithMembersEqualsNew checks that a table has the same owners as a new one
// after any sequence of changes of its members.
func TestWithMembersEqualsNew(t *testing.T) {
	all := names(12)
	rapid.Check(t, func(t *rapid.T) {
		table := loomhome.NewTable(nil)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			members := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string]).Draw(t, "members")
			table = table.WithMembers(members)
			want := loomhome.NewTable(members)
			for s := range loomhome.Shard(loomhome.ShardCount) {
				if table.Owner(s) != want.Owner(s) {
					t.Fatalf("shard %d: got owner %s, want %s", s, table.Owner(s), want.Owner(s))
				}
			}
		}
	})
}

func BenchmarkReplaceMember(b *testing.B) {
	for _, n := range []int{8, 200, 1400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			table := loomhome.NewTable(names(n))
			replaced := names(n)
			replaced[0] = "entry-new"
			for b.Loop() {
				table.WithMembers(replaced)
			}
		})
	}
}

func TestShardsAreBalanced(t *testing.T) {
	tests := []struct{ members int }{{1}, {8}, {200}}
	for _, tt := range tests {
		table := loomhome.NewTable(names(tt.members))
		mean := loomhome.ShardCount / tt.members
		for _, m := range table.Members() {
			n := len(table.Shards(m))
			assert.Assert(t, n > mean/2 && n < mean*2, "%s of %d has %d shards", m, tt.members, n)
		}
	}
}

func TestRankIgnoresOrder(t *testing.T) {
	a := loomhome.Rank([]byte("k"), []string{"a", "b", "c", "d"}, 2)
	b := loomhome.Rank([]byte("k"), []string{"d", "c", "b", "a"}, 2)
	assert.DeepEqual(t, a, b)
	assert.Equal(t, len(a), 2)
}

func TestEmptyTable(t *testing.T) {
	var table loomhome.Table
	assert.Equal(t, table.Home([]byte("k")), "")
	assert.Equal(t, len(table.Shards("x")), 0)
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{8, 200, 1400} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := names(n)
			for b.Loop() {
				loomhome.NewTable(members)
			}
		})
	}
}
