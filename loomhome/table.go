// Package loomhome assigns shards of keys to instances by rendezvous hashing,
// so that instances with the same view of the members agree on the home of a
// prompt, an account or an idempotency key without talking to each other.
package loomhome

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards that keys fall into. It is part of the
// protocol between instances and stores.
const ShardCount = 16384

// Shard names a part of the keys.
type Shard uint32

// ShardOf returns the shard of a key.
func ShardOf(key []byte) Shard {
	return Shard(xxhash.Sum64(key) % ShardCount)
}

// Table maps each shard to its home. It is immutable; the zero value has no
// members.
type Table struct {
	// members is sorted and without duplicates.
	members []string
	// owners and weights are empty or have ShardCount elements; owners holds
	// the index of the member with the highest weight for the shard.
	owners  []int32
	weights []uint64
}

// NewTable returns the table over the given members.
func NewTable(members []string) Table {
	t := Table{members: slices.Compact(slices.Sorted(slices.Values(members)))}
	if len(t.members) == 0 {
		return t
	}
	t.owners = make([]int32, ShardCount)
	t.weights = make([]uint64, ShardCount)
	seeds := seedsOf(t.members)
	for s := range t.owners {
		t.choose(Shard(s), seeds)
	}
	return t
}

// WithMembers returns the table over the given members. It is equal to a new one,
// and costs less when few members differ from those of t.
func (t Table) WithMembers(members []string) Table {
	next := Table{members: slices.Compact(slices.Sorted(slices.Values(members)))}
	if len(t.members) == 0 || len(next.members) == 0 {
		return NewTable(members)
	}
	next.owners = make([]int32, ShardCount)
	next.weights = make([]uint64, ShardCount)
	moved := t.positionsIn(next.members)
	var added []int
	for i, m := range next.members {
		if _, ok := slices.BinarySearch(t.members, m); !ok {
			added = append(added, i)
		}
	}
	seeds := seedsOf(next.members)
	for s := range next.owners {
		candidates := added
		if i := moved[t.owners[s]]; i >= 0 {
			next.owners[s] = i
			next.weights[s] = t.weights[s]
		} else {
			candidates = nil
			next.choose(Shard(s), seeds)
		}
		for _, i := range candidates {
			if w := weight(seeds[i], Shard(s)); w > next.weights[s] {
				next.owners[s] = int32(i)
				next.weights[s] = w
			}
		}
	}
	return next
}

// positionsIn returns where each member of t stands in members, or -1.
func (t Table) positionsIn(members []string) []int32 {
	moved := make([]int32, len(t.members))
	for i, m := range t.members {
		moved[i] = -1
		if at, ok := slices.BinarySearch(members, m); ok {
			moved[i] = int32(at)
		}
	}
	return moved
}

func seedsOf(members []string) []uint64 {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = xxhash.Sum64String(m)
	}
	return seeds
}

// choose sets the owner of a shard among all members.
func (t Table) choose(s Shard, seeds []uint64) {
	for i, seed := range seeds {
		if w := weight(seed, s); i == 0 || w > t.weights[s] {
			t.owners[s] = int32(i)
			t.weights[s] = w
		}
	}
}

// Members returns the members in order; the caller must not change the slice.
func (t Table) Members() []string {
	return t.members
}

// Owner returns the home of a shard, or an empty string without members.
func (t Table) Owner(s Shard) string {
	if len(t.owners) == 0 {
		return ""
	}
	return t.members[t.owners[s%ShardCount]]
}

// Home returns the home of a key.
func (t Table) Home(key []byte) string {
	return t.Owner(ShardOf(key))
}

// Shards returns the shards whose home is member.
func (t Table) Shards(member string) []Shard {
	i, ok := slices.BinarySearch(t.members, member)
	if !ok {
		return nil
	}
	var shards []Shard
	for s, owner := range t.owners {
		if int(owner) == i {
			shards = append(shards, Shard(s))
		}
	}
	return shards
}

// Rank orders names by their weight for a key, highest first, and returns the
// first n. The result does not depend on the order of names.
func Rank(key []byte, names []string, n int) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	seed := Shard(xxhash.Sum64(key))
	all := make([]ranked, 0, len(names))
	for _, name := range names {
		all = append(all, ranked{name, weight(xxhash.Sum64String(name), seed)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	first := make([]string, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		first = append(first, r.name)
	}
	return first
}

func weight(seed uint64, s Shard) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint32(b[8:], uint32(s))
	return xxhash.Sum64(b[:])
}
