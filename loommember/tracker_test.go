package loommember_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loommember"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func listing(incarnation uint64, leaving bool) loommember.Listed {
	m := loommember.Member{ID: "e", Kind: loommember.KindEngine, Address: "127.0.0.1:1", Incarnation: incarnation}
	return loommember.Listed{Members: []loommember.Listing{{Member: m, Leaving: leaving}}}
}

type step struct {
	at    float64
	event loommember.Event
}

func TestStatus(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		at    float64
		want  loommember.Status
	}{
		{"unknown", nil, 0, loommember.Dead},
		{"listed", []step{{0, listing(1, false)}}, 100, loommember.Live},
		{"one call unanswered", []step{{0, listing(1, false)}, {1, loommember.Unanswered{ID: "e"}}}, 1.5, loommember.Live},
		{"unanswered for longer than SuspectAfter", []step{{0, listing(1, false)}, {1, loommember.Unanswered{ID: "e"}}}, 2.5, loommember.Suspect},
		{"unanswered for longer than DeadAfter", []step{{0, listing(1, false)}, {1, loommember.Unanswered{ID: "e"}}}, 4.5, loommember.Dead},
		{"alive again after an answer", []step{{0, listing(1, false)}, {1, loommember.Unanswered{ID: "e"}}, {4.5, loommember.Alive{ID: "e", Incarnation: 1}}}, 5, loommember.Live},
		{"removed from the list", []step{{0, listing(1, false)}, {10, loommember.Listed{}}}, 14, loommember.Dead},
		{"removed from the list but alive", []step{{0, listing(1, false)}, {10, loommember.Listed{}}, {13, loommember.Alive{ID: "e", Incarnation: 1}}}, 14, loommember.Live},
		{"leaving in the list", []step{{0, listing(1, true)}}, 1, loommember.Leaving},
		{"leaving is final for the incarnation", []step{{0, listing(1, true)}, {1, listing(1, false)}, {2, loommember.Alive{ID: "e", Incarnation: 1}}}, 3, loommember.Leaving},
		{"new incarnation", []step{{0, listing(1, true)}, {1, listing(2, false)}}, 2, loommember.Live},
		{"old list after restart", []step{{0, listing(2, false)}, {1, listing(1, true)}}, 2, loommember.Live},
		{"mark before the list", []step{{0, loommember.MarkedLeaving{ID: "e", Incarnation: 3}}, {1, listing(3, false)}}, 2, loommember.Leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := loommember.NewTracker(loommember.DefaultOptions())
			for _, s := range tt.steps {
				tracker.Apply(at(s.at), s.event)
			}
			assert.Equal(t, tracker.Status(at(tt.at), "e"), tt.want)
		})
	}
}

// An incarnation that was marked as leaving is never live or suspect again, whatever
// the order of events.
func TestLeavingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := loommember.NewTracker(loommember.DefaultOptions())
		now := start
		marked := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause_ms")) * time.Millisecond)
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				leaving := rapid.Bool().Draw(t, "leaving")
				tracker.Apply(now, listing(incarnation, leaving))
				if leaving {
					marked = max(marked, incarnation)
				}
			case 1:
				tracker.Apply(now, loommember.Alive{ID: "e", Incarnation: incarnation})
			case 2:
				tracker.Apply(now, loommember.Unanswered{ID: "e"})
			case 3:
				tracker.Apply(now, loommember.MarkedLeaving{ID: "e", Incarnation: incarnation})
				marked = max(marked, incarnation)
			default:
				tracker.Apply(now, loommember.Listed{})
			}
			m, ok := tracker.View(now).Find("e")
			if ok && m.Incarnation <= marked {
				assert.Equal(t, m.Status, loommember.Leaving)
			}
		}
	})
}
