package loomquarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomquarantine"
)

const model = "m"

// settled is longer than it takes until an end counts.
const settled = 400 * time.Millisecond

func newLedger(t *testing.T) *loomquarantine.Ledger {
	t.Helper()
	l, err := loomquarantine.NewLedger()
	assert.NilError(t, err)
	return l
}

// parts returns the suspects of a prompt.
func parts(ids ...string) []loomquarantine.Suspect {
	suspects := make([]loomquarantine.Suspect, 0, len(ids))
	for _, id := range ids {
		suspects = append(suspects, loomquarantine.Suspect{Kind: loomquarantine.Part, Model: model, ID: id})
	}
	return suspects
}

// exposures returns the exposures of parts; no answer had begun to those that end with a
// question mark.
func exposures(ids ...string) []loomquarantine.Exposure {
	all := make([]loomquarantine.Exposure, 0, len(ids))
	for _, id := range ids {
		id, isWaiting := strings.CutSuffix(id, "?")
		all = append(all, loomquarantine.Exposure{Suspect: parts(id)[0], Version: 1, HasBegun: !isWaiting})
	}
	return all
}

// endUnder records the end of an upstream under a request with parts.
func endUnder(l *loomquarantine.Ledger, at time.Time, upstream string, ids ...string) {
	l.RecordEnd(at, loomquarantine.End{Upstream: upstream, At: at, Exposures: exposures(ids...)})
}

// quarantined returns the parts of each quarantine.
func quarantined(l *loomquarantine.Ledger) []string {
	sets := []string{}
	for _, q := range l.Quarantines() {
		sets = append(sets, fmt.Sprint(q.Parts()))
	}
	return sets
}

// endSpec is the end of an upstream under the given parts at a time. No answer had begun to
// those that end with a question mark.
type endSpec struct {
	at    time.Duration
	parts []string
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name string
		// sound are parts to which answers were complete before.
		sound []string
		ends  []endSpec
		want  []string
	}{
		{"two ends", nil, []endSpec{{0, []string{"x"}}, {time.Second, []string{"x"}}}, []string{}},
		{"three ends", nil, []endSpec{{0, []string{"x"}}, {time.Second, []string{"x"}}, {2 * time.Second, []string{"x"}}}, []string{"[x]"}},
		{
			"an answer had begun at some ends only", nil,
			[]endSpec{{0, []string{"x"}}, {time.Second, []string{"x"}}, {2 * time.Second, []string{"x?"}}, {3 * time.Second, []string{"x?"}}},
			[]string{},
		},
		{
			"no answer ever begins", nil,
			[]endSpec{{0, []string{"x?"}}, {time.Second, []string{"x?"}}, {2 * time.Second, []string{"x?"}}, {3 * time.Second, []string{"x?"}}},
			[]string{"[x]"},
		},
		{
			"no answer ever begins, others do beside it", nil,
			[]endSpec{{0, []string{"x?", "y"}}, {time.Second, []string{"x?", "y"}}, {2 * time.Second, []string{"x?", "y"}}, {3 * time.Second, []string{"x?"}}},
			[]string{"[x]"},
		},
		{
			"the part beside it was in progress less often", nil,
			[]endSpec{{0, []string{"x", "y"}}, {time.Second, []string{"x", "y"}}, {2 * time.Second, []string{"x", "y"}}, {3 * time.Second, []string{"x"}}},
			[]string{"[x]"},
		},
		{
			"parts that always come together", nil,
			[]endSpec{{0, []string{"x", "y"}}, {time.Second, []string{"x", "y"}}, {2 * time.Second, []string{"x", "y"}}},
			[]string{"[x y]"},
		},
		{
			"two parts in turn", nil,
			[]endSpec{
				{0, []string{"x"}}, {time.Second, []string{"y"}}, {2 * time.Second, []string{"x"}},
				{3 * time.Second, []string{"y"}}, {4 * time.Second, []string{"x"}}, {5 * time.Second, []string{"y"}},
			},
			[]string{"[x]", "[y]"},
		},
		{
			"a sound part beside it", []string{"a"},
			[]endSpec{{0, []string{"a", "x"}}, {time.Second, []string{"a", "x"}}, {2 * time.Second, []string{"a", "x"}}, {3 * time.Second, []string{"a"}}},
			[]string{"[x]"},
		},
		{"sound parts only", []string{"a"}, []endSpec{{0, []string{"a"}}, {time.Second, []string{"a"}}, {2 * time.Second, []string{"a"}}}, []string{}},
		{
			"many upstreams end at once", nil,
			[]endSpec{
				{0, []string{"x"}}, {20 * time.Millisecond, []string{"x"}}, {60 * time.Millisecond, []string{"x"}}, {140 * time.Millisecond, []string{"x"}},
			},
			[]string{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			l := newLedger(t)
			l.RecordSound(start, parts(tt.sound...), 1)
			last := start
			for i, e := range tt.ends {
				last = start.Add(e.at)
				endUnder(l, last, fmt.Sprint("e", i), e.parts...)
			}
			l.Judge(last.Add(settled))
			assert.DeepEqual(t, quarantined(l), tt.want)
		})
	}
}

