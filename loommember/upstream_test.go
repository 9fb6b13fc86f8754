package loommember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var listedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(incarnation uint64) Upstream {
	return Upstream{ID: "a", Group: "engines", Address: "10.0.0.1:80", Incarnation: incarnation}
}

// testGrace is how long after the platform's return an entry may be missing.
const testGrace = leavingLimit

// back is when the platform answers again in the tests, after calls that have failed since
// listedAt.
var back = listedAt.Add(4 * time.Second)

// removal returns the removal of the upstream "a" between two reads of the list.
func removal(version uint64, after, before time.Time) Removal {
	return Removal{ID: "a", Version: version, After: after, Before: before}
}

// returned puts an upstream into a Directory before an outage of the platform until back.
func returned(d *Directory) {
	d.Put(listedAt, upstream(1), false, 1)
	d.SetContact(Contact{}.WithAnswer(listedAt, listedAt).WithFailure(listedAt.Add(time.Second)).WithFailure(back.Add(-time.Second)).WithAnswer(back, back))
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
				d.Remove(listedAt, removal(2, listedAt, listedAt))
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
				d.Remove(listedAt, removal(4, listedAt, listedAt))
			},
			want: []string{"a"},
		},
		{
			name: "a removed entry is unusable immediately without an outage",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(listedAt, removal(2, listedAt, listedAt))
			},
			want: []string{},
		},
		{
			name: "an entry that is missing when the platform is back stays usable",
			apply: func(d *Directory) {
				returned(d)
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt) + testGrace - time.Millisecond,
			want: []string{"a"},
		},
		{
			name: "an entry that is still missing after the grace period is gone",
			apply: func(d *Directory) {
				returned(d)
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt) + testGrace,
			want: []string{},
		},
		{
			name: "the grace period starts when the platform is back and not with the removal",
			apply: func(d *Directory) {
				returned(d)
				d.Remove(back.Add(time.Second), removal(2, back, back.Add(time.Second)))
			},
			at:   back.Sub(listedAt) + testGrace,
			want: []string{},
		},
		{
			name: "an entry that is removed after the grace period is unusable immediately",
			apply: func(d *Directory) {
				returned(d)
				d.Remove(back.Add(testGrace), removal(2, back.Add(time.Second), back.Add(testGrace)))
			},
			at:   back.Sub(listedAt) + testGrace,
			want: []string{},
		},
		{
			name: "a call that failed late does not extend the outage",
			apply: func(d *Directory) {
				returned(d)
				d.SetContact(d.Contact().WithFailure(back.Add(-time.Millisecond)))
				d.Remove(back.Add(testGrace), removal(2, back.Add(time.Second), back.Add(testGrace)))
			},
			at:   back.Sub(listedAt) + testGrace,
			want: []string{},
		},
		{
			name: "one failed call does not extend the time since the entry was listed",
			apply: func(d *Directory) {
				returned(d)
				again := back.Add(10 * time.Second)
				d.SetContact(d.Contact().WithFailure(again).WithAnswer(again.Add(time.Second/4), again.Add(time.Second/4)))
				d.Remove(again.Add(time.Second/4), removal(2, again.Add(-time.Second/2), again.Add(time.Second/4)))
			},
			at:   14*time.Second - time.Second/2 + leavingLimit - sendAllowance,
			want: []string{},
		},
		{
			name: "an entry is gone at once if the platform never failed for a peer",
			apply: func(d *Directory) {
				returned(d)
				d.SetContact(d.Contact().WithPeerAnswers(listedAt, back))
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt),
			want: []string{},
		},
		{
			name: "a peer that was answered before the outage says nothing",
			apply: func(d *Directory) {
				returned(d)
				d.SetContact(d.Contact().WithPeerAnswers(listedAt, listedAt))
				d.Remove(back, removal(2, listedAt, back))
			},
			at:   back.Sub(listedAt),
			want: []string{"a"},
		},
		{
			name: "an entry returns after it has expired",
			apply: func(d *Directory) {
				returned(d)
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
