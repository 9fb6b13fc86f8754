package loomgate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// namedPage returns the rows about target versions as a snapshot of TopicInstances.
func (s *fakeSource) namedPage() Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Version: s.version}
	if r := s.rows[namedKeyPrefix+"m"]; r != nil {
		p.Rows = append(p.Rows, Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	return p
}

// outdatedFor returns for how long the weights of version 1 are outdated.
func outdatedFor(t *testing.T, now time.Time, g *Gate) time.Duration {
	t.Helper()
	at, ok := g.view.outdatedSince("m", 1)
	assert.Assert(t, ok)
	return now.Sub(at)
}

// TestNamedRowIsWrittenOncePerVersion checks that the holder of the lease writes when a version
// was named with one call, which later holders don't repeat or change.
func TestNamedRowIsWrittenOncePerVersion(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{}}
	a := newRolloutGate(t, "a", s, r)
	hasVersion := func(n int) func() bool {
		return func() bool { p := s.namedPage(); return len(p.Rows) > 0 && len(a.view.namedRows["m"].Versions) == n }
	}
	assert.Assert(t, reconcileUntil(t, a, time.Second, hasVersion(1)))
	first := s.namedPage()
	time.Sleep(namedWriteInterval)
	a.rollout.reconcile(t.Context())
	assert.Equal(t, s.namedPage().Rows[0].Version, first.Rows[0].Version, "the row was written again")

	// The lease passes to an instance that knows neither the row nor the first version.
	a.rollout.releaseLease(t.Context())
	b := newTestGate(t, "b", s, r)
	b.view.apply(time.Now(), TopicCatalogue, page(5, row("c", "routing 1", 1), row("v", "weights 3", 5)), true)
	b.view.apply(time.Now(), TopicUpstreams, page(4, row("e1", "up 1", 3), row("e2", "up 1", 4)), true)
	assert.Assert(t, reconcileUntil(t, b, 8*time.Second, func() bool { return len(b.view.namedRows["m"].Versions) == 2 }))
	now := time.Now()
	assert.Assert(t, (outdatedFor(t, now, a)-outdatedFor(t, now, b)).Abs() < 5*time.Millisecond, "the second holder has not taken over when the first version was named")
	a.view.applyNamedRows(now, s.namedPage(), false)
	old, written := a.view.namedRows["m"].Versions, first
	assert.Equal(t, len(old), 2)
	b.view.applyNamedRows(now, written, false)
	assert.Equal(t, len(b.view.namedRows["m"].Versions), 2, "an earlier row replaces a later one")
}

// TestNamedRowIsWrittenAgainWhenTableReturns guards against a row that is lost when the
// platform's table returns from an older copy.
func TestNamedRowIsWrittenAgainWhenTableReturns(t *testing.T) {
	s, r := newFakeSource(), &fakeRunner{versions: map[string]uint64{}}
	g := newRolloutGate(t, "a", s, r)
	hasRow := func() bool { return len(s.namedPage().Rows) > 0 }
	assert.Assert(t, reconcileUntil(t, g, time.Second, hasRow))
	before := s.namedPage().Rows[0].Value
	s.returnEmpty()
	assert.Assert(t, !hasRow())
	g.view.applyNamedRows(time.Now(), s.namedPage(), true)
	assert.Assert(t, reconcileUntil(t, g, 5*time.Second, hasRow))
	again := newTestGate(t, "b", s, r)
	now := time.Now()
	again.view.applyNamedRows(now, s.namedPage(), true)
	assert.Assert(t, (outdatedFor(t, now, g)-outdatedFor(t, now, again)).Abs() < 5*time.Millisecond, "%s, before %s", s.namedPage().Rows[0].Value, before)
}

// TestNewFleetServesOldWeightsAtFirst checks that a name counts from its first sight where
// neither a row nor a peer knows more.
func TestNewFleetServesOldWeightsAtFirst(t *testing.T) {
	g := newRolloutGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.applyNamedRows(time.Now(), page(9), true)
	assert.Assert(t, !g.view.weightsExpired(time.Now(), 2*time.Second, "m", 1))
}

// TestClockReadingsErrTowardsEarlierTimes guards against weights that expire late since a
// reading of the platform's clock took some time.
func TestClockReadingsErrTowardsEarlierTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		millis := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		// offset is the platform's time at start.
		offset := millis("offset", 1_000_000)
		from := start.Add(millis("from", 10_000))
		read := from.Add(millis("request", 300))
		c := ClockReading{Time: offset + read.Sub(start), From: from, Until: read.Add(millis("response", 300))}
		at := start.Add(millis("at", 20_000))
		trueTime := offset + at.Sub(start)
		delay := c.Until.Sub(c.From)
		assert.Assert(t, c.platformTime(at) <= trueTime && c.platformTime(at) >= trueTime-delay)
		local := c.localTime(trueTime)
		assert.Assert(t, !local.After(at) && !local.Before(at.Add(-delay)))
	})
}

// TestOddNamedTimeExpiresNoWeights guards against a row about target versions after which no
// upstream counts as up to date.
func TestOddNamedTimeExpiresNoWeights(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"first time", `{"versions":[{"version":2,"named_ms":-9223372036854775808}]}`},
		{"last time", `{"versions":[{"version":2,"named_ms":9223372036854775807}]}`},
		{"time that overflows", `{"versions":[{"version":2,"named_ms":9223372036855}]}`},
		{"time long before the clock's start", `{"versions":[{"version":2,"named_ms":-9223372036854}]}`},
		{"version zero", `{"versions":[{"version":0,"named_ms":1}]}`},
		{"largest version", `{"versions":[{"version":18446744073709551615,"named_ms":1}]}`},
		{"version that was not named", `{"versions":[{"version":3,"named_ms":1}]}`},
		{"other types", `{"versions":{"version":"3"}}`},
	}
	for _, tt := range tests {
		for _, isReadFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read first %t", tt.name, isReadFirst), func(t *testing.T) {
				g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
				now := time.Now()
				readRow := func() { g.view.applyNamedRows(now, page(3, row("weights/m", tt.value, 3)), true) }
				if isReadFirst {
					readRow()
				}
				g.view.apply(now, TopicCatalogue, page(2, row("v", "weights 2", 2)), true)
				if !isReadFirst {
					readRow()
				}
				assert.Check(t, !g.view.weightsExpired(now, 0, "m", 2), "the target version has expired")
				assert.Check(t, !g.view.weightsExpired(now, time.Second, "m", 1), "the version before has expired")
				assert.Check(t, g.view.weightsExpired(now, g.settings.OldWeightsTTL, "m", 1))
			})
		}
	}
}

// TestTimeSinceClockReadingCanBePast guards against a name that is left out since the clock was read
// before it was given.
func TestTimeSinceClockReadingCanBePast(t *testing.T) {
	now := time.Now()
	read := ClockReading{Time: 10 * time.Second, From: now.Add(-4 * time.Second), Until: now.Add(-3900 * time.Millisecond)}
	tests := []struct {
		name string
		ms   int64
		want bool
	}{
		{"before the reading", 9_000, true},
		{"since the reading", 13_000, true},
		{"later than now", 14_001, false},
		{"an age before the clock's start", -12_000, true},
		{"longer before the clock's start", -12_001, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, read.canBePast(now, tt.ms, 12*time.Second), tt.want)
		})
	}
}
