package loomschedule_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomlimit"
	"swiftloom/loomschedule"
)

var loadStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// loadKind is a kind of callers. Its share is the part of the offered work that is its.
type loadKind struct {
	name                       string
	rank                       int
	work, objective, patience  time.Duration
	share                      float64
	burst, burstFrom, burstEnd float64
}

// load is a load of simulated engines that each do one request after the other.
type load struct {
	name  string
	kinds []loadKind
	// offered is the work in units of what all engines can do.
	offered float64
	// engines returns the number of engines at a time.
	engines func(at time.Duration) int
}

const (
	loadEngines = 2
	loadLength  = 15 * time.Second
)

// The kinds of the first deployment in docs/hard-load.md, whose shared tokens are cached. The work
// is doubled, which halves the number of requests.
func loadKinds() []loadKind {
	return []loadKind{
		{name: "urgent", rank: 0, work: 18 * time.Millisecond, objective: 600 * time.Millisecond, patience: 3 * time.Second, share: 0.25},
		{name: "short", rank: 1, work: 6 * time.Millisecond, objective: 500 * time.Millisecond, patience: 12 * time.Second, share: 0.25},
		{name: "long", rank: 2, work: 102 * time.Millisecond, objective: time.Second, patience: 15 * time.Second, share: 0.5},
	}
}

func allEngines(time.Duration) int { return loadEngines }

func loads() []load {
	burst := loadKinds()
	burst[2].burst, burst[2].burstFrom, burst[2].burstEnd = 4, 5, 10
	flood := loadKinds()
	flood[1].share = 0.05
	flood = append(flood, flood[1])
	flood[3].name, flood[3].share = "flood", 0.7
	// The flood is of the same rank as the short ones, and must not count as more urgent than long
	// prompts.
	flood[2], flood[3] = flood[3], flood[2]
	return []load{
		{"burst of long prompts", burst, 0.8, allEngines},
		{"flood of one account", flood, 1.3, allEngines},
		{"half of the engines gone", loadKinds(), 0.8, func(at time.Duration) int {
			if at > 5*time.Second && at < 12*time.Second {
				return loadEngines / 2
			}
			return loadEngines
		}},
		{"rollout at full load", loadKinds(), 0.95, func(at time.Duration) int {
			// Each engine loads for half a second, one after the other.
			if at > 5*time.Second && at < 15*time.Second && at%(2*time.Second) < 500*time.Millisecond {
				return loadEngines / 2
			}
			return loadEngines
		}},
		{"three priorities at 1.5 times the capacity", loadKinds(), 1.5, allEngines},
	}
}

// loadRequest is a request of a load.
type loadRequest struct {
	loomschedule.Waiter

	kind int
}

// requests returns the requests of a load in order of arrival.
func (l load) requests(seed uint64) []loadRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []loadRequest
	for i, k := range l.kinds {
		gap := k.work.Seconds() / (k.share * l.offered * loadEngines)
		for at := 0.0; at < loadLength.Seconds(); {
			rate := 1.0
			if at >= k.burstFrom && at < k.burstEnd {
				rate = k.burst
			}
			at += random.ExpFloat64() * gap / rate
			arrived := loadStart.Add(time.Duration(at * float64(time.Second)))
			account := fmt.Sprint("account", random.IntN(9))
			if k.name == "flood" {
				account = "flood"
			}
			requests = append(requests, loadRequest{kind: i, Waiter: loomschedule.Waiter{
				ID: fmt.Sprint(i, "-", len(requests)), Rank: k.rank, Account: account, Arrived: arrived,
				Due: arrived.Add(k.objective - k.work), Until: arrived.Add(k.patience - k.work), Work: k.work,
			}})
		}
	}
	slices.SortStableFunc(requests, func(a, b loadRequest) int { return a.Arrived.Compare(b.Arrived) })
	return requests
}

// startOrder decides which request starts next.
type startOrder interface {
	push(w loomschedule.Waiter)
	next(now time.Time) (id string, ok bool)
}

type costOrder struct {
	list    loomschedule.List
	engines int
}

func (o *costOrder) push(w loomschedule.Waiter) { o.list.Push(w) }

func (o *costOrder) next(now time.Time) (string, bool) {
	o.list.TakeExpired(now)
	first := o.list.First(now, 1, loomschedule.Capacity{Upstreams: o.engines})
	if len(first) == 0 {
		return "", false
	}
	o.list.Start(now, first[0].ID)
	return first[0].ID, true
}

type rankOrder struct{ queue loomlimit.DeadlineQueue }

