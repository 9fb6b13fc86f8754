package loommember

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomplatform"
)

var listedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(incarnation uint64) Upstream {
	return Upstream{ID: "a", Group: "engines", Address: "10.0.0.1:80", Incarnation: incarnation}
}

// back is when the platform answers again in the tests, after an outage.
var back = listedAt.Add(4 * time.Second)

// removal returns the removal of the upstream "a" after a read of the list, by one whose
// reader the platform answers since a time.
func removal(version uint64, after, since time.Time) Removal {
	return Removal{ID: "a", Version: version, After: after, AnswersSince: since}
}

func usableIDs(d *Directory, now time.Time) []string {
	ids := []string{}
	for _, u := range d.Usable(now) {
		ids = append(ids, u.ID)
	}
	return ids
}

func TestDirectory(t *testing.T) {
	tests := []struct {
		name  string
		apply func(d *Directory)
		at    time.Duration
		want  []string
	}{
		{
			name:  "listed",
			apply: func(d *Directory) { d.Put(listedAt, upstream(1), false, 1) },
			want:  []string{"a"},
		},
		{
			name:  "a leaving upstream is not usable",
			apply: func(d *Directory) { d.Put(listedAt, upstream(1), true, 1) },
			want:  []string{},
		},
		{
			name: "a leaving mark is final for its incarnation",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), true, 1)
				d.Put(listedAt, upstream(1), false, 2)
			},
			want: []string{},
		},
		{
			name: "a leaving mark outlives the entry",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), true, 1)
				d.Remove(listedAt, removal(2, listedAt, time.Time{}))
				d.RemoveExpired(listedAt.Add(time.Second))
				d.Put(listedAt.Add(time.Second), upstream(1), false, 3)
			},
			at:   time.Second,
			want: []string{},
		},
		{
			name: "the next incarnation is usable",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), true, 1)
				d.Put(listedAt, upstream(2), false, 2)
			},
			want: []string{"a"},
		},
		{
			name: "an older incarnation is ignored",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(2), false, 1)
				d.Put(listedAt, upstream(1), true, 2)
			},
			want: []string{"a"},
		},
		{
			name: "an older row is ignored",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 5)
				d.Remove(listedAt, removal(4, listedAt, time.Time{}))
			},
			want: []string{"a"},
		},
		{
			name: "a removed entry is unusable immediately without an outage",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(listedAt, removal(2, listedAt, time.Time{}))
			},
			want: []string{},
		},
		{
			name: "an entry that is missing when the platform is back stays usable",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt) + leavingLimit - time.Millisecond,
			want: []string{"a"},
		},
		{
			name: "an entry that is still missing after the grace period is gone",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt) + leavingLimit,
			want: []string{},
		},
		{
			name: "the grace period starts when the platform is back and not with the removal",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back.Add(time.Second), removal(2, back, back))
			},
			at:   back.Sub(listedAt) + leavingLimit,
			want: []string{},
		},
		{
			name: "an entry that a list since the platform's return has shown is gone in time",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back.Add(time.Second), removal(2, back.Add(time.Second/4), back))
			},
			at:   back.Sub(listedAt) + time.Second/4 + leavingLimit - sendAllowance,
			want: []string{},
		},
		{
			name: "an entry that is removed after the grace period is unusable immediately",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back.Add(leavingLimit), removal(2, back.Add(time.Second), back))
			},
			at:   back.Sub(listedAt) + leavingLimit,
			want: []string{},
		},
		{
			name: "an outage too short for an entry to expire does not extend its use",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back, removal(2, back.Add(-time.Second), back))
			},
			at:   back.Sub(listedAt) - time.Second + leavingLimit - sendAllowance,
			want: []string{},
		},
		{
			name: "an entry is gone at once if the platform has not been away for a peer",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back, removal(2, listedAt, listedAt))
			},
			at:   back.Sub(listedAt),
			want: []string{},
		},
		{
			name: "an entry returns after it has expired",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(back, removal(2, listedAt, back))
				d.Put(back.Add(time.Second), upstream(1), false, 3)
			},
			at:   time.Minute,
			want: []string{"a"},
		},
		{
			name: "a leaving rumour for another incarnation is ignored",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(2), false, 1)
				d.Mark(listedAt, "a", 1)
			},
			want: []string{"a"},
		},
		{
			name: "a leaving rumour",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(2), false, 1)
				d.Mark(listedAt, "a", 2)
			},
			want: []string{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory(leavingLimit, renewalInterval)
			tt.apply(d)
			assert.DeepEqual(t, usableIDs(d, listedAt.Add(tt.at)), tt.want)
		})
	}
}