// quarantineX lets engines end under the part x until it is quarantined.
func quarantineX(t *testing.T, l *loomquarantine.Ledger, now time.Time) time.Time {
	t.Helper()
	for i := range 3 {
		endUnder(l, now, fmt.Sprint("engine-", i), "x")
		now = now.Add(time.Second)
	}
	l.Judge(now)
	_, ok := l.Find(now, parts("a", "x"))
	assert.Assert(t, ok)
	return now
}

func TestCompleteAnswerLiftsQuarantine(t *testing.T) {
	l := newLedger(t)
	now := quarantineX(t, l, time.Now())
	l.RecordSound(now, parts("a", "x"), 1)
	_, ok := l.Find(now, parts("x"))
	assert.Assert(t, !ok)
	l.Judge(now.Add(settled))
	assert.DeepEqual(t, quarantined(l), []string{})
}

// TestQuarantineIsWithdrawnOnceAnotherPartExplainsIt guards against a sound part that stays
// refused since it was in progress at the first ends.
func TestQuarantineIsWithdrawnOnceAnotherPartExplainsIt(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i, ids := range [][]string{{"x", "y"}, {"x", "y"}, {"x?", "y"}, {"x"}, {"x"}, {"x"}} {
		endUnder(l, now, fmt.Sprint("e", i), ids...)
		now = now.Add(time.Second)
		l.Judge(now)
		if i == 2 {
			assert.DeepEqual(t, quarantined(l), []string{"[y]"})
		}
	}
	assert.DeepEqual(t, quarantined(l), []string{"[x]"})
}

func TestAnswerByOlderWeightsDoesNotLiftQuarantine(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	l.RecordSound(now, parts("x"), 1)
	for i := range 3 {
		e := loomquarantine.End{Upstream: fmt.Sprint("engine-", i), At: now, Exposures: exposures("x")}
		e.Exposures[0].Version = 2
		l.RecordEnd(now, e)
		now = now.Add(time.Second)
	}
	l.Judge(now)
	l.RecordSound(now, parts("x"), 1)
	_, ok := l.Find(now, parts("x"))
	assert.Assert(t, ok)
}

func TestQuarantineLastsWhileRequestsCome(t *testing.T) {
	l := newLedger(t)
	now := quarantineX(t, l, time.Now())
	for range 60 {
		now = now.Add(time.Minute)
		l.Judge(now)
		_, ok := l.Find(now, parts("x"))
		assert.Assert(t, ok)
	}
	now = now.Add(11 * time.Minute)
	l.Judge(now)
	_, ok := l.Find(now, parts("x"))
	assert.Assert(t, !ok)
}

// pass tells l the changes of other from a number on, and returns the next number.
func pass(l, other *loomquarantine.Ledger, now time.Time, from uint64) uint64 {
	changes, next := other.Changes(from, 1000)
	l.Apply(now, changes)
	return next
}

func TestInstancesDecideTogether(t *testing.T) {
	now := time.Now()
	ledgers := []*loomquarantine.Ledger{newLedger(t), newLedger(t), newLedger(t)}
	for i, l := range ledgers {
		endUnder(l, now.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i), "x", "a")
	}
	// Only the last one has seen that a is sound.
	ledgers[2].RecordSound(now, parts("a"), 1)
	now = now.Add(3 * time.Second)
	for range 2 {
		for _, l := range ledgers {
			for _, other := range ledgers {
				pass(l, other, now, 0)
			}
		}
	}
	for _, l := range ledgers {
		l.Judge(now)
		assert.DeepEqual(t, quarantined(l), []string{"[x]"})
	}
	// One that starts later learns it without the evidence.
	late := newLedger(t)
	pass(late, ledgers[0], now.Add(time.Minute*5), 0)
	assert.DeepEqual(t, quarantined(late), []string{"[x]"})
}