func (o *rankOrder) push(w loomschedule.Waiter) {
	o.queue.Push(loomlimit.Waiter{ID: w.ID, Rank: w.Rank, Arrived: w.Arrived, Due: w.Due, Until: w.Until, Work: w.Work})
}

func (o *rankOrder) next(now time.Time) (string, bool) {
	o.queue.TakeExpired(now)
	w, ok := o.queue.Next(now)
	o.queue.Remove(w.ID)
	return w.ID, ok
}

type dueOrder struct{ waiting []loomschedule.Waiter }

func (o *dueOrder) push(w loomschedule.Waiter) { o.waiting = append(o.waiting, w) }

func (o *dueOrder) next(now time.Time) (string, bool) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w loomschedule.Waiter) bool { return w.Until.Before(now) })
	if len(o.waiting) == 0 {
		return "", false
	}
	w := slices.MinFunc(o.waiting, func(a, b loomschedule.Waiter) int { return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.ID, b.ID)) })
	o.waiting = slices.DeleteFunc(o.waiting, func(other loomschedule.Waiter) bool { return other.ID == w.ID })
	return w.ID, true
}

// kindResult is what the callers of one kind got, as shares of the requests.
type kindResult struct {
	count          int
	served, onTime float64
}

// play returns what the callers of each kind get with an order.
func (l load) play(o startOrder, seed uint64) map[string]kindResult {
	requests := l.requests(seed)
	byID := make(map[string]loadRequest)
	free := make([]time.Time, loadEngines)
	served, onTime, count := make([]int, len(l.kinds)), make([]int, len(l.kinds)), make([]int, len(l.kinds))
	next := 0
	now := loadStart
	for {
		for next < len(requests) && !requests[next].Arrived.After(now) {
			r := requests[next]
			o.push(r.Waiter)
			byID[r.ID] = r
			count[r.kind]++
			next++
		}
		if c, ok := o.(*costOrder); ok {
			c.engines = l.engines(now.Sub(loadStart))
		}
		engine := slices.IndexFunc(free[:l.engines(now.Sub(loadStart))], func(at time.Time) bool { return !at.After(now) })
		if engine < 0 {
			now = now.Add(time.Millisecond)
			continue
		}
		id, ok := o.next(now)
		if !ok {
			if next == len(requests) {
				break
			}
			now = requests[next].Arrived
			continue
		}
		r := byID[id]
		served[r.kind]++
		if !r.Due.Before(now) {
			onTime[r.kind]++
		}
		free[engine] = now.Add(r.Work)
	}
	results := make(map[string]kindResult)
	for i, k := range l.kinds {
		results[k.name] = kindResult{count: count[i], served: float64(served[i]) / float64(count[i]), onTime: float64(onTime[i]) / float64(count[i])}
	}
	return results
}

// value returns what all callers get, by the weights of docs/design/order-under-shortage.md.
func (l load) value(results map[string]kindResult) float64 {
	total := 0.0
	for _, k := range l.kinds {
		r := results[k.name]
		total += math.Pow(10, -float64(k.rank)) * float64(r.count) * (r.served + r.onTime) / 2
	}
	return total
}

// TestLoads guards against an order with which callers get less than with strict rank or earliest
// due time first, an urgent kind is served less often than a less urgent one, a kind starves, or
// the flood of one account is felt by others.
func TestLoads(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			cost, rank, due := l.play(&costOrder{}, 1), l.play(&rankOrder{}, 1), l.play(&dueOrder{}, 1)
			t.Logf("value: cost %.0f, strict rank %.0f, earliest due %.0f", l.value(cost), l.value(rank), l.value(due))
			for i, k := range l.kinds {
				c, r, d := cost[k.name], rank[k.name], due[k.name]
				t.Logf("%-7s %6d requests; on time (served): cost %.3f (%.3f), strict rank %.3f (%.3f), earliest due %.3f (%.3f)",
					k.name, c.count, c.onTime, c.served, r.onTime, r.served, d.onTime, d.served)
				assert.Check(t, c.served >= 0.1, "%s starves", k.name)
				if i > 0 {
					assert.Check(t, c.served <= cost[l.kinds[i-1].name].served, "%s is served more often than a more urgent kind", k.name)
				}
			}
			// Two runs that start requests in other orders differ by a few in a thousand.
			assert.Check(t, l.value(cost) >= 0.995*max(l.value(rank), l.value(due)))
			assert.Check(t, cost["urgent"].onTime >= 0.99 && cost["short"].onTime >= 0.99)
		})
	}
}
