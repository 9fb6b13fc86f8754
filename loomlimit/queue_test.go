package loomlimit_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomerror"
	"swiftloom/loomlimit"
)

func TestQueueIsWeighted(t *testing.T) {
	q := loomlimit.NewQueue(loomlimit.QueueOptions{MaxQueued: 1000})
	for i := range 200 {
		for _, a := range []struct {
			name  string
			share int
		}{{"large", 3}, {"small", 1}} {
			item := loomlimit.Item{ID: fmt.Sprint(i), ClientAccount: a.name, Share: a.share, Cost: 100}
			assert.NilError(t, q.Push(item, 1000))
		}
	}
	served := make(map[string]int)
	for range 100 {
		item, ok := q.Pop()
		assert.Assert(t, ok)
		served[item.ClientAccount]++
	}
	assert.Equal(t, served["large"], 75)
}

func TestQueueLimits(t *testing.T) {
	q := loomlimit.NewQueue(loomlimit.QueueOptions{MaxQueued: 3})
	push := func(id, account string) error {
		return q.Push(loomlimit.Item{ID: id, ClientAccount: account, Share: 1, Cost: 1}, 2)
	}
	assert.NilError(t, push("1", "a"))
	assert.NilError(t, push("2", "a"))
	assert.Assert(t, loomerror.Is(push("3", "a"), loomerror.QueueFull))
	assert.NilError(t, push("4", "b"))
	assert.Assert(t, loomerror.Is(push("5", "c"), loomerror.QueueFull))
	assert.Assert(t, q.Remove("a", "1"))
	assert.Assert(t, !q.Remove("a", "1"))
	assert.NilError(t, push("6", "c"))
	assert.Equal(t, q.Len(), 3)
}

func TestPriorityWithinAccount(t *testing.T) {
	q := loomlimit.NewQueue(loomlimit.QueueOptions{MaxQueued: 10})
	for _, i := range []loomlimit.Item{{ID: "low"}, {ID: "high", Priority: 2}, {ID: "mid", Priority: 1}} {
		i.ClientAccount = "a"
		assert.NilError(t, q.Push(i, 10))
	}
	for _, want := range []string{"high", "mid", "low"} {
		item, _ := q.Pop()
		assert.Equal(t, item.ID, want)
	}
}

// An account with many queued requests delays a single request of another
// account by at most one request.
func TestBusyAccountDelaysOthersByOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := loomlimit.NewQueue(loomlimit.QueueOptions{MaxQueued: 10_000})
		for i := range rapid.IntRange(10, 200).Draw(t, "flood") {
			assert.NilError(t, q.Push(loomlimit.Item{ID: fmt.Sprint(i), ClientAccount: "greedy", Share: 1, Cost: rapid.IntRange(1, 5000).Draw(t, "cost")}, 1000))
		}
		for range rapid.IntRange(0, 9).Draw(t, "served") {
			q.Pop()
		}
		assert.NilError(t, q.Push(loomlimit.Item{ID: "lone", ClientAccount: "modest", Share: 1, Cost: 100}, 10))
		for n := range 2 {
			item, _ := q.Pop()
			if item.ID == "lone" {
				return
			}
			assert.Assert(t, n == 0)
		}
	})
}
