package loomlease_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomlease"
	"swiftloom/loompb"
	"swiftloom/loomstandin"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const duration = 3 * time.Second

// At most one process holds the lease at any time, and each new holder has a
// higher token, also when processes pause, writes are delayed, replies are lost
// and clocks run at rates that differ by a few percent.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table loomstandin.Table
		const processes = 3
		leases := make([]loomlease.Lease, processes)
		clockRate := make([]float64, processes)
		for i := range leases {
			leases[i] = loomlease.New("lease/x", fmt.Sprintf("p%d", i), duration)
			clockRate[i] = 1 + float64(rapid.IntRange(-2, 2).Draw(t, "drift_percent"))/100
		}
		elapsed := time.Duration(0)
		localTime := func(i int) time.Time {
			return start.Add(time.Duration(float64(elapsed) * clockRate[i]))
		}
		lastToken, lastHolder := uint64(0), -1
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			l := &leases[i]
			row := table.ReadRows(l.Read()).GetRows()[0]
			assert.NilError(t, l.RecordRead(localTime(i), row))
			if l.Due(localTime(i)) {
				request, err := l.Write(localTime(i))
				assert.NilError(t, err)
				elapsed += time.Duration(rapid.IntRange(0, 2000).Draw(t, "late_ms")) * time.Millisecond
				reply := table.Transact(request)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					assert.NilError(t, l.RecordWrite(localTime(i), reply))
				}
			}
			holders := 0
			for j := range leases {
				token, held := leases[j].Held(localTime(j))
				if !held {
					continue
				}
				holders++
				if j != lastHolder {
					assert.Assert(t, token > lastToken, "token %d after %d", token, lastToken)
				}
				assert.Assert(t, token >= lastToken)
				lastToken, lastHolder = token, j
			}
			assert.Assert(t, holders <= 1)
		}
	})
}

func TestReleasedLeaseCanBeTaken(t *testing.T) {
	var table loomstandin.Table
	a := loomlease.New("lease/x", "a", duration)
	b := loomlease.New("lease/x", "b", duration)
	take := func(l *loomlease.Lease) {
		assert.NilError(t, l.RecordRead(start, table.ReadRows(l.Read()).GetRows()[0]))
		assert.Assert(t, l.Due(start))
		request, err := l.Write(start)
		assert.NilError(t, err)
		assert.NilError(t, l.RecordWrite(start, table.Transact(request)))
	}
	take(&a)
	request, err := a.Release(start)
	assert.NilError(t, err)
	assert.Assert(t, table.Transact(request).GetApplied())
	take(&b)
	token, held := b.Held(start)
	assert.Assert(t, held)
	assert.Equal(t, token, uint64(2))
	var noRequest *loompb.TransactRequest
	request, err = a.Release(start)
	assert.NilError(t, err)
	assert.Assert(t, request == noRequest)
}

// TestTokensRiseAcrossReset guards against a fencing token that is used twice because the
// table has lost the row of the lease.
func TestTokensRiseAcrossReset(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := loomlease.New("k", "a", 10*time.Second)
	take := func() uint64 {
		t.Helper()
		assert.NilError(t, l.RecordRead(at, &loompb.Row{Key: "k"}))
		_, err := l.Write(at)
		assert.NilError(t, err)
		assert.NilError(t, l.RecordWrite(at, &loompb.TransactReply{Applied: true, Version: 1}))
		token, held := l.Held(at)
		assert.Assert(t, held)
		return token
	}
	first := take()
	l.Reset(0)
	_, held := l.Held(at)
	assert.Assert(t, !held, "a lease of an earlier epoch is held")
	second := take()
	assert.Assert(t, second > first, "token %d after %d", second, first)
	l.Reset(1000)
	assert.Assert(t, take() > 1000)
}

// TestUnreadableRowIsTakenOver guards against a row that keeps a lease from being taken for
// ever, or lets it be taken while its holder still uses it.
func TestUnreadableRowIsTakenOver(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"empty", ""},
		{"not JSON", "{"},
		{"other type", "[]"},
		{"nested", strings.Repeat("[", 20_000)},
		{"token too large for its type", `{"holder":"x","token":12345678901234567890123}`},
		{"largest token", `{"holder":"x","token":18446744073709551615}`},
		{"longest duration", `{"holder":"x","token":1,"duration":9223372036854775807}`},
		{"duration below zero", `{"holder":"x","token":1,"duration":-9223372036854775808}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table loomstandin.Table
			first, second := loomlease.New("lease/x", "first", duration), loomlease.New("lease/x", "second", duration)
			take := func(l *loomlease.Lease, now time.Time) uint64 {
				t.Helper()
				request, err := l.Write(now)
				assert.NilError(t, err)
				assert.NilError(t, l.RecordWrite(now, table.Transact(request)))
				token, held := l.Held(now)
				assert.Assert(t, held)
				return token
			}
			read := func(l *loomlease.Lease, now time.Time) error {
				return l.RecordRead(now, table.ReadRows(l.Read()).GetRows()[0])
			}
			assert.NilError(t, read(&first, start))
			before := take(&first, start)
			table.Transact(&loompb.TransactRequest{Writes: []*loompb.Write{{Key: "lease/x", Value: []byte(tt.value)}}})
			assert.Check(t, read(&second, start) != nil)
			for now := start; now.Before(start.Add(duration)); now = now.Add(duration / 10) {
				assert.Check(t, read(&second, now))
				assert.Assert(t, !second.Due(now), "due %s after the first holder took the lease", now.Sub(start))
			}
			_, isOther := second.Held(start)
			assert.Assert(t, !isOther)
			now := start.Add(duration + duration/10)
			assert.Check(t, read(&second, now))
			assert.Assert(t, second.Due(now), "not due after the duration of the lease")
			after := take(&second, now)
			assert.Assert(t, after > before, "token %d after token %d", after, before)
			assert.Assert(t, read(&first, now) == nil)
			_, isHeld := first.Held(now)
			assert.Assert(t, !isHeld)
		})
	}
}
