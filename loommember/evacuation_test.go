package loommember_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loommember"
	"swiftloom/loomplatform"
)

// evacuationGrace is how long an evacuation stays in force that the store has lost.
const evacuationGrace = 4 * time.Second

// evacuationTable is the operators' table in a store that may return from an older copy.
type evacuationTable struct {
	epoch, version uint64
	// rows holds the version of the row of each evacuated domain, and deleted that of the
	// deletion of the others.
	rows, deleted map[string]uint64
}

func (s evacuationTable) position(version uint64) uint64 {
	return loomplatform.Position(s.epoch, version)
}

func (s evacuationTable) copyOf() evacuationTable {
	s.rows, s.deleted = maps.Clone(s.rows), maps.Clone(s.deleted)
	return s
}

// evacuationReader is an instance that reads the table and passes its rows on.
type evacuationReader struct {
	evacuations loommember.Evacuations
	// known is the position up to which it has read, and rows holds the positions of the rows
	// that it passes on.
	known uint64
	rows  map[string]uint64
}

// apply applies a list of all rows, or of changes and deletions.
func (r *evacuationReader) apply(now time.Time, position uint64, rows, deleted map[string]uint64, full bool) {
	if position < r.known {
		return
	}
	for domain, version := range deleted {
		if r.evacuations.End(now, domain, version) == loommember.EvacuationEnded {
			delete(r.rows, domain)
		}
	}
	for domain, version := range rows {
		r.evacuations.Start(domain, version)
		r.rows[domain] = max(r.rows[domain], version)
	}
	for _, domain := range r.evacuations.Evacuated() {
		version, ok := rows[domain]
		if full && (!ok || loomplatform.PositionEpoch(version) != loomplatform.PositionEpoch(position)) {
			r.evacuations.Missing(now, domain, position)
		}
	}
	r.known = position
	r.expire(now)
}

func (r *evacuationReader) expire(now time.Time) {
	r.evacuations.Expire(now, r.known)
	for domain := range r.rows {
		if !r.evacuations.IsEvacuated(domain) {
			delete(r.rows, domain)
		}
	}
}

// read lets the instance read the table, its changes if it can.
func (r *evacuationReader) read(now time.Time, s evacuationTable, full bool) {
	full = full || r.known == 0 || loomplatform.PositionEpoch(r.known) != s.epoch
	rows, deleted := make(map[string]uint64), make(map[string]uint64)
	for domain, version := range s.rows {
		if full || s.position(version) > r.known {
			rows[domain] = s.position(version)
		}
	}
	for domain, version := range s.deleted {
		if !full && s.position(version) > r.known {
			deleted[domain] = s.position(version)
		}
	}
	r.apply(now, s.position(s.version), rows, deleted, full)
}

// TestEvacuationsFollowTheTable plays random histories of instances that read the operators'
// table in whole or its changes, read each other's copies, are cut off and start again, while
// operators evacuate domains and the store returns from older copies. An instance that has read
// the table has exactly its evacuations in force, and for a while those that the store has lost.
func TestEvacuationsFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table := evacuationTable{epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), version: 1, rows: map[string]uint64{}, deleted: map[string]uint64{}}
		copies := []evacuationTable{table.copyOf()}
		readers := make([]*evacuationReader, 3)
		for i := range readers {
			readers[i] = &evacuationReader{rows: map[string]uint64{}}
		}
		reader := func() *evacuationReader { return rapid.SampledFrom(readers).Draw(t, "reader") }
		readTable := func(full bool) {
			r := reader()
			before := r.evacuations.Evacuated()
			hasRisen := loomplatform.PositionEpoch(r.known) < table.epoch
			r.read(now, table, full)
			for _, domain := range []string{"a", "b"} {
				_, isListed := table.rows[domain]
				isInForce := r.evacuations.IsEvacuated(domain)
				assert.Assert(t, !isListed || isInForce, "%s is in the table and not in force", domain)
				version, ok := r.rows[domain]
				isLost := ok && loomplatform.PositionEpoch(version) < table.epoch
				assert.Assert(t, isListed || !isInForce || isLost, "%s is in force and was deleted", domain)
				wasLost := slices.Contains(before, domain) && hasRisen
				assert.Assert(t, !wasLost || isInForce, "%s ended when the store returned", domain)
				if _, ended := r.evacuations.EndedAt(domain); isInForce {
					assert.Assert(t, !ended)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				table.version++
				table.rows[domain] = table.version
				delete(table.deleted, domain)
				copies = append(copies, table.copyOf())
			},
			"revoke": func(t *rapid.T) {
				domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				table.version++
				delete(table.rows, domain)
				table.deleted[domain] = table.version
				copies = append(copies, table.copyOf())
			},
			"return": func(t *rapid.T) {
				older := rapid.SampledFrom(copies).Draw(t, "copy").copyOf()
				older.epoch = table.epoch + 1
				table = older
				copies = []evacuationTable{table.copyOf()}
			},
			"read_whole":   func(*rapid.T) { readTable(true) },
			"read_changes": func(*rapid.T) { readTable(false) },
			"read_peer": func(*rapid.T) {
				r, peer := reader(), reader()
				if r != peer && peer.known > r.known {
					r.apply(now, peer.known, maps.Clone(peer.rows), nil, true)
				}
			},
			"start_again": func(*rapid.T) { *reader() = evacuationReader{rows: map[string]uint64{}} },
			"pass_time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "d")))
				for _, r := range readers {
					r.expire(now)
				}
			},
		})
		for _, r := range readers {
			r.read(now, table, true)
			r.expire(now.Add(evacuationGrace - time.Nanosecond))
			r.expire(now.Add(evacuationGrace))
			want := slices.Sorted(maps.Keys(table.rows))
			assert.DeepEqual(t, r.evacuations.Evacuated(), want)
		}
	})
}

