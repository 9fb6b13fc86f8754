package loomcache

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// gapBuckets is the number of buckets of the histogram of idle gaps.
	gapBuckets = 24
	// priorUses and priorReuses are the pseudocounts of the reuse probability,
	// which make it one half for an account without history.
	priorUses   = 2
	priorReuses = 1
)

// reuseStats estimates, for each account, the probability that a block that has
// been idle for a given time is used again.
type reuseStats struct {
	mu       sync.Mutex
	accounts map[string]*accountReuse
}

// accountReuse is the reuse history of one account.
type accountReuse struct {
	// uses is the number of first uses and reuses.
	uses int
	// gaps is the number of reuses by the binary logarithm of the idle gap in
	// milliseconds.
	gaps [gapBuckets]int
}

func newReuseStats() *reuseStats {
	return &reuseStats{accounts: make(map[string]*accountReuse)}
}

func (s *reuseStats) account(name string) *accountReuse {
	a, ok := s.accounts[name]
	if !ok {
		a = &accountReuse{}
		s.accounts[name] = a
	}
	return a
}

// recordFirstUse counts the first use of a block.
func (s *reuseStats) recordFirstUse(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(account).uses++
}

// recordReuse counts a use after an idle gap.
func (s *reuseStats) recordReuse(account string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	a.uses++
	a.gaps[gapBucket(gap)]++
}

// gapBucket returns the index of the histogram bucket of a gap.
func gapBucket(gap time.Duration) int {
	return min(bits.Len64(uint64(max(gap.Milliseconds(), 0))), gapBuckets-1)
}

// reuseProbability returns the fraction of the uses not followed by a reuse
// within idle that were followed by a later one. The pseudocounts are included.
func (s *reuseStats) reuseProbability(account string, idle time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	from := gapBucket(idle)
	before, after := 0, 0
	for i, n := range a.gaps {
		if i < from {
			before += n
		} else {
			after += n
		}
	}
	return float64(after+priorReuses) / float64(max(a.uses-before, after)+priorUses)
}

// Budget is the number of bytes that the blocks of an account owned by this
// instance may take in a store.
type Budget struct {
	ClientAccount string
	Bytes         int64
}

// Trim selects blocks of a store whose lengths add up to at least need bytes, if
// there are as many, marks them as not stored, and returns them to be freed. It
// selects blocks of accounts over their budgets first and pinned blocks last, and
// within each group those that are least likely to be used again first.
func (x *Index) Trim(now time.Time, store string, need int64, budgets []Budget) []Drop {
	if need <= 0 {
		return nil
	}
	candidates := x.evictionCandidates(now, store)
	over := overBudget(candidates, budgets)
	for i := range candidates {
		candidates[i].isOverBudget = over[candidates[i].account]
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(compareBool(a.isPinned, b.isPinned), compareBool(b.isOverBudget, a.isOverBudget), cmp.Compare(a.value, b.value))
	})
	drops := newDropSet()
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		need -= x.dropBlock(c, store, drops)
	}
	return drops.list()
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// TrimOverBudget selects blocks of a store to free until no account exceeds its
// budget, marks them as not stored, and returns them. Pinned blocks are not
// selected, even if the account then remains over its budget.
func (x *Index) TrimOverBudget(now time.Time, store string, budgets []Budget) []Drop {
	if len(budgets) == 0 {
		return nil
	}
	candidates := x.evictionCandidates(now, store)
	slices.SortFunc(candidates, func(a, b evictionCandidate) int { return cmp.Compare(a.value, b.value) })
	used := bytesByAccount(candidates)
	drops := newDropSet()
	for _, budget := range budgets {
		excess := used[budget.ClientAccount] - budget.Bytes
		for _, c := range candidates {
			if excess <= 0 {
				break
			}
			if c.account == budget.ClientAccount && !c.isPinned {
				excess -= x.dropBlock(c, store, drops)
			}
		}
	}
	return drops.list()
}

// overBudget returns the accounts whose candidates exceed their budgets.
func overBudget(candidates []evictionCandidate, budgets []Budget) map[string]bool {
	used := bytesByAccount(candidates)
	over := make(map[string]bool)
	for _, b := range budgets {
		over[b.ClientAccount] = used[b.ClientAccount] > b.Bytes
	}
	return over
}

// bytesByAccount returns the total length of the candidates of each account.
func bytesByAccount(candidates []evictionCandidate) map[string]int64 {
	used := make(map[string]int64)
	for _, c := range candidates {
		used[c.account] += c.bytes
	}
	return used
}

// evictionCandidate is a stored block with the attributes that determine the
// order of eviction.
type evictionCandidate struct {
	root         Key
	key          Key
	account      string
	bytes        int64
	value        float64
	isPinned     bool
	isOverBudget bool
}

// evictionCandidates returns all blocks of a store. Every block of a model saves
// the same computation for the same number of bytes, so the value of a block is
// the probability that it is used again.
func (x *Index) evictionCandidates(now time.Time, store string) []evictionCandidate {
	var all []evictionCandidate
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, t := range s.trees {
			for k, b := range t.blocks {
				if !b.isStored || b.stored.Store != store {
					continue
				}
				all = append(all, evictionCandidate{
					root:     root,
					key:      k,
					account:  t.salt.ClientAccount,
					bytes:    int64(b.stored.Length),
					value:    x.reuse.reuseProbability(t.salt.ClientAccount, now.Sub(b.lastUse)),
					isPinned: now.Before(t.pinUntil),
				})
			}
		}
		s.mu.Unlock()
	}
	return all
}

// dropBlock marks a block as not stored, adds it to drops and returns its length
// in bytes. It returns zero if the block is no longer in the store.
func (x *Index) dropBlock(c evictionCandidate, store string, drops dropSet) int64 {
	s := x.shard(c.root)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[c.root]
	if !ok {
		return 0
	}
	b, ok := t.blocks[c.key]
	if !ok || !b.isStored || b.stored.Store != store {
		return 0
	}
	drops.add(c.key, b.stored)
	n := int64(b.stored.Length)
	t.markUnstored(c.key)
	return n
}

// Retire removes the prompts of all versions of a model that are no longer in
// use, and returns their stored blocks to be freed.
func (x *Index) Retire(model string, inUse func(version uint64) bool) []Drop {
	drops := newDropSet()
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, t := range s.trees {
			if t.salt.Model != model || inUse(t.salt.Version) {
				continue
			}
			for k, b := range t.blocks {
				if b.isStored {
					drops.add(k, b.stored)
				}
			}
			delete(s.trees, root)
		}
		s.mu.Unlock()
	}
	return drops.list()
}

// dropSet collects the blocks to free, by store.
type dropSet struct {
	byStore map[string]*Drop
}

func newDropSet() dropSet {
	return dropSet{byStore: make(map[string]*Drop)}
}

func (s dropSet) add(k Key, stored Stored) {
	d, ok := s.byStore[stored.Store]
	if !ok {
		d = &Drop{Store: stored.Store}
		s.byStore[stored.Store] = d
	}
	d.Keys = append(d.Keys, k)
	d.Generations = append(d.Generations, stored.Generation)
}

// list returns the drops sorted by store.
func (s dropSet) list() []Drop {
	var drops []Drop
	for _, d := range s.byStore {
		drops = append(drops, *d)
	}
	slices.SortFunc(drops, func(a, b Drop) int { return cmp.Compare(a.Store, b.Store) })
	return drops
}