// TestPeerLearnsQuarantineAfterLongCut guards against an instance that was cut off for longer
// than changes are kept.
func TestPeerLearnsQuarantineAfterLongCut(t *testing.T) {
	now := time.Now()
	l, cut := newLedger(t), newLedger(t)
	next := pass(cut, l, now, 0)
	now = quarantineX(t, l, now).Add(2 * time.Minute)
	l.Judge(now)
	pass(cut, l, now, next)
	assert.DeepEqual(t, quarantined(cut), []string{"[x]"})
}

func TestEndSeenByTwoInstancesCountsOnce(t *testing.T) {
	now := time.Now()
	l := newLedger(t)
	for i := range 4 {
		endUnder(l, now.Add(time.Duration(i)*200*time.Millisecond), "e1", "x")
	}
	l.Judge(now.Add(2 * time.Second))
	assert.DeepEqual(t, quarantined(l), []string{})
}

func TestLedgerIsBounded(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i := range 2500 {
		now = now.Add(10 * time.Millisecond)
		ids := make([]string, 0, 50)
		for k := range 50 {
			ids = append(ids, fmt.Sprintf("p%d-%d", i, k))
		}
		endUnder(l, now, fmt.Sprint("e", i), ids...)
		l.Judge(now)
	}
	changes, _ := l.Changes(0, 1<<20)
	assert.Assert(t, len(changes) <= 2100, "%d changes", len(changes))
}

// TestSeparatedPartsAreToldApart guards against a part that ends engines on its own once it
// comes without the part that it always came with.
func TestSeparatedPartsAreToldApart(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i := range 3 {
		endUnder(l, now, fmt.Sprint("e", i), "x", "y")
		now = now.Add(time.Second)
	}
	l.Judge(now)
	assert.DeepEqual(t, quarantined(l), []string{"[x y]"})
	_, ok := l.Find(now, parts("y", "z"))
	assert.Assert(t, !ok, "a request with one of the parts must be sent")
	endUnder(l, now, "e4", "x", "z")
	now = now.Add(settled)
	l.Judge(now)
	assert.DeepEqual(t, quarantined(l), []string{"[x]"})
	l.RecordSound(now, parts("y"), 1)
	assert.DeepEqual(t, quarantined(l), []string{"[x]"})
}

func TestTry(t *testing.T) {
	const before, after = 1 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		// beside is a part that is in progress at the first ends, where it is none of the
		// request.
		beside  []string
		parts   []string
		after   time.Duration
		version uint64
		want    bool
	}{
		{"certain", []string{}, []string{"x"}, after, 1, false},
		{"certain, after some time", []string{}, []string{"x"}, 21 * time.Second, 1, true},
		{"uncertain", []string{"y"}, []string{"x"}, after, 1, true},
		{"uncertain, beside a suspicious part", []string{"y"}, []string{"x", "y"}, after, 1, false},
		{"uncertain, engines may be down still", []string{"y"}, []string{"x"}, before, 1, false},
		{"newer weights", []string{}, []string{"x"}, after, 2, true},
		{"newer weights, engines may be down still", []string{}, []string{"x"}, before, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(t)
			now := time.Now()
			for i := range 4 {
				ids := []string{"x"}
				if i < 3 {
					ids = append(ids, tt.beside...)
				} else if len(tt.beside) > 0 {
					ids = append(ids, "other")
				}
				endUnder(l, now, fmt.Sprint("e", i), ids...)
				now = now.Add(time.Second)
			}
			decided := l.Judge(now)
			assert.Equal(t, len(decided), 1)
			assert.DeepEqual(t, decided[0].Parts(), []string{"x"})
			assert.Equal(t, l.Try(now.Add(tt.after), decided[0], parts(tt.parts...), tt.version), tt.want)
		})
	}
}

// TestTrialsAreBounded guards against engines that end under trials again and again.
func TestTrialsAreBounded(t *testing.T) {
	l := newLedger(t)
	now := quarantineX(t, l, time.Now())
	trials := 0
	for version := uint64(2); version < 50; version++ {
		for range 20 {
			now = now.Add(time.Second)
			q, ok := l.Find(now, parts("x"))
			assert.Assert(t, ok)
			if l.Try(now, q, parts("x"), version) {
				trials++
			}
			l.Judge(now)
		}
	}
	assert.Equal(t, trials, 2)
	// Another instance that learns of the quarantine knows of them.
	other := newLedger(t)
	pass(other, l, now, 0)
	q, ok := other.Find(now, parts("x"))
	assert.Assert(t, ok)
	assert.Assert(t, !other.Try(now.Add(time.Minute), q, parts("x"), 100))
}
