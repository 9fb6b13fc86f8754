package loommember_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loommember"
)

func TestHoldOffWait(t *testing.T) {
	start := time.Unix(100, 0)
	at := start.Add
	held := loommember.HoldOff{}.WithRefusal(start, 1, 2*time.Second)
	tests := []struct {
		name        string
		hold        loommember.HoldOff
		now         time.Time
		incarnation uint64
		inFlight    int
		want        time.Duration
	}{
		{"nothing was asked for", loommember.HoldOff{}, start, 1, 0, 0},
		{"during the hold-off", held, at(500 * time.Millisecond), 1, 0, 1500 * time.Millisecond},
		{"another incarnation", held, at(500 * time.Millisecond), 2, 0, 0},
		{"the first request after it", held, at(2 * time.Second), 1, 0, 0},
		{"a second request at once", held, at(2 * time.Second), 1, 1, 50 * time.Millisecond},
		{"a second request later", held, at(2050 * time.Millisecond), 1, 1, 0},
		{"after the ramp", held, at(3 * time.Second), 1, 100, 0},
		{"a shorter one doesn't shorten it", held.WithRefusal(at(time.Second), 1, 100*time.Millisecond), at(time.Second), 1, 0, time.Second},
		{"a longer one extends it", held.WithRefusal(at(time.Second), 1, 5*time.Second), at(2 * time.Second), 1, 0, 4 * time.Second},
		{"an earlier incarnation changes nothing", held.WithRefusal(at(0), 0, time.Minute), at(time.Second), 1, 0, time.Second},
		{"a later incarnation starts anew", held.WithRefusal(at(0), 2, time.Second), at(500 * time.Millisecond), 2, 0, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.hold.Wait(tt.now, tt.incarnation, tt.inFlight), tt.want)
		})
	}
}

// statementHistory plays a random history of what two instances learn of one upstream: rows
// of the platform, also from older copies, statements in answers and reports of each other.
type statementHistory struct {
	now  time.Time
	dirs [2]*loommember.Directory
	// saidAt is when each instance first knew that an incarnation leaves.
	saidAt [2]map[uint64]time.Time
}

const (
	historyLimit   = 2 * time.Second
	historyRenewal = 1200 * time.Millisecond
)

func newStatementHistory() *statementHistory {
	h := &statementHistory{now: time.Unix(1000, 0)}
	for i := range h.dirs {
		h.dirs[i] = loommember.NewDirectory(historyLimit, historyRenewal)
		h.saidAt[i] = make(map[uint64]time.Time)
	}
	return h
}

func (h *statementHistory) put(i int, incarnation, version uint64, leaving bool) {
	u := loommember.Upstream{ID: "u", Group: "g", Incarnation: incarnation}
	h.dirs[i].Put(h.now, u, leaving, version)
}

func (h *statementHistory) hear(i int, incarnation uint64) {
	if u, ok := h.dirs[i].Get(h.now, "u"); !ok || u.Incarnation != incarnation {
		return
	}
	h.dirs[i].HearLeaving(h.now, h.now, "u", incarnation)
	if _, ok := h.saidAt[i][incarnation]; !ok {
		h.saidAt[i][incarnation] = h.now
	}
}

// exchange passes the statements of an instance on to the other, which takes them for younger
// than they are by at most age.
func (h *statementHistory) exchange(from int, age time.Duration) {
	to := 1 - from
	for _, s := range h.dirs[from].LeavingStatements() {
		at := s.At.Add(age)
		if at.After(h.now) {
			at = h.now
		}
		if h.dirs[to].HearLeaving(h.now, at, s.ID, s.Incarnation) {
			h.saidAt[to][s.Incarnation] = h.now
		}
	}
}

