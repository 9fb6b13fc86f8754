package loomroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomroute"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tokenTime = 40 * time.Microsecond

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 1))
}

func policy(t testing.TB, name string) loomroute.Policy {
	p, err := loomroute.PolicyByName(name)
	assert.NilError(t, err)
	return p
}

func request(stored int, blockTime, linkWait time.Duration, weight float64) loomroute.Request {
	return loomroute.Request{
		Root:            []byte("root"),
		Tokens:          2000,
		BlockTokens:     64,
		FailureDomain:   "a",
		Stored:          stored,
		LinkWait:        linkWait,
		BlockTime:       blockTime,
		TokenTime:       tokenTime,
		RecomputeWeight: weight,
	}
}

func TestCostChoice(t *testing.T) {
	idle := loomroute.Candidate{ID: "idle", FailureDomain: "a"}
	holder := loomroute.Candidate{ID: "holder", FailureDomain: "a", CachedPrefix: 30}
	busyHolder := loomroute.Candidate{ID: "holder", FailureDomain: "a", CachedPrefix: 30, Wait: 200 * time.Millisecond}
	tests := []struct {
		name       string
		request    loomroute.Request
		candidates []loomroute.Candidate
		want       string
		imports    int
	}{
		{"holder is chosen", request(0, 0, 0, 0), []loomroute.Candidate{idle, holder}, "holder", 0},
		{"busy holder is not chosen", request(0, 0, 0, 0), []loomroute.Candidate{idle, busyHolder}, "idle", 0},
		{"weight favours the holder", request(0, 0, 0, 3), []loomroute.Candidate{idle, busyHolder}, "holder", 0},
		{"import beats recomputing", request(30, 500*time.Microsecond, 0, 0), []loomroute.Candidate{idle}, "idle", 30},
		{"recomputing beats a slow link", request(30, 5*time.Millisecond, 0, 0), []loomroute.Candidate{idle}, "idle", 0},
		{"recomputing beats a busy link", request(30, 500*time.Microsecond, time.Second, 0), []loomroute.Candidate{idle}, "idle", 0},
		{"import beats a busy holder", request(30, 500*time.Microsecond, 0, 3), []loomroute.Candidate{idle, busyHolder}, "idle", 30},
		{"holder may import evicted blocks", request(30, 500*time.Microsecond, 0, 0), []loomroute.Candidate{idle, holder}, "holder", 30},
		{"holder does not import over a slow link", request(30, 5*time.Millisecond, 0, 0), []loomroute.Candidate{idle, holder}, "holder", 0},
		{"suspect is chosen last", request(0, 0, 0, 0), []loomroute.Candidate{{ID: "suspect", FailureDomain: "a", CachedPrefix: 31, Suspect: true}, idle}, "idle", 0},
		{"only suspect is chosen", request(0, 0, 0, 0), []loomroute.Candidate{{ID: "suspect", Suspect: true}}, "suspect", 0},
		{"time to load the adapter counts", request(0, 0, 0, 0), []loomroute.Candidate{{ID: "lacks", FailureDomain: "a", LacksAdapter: true}, {ID: "has", FailureDomain: "a", Wait: 50 * time.Millisecond}}, "has", 0},
		{"own domain is preferred", request(0, 0, 0, 0), []loomroute.Candidate{{ID: "far", FailureDomain: "b", CachedPrefix: 30, Wait: 3 * time.Millisecond}, holder}, "holder", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			choice := policy(t, "cost").Choose(tt.request, tt.candidates, newRandom())
			assert.Equal(t, choice.ID, tt.want)
			assert.Equal(t, choice.Import, tt.imports)
		})
	}
}

func TestTiesAreBrokenRandomly(t *testing.T) {
	random := newRandom()
	chosen := make(map[string]int)
	var candidates []loomroute.Candidate
	for i := range 8 {
		candidates = append(candidates, loomroute.Candidate{ID: fmt.Sprint(i), FailureDomain: "a"})
	}
	for _, name := range []string{"cost", "least_loaded"} {
		clear(chosen)
		for range 800 {
			chosen[policy(t, name).Choose(request(0, 0, 0, 0), candidates, random).ID]++
		}
		for _, c := range candidates {
			assert.Assert(t, chosen[c.ID] > 50, "%s chose %s %d times", name, c.ID, chosen[c.ID])
		}
	}
}

func TestPrefixHashIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := loomroute.PolicyByName("prefix_hash")
		assert.NilError(t, err)
		r := request(0, 0, 0, 0)
		r.Root = rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "root")
		n := rapid.IntRange(2, 20).Draw(t, "candidates")
		var candidates []loomroute.Candidate
		for i := range n {
			candidates = append(candidates, loomroute.Candidate{ID: fmt.Sprint(i)})
		}
		first := p.Choose(r, candidates, newRandom()).ID
		var rest []loomroute.Candidate
		removed := fmt.Sprint(rapid.IntRange(0, n-1).Draw(t, "lost"))
		for _, c := range candidates {
			if c.ID != removed {
				rest = append(rest, c)
			}
		}
		if removed != first {
			assert.Equal(t, p.Choose(r, rest, newRandom()).ID, first)
		}
	})
}

