package loommember

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const coldFor = 3 * time.Second

// TestColdness guards against an upstream that gets the full load while it may be cold, and
// against one that counts as cold although it isn't.
func TestColdness(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	rowOf := func(incarnation, version uint64, leftMs, writtenAfterMs int) ColdRow {
		r := ColdRow{ID: "e", Incarnation: incarnation, Version: version, Left: time.Duration(leftMs) * time.Millisecond, HasLeft: true}
		if writtenAfterMs >= 0 {
			r.WrittenAfter = at(writtenAfterMs)
		}
		return r
	}
	tests := []struct {
		name string
		hear func(c *Coldness)
		// wantEnd is when the cold period ends in milliseconds after the start, or -1.
		wantEnd int
	}{
		{"the first row says that it is warm", func(c *Coldness) { c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor) }, -1},
		{"the first row says that it is cold", func(c *Coldness) { c.HearRow(at(0), rowOf(1, 1, 2000, -1), coldFor) }, 2000},
		{"a later row is more recent", func(c *Coldness) {
			c.HearRow(at(900), rowOf(1, 1, 3000, -1), coldFor)
			c.HearRow(at(1300), rowOf(1, 2, 1800, 100), coldFor)
		}, 3100},
		{"a row that is read again", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 3000, -1), coldFor)
			c.HearRow(at(2000), rowOf(1, 1, 3000, 1900), coldFor)
		}, 3000},
		{"cold again without a restart", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor)
			c.HearRow(at(2000), rowOf(1, 2, 3000, 1200), coldFor)
		}, 5000},
		{"an absurd time", func(c *Coldness) { c.HearRow(at(0), rowOf(1, 1, 1e9, -1), coldFor) }, 60_000},
		{"a new incarnation whose row doesn't say", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor)
			c.HearRow(at(1000), ColdRow{ID: "e", Incarnation: 2, Version: 2}, coldFor)
		}, 4000},
		{"a row of an earlier incarnation", func(c *Coldness) {
			c.HearRow(at(0), rowOf(2, 1, 2000, -1), coldFor)
			c.HearRow(at(1000), rowOf(1, 2, 0, 900), coldFor)
		}, 2000},
		{"back after a failure", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor)
			c.HearFailure(at(1000), "e", 1, coldFor, false)
			assert.Assert(t, c.HearAnswer(at(9000), "e", 1, coldFor))
			assert.Assert(t, !c.HearAnswer(at(9500), "e", 1, coldFor))
		}, 12_600},
		{"a row that may be older than the return", func(c *Coldness) {
			c.HearFailure(at(1000), "e", 1, coldFor, true)
			c.HearAnswer(at(2000), "e", 1, coldFor)
			c.HearRow(at(2500), rowOf(1, 2, 0, 1700), coldFor)
		}, 5600},
		{"a row written since the return", func(c *Coldness) {
			c.HearFailure(at(1000), "e", 1, coldFor, true)
			c.HearAnswer(at(2000), "e", 1, coldFor)
			c.HearRow(at(3500), rowOf(1, 3, 0, 2500), coldFor)
		}, 3500},
		{"a peer's report", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor)
			c.HearReport(at(1000), ColdReport{ID: "e", Incarnation: 1, Left: coldFor}, coldFor)
		}, 4000},
		{"a peer's report of the next incarnation", func(c *Coldness) {
			c.HearRow(at(0), rowOf(1, 1, 0, -1), coldFor)
			c.HearReport(at(1000), ColdReport{ID: "e", Incarnation: 2, Left: coldFor}, coldFor)
		}, 4000},
		{"an echo of the own report", func(c *Coldness) {
			c.Mark(at(0), "e", 1, coldFor)
			c.HearReport(at(500), ColdReport{ID: "e", Incarnation: 1, Left: coldFor - coldEcho/2}, coldFor)
		}, 3000},
		{"a report from before the row that says otherwise", func(c *Coldness) {
			c.Mark(at(0), "e", 1, coldFor)
			c.HearRow(at(1500), rowOf(1, 2, 0, 700), coldFor)
			c.HearReport(at(1600), ColdReport{ID: "e", Incarnation: 1, Left: 1500 * time.Millisecond}, coldFor)
		}, 1500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewColdness()
			tt.hear(c)
			want := time.Time{}
			if tt.wantEnd >= 0 {
				want = at(tt.wantEnd)
			}
			assert.Assert(t, c.End("e").Equal(want), "ends at %s, want %s", c.End("e").Sub(start), want.Sub(start))
		})
	}
}

// TestColdReportsEnd guards against instances that keep each other's reports alive after the
// cold period, although each report makes the end later by the time that it is under way.
func TestColdReportsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		instances := make([]*Coldness, rapid.IntRange(2, 6).Draw(t, "instances"))
		for i := range instances {
			instances[i] = NewColdness()
		}
		instances[0].Mark(now, "e", 1, coldFor)
		type message struct {
			to     int
			at     time.Time
			report ColdReport
		}
		var sent []message
		limit := now.Add(coldFor + time.Duration(len(instances)+2)*coldEcho)
		for ; now.Before(limit); now = now.Add(100 * time.Millisecond) {
			for _, m := range sent {
				if m.at.Equal(now) {
					instances[m.to].HearReport(now, m.report, coldFor)
				}
			}
			from, to := rapid.IntRange(0, len(instances)-1).Draw(t, "from"), rapid.IntRange(0, len(instances)-1).Draw(t, "to")
			transit := time.Duration(rapid.IntRange(0, 1).Draw(t, "transit")) * 100 * time.Millisecond
			for _, r := range instances[from].Reports(now) {
				sent = append(sent, message{to: to, at: now.Add(transit), report: r})
			}
		}
		for i, c := range instances {
			if c.End("e").After(limit) {
				t.Fatalf("instance %d counts the upstream as cold for %s too long", i, c.End("e").Sub(limit))
			}
		}
	})
}