// check fails if an instance would use an incarnation that it knows to leave, other than as a
// last resort for half of the limit.
func (h *statementHistory) check(t *rapid.T) {
	for i, d := range h.dirs {
		for _, u := range d.Usable(h.now) {
			if at, ok := h.saidAt[i][u.Incarnation]; ok {
				t.Fatalf("instance %d uses incarnation %d, which said %s ago that it leaves", i, u.Incarnation, h.now.Sub(at))
			}
		}
		resorts, until := d.LastResorts(h.now)
		for _, u := range resorts {
			if d := h.now.Sub(h.saidAt[i][u.Incarnation]); d >= historyLimit/2 {
				t.Fatalf("instance %d uses incarnation %d as a last resort %s after it learned that it leaves", i, u.Incarnation, d)
			}
			if !h.now.Before(until) {
				t.Fatalf("instance %d uses a last resort that ended at %s", i, until)
			}
		}
	}
}

// TestLeavingStatementsAreFinal guards against an upstream that is used again after it has
// said that it leaves. Run it with -rapid.checks=10000 after changes of Directory.
func TestLeavingStatementsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newStatementHistory()
		newest := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause_ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"row", "older copy", "restart of the upstream", "removal", "answer", "exchange", "expiry", "restart of the instance"}).Draw(t, "event") {
			case "row":
				h.put(i, newest, rapid.Uint64Range(1, 100).Draw(t, "version"), rapid.Bool().Draw(t, "leaving"))
			case "older copy":
				h.put(i, rapid.Uint64Range(1, newest).Draw(t, "incarnation"), 1<<40+rapid.Uint64Range(1, 100).Draw(t, "version"), false)
			case "restart of the upstream":
				newest++
			case "removal":
				h.dirs[i].Remove(h.now, loommember.Removal{ID: "u", Version: rapid.Uint64Range(1, 1<<41).Draw(t, "version"), AnswersSince: h.now})
			case "answer":
				h.hear(i, newest)
			case "exchange":
				h.exchange(i, time.Duration(rapid.IntRange(0, 199).Draw(t, "age_ms"))*time.Millisecond)
			case "expiry":
				h.dirs[i].RemoveExpired(h.now)
				h.dirs[i].ReleaseHeld(h.now)
			case "restart of the instance":
				h.dirs[i] = loommember.NewDirectory(historyLimit, historyRenewal)
				h.saidAt[i] = make(map[uint64]time.Time)
			}
			h.check(t)
		}
	})
}

// TestHoldOffIsKept guards against a request in the time for which an upstream wants none.
func TestHoldOffIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var held loommember.HoldOff
		asked := make(map[uint64]time.Time)
		newest := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause_ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				incarnation := rapid.Uint64Range(max(newest, 2)-1, newest).Draw(t, "incarnation")
				d := time.Duration(rapid.IntRange(-1000, 20_000).Draw(t, "hold_ms")) * time.Millisecond
				held = held.WithRefusal(now, incarnation, d)
				if until := now.Add(d); incarnation == newest && until.After(asked[incarnation]) {
					asked[incarnation] = until
				}
			case 1:
				newest++
			default:
			}
			inFlight := rapid.IntRange(0, 5).Draw(t, "in_flight")
			if wait := held.Wait(now, newest, inFlight); now.Before(asked[newest]) && wait < asked[newest].Sub(now) {
				t.Fatalf("wait %s while the upstream wants nothing for %s", wait, asked[newest].Sub(now))
			}
		}
	})
}

// TestLastResortsAreOnlyThoseThatSayTheyLeave guards against the use of an upstream whose
// entry says that it leaves.
func TestLastResortsAreOnlyThoseThatSayTheyLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	d := loommember.NewDirectory(historyLimit, historyRenewal)
	for i, id := range []string{"listed as leaving", "said so", "removed", "taken over"} {
		d.Put(now, loommember.Upstream{ID: id, Group: "g", Incarnation: 1}, id == "listed as leaving", uint64(i+1))
	}
	for _, id := range []string{"listed as leaving", "said so", "removed"} {
		d.HearLeaving(now, now, id, 1)
	}
	d.Mark(now, "taken over", 1)
	d.Remove(now, loommember.Removal{ID: "removed", Version: 10})
	var ids []string
	upstreams, _ := d.LastResorts(now)
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	assert.DeepEqual(t, ids, []string{"said so"})
	assert.Equal(t, len(d.Usable(now)), 0, fmt.Sprint(slices.Collect(slices.Values(d.Usable(now)))))
}
