package loomgate

import (
	"sync"

	"swiftloom/loomstream"
)

const (
	// retryBudgetShare is the share of the retry budget that the instances use.
	// Each instance sees only its own requests, so the margin keeps the retries
	// of all of them below the common budget.
	retryBudgetShare = 0.8
	// minRetryReserve is the smallest reserve of one instance, in requests. It
	// allows an instance with little traffic to retry even in a large fleet.
	minRetryReserve = 2
)

// retryBudgets holds this instance's share of the retry budget of each upstream
// group. Each group has its own budget, so that failures in one group do not
// exhaust the budget of another.
type retryBudgets struct {
	settings Settings

	mu        sync.Mutex
	instances int
	groups    map[string]*loomstream.RetryBudget
}

func newRetryBudgets(s Settings) *retryBudgets {
	return &retryBudgets{settings: s, instances: 1, groups: make(map[string]*loomstream.RetryBudget)}
}

// forGroup returns the budget of a group.
func (b *retryBudgets) forGroup(group string) *loomstream.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.groups[group]
	if !ok {
		budget = loomstream.NewRetryBudgetOf(b.settings.RetryRatio*retryBudgetShare, b.reserve())
		b.groups[group] = budget
	}
	return budget
}

// reserve returns one instance's share of the reserve. The caller holds mu.
func (b *retryBudgets) reserve() float64 {
	return max(b.settings.RetryReserve*retryBudgetShare/float64(b.instances), minRetryReserve)
}

// setInstances divides the reserve of each budget among n instances.
func (b *retryBudgets) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
	for _, budget := range b.groups {
		budget.SetReserve(b.reserve())
	}
}
