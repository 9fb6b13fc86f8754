package loomcache

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	gapBuckets = 24
	// priorUses and priorReturns stand in for what is not yet seen of an
	// account.
	priorUses    = 2
	priorReturns = 1
)

// returnStats estimates, for each account, the chance that a prompt that has
// been idle for some time returns at all.
type returnStats struct {
	mu       sync.Mutex
	accounts map[string]*accountReturns
}

type accountReturns struct {
	uses int
	// gaps counts returns by the binary logarithm of the gap in milliseconds.
	gaps [gapBuckets]int
}

func newReturnStats() *returnStats {
	return &returnStats{accounts: make(map[string]*accountReturns)}
}

func (s *returnStats) account(name string) *accountReturns {
	a, ok := s.accounts[name]
	if !ok {
		a = &accountReturns{}
		s.accounts[name] = a
	}
	return a
}

func (s *returnStats) first(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(account).uses++
}

func (s *returnStats) used(account string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	a.uses++
	a.gaps[bucket(gap)]++
}

func bucket(gap time.Duration) int {
	return min(bits.Len64(uint64(max(gap.Milliseconds(), 0))), gapBuckets-1)
}

// chance returns the part of the uses with a gap beyond idle that were
// followed by a return.
func (s *returnStats) chance(account string, idle time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(account)
	from := bucket(idle)
	early, late := 0, 0
	for i, n := range a.gaps {
		if i < from {
			early += n
		} else {
			late += n
		}
	}
	return float64(late+priorReturns) / float64(max(a.uses-early, late)+priorUses)
}

// Budget is what an account may keep at this home.
type Budget struct {
	ClientAccount string
	Bytes         int64
}

// Trim returns what to free in a store so that at least need bytes become
// free: first of accounts that keep more than their budgets, then the blocks
// that are least likely to be used again. Pinned blocks go last.
func (x *Index) Trim(now time.Time, store string, need int64, budgets []Budget) []Drop {
	if need <= 0 {
		return nil
	}
	candidates := x.valued(now, store)
	over := overBudget(candidates, budgets)
	for i := range candidates {
		candidates[i].over = over[candidates[i].account]
	}
	slices.SortFunc(candidates, func(a, b valued) int {
		return cmp.Or(boolCompare(a.pinned, b.pinned), boolCompare(b.over, a.over), cmp.Compare(a.value, b.value))
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

// boolCompare orders false before true.
func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// OverBudget returns what to free in a store so that no account keeps more
// than its budget at this home.
func (x *Index) OverBudget(now time.Time, store string, budgets []Budget) []Drop {
	if len(budgets) == 0 {
		return nil
	}
	candidates := x.valued(now, store)
	slices.SortFunc(candidates, func(a, b valued) int { return cmp.Compare(a.value, b.value) })
	used := bytesByAccount(candidates)
	drops := newDropSet()
	for _, budget := range budgets {
		excess := used[budget.ClientAccount] - budget.Bytes
		for _, c := range candidates {
			if excess <= 0 {
				break
			}
			if c.account == budget.ClientAccount && !c.pinned {
				excess -= x.dropBlock(c, store, drops)
			}
		}
	}
	return drops.list()
}

func overBudget(candidates []valued, budgets []Budget) map[string]bool {
	used := bytesByAccount(candidates)
	over := make(map[string]bool)
	for _, b := range budgets {
		over[b.ClientAccount] = used[b.ClientAccount] > b.Bytes
	}
	return over
}

func bytesByAccount(candidates []valued) map[string]int64 {
	used := make(map[string]int64)
	for _, c := range candidates {
		used[c.account] += c.bytes
	}
	return used
}

// valued is a stored block with what keeping it is worth.
type valued struct {
	root    Key
	key     Key
	account string
	bytes   int64
	value   float64
	pinned  bool
	over    bool
}

// valued lists the blocks in a store. Since every block of a model saves the
// same work for the same bytes, the value of a block is its chance to be used
// again.
func (x *Index) valued(now time.Time, store string) []valued {
	var all []valued
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, p := range s.trees {
			for k, b := range p.blocks {
				if !b.isStored || b.stored.Store != store {
					continue
				}
				all = append(all, valued{
					root:    root,
					key:     k,
					account: p.salt.ClientAccount,
					bytes:   int64(b.stored.Length),
					value:   x.returns.chance(p.salt.ClientAccount, now.Sub(b.lastUse)),
					pinned:  now.Before(p.pinUntil),
				})
			}
		}
		s.mu.Unlock()
	}
	return all
}

// dropBlock takes a block out of the index, adds it to drops, and returns its
// bytes.
func (x *Index) dropBlock(c valued, store string, drops dropSet) int64 {
	s := x.shard(c.root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[c.root]
	if !ok {
		return 0
	}
	b, ok := p.blocks[c.key]
	if !ok || !b.isStored || b.stored.Store != store {
		return 0
	}
	drops.add(c.key, b.stored)
	n := int64(b.stored.Length)
	p.unstore(c.key)
	return n
}

// Retire returns what to free when some versions of a model are no longer in
// use, and forgets their blocks.
func (x *Index) Retire(model string, inUse func(version uint64) bool) []Drop {
	drops := newDropSet()
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, p := range s.trees {
			if p.salt.Model != model || inUse(p.salt.Version) {
				continue
			}
			for k, b := range p.blocks {
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

// dropSet collects drops by store.
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

// list returns the drops in the order of their stores.
func (s dropSet) list() []Drop {
	var drops []Drop
	for _, d := range s.byStore {
		drops = append(drops, *d)
	}
	slices.SortFunc(drops, func(a, b Drop) int { return cmp.Compare(a.Store, b.Store) })
	return drops
}