// TestPoliciesChooseACandidate checks that every policy returns one of the
// candidates, for random candidates and requests.
func TestPoliciesChooseACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := request(rapid.IntRange(0, 31).Draw(t, "stored"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "block_us"))*time.Microsecond, 0, rapid.Float64Range(0, 5).Draw(t, "weight"))
		var candidates []loomroute.Candidate
		known := make(map[string]loomroute.Candidate)
		for i := range rapid.IntRange(1, 10).Draw(t, "candidates") {
			c := loomroute.Candidate{
				ID:           fmt.Sprint(i),
				CachedPrefix: rapid.IntRange(0, 31).Draw(t, "held"),
				Wait:         time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait_ms")) * time.Millisecond,
				Outstanding:  rapid.IntRange(0, 50).Draw(t, "outstanding"),
				Suspect:      rapid.Bool().Draw(t, "suspect"),
			}
			candidates = append(candidates, c)
			known[c.ID] = c
		}
		for _, name := range loomroute.Policies() {
			p, err := loomroute.PolicyByName(name)
			assert.NilError(t, err)
			choice := p.Choose(r, candidates, newRandom())
			c, ok := known[choice.ID]
			assert.Assert(t, ok)
			assert.Assert(t, choice.Import == 0 || choice.Import == r.Stored)
			assert.Assert(t, choice.Recompute >= 1 && choice.Expected >= c.Wait)
		}
	})
}

func TestEstimateCorrectsReport(t *testing.T) {
	f := loomroute.NewFleet()
	assert.Assert(t, !f.Estimate(start, "e", tokenTime).Known)
	f.Report(start, "e", loomroute.Report{QueuedTokens: 1000, Running: 1, MeasuredAt: start.Add(-10 * time.Millisecond)})
	e := f.Estimate(start, "e", tokenTime)
	assert.Equal(t, e.Wait, 30*time.Millisecond, "the queue shrinks by the time since it was measured")
	ticket := f.RecordSent(start, "e", 500)
	e = f.Estimate(start, "e", tokenTime)
	assert.Equal(t, e.Wait, 50*time.Millisecond, "requests sent since the report are added")
	assert.Equal(t, e.Outstanding, 2)
	f.Started(ticket)
	assert.Equal(t, f.Estimate(start, "e", tokenTime).Wait, 30*time.Millisecond)
	f.Done(ticket)
	assert.Equal(t, f.Estimate(start, "e", tokenTime).Outstanding, 1)
}

func TestEjectionIsBounded(t *testing.T) {
	f := loomroute.NewFleet()
	ids := []string{"a", "b", "c", "d", "e", "f"}
	assert.Equal(t, len(f.Ejected(start, ids)), 0)
	for i, id := range ids {
		for range 5 {
			f.RecordFailure(start.Add(time.Duration(i)*time.Millisecond), id)
		}
	}
	now := start.Add(time.Second)
	assert.DeepEqual(t, f.Ejected(now, ids), []string{"a", "b"})
	assert.Equal(t, len(f.Ejected(now.Add(time.Hour), ids)), 0)
	f.RecordFailure(now.Add(time.Hour), "a")
	f.RecordSuccess("a")
	for range 4 {
		f.RecordFailure(now.Add(time.Hour), "a")
	}
	assert.Equal(t, len(f.Ejected(now.Add(time.Hour), ids)), 0, "a success resets the count of consecutive failures")
}

// BenchmarkRoute measures one routing decision of an instance: the load estimate
// of each candidate and the choice. An instance routes to at most 24 engines,
// whatever the size of the fleet; further engines only enlarge the Fleet.
func BenchmarkRoute(b *testing.B) {
	const candidateCount = 24
	for _, runners := range []int{12, 1200, 12_000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			f := loomroute.NewFleet()
			ids := make([]string, runners)
			for i := range ids {
				ids[i] = fmt.Sprintf("runner-%05d", i)
				f.Report(start, ids[i], loomroute.Report{QueuedTokens: i % 4000, MeasuredAt: start})
				f.RecordSent(start, ids[i], 100)
			}
			p := policy(b, "cost")
			r := request(20, 500*time.Microsecond, 0, 1)
			random := newRandom()
			candidates := make([]loomroute.Candidate, 0, candidateCount)
			b.ReportAllocs()
			for b.Loop() {
				candidates = candidates[:0]
				for _, id := range ids[:min(runners, candidateCount)] {
					e := f.Estimate(start, id, tokenTime)
					candidates = append(candidates, loomroute.Candidate{ID: id, FailureDomain: "a", Wait: e.Wait, Outstanding: e.Outstanding})
				}
				p.Choose(r, candidates, random)
			}
		})
	}
}
