package loomschedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomschedule"
)

const ms = time.Millisecond

// waiterAt returns a request with times relative to loadStart.
func waiterAt(id string, rank int, due, until, work time.Duration) loomschedule.Waiter {
	return loomschedule.Waiter{ID: id, Rank: rank, Arrived: loadStart, Due: loadStart.Add(due), Until: loadStart.Add(until), Work: work}
}

func TestFirst(t *testing.T) {
	tests := []struct {
		name    string
		at      time.Duration
		waiting []loomschedule.Waiter
		want    string
	}{
		{"urgent rank of equal slack", 0, []loomschedule.Waiter{waiterAt("a", 1, 50*ms, time.Second, 10*ms), waiterAt("b", 0, 50*ms, time.Second, 10*ms)}, "b"},
		{"long urgent one before a short one", 0, []loomschedule.Waiter{waiterAt("a", 1, 10*ms, time.Second, ms), waiterAt("b", 0, 10*ms, time.Second, 500*ms)}, "b"},
		{"short one of equal rank", 0, []loomschedule.Waiter{waiterAt("a", 1, 50*ms, time.Second, 100*ms), waiterAt("b", 1, 50*ms, time.Second, 10*ms)}, "b"},
		{"urgent one with ample slack waits", 0, []loomschedule.Waiter{waiterAt("a", 0, 900*ms, 3*time.Second, 10*ms), waiterAt("b", 1, 10*ms, 3*time.Second, 10*ms)}, "b"},
		{"late one after one on time", 100 * ms, []loomschedule.Waiter{waiterAt("a", 1, 50*ms, time.Second, 50*ms), waiterAt("b", 1, 110*ms, time.Second, 50*ms)}, "b"},
		{"late urgent one with ample patience after one on time", 100 * ms, []loomschedule.Waiter{waiterAt("a", 0, 50*ms, 3*time.Second, 50*ms), waiterAt("b", 1, 110*ms, 3*time.Second, 50*ms)}, "b"},
		{"late one whose caller leaves soon before one with ample slack", 100 * ms, []loomschedule.Waiter{waiterAt("a", 1, 50*ms, 110*ms, 20*ms), waiterAt("b", 1, 900*ms, 3*time.Second, 20*ms)}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l loomschedule.List
			for _, w := range tt.waiting {
				l.Push(w)
			}
			first := l.First(loadStart.Add(tt.at), 1, loomschedule.Capacity{Upstreams: 1})
			assert.Equal(t, first[0].ID, tt.want)
		})
	}
}

// TestLateOneGoesAfterOneOnTime guards against requests of one rank and work that become late one
// after another because late ones go before them.
func TestLateOneGoesAfterOneOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l loomschedule.List
		// The work that waits takes longer than any of the times left.
		n := rapid.IntRange(20, 60).Draw(t, "requests")
		for i := range n {
			due := time.Duration(rapid.IntRange(-500, 500).Draw(t, "due")) * ms
			l.Push(waiterAt(fmt.Sprint(i), 1, due, due+time.Second, 200*ms))
		}
		seenLate := false
		for _, w := range l.First(loadStart, n, loomschedule.Capacity{Upstreams: 1, Waiting: time.Minute}) {
			isLate := w.Due.Before(loadStart)
			assert.Assert(t, isLate || !seenLate, "a late request went before %s", w.ID)
			seenLate = seenLate || isLate
		}
	})
}

// TestStarvedRankGetsReserve guards against a rank that gets nothing for as long as more urgent
// requests keep arriving, and against a reserve that is taken from urgent requests which are late.
func TestStarvedRankGetsReserve(t *testing.T) {
	tests := []struct {
		name      string
		urgentDue time.Duration
		want      int
	}{
		{"urgent ones on time", 10 * ms, 10},
		{"urgent ones late", -10 * ms, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l loomschedule.List
			now := loadStart.Add(900 * ms)
			for i := range 50 {
				l.Push(waiterAt(fmt.Sprint("low", i), 2, 100*ms, time.Second, 10*ms))
			}
			low := 0
			for i := range 100 {
				l.Push(loomschedule.Waiter{ID: fmt.Sprint(i), Arrived: now.Add(-20 * ms), Due: now.Add(tt.urgentDue), Until: now.Add(100 * ms), Work: 10 * ms})
				// One urgent request more than can start keeps waiting.
				first := l.First(now, 1, loomschedule.Capacity{Upstreams: 1})[0]
				l.Start(now, first.ID)
				if first.Rank == 2 {
					low++
				}
			}
			assert.Assert(t, low <= tt.want && low >= tt.want*8/10, "%d of 100 started, want about %d", low, tt.want)
		})
	}
}

func TestAheadCountsOnlyWhatGoesFirst(t *testing.T) {
	var l loomschedule.List
	l.Push(waiterAt("a", 0, 10*ms, time.Second, 10*ms))
	l.Push(waiterAt("b", 2, 10*ms, time.Second, 40*ms))
	w := waiterAt("c", 1, 10*ms, time.Second, 10*ms)
	assert.Equal(t, l.Ahead(loadStart, w, loomschedule.Capacity{Upstreams: 1}), 10*ms)
	l.Push(w)
	assert.Equal(t, l.Ahead(loadStart, w, loomschedule.Capacity{Upstreams: 1}), 10*ms)
}
