package loomlimit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomlimit"
)

var queueStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func waiter(id string, rank int, due time.Duration) loomlimit.Waiter {
	return loomlimit.Waiter{ID: id, Rank: rank, Arrived: queueStart, Due: queueStart.Add(due), Until: queueStart.Add(due + time.Second)}
}

func TestDeadlineQueueOrder(t *testing.T) {
	tests := []struct {
		name    string
		waiting []loomlimit.Waiter
		at      time.Duration
		want    string
	}{
		{"lower rank first", []loomlimit.Waiter{waiter("a", 2, 0), waiter("b", 0, time.Second)}, 0, "b"},
		{"earlier due time first", []loomlimit.Waiter{waiter("a", 1, time.Second), waiter("b", 1, time.Millisecond)}, 0, "b"},
		{"late requests after those on time", []loomlimit.Waiter{waiter("a", 1, time.Millisecond), waiter("b", 1, time.Second)}, 10 * time.Millisecond, "b"},
		{"a late request of a lower rank still first", []loomlimit.Waiter{waiter("a", 0, time.Millisecond), waiter("b", 1, time.Second)}, 10 * time.Millisecond, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q loomlimit.DeadlineQueue
			for _, w := range tt.waiting {
				q.Push(w)
			}
			got, ok := q.Next(queueStart.Add(tt.at))
			assert.Assert(t, ok)
			assert.Equal(t, got.ID, tt.want)
		})
	}
}

func TestDeadlineQueueExpires(t *testing.T) {
	var q loomlimit.DeadlineQueue
	q.Push(waiter("a", 0, time.Millisecond))
	q.Push(waiter("b", 0, time.Minute))
	expired := q.TakeExpired(queueStart.Add(2 * time.Second))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].ID, "a")
	assert.Equal(t, q.Len(), 1)
}

// TestDeadlineQueueUnderOverload simulates a load of 1.4 times the capacity of a
// server. Most of the served requests must start on time, which first-come,
// first-served order does not achieve.
func TestDeadlineQueueUnderOverload(t *testing.T) {
	const (
		work      = 20 * time.Millisecond
		objective = 400 * time.Millisecond
		timeout   = 2 * time.Second
		count     = 2000
		overload  = 1.4
	)
	served, onTime := simulateOverload(work, objective, timeout, count, overload)
	assert.Assert(t, served >= count*65/100, "%d requests served", served)
	assert.Assert(t, onTime >= count*60/100, "%d requests served on time", onTime)
}

func simulateOverload(work, objective, timeout time.Duration, count int, overload float64) (served, onTime int) {
	random := rand.New(rand.NewPCG(7, 7))
	var q loomlimit.DeadlineQueue
	now := queueStart
	next := queueStart
	arrived := 0
	for arrived < count || q.Len() > 0 {
		for arrived < count && !next.After(now) {
			q.Push(loomlimit.Waiter{ID: strconv.Itoa(arrived), Arrived: next, Due: next.Add(objective), Until: next.Add(timeout)})
			arrived++
			next = next.Add(time.Duration(random.ExpFloat64() * float64(work) / overload))
		}
		q.TakeExpired(now)
		w, ok := q.Next(now)
		if !ok {
			now = next
			continue
		}
		q.Remove(w.ID)
		served++
		if !w.Due.Before(now) {
			onTime++
		}
		now = now.Add(work)
	}
	return served, onTime
}
