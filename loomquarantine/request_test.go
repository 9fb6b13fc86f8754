package loomquarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomquarantine"
)

// requestEnd is the end of an upstream at a time under requests, each with the time since it
// was sent. An answer had begun to those that end with an exclamation mark.
type requestEnd struct {
	at   time.Duration
	sent map[string]time.Duration
}

func newRequest(id string) loomquarantine.Suspect {
	return loomquarantine.Suspect{Kind: loomquarantine.Request, ID: id}
}

// record records the end of an upstream.
func (e requestEnd) record(l *loomquarantine.Ledger, start time.Time, upstream string) {
	end := loomquarantine.End{Upstream: upstream, At: start.Add(e.at)}
	for id, sent := range e.sent {
		id, hasBegun := strings.CutSuffix(id, "!")
		end.Exposures = append(end.Exposures, loomquarantine.Exposure{Suspect: newRequest(id), Sent: sent, HasBegun: hasBegun})
	}
	l.RecordEnd(end.At, end)
}

func TestJudgeRequests(t *testing.T) {
	const ms = time.Millisecond
	type sent = map[string]time.Duration
	tests := []struct {
		name string
		ends []requestEnd
		want []string
	}{
		{"two ends", []requestEnd{{0, sent{"x": 70 * ms}}, {100 * ms, sent{"x": 70 * ms}}}, nil},
		{"three ends", []requestEnd{{0, sent{"x": 70 * ms}}, {50 * ms, sent{"x": 41 * ms}}, {90 * ms, sent{"x": 122 * ms}}}, []string{"x"}},
		{"all at once", []requestEnd{{0, sent{"x": 70 * ms}}, {9 * ms, sent{"x": 70 * ms}}, {20 * ms, sent{"x": 70 * ms}}, {30 * ms, sent{"x": 70 * ms}}}, nil},
		{
			"at different stages",
			[]requestEnd{{0, sent{"x": 10 * ms}}, {time.Second, sent{"x": 900 * ms}}, {2 * time.Second, sent{"x": 300 * ms}}}, nil,
		},
		{
			"at different stages, four ends",
			[]requestEnd{{0, sent{"x": 10 * ms}}, {time.Second, sent{"x": 900 * ms}}, {2 * time.Second, sent{"x": 300 * ms}}, {3 * time.Second, sent{"x": 300 * ms}}},
			[]string{"x"},
		},
		{
			"beside requests that come once",
			[]requestEnd{{0, sent{"x": 70 * ms, "a": 10 * ms}}, {time.Second, sent{"x": 70 * ms, "b": 20 * ms}}, {2 * time.Second, sent{"x": 70 * ms, "c": 5 * ms}}},
			[]string{"x"},
		},
		{
			"beside one that was always there as well",
			[]requestEnd{
				{0, sent{"a": 10 * ms, "x": 70 * ms}}, {time.Second, sent{"a": 80 * ms, "x": 70 * ms}}, {2 * time.Second, sent{"a": 40 * ms, "x": 72 * ms}},
			},
			[]string{"x"},
		},
		{
			"two requests at about the same times",
			[]requestEnd{
				{0, sent{"x": 70 * ms}}, {40 * ms, sent{"y": 70 * ms}}, {time.Second, sent{"x": 70 * ms}}, {1040 * ms, sent{"y": 70 * ms}},
				{2 * time.Second, sent{"x": 70 * ms}}, {2040 * ms, sent{"y": 70 * ms}},
			},
			[]string{"x", "y"},
		},
		{
			"beside a stream that had begun",
			[]requestEnd{
				{0, sent{"a!": 310 * ms, "x": 70 * ms}}, {time.Second, sent{"a!": 240 * ms, "x": 70 * ms}}, {2 * time.Second, sent{"a!": 350 * ms, "x": 72 * ms}},
			},
			[]string{"x"},
		},
		{"minutes apart", []requestEnd{{0, sent{"x": 70 * ms}}, {3 * time.Minute, sent{"x": 70 * ms}}, {6 * time.Minute, sent{"x": 70 * ms}}}, []string{"x"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			l := newLedger(t)
			for i, e := range tt.ends {
				e.record(l, start, fmt.Sprint("u", i))
				l.Judge(start.Add(e.at + 60*ms))
			}
			l.Judge(start.Add(tt.ends[len(tt.ends)-1].at + settled))
			var got []string
			for _, q := range l.Quarantines() {
				got = append(got, q.Request())
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestRequestAndItsPartAreToldApart guards against sound requests that share a part with one
// that ends engines as a whole.
func TestRequestAndItsPartAreToldApart(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	request := loomquarantine.Suspect{Kind: loomquarantine.Request, Model: model, ID: "r"}
	for i := range 3 {
		l.RecordEnd(now, loomquarantine.End{Upstream: fmt.Sprint("e", i), At: now, Exposures: []loomquarantine.Exposure{
			{Suspect: parts("x")[0], Version: 1, HasBegun: true},
			{Suspect: request, Version: 1, HasBegun: true, Parts: []string{"x"}},
		}})
		now = now.Add(time.Second)
	}
	l.Judge(now)
	_, isRefused := l.Find(now, append(parts("x"), request))
	assert.Assert(t, isRefused)
	other := append(parts("x"), loomquarantine.Suspect{Kind: loomquarantine.Request, Model: model, ID: "other"})
	_, isRefused = l.Find(now, other)
	assert.Assert(t, !isRefused)
	// It is the part if the other request ends an engine as well.
	l.RecordEnd(now, loomquarantine.End{Upstream: "e3", At: now, Exposures: []loomquarantine.Exposure{
		{Suspect: parts("x")[0], Version: 1, HasBegun: true},
		{Suspect: other[1], Version: 1, HasBegun: true, Parts: []string{"x"}},
	}})
	now = now.Add(settled)
	l.Judge(now)
	_, isRefused = l.Find(now, other)
	assert.Assert(t, isRefused)
}

// TestPartIsNotSeparatedByOneEnd guards against sound requests that are refused for a part of a
// quarantined request, since only one of its ends is known.
func TestPartIsNotSeparatedByOneEnd(t *testing.T) {
	request := loomquarantine.Suspect{Kind: loomquarantine.Request, Model: model, ID: "r"}
	other := append(parts("x"), loomquarantine.Suspect{Kind: loomquarantine.Request, Model: model, ID: "other"})
	end := func(at time.Time, upstream string) loomquarantine.End {
		return loomquarantine.End{Upstream: upstream, At: at, Exposures: []loomquarantine.Exposure{
			{Suspect: parts("x")[0], Version: 1, HasBegun: true},
			{Suspect: request, Version: 1, HasBegun: true, Parts: []string{"x"}},
		}}
	}
	decided := func(now time.Time) (*loomquarantine.Ledger, time.Time) {
		l := newLedger(t)
		for i := range 3 {
			l.RecordEnd(now, end(now, fmt.Sprint("e", i)))
			now = now.Add(time.Second)
		}
		l.Judge(now)
		return l, now
	}
	tests := []struct {
		name  string
		setup func(now time.Time) (*loomquarantine.Ledger, time.Time)
	}{
		{"an instance that has just started", func(now time.Time) (*loomquarantine.Ledger, time.Time) {
			l, now := decided(now)
			late := newLedger(t)
			for _, q := range l.Quarantines() {
				late.Apply(now, []loomquarantine.Change{q})
			}
			late.Apply(now, []loomquarantine.Change{end(now, "e2")})
			return late, now
		}},
		{"an instance that learns of an end in two messages", func(now time.Time) (*loomquarantine.Ledger, time.Time) {
			l, now := decided(now)
			late := newLedger(t)
			for _, q := range l.Quarantines() {
				late.Apply(now, []loomquarantine.Change{q})
			}
			whole := end(now.Add(-time.Second), "e3")
			withOther := whole
			withOther.Exposures = []loomquarantine.Exposure{
				whole.Exposures[0], {Suspect: other[1], Version: 1, HasBegun: true, Parts: []string{"x"}},
			}
			late.Apply(now, []loomquarantine.Change{withOther})
			late.Judge(now)
			late.Apply(now, []loomquarantine.Change{whole})
			return late, now
		}},
		{"the earlier ends have expired", func(now time.Time) (*loomquarantine.Ledger, time.Time) {
			l, now := decided(now)
			for range 11 {
				now = now.Add(time.Minute)
				l.Judge(now)
				l.Find(now, append(parts("x"), request))
			}
			l.RecordEnd(now, end(now, "e3"))
			return l, now
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, now := tt.setup(time.Now())
			now = now.Add(settled)
			l.Judge(now)
			_, isRefused := l.Find(now, append(parts("x"), request))
			assert.Check(t, isRefused, "the request must be refused")
			_, isRefused = l.Find(now, other)
			assert.Check(t, !isRefused, "another request with the same part must not be refused")
		})
	}
}

// TestEndOfKnownIncarnationCountsOnce guards against an instance that was frozen when an
// upstream ended and tells of it later.
func TestEndOfKnownIncarnationCountsOnce(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for range 4 {
		l.RecordEnd(now, loomquarantine.End{Upstream: "u", Incarnation: 7, At: now, Exposures: []loomquarantine.Exposure{{Suspect: newRequest("x")}}})
		now = now.Add(5 * time.Second)
	}
	l.Judge(now)
	assert.DeepEqual(t, quarantined(l), []string{})
}

// TestPartsOfDifferentRequestsAreQuarantinedApart guards against a set of parts that no request
// has, so that none is refused.
func TestPartsOfDifferentRequestsAreQuarantinedApart(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i := range 3 {
		for k, id := range []string{"x", "y"} {
			at := now.Add(time.Duration(k) * 40 * time.Millisecond)
			request := loomquarantine.Suspect{Kind: loomquarantine.Request, Model: model, ID: fmt.Sprint(id, i)}
			l.RecordEnd(at, loomquarantine.End{Upstream: fmt.Sprint("e", i, k), At: at, Exposures: []loomquarantine.Exposure{
				{Suspect: parts(id)[0], Version: 1, HasBegun: true},
				{Suspect: request, Version: 1, HasBegun: true, Parts: []string{id}},
			}})
		}
		now = now.Add(time.Second)
	}
	l.Judge(now)
	assert.DeepEqual(t, quarantined(l), []string{"[x]", "[y]"})
}

// TestPartsOfSoundRequestsAreQuarantinedApart is like that for requests whose digest is known
// to be sound.
func TestPartsOfSoundRequestsAreQuarantinedApart(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i := range 4 {
		for k, id := range []string{"x", "y"} {
			at := now.Add(time.Duration(k) * 40 * time.Millisecond)
			l.RecordEnd(at, loomquarantine.End{Upstream: fmt.Sprint("e", i, k), At: at, Exposures: []loomquarantine.Exposure{
				{Suspect: parts(id)[0], Version: 1, Parts: []string{id}},
			}})
		}
		now = now.Add(time.Second)
	}
	l.Judge(now)
	assert.DeepEqual(t, quarantined(l), []string{"[x]", "[y]"})
}

// TestLatestChangesAreTold guards against a peer that is told only of old changes.
func TestLatestChangesAreTold(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	for i := range 20 {
		endUnder(l, now, fmt.Sprint("e", i), fmt.Sprint("x", i))
	}
	latest := l.Latest(3)
	assert.Equal(t, len(latest), 3)
	end, ok := latest[2].(loomquarantine.End)
	assert.Assert(t, ok)
	assert.Equal(t, end.Upstream, "e19")
}

// TestWithdrawnQuarantineStaysWithdrawn guards against a quarantine that peers bring back as
// often as it is withdrawn.
func TestWithdrawnQuarantineStaysWithdrawn(t *testing.T) {
	l, peer := newLedger(t), newLedger(t)
	now := time.Now()
	for i, ids := range [][]string{{"x", "y"}, {"x", "y"}, {"x?", "y"}, {"x"}, {"x"}, {"x"}} {
		endUnder(l, now, fmt.Sprint("e", i), ids...)
		now = now.Add(time.Second)
		l.Judge(now)
		if i == 2 {
			pass(peer, l, now, 0)
			assert.DeepEqual(t, quarantined(peer), []string{"[y]"})
		}
	}
	assert.DeepEqual(t, quarantined(l), []string{"[x]"})
	pass(l, peer, now, 0)
	assert.DeepEqual(t, quarantined(l), []string{"[x]"})
}

// TestJudgeEnds guards against a decision without end about suspects of a quarantine that are
// exposed at different ends of one cluster.
func TestJudgeEnds(t *testing.T) {
	l := newLedger(t)
	now := time.Now()
	l.Apply(now, []loomquarantine.Change{loomquarantine.Quarantine{UsedAt: now}.WithSuspects(parts("x", "y", "z")...)})
	endUnder(l, now, "e1", "x")
	endUnder(l, now.Add(40*time.Millisecond), "e2", "y")
	l.Judge(now.Add(settled))
	assert.DeepEqual(t, quarantined(l), []string{"[x y]", "[x y z]"})
}
