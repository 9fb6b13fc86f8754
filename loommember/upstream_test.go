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
				d.Remove(listedAt, "a", 2)
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
				d.Remove(listedAt, "a", 4)
			},
			want: []string{"a"},
		},
		{
			name: "a removed entry is unusable immediately without an outage",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Remove(listedAt, "a", 2)
			},
			want: []string{},
		},
		{
			name: "a removed entry stays usable after an outage",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Outage(listedAt)
				d.Remove(listedAt.Add(time.Second), "a", 2)
			},
			at:   2 * time.Second,
			want: []string{"a"},
		},
		{
			name: "a removed entry is unusable after the grace period",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Outage(listedAt)
				d.Remove(listedAt.Add(time.Second), "a", 2)
			},
			at:   3 * time.Second,
			want: []string{},
		},
		{
			name: "an entry returns after it has expired",
			apply: func(d *Directory) {
				d.Put(listedAt, upstream(1), false, 1)
				d.Outage(listedAt)
				d.Remove(listedAt.Add(time.Second), "a", 2)
				d.Put(listedAt.Add(2*time.Second), upstream(1), false, 3)
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
			var d Directory
			tt.apply(&d)
			assert.DeepEqual(t, usableIDs(&d, listedAt.Add(tt.at)), tt.want)
		})
	}
}

func TestDirectoryVersions(t *testing.T) {
	var d Directory
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
