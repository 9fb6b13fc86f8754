package loomgate

import (
	"sync"

	"swiftloom/loomstream"
)

const (
	// retryMargin keeps second sends below the budget of all instances, since
	// each sees its own requests only.
	retryMargin = 0.8
	// leastRetryReserve lets a lone request be sent again in large fleets.
	leastRetryReserve = 2
)

// retryBudgets holds this instance's part of the retry budget of each group of
// upstreams. Groups are apart, so that the failures of one do not use up, or
// overdraw, what is allowed at another.
type retryBudgets struct {
	settings Settings

	mu        sync.Mutex
	instances int
	groups    map[string]*loomstream.RetryBudget
}

func newRetryBudgets(s Settings) *retryBudgets {
	return &retryBudgets{settings: s, instances: 1, groups: make(map[string]*loomstream.RetryBudget)}
}

// of returns the budget of a group.
func (b *retryBudgets) of(group string) *loomstream.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.groups[group]
	if !ok {
		budget = loomstream.NewRetryBudgetOf(b.settings.RetryRatio*retryMargin, b.reserve())
		b.groups[group] = budget
	}
	return budget
}

// reserve returns one instance's part of the reserve.
func (b *retryBudgets) reserve() float64 {
	return max(b.settings.RetryReserve*retryMargin/float64(b.instances), leastRetryReserve)
}

// setInstances divides the budgets among a number of instances.
func (b *retryBudgets) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
	for _, budget := range b.groups {
		budget.SetReserve(b.reserve())
	}
}
