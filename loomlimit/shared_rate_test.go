package loomlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var rateStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRequestWindow(t *testing.T) {
	tests := []struct {
		name  string
		sent  []time.Duration
		after time.Duration
		want  int
	}{
		{"empty", nil, 0, 0},
		{"within the window", []time.Duration{0, time.Second, 3 * time.Second}, 3900 * time.Millisecond, 3},
		{"the oldest has left", []time.Duration{0, time.Second, 3 * time.Second}, 4500 * time.Millisecond, 2},
		{"all have left", []time.Duration{0, time.Second}, time.Hour, 0},
		{"a clock that steps back", []time.Duration{time.Minute, 0}, time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w RequestWindow
			for _, at := range tt.sent {
				w.Add(rateStart.Add(at))
			}
			assert.Equal(t, w.Total(rateStart.Add(tt.after)), tt.want)
		})
	}
}

func TestSharedRateHearsNewestStatement(t *testing.T) {
	limited := func(rate float64, at time.Duration) LimitStatement {
		return LimitStatement{IsLimited: true, Rate: rate, HeardAt: rateStart.Add(at)}
	}
	withdrawn := func(at time.Duration) LimitStatement { return LimitStatement{HeardAt: rateStart.Add(at)} }
	tests := []struct {
		name     string
		own      []LimitStatement
		fromPeer []LimitStatement
		want     LimitStatement
	}{
		{"own answers in order", []LimitStatement{limited(4, 0), limited(2, time.Second)}, nil, limited(2, time.Second)},
		{"an answer without the limit ends it", []LimitStatement{limited(4, 0), withdrawn(time.Second)}, nil, withdrawn(time.Second)},
		{"a peer's newer limit", []LimitStatement{limited(4, 0)}, []LimitStatement{limited(2, time.Second)}, limited(2, time.Second)},
		{"a peer's older limit", []LimitStatement{limited(4, time.Second)}, []LimitStatement{limited(2, 0)}, limited(4, time.Second)},
		{"a peer's first limit", nil, []LimitStatement{limited(2, 0)}, limited(2, 0)},
		{"a peer's withdrawal that may be older", []LimitStatement{limited(4, 0)}, []LimitStatement{withdrawn(statementSkew / 2)}, limited(4, 0)},
		{"a peer's withdrawal that is newer", []LimitStatement{limited(4, 0)}, []LimitStatement{withdrawn(2 * statementSkew)}, withdrawn(statementSkew)},
		{"a peer's higher limit that may be older", []LimitStatement{limited(4, 0)}, []LimitStatement{limited(9, statementSkew/2)}, limited(4, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r SharedRate
			for _, s := range tt.own {
				r.Hear(rateStart, s)
			}
			for _, s := range tt.fromPeer {
				r.HearFromPeer(rateStart, s)
			}
			assert.DeepEqual(t, r.Statement(), tt.want)
		})
	}
}

// TestSharedRatesStayBelowLimit checks that instances that share a limit, each with
// any demand, never have rates beyond it together, and send at most one request each
// more than it allows in any window, whatever they know of each other. Answers
// to requests for leases are late or lost.
func TestSharedRatesStayBelowLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		limit := rapid.Float64Range(0.5, 50).Draw(t, "limit")
		areCut := rapid.Bool().Draw(t, "are cut off from each other")
		rates := make([]SharedRate, n)
		demands := make([]float64, n)
		var arrivals []time.Time
		var late []lateLease
		const step = 20 * time.Millisecond
		for i := range rates {
			demands[i] = rapid.Float64Range(0, 1).Draw(t, "demand")
		}
		namedAt := rateStart.Add(LimitWindow)
		for now := rateStart; now.Before(namedAt.Add(3 * LimitWindow)); now = now.Add(step) {
			for i := range rates {
				r := &rates[i]
				if now.Equal(namedAt) {
					r.Hear(now, LimitStatement{IsLimited: true, Rate: limit, HeardAt: now})
					r.SetShare(now, 1/float64(n))
				}
				if rapid.Float64Range(0, 1).Draw(t, "draw") < demands[i] {
					r.Want(now)
					hasRoom := r.Wait(now) == 0
					isTaken := r.Take(now)
					assert.Equal(t, hasRoom, isTaken)
					if isTaken {
						arrivals = append(arrivals, now)
					}
				}
				if !areCut {
					rates[(i+1)%n].SetPeerSent(now, string(rune('a'+i)), r.Sent(now))
					j := rapid.IntRange(0, n-1).Draw(t, "lender")
					if request, ok := r.RequestLease(now, string(rune('a'+j)), n-1); ok && i != j {
						request.Holder = string(rune('a' + i))
						late = append(late, lateLease{now, i, j, rates[j].Lend(now, request)})
					}
				}
			}
			for len(late) > 0 && rapid.Bool().Draw(t, "an answer arrives") {
				l := late[0]
				late = late[1:]
				if rapid.Bool().Draw(t, "it is not lost") {
					rates[l.holder].AcceptLease(l.requestedAt, string(rune('a'+l.lender)), l.grant)
				}
			}
			sum := 0.0
			for i := range rates {
				sum += rates[i].Rate(now)
			}
			assert.Assert(t, sum <= limit*1.001, "rates of %.2f a second, limit %.2f", sum, limit)
		}
		most := limit*LimitWindow.Seconds() + float64(n)
		first := 0
		for i, end := range arrivals {
			for !arrivals[first].After(end.Add(-LimitWindow)) {
				first++
			}
			if end.Before(namedAt.Add(LimitWindow)) {
				continue
			}
			assert.Assert(t, float64(i-first+1) <= most, "%d requests in %s, at most %.1f allowed", i-first+1, LimitWindow, most)
		}
	})
}

// lateLease is a grant that has not reached its holder.
type lateLease struct {
	requestedAt    time.Time
	holder, lender int
	grant          Grant
}

func TestSharedRateGivesItsPart(t *testing.T) {
	var r SharedRate
	r.Hear(rateStart, LimitStatement{IsLimited: true, Rate: 8, HeardAt: rateStart})
	r.SetShare(rateStart, 0.25)
	sent := 0
	for now := rateStart; now.Before(rateStart.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if r.Take(now) {
			sent++
		}
	}
	assert.Assert(t, sent >= 100 && sent <= 121, "%d requests in a minute at 2 a second", sent)
}

func TestSharedRateWithoutShareSendsNothing(t *testing.T) {
	var r SharedRate
	r.Hear(rateStart, LimitStatement{IsLimited: true, Rate: 8, HeardAt: rateStart})
	r.SetShare(rateStart, 0)
	assert.Assert(t, !r.Take(rateStart.Add(time.Hour)))
	assert.Equal(t, r.Wait(rateStart.Add(time.Hour)), maxWait)
}

func TestSharedRateAsksAnUpstreamThatTakesNothing(t *testing.T) {
	var r SharedRate
	r.Hear(rateStart, LimitStatement{IsLimited: true, Rate: 0, HeardAt: rateStart})
	r.SetShare(rateStart, 1)
	assert.Assert(t, !r.Take(rateStart.Add(time.Second)))
	assert.Assert(t, r.Take(rateStart.Add(11*time.Second)), "only an answer shows that the limit has changed")
}
