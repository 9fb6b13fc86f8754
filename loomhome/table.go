// Package loomhome assigns shards of the key space to instances by rendezvous
// hashing. Instances with the same list of members agree on the owner of a
// prompt, an account or an idempotency key without communication.
package loomhome

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards of the key space. It is part of the protocol
// between instances and stores.
const ShardCount = 16384

// Shard is the number of a shard of the key space.
type Shard uint32

// ShardOf returns the shard of a key.
func ShardOf(key []byte) Shard {
	return Shard(xxhash.Sum64(key) % ShardCount)
}

// Table maps each shard to the member that owns it. It is immutable; the zero
// value has no members.
type Table struct {
	// members is sorted and without duplicates.
	members []string
	// owners has the index of the member with the highest weight for each shard,
	// and weights that weight. Both are empty or have ShardCount elements.
	owners  []int32
	weights []uint64
}

// NewTable returns a table for the given members.
func NewTable(members []string) Table {
	t := Table{members: slices.Compact(slices.Sorted(slices.Values(members)))}
	if len(t.members) == 0 {
		return t
	}
	t.owners = make([]int32, ShardCount)
	t.weights = make([]uint64, ShardCount)
	seeds := memberSeeds(t.members)
	for s := range t.owners {
		t.assignOwner(Shard(s), seeds)
	}
	return t
}

// WithMembers returns a table for the given members. The result equals that of
// NewTable, but takes less time if few members differ from those of t.
func (t Table) WithMembers(members []string) Table {
	next := Table{members: slices.Compact(slices.Sorted(slices.Values(members)))}
	if len(t.members) == 0 || len(next.members) == 0 {
		return NewTable(members)
	}
	next.owners = make([]int32, ShardCount)
	next.weights = make([]uint64, ShardCount)
	positions := t.positionsIn(next.members)
	var added []int
	for i, m := range next.members {
		if _, ok := slices.BinarySearch(t.members, m); !ok {
			added = append(added, i)
		}
	}
	seeds := memberSeeds(next.members)
	for s := range next.owners {
		candidates := added
		if i := positions[t.owners[s]]; i >= 0 {
			next.owners[s] = i
			next.weights[s] = t.weights[s]
		} else {
			candidates = nil
			next.assignOwner(Shard(s), seeds)
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

// positionsIn returns the index of each member of t in the sorted slice members,
// or -1.
func (t Table) positionsIn(members []string) []int32 {
	positions := make([]int32, len(t.members))
	for i, m := range t.members {
		positions[i] = -1
		if at, ok := slices.BinarySearch(members, m); ok {
			positions[i] = int32(at)
		}
	}
	return positions
}

// memberSeeds returns the hash of each member, from which its weights are derived.
func memberSeeds(members []string) []uint64 {
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = xxhash.Sum64String(m)
	}
	return seeds
}

// assignOwner sets the owner of a shard to the member with the highest weight.
func (t Table) assignOwner(s Shard, seeds []uint64) {
	for i, seed := range seeds {
		if w := weight(seed, s); i == 0 || w > t.weights[s] {
			t.owners[s] = int32(i)
			t.weights[s] = w
		}
	}
}

// Members returns the members in ascending order. The caller must not modify the
// slice.
func (t Table) Members() []string {
	return t.members
}

// Owner returns the member that owns a shard, or an empty string if the table has
// no members.
func (t Table) Owner(s Shard) string {
	if len(t.owners) == 0 {
		return ""
	}
	return t.members[t.owners[s%ShardCount]]
}

// Home returns the member that owns the shard of a key, or an empty string if the
// table has no members.
func (t Table) Home(key []byte) string {
	return t.Owner(ShardOf(key))
}

// Shards returns the shards that a member owns, in ascending order.
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

// Rank returns the n names with the highest rendezvous weights for a key, highest
// first. The result does not depend on the order of names.
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

// weight returns the rendezvous weight of the member with the hash seed for a
// shard.
func weight(seed uint64, s Shard) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint32(b[8:], uint32(s))
	return xxhash.Sum64(b[:])
}