// TestRemovedUpstreamStaysGoneInOlderCopy guards against an upstream that has left without
// a mark and is used again because the platform's table returns from an older copy that
// still lists it.
func TestRemovedUpstreamStaysGoneInOlderCopy(t *testing.T) {
	in := loomplatform.Position
	tests := []struct {
		name  string
		apply func(d *Directory)
		want  []string
	}{
		{"as the older copy lists it", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
		}, []string{}},
		{"written again after the return", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
			d.Put(listedAt, upstream(1), false, in(1, 5))
		}, []string{"a"}},
		{"read twice from the older copy", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
			d.Put(listedAt, upstream(1), false, in(1, 2))
		}, []string{}},
		{"two older copies in a row", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
			d.Put(listedAt, upstream(1), false, in(2, 2))
		}, []string{}},
		{"written again in the same epoch", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(0, 10))
		}, []string{"a"}},
		{"listed for longer than the entry of a dead upstream", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
			d.ReleaseHeld(listedAt.Add(expiryRenewals * renewalInterval))
		}, []string{"a"}},
		{"removed from the older copy", func(d *Directory) {
			d.Put(listedAt, upstream(1), false, in(1, 2))
			d.Remove(listedAt, removal(in(1, 3), listedAt, listedAt))
			d.ReleaseHeld(listedAt.Add(expiryRenewals * renewalInterval))
		}, []string{}},
		{"another incarnation", func(d *Directory) {
			d.Put(listedAt, upstream(2), false, in(1, 2))
		}, []string{"a"}},
	}
	for _, tt := range tests {
		for _, isExpired := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, expired %t", tt.name, isExpired), func(t *testing.T) {
				d := NewDirectory(leavingLimit, renewalInterval)
				d.Put(listedAt, upstream(1), false, in(0, 3))
				d.Remove(listedAt, removal(in(0, 4), listedAt, time.Time{}))
				if isExpired {
					d.RemoveExpired(listedAt)
				}
				tt.apply(d)
				assert.DeepEqual(t, usableIDs(d, listedAt), tt.want)
			})
		}
	}
}

func TestDirectoryVersions(t *testing.T) {
	d := NewDirectory(leavingLimit, renewalInterval)
	u := upstream(1)
	u.Weights = []Weights{{Model: "m", Version: 3}}
	d.Put(listedAt, u, false, 1)
	assert.Assert(t, !d.SetVersion("a", 1, "m", 2), "an older version was accepted")
	assert.Assert(t, !d.SetVersion("a", 7, "m", 4), "the version of another incarnation was accepted")
	assert.Assert(t, d.SetVersion("a", 1, "m", 4))
	d.Put(listedAt, u, false, 2)
	got, ok := d.Get(listedAt, "a")
	assert.Assert(t, ok)
	assert.Equal(t, got.Version("m"), uint64(4))
}

// TestMissingEntryIsGoneAfterRelistLimit guards against a missing entry that is used for as
// long as requests to a leaving upstream are allowed, which differs between platforms.
func TestMissingEntryIsGoneAfterRelistLimit(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		d := NewDirectory(limit, renewalInterval)
		d.Put(listedAt, upstream(1), false, 1)
		usableUntil, _ := d.Remove(back, removal(2, listedAt, back))
		assert.Check(t, usableUntil.Equal(back.Add(relistLimit)), "with a limit of %s it is used for %s", limit, usableUntil.Sub(back))
	}
}