// TestLostEvacuationStays guards against load on an evacuated domain, before operators have
// written the row again that the store has lost.
func TestLostEvacuationStays(t *testing.T) {
	start := time.Unix(100, 0)
	lost := func() loommember.Evacuations {
		var e loommember.Evacuations
		assert.Equal(t, e.Start("a", loomplatform.Position(0, 7)), loommember.EvacuationStarted)
		assert.Equal(t, e.Missing(start, "a", loomplatform.Position(1, 5)), loommember.EvacuationLost)
		assert.Equal(t, e.Missing(start.Add(time.Second), "a", loomplatform.Position(1, 5)), loommember.EvacuationUnchanged)
		return e
	}
	e := lost()
	e.Expire(start.Add(evacuationGrace-time.Millisecond), loomplatform.Position(1, 6))
	assert.Assert(t, e.IsEvacuated("a"))
	assert.DeepEqual(t, e.Expire(start.Add(evacuationGrace), loomplatform.Position(1, 6)), []string{"a"})
	endedAt, ended := e.EndedAt("a")
	assert.Assert(t, ended && endedAt.Equal(start.Add(evacuationGrace)))
	assert.Equal(t, e.Start("a", loomplatform.Position(0, 7)), loommember.EvacuationUnchanged, "a peer's row from before the return")

	e = lost()
	assert.Equal(t, e.Missing(start, "a", loomplatform.Position(0, 6)), loommember.EvacuationUnchanged, "a list from before the row")
	assert.Equal(t, e.Start("a", loomplatform.Position(1, 6)), loommember.EvacuationConfirmed)
	assert.Equal(t, len(e.Expire(start.Add(time.Hour), loomplatform.Position(1, 6))), 0)
	assert.Equal(t, e.Missing(start, "a", loomplatform.Position(1, 5)), loommember.EvacuationUnchanged, "a list from before the row")
	assert.Equal(t, e.End(start, "a", loomplatform.Position(1, 9)), loommember.EvacuationEnded)
}

// TestReturnWaitSpreadsInstances guards against all instances that send to an upstream at once
// when its evacuation ends.
func TestReturnWaitSpreadsInstances(t *testing.T) {
	const instances = 84
	endedAt := time.Unix(100, 0)
	allowed := func(after time.Duration) int {
		n := 0
		for i := range instances {
			for loommember.ReturnWait(endedAt.Add(after), endedAt, float64(i)/instances, n) == 0 && n < 1000 {
				n++
			}
		}
		return n
	}
	assert.Check(t, allowed(0) <= 1, "%d", allowed(0))
	assert.Check(t, allowed(200*time.Millisecond) <= 5, "%d", allowed(200*time.Millisecond))
	assert.Check(t, allowed(900*time.Millisecond) <= 20, "%d", allowed(900*time.Millisecond))
	assert.Check(t, allowed(time.Second) >= 1000)
}
