package loomlimit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomlimit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	lease  = time.Second
	budget = 1000.0
)

func TestMaxMinFair(t *testing.T) {
	tests := []struct {
		name    string
		demands []float64
		want    []float64
	}{
		{"a lone holder gets its target and half of the rest", []float64{500}, []float64{800}},
		{"a lone holder is limited to the budget", []float64{5000}, []float64{1000}},
		{"two holders with excess demand share equally", []float64{5000, 5000}, []float64{500, 500}},
		{"a small demand is met in full", []float64{100, 5000}, []float64{120, 880}},
		{"a holder without demand gets nothing", []float64{0, 5000}, []float64{0, 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := loomlimit.NewLedger(start, lease, 0)
			held := make([]loomlimit.Grant, len(tt.demands))
			now := start
			for range 10 {
				now = now.Add(lease / 4)
				for i, d := range tt.demands {
					held[i] = l.Grant(now, budget, loomlimit.LeaseRequest{Holder: fmt.Sprint(i), Demand: d, Held: held[i].Rate, Lease: held[i].Lease})
				}
			}
			for i, g := range held {
				assert.Assert(t, g.Rate > tt.want[i]-1 && g.Rate < tt.want[i]+1, "holder %d has %f", i, g.Rate)
			}
		})
	}
}

// The rates that holders may use never add up to more than the budget, also when
// replies are lost or holders pause for longer than a lease.
func TestLeasesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := loomlimit.NewLedger(start, lease, 0)
		const holders = 4
		allowances := make([]*loomlimit.Allowance, holders)
		for i := range allowances {
			allowances[i] = &loomlimit.Allowance{}
		}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause_ms")) * time.Millisecond)
			i := rapid.IntRange(0, holders-1).Draw(t, "holder")
			a := allowances[i]
			demand := float64(rapid.IntRange(0, 3000).Draw(t, "demand"))
			g := l.Grant(now, budget, a.Request(now, fmt.Sprint(i), demand))
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				a.Accept(now, g)
			}
			sum := 0.0
			for _, other := range allowances {
				sum += other.Rate(now)
			}
			assert.Assert(t, sum <= budget+0.001, "leased rates add up to %f", sum)
		}
	})
}

// A home that takes over from a failed one grants holders no more than they
// already hold until the old leases have expired.
func TestTakeoverGrantsOnlyHeldRates(t *testing.T) {
	l := loomlimit.NewLedger(start, lease, 2*lease)
	g := l.Grant(start, budget, loomlimit.LeaseRequest{Holder: "new", Demand: 500})
	assert.Equal(t, g.Rate, 0.0)
	g = l.Grant(start, budget, loomlimit.LeaseRequest{Holder: "old", Demand: 500, Held: 300, Lease: 7})
	assert.Equal(t, g.Rate, 300.0)
	g = l.Grant(start.Add(3*lease), budget, loomlimit.LeaseRequest{Holder: "new", Demand: 500})
	assert.Equal(t, g.Rate, 800.0)
}

// A holder that was paused for longer than its lease must not spend on it.
func TestExpiredLeaseAllowsNothing(t *testing.T) {
	var a loomlimit.Allowance
	a.Accept(start, loomlimit.Grant{Rate: 1000, Lease: 1, For: lease})
	assert.Equal(t, a.Rate(start.Add(lease/2)), 1000.0)
	assert.Equal(t, a.Rate(start.Add(lease)), 0.0)

	var c loomlimit.Credit
	c.Add(start, 100, start.Add(lease))
	assert.Assert(t, c.Take(start.Add(lease/2), 40))
	assert.Assert(t, !c.Take(start.Add(lease), 10))
}

func TestCreditKeepsDebt(t *testing.T) {
	var c loomlimit.Credit
	c.Add(start, 100, start.Add(lease))
	assert.Assert(t, c.Take(start, 100))
	c.Settle(start, 100, 130)
	assert.Equal(t, c.Debt(start.Add(time.Hour)), 30.0)
	assert.Equal(t, c.Debt(start.Add(time.Hour)), 0.0)
	c.Settle(start, 100, 60)
	assert.Assert(t, c.Take(start, 40))
}

// Over any ten seconds an overloaded account consumes at most ten seconds of its
// rate plus one burst and one request, also when a request costs more than the
// burst.
func TestBucketLimitsRate(t *testing.T) {
	tests := []struct{ cost float64 }{{10}, {300}, {2000}}
	for _, tt := range tests {
		const rate, burst, window = 1000.0, 250.0, 10_000
		b := loomlimit.NewBucket(start, rate, burst)
		spent := make([]float64, 3*window)
		for ms := range spent {
			if _, ok := b.Reserve(start.Add(time.Duration(ms)*time.Millisecond), tt.cost); ok {
				spent[ms] = tt.cost
			}
		}
		sum := 0.0
		for ms := range spent {
			sum += spent[ms]
			if ms >= window {
				sum -= spent[ms-window]
				assert.Assert(t, sum <= 10*rate+burst+tt.cost, "%f tokens spent in ten seconds", sum)
			}
		}
	}
}

func TestBackwardClockAddsNoTokens(t *testing.T) {
	b := loomlimit.NewBucket(start, 1000, 100)
	_, ok := b.Reserve(start, 100)
	assert.Assert(t, ok)
	_, ok = b.Reserve(start.Add(-time.Hour), 100)
	assert.Assert(t, !ok)
	wait, ok := b.Reserve(start.Add(50*time.Millisecond), 100)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 50*time.Millisecond)
}
