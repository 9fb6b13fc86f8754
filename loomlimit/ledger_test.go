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
		{"one takes all it wishes and half of the rest", []float64{500}, []float64{800}},
		{"one is held to the budget", []float64{5000}, []float64{1000}},
		{"two greedy share", []float64{5000, 5000}, []float64{500, 500}},
		{"a small one is served whole", []float64{100, 5000}, []float64{120, 880}},
		{"no demand, no grant", []float64{0, 5000}, []float64{0, 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := loomlimit.NewLedger(start, lease, 0)
			held := make([]loomlimit.Grant, len(tt.demands))
			now := start
			for range 10 {
				now = now.Add(lease / 4)
				for i, d := range tt.demands {
					held[i] = l.Lend(now, budget, loomlimit.Wish{Holder: fmt.Sprint(i), Demand: d, Held: held[i].Rate, Lease: held[i].Lease})
				}
			}
			for i, g := range held {
				assert.Assert(t, g.Rate > tt.want[i]-1 && g.Rate < tt.want[i]+1, "holder %d has %f", i, g.Rate)
			}
		})
	}
}

// Replies are lost, holders pause, die and come back: what holders believe
// they may spend never exceeds the budget.
func TestLentWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := loomlimit.NewLedger(start, lease, 0)
		const holders = 4
		allowances := make([]*loomlimit.Allowance, holders)
		for i := range allowances {
			allowances[i] = loomlimit.NewAllowance(start)
		}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause_ms")) * time.Millisecond)
			i := rapid.IntRange(0, holders-1).Draw(t, "holder")
			a := allowances[i]
			a.Ask(now, float64(rapid.IntRange(0, 3000).Draw(t, "demand")))
			askedAt := now
			g := l.Lend(now, budget, a.Wish(now, fmt.Sprint(i)))
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				a.Lease(now, askedAt, g, budget)
			}
			sum := 0.0
			for _, other := range allowances {
				sum += other.Rate(now)
			}
			assert.Assert(t, sum <= budget+0.001, "%f lent", sum)
		}
	})
}

// A home that takes over from a dead one lends no more than what holders
// already have until the old leases have lapsed.
func TestTakeOverIsQuiet(t *testing.T) {
	l := loomlimit.NewLedger(start, lease, 2*lease)
	g := l.Lend(start, budget, loomlimit.Wish{Holder: "new", Demand: 500})
	assert.Equal(t, g.Rate, 0.0)
	g = l.Lend(start, budget, loomlimit.Wish{Holder: "old", Demand: 500, Held: 300, Lease: 7})
	assert.Equal(t, g.Rate, 300.0)
	g = l.Lend(start.Add(3*lease), budget, loomlimit.Wish{Holder: "new", Demand: 500})
	assert.Equal(t, g.Rate, 800.0)
}

func TestPausedHolderSpendsNothing(t *testing.T) {
	a := loomlimit.NewAllowance(start)
	a.Lease(start, start, loomlimit.Grant{Rate: 1000, Lease: 1, For: lease}, budget)
	_, ok := a.Spend(start.Add(lease/2), 10)
	assert.Assert(t, ok)
	_, ok = a.Spend(start.Add(lease), 10)
	assert.Assert(t, !ok)
}

// Over any ten seconds an account in overload spends its rate and at most one
// burst and one request more.
func TestAllowanceHoldsTheRate(t *testing.T) {
	const rate, cost = 1000.0, 300.0
	a := loomlimit.NewAllowance(start)
	spent := 0.0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		a.Lease(now, now, loomlimit.Grant{Rate: rate, Lease: 1, For: lease}, budget)
		if _, ok := a.Spend(now, cost); ok {
			spent += cost
		}
	}
	assert.Assert(t, spent <= 1.05*10*rate, "%f spent", spent)
	assert.Assert(t, spent >= 0.95*10*rate, "%f spent", spent)
}
