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
// free: first what accounts keep beyond their budgets, then the prompts that
// are least likely to return. Pinned prompts go last.
func (x *Index) Trim(now time.Time, store string, need int64, budgets []Budget) []Drop {
	candidates := x.valued(now, store)
	over := overBudget(candidates, budgets)
	slices.SortFunc(candidates, func(a, b valued) int {
		if over[a.account] != over[b.account] && a.pinned == b.pinned {
			return cmp.Compare(boolRank(over[b.account]), boolRank(over[a.account]))
		}
		return cmp.Or(cmp.Compare(boolRank(a.pinned), boolRank(b.pinned)), cmp.Compare(a.value, b.value))
	})
	drop := Drop{Store: store}
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		need -= x.dropPrompt(c.root, store, &drop)
	}
	if len(drop.Keys) == 0 {
		return nil
	}
	return []Drop{drop}
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// OverBudget returns what to free in a store so that no account keeps more
// than its budget at this home.
func (x *Index) OverBudget(now time.Time, store string, budgets []Budget) []Drop {
	candidates := x.valued(now, store)
	slices.SortFunc(candidates, func(a, b valued) int { return cmp.Compare(a.value, b.value) })
	used := bytesByAccount(candidates)
	drop := Drop{Store: store}
	for _, budget := range budgets {
		excess := used[budget.ClientAccount] - budget.Bytes
		for _, c := range candidates {
			if excess <= 0 {
				break
			}
			if c.account == budget.ClientAccount && !c.pinned {
				excess -= x.dropPrompt(c.root, store, &drop)
			}
		}
	}
	if len(drop.Keys) == 0 {
		return nil
	}
	return []Drop{drop}
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

type valued struct {
	root    Key
	account string
	bytes   int64
	value   float64
	pinned  bool
}

// valued lists the prompts with blocks in a store. Since every block of a
// model saves the same work for the same bytes, the value of a prompt is its
// chance to return.
func (x *Index) valued(now time.Time, store string) []valued {
	var all []valued
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, p := range s.prompts {
			if n := p.bytesIn(store); n > 0 {
				all = append(all, valued{
					root:    root,
					account: p.salt.ClientAccount,
					bytes:   n,
					value:   x.returns.chance(p.salt.ClientAccount, now.Sub(p.lastUse)),
					pinned:  now.Before(p.pinUntil),
				})
			}
		}
		s.mu.Unlock()
	}
	return all
}

func (p *prompt) bytesIn(store string) int64 {
	var n int64
	for _, b := range p.blocks {
		if b.isStored && b.stored.Store == store {
			n += int64(b.stored.Length)
		}
	}
	return n
}

// dropPrompt takes the blocks of a prompt in a store out of the index, adds
// them to drop, and returns their bytes.
func (x *Index) dropPrompt(root Key, store string, drop *Drop) int64 {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.prompts[root]
	if !ok {
		return 0
	}
	var freed int64
	for k, b := range p.blocks {
		if !b.isStored || b.stored.Store != store {
			continue
		}
		drop.Keys = append(drop.Keys, k)
		drop.Generations = append(drop.Generations, b.stored.Generation)
		freed += int64(b.stored.Length)
		p.unstore(k)
	}
	return freed
}

// Retire returns what to free when only one version of a model is still in
// use, and forgets the prompts of all others.
func (x *Index) Retire(model string, inUse func(version uint64) bool) []Drop {
	drops := newDropSet()
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, p := range s.prompts {
			if p.salt.Model != model || inUse(p.salt.Version) {
				continue
			}
			for k, b := range p.blocks {
				if b.isStored {
					drops.add(k, b.stored)
				}
			}
			delete(s.prompts, root)
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
