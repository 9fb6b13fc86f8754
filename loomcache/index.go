package loomcache

import (
	"slices"
	"sync"
	"time"
)

const (
	indexShards = 32
	// maxHolders is the maximum number of engines that are tracked for one block.
	maxHolders = 4
	// exportRetryInterval is the time after which an export is requested again if
	// the block is still not stored.
	exportRetryInterval = 5 * time.Second
	// blockBytes is the memory that a tracked block takes with its holders.
	blockBytes = 400
)

// Stored is a reference to a sealed block, that is, one whose write to a store is
// complete.
type Stored struct {
	Store       string
	Incarnation uint64
	Generation  uint64
	Checksum    uint64
	Length      uint32
}

// Holder is an engine that is expected to have the leading blocks of a prompt
// cached.
type Holder struct {
	Engine      string
	Incarnation uint64
	// Blocks is the number of leading blocks.
	Blocks int
	// Event is the sequence number of the engine's latest cache event when it
	// last used the blocks, the lowest over all of them.
	Event uint64
}

// LookupResult is the result of a lookup of the blocks of a request.
type LookupResult struct {
	Holders []Holder
	// Stored has a reference for each leading block that is in a store.
	Stored []Stored
}

// Observation records that an engine has computed or read the blocks of a
// prompt.
type Observation struct {
	Salt        Salt
	Keys        []Key
	Engine      string
	Incarnation uint64
	Event       uint64
}

// Export is a request that an engine write blocks to a store.
type Export struct {
	Engine string
	Salt   Salt
	Root   Key
	Keys   []Key
}

// Drop is a request that a store free blocks. Generations holds the generation of
// each key.
type Drop struct {
	Store       string
	Keys        []Key
	Generations []uint64
}

// Index tracks the cached and stored blocks of the prompts that this instance
// owns. The state is sharded, with a lock per shard; the methods are safe for
// concurrent use. Its memory is bounded: beyond the bound, blocks that are in no store are
// forgotten, those of the account with the most of them first.
type Index struct {
	// maxBlocks bounds the blocks of a shard.
	maxBlocks int
	shards    [indexShards]indexShard
	// reuse holds the reuse statistics. It is shared by all shards and has its
	// own lock.
	reuse *reuseStats
}

type indexShard struct {
	mu sync.Mutex
	// trees maps the first key of a segment to the blocks of all segments that
	// begin with it.
	trees map[Key]*tree
	// blocks is at least the number of blocks in trees.
	blocks int
}

// tree holds the blocks of all segments with the same first block.
type tree struct {
	salt     Salt
	lastUse  time.Time
	pinUntil time.Time
	blocks   map[Key]*block
	// storedBytes is the total length of all stored blocks.
	storedBytes int64
}

type block struct {
	stored Stored
	// isStored reports whether stored is valid.
	isStored bool
	// exportedAt is when an export was last requested, or zero if the next
	// observation should request one.
	exportedAt time.Time
	lastUse    time.Time
	holders    []blockHolder
}

type blockHolder struct {
	engine      string
	incarnation uint64
	event       uint64
}

// NewIndex returns an empty index that takes about 64 MiB at most.
func NewIndex() *Index {
	return NewIndexOf(defaultIndexBytes)
}

// NewIndexOf is like NewIndex for about size bytes at most.
func NewIndexOf(size int64) *Index {
	x := &Index{maxBlocks: max(int(size/blockBytes/indexShards), 1), reuse: newReuseStats()}
	for i := range x.shards {
		x.shards[i].trees = make(map[Key]*tree)
	}
	return x
}

func (x *Index) shard(root Key) *indexShard {
	return &x.shards[int(root[0])%indexShards]
}

// Lookup returns the engines and stores that hold the leading blocks of a
// segment, and updates the time of their last use. Nothing is found unless
// account is the account that the blocks belong to.
func (x *Index) Lookup(now time.Time, account string, keys []Key) LookupResult {
	if len(keys) == 0 {
		return LookupResult{}
	}
	s := x.shard(keys[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[keys[0]]
	if !ok || t.salt.ClientAccount != account {
		return LookupResult{}
	}
	if last := t.touch(now, keys); !last.IsZero() {
		x.reuse.recordReuse(account, now.Sub(last))
	}
	return t.find(keys)
}

// touch sets the last use of the leading known blocks of a segment to now. It
// returns the previous last use of the deepest of them, or zero if none is known.
func (t *tree) touch(now time.Time, keys []Key) time.Time {
	var last time.Time
	t.lastUse = now
	for _, k := range keys {
		b, ok := t.blocks[k]
		if !ok {
			break
		}
		last = b.lastUse
		b.lastUse = now
	}
	return last
}

// find returns the holders and the stored references of the leading blocks. A
// holder needs all blocks from the first on, without a gap.
func (t *tree) find(keys []Key) LookupResult {
	var found LookupResult
	allStored := true
	var holders []Holder
	for i, k := range keys {
		b, ok := t.blocks[k]
		if !ok {
			break
		}
		if allStored = allStored && b.isStored; allStored {
			found.Stored = append(found.Stored, b.stored)
		}
		if i == 0 {
			for _, h := range b.holders {
				holders = append(holders, Holder{Engine: h.engine, Incarnation: h.incarnation, Blocks: 1, Event: h.event})
			}
			continue
		}
		extend(holders, b.holders, i)
	}
	found.Holders = holders
	return found
}

// extend adds block i to each element of holders that has all blocks before it
// and is among blockHolders, the holders of block i.
func extend(holders []Holder, blockHolders []blockHolder, i int) {
	for n := range holders {
		h := &holders[n]
		if h.Blocks != i {
			continue
		}
		for _, bh := range blockHolders {
			if bh.engine == h.Engine && bh.incarnation == h.Incarnation {
				h.Blocks++
				h.Event = min(h.Event, bh.event)
			}
		}
	}
}

// Observe records that an engine has cached the blocks of a segment. It returns
// an export of the blocks that are neither stored nor have had an export
// requested within exportRetryInterval; the result is empty if there are none.
func (x *Index) Observe(now time.Time, o Observation) []Export {
	if len(o.Keys) == 0 {
		return nil
	}
	root := o.Keys[0]
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[root]
	if !ok {
		t = &tree{salt: o.Salt, lastUse: now, blocks: make(map[Key]*block)}
		s.trees[root] = t
	}
	if t.salt != o.Salt {
		return nil
	}
	s.makeRoom(x.maxBlocks, t, o.Keys)
	e := Export{Engine: o.Engine, Salt: o.Salt, Root: root}
	for _, k := range o.Keys {
		b := t.block(k)
		if b.lastUse.IsZero() {
			x.reuse.recordFirstUse(o.Salt.ClientAccount)
		}
		b.lastUse = now
		b.addHolder(blockHolder{engine: o.Engine, incarnation: o.Incarnation, event: o.Event})
		if !b.isStored && now.Sub(b.exportedAt) > exportRetryInterval {
			b.exportedAt = now
			e.Keys = append(e.Keys, k)
		}
	}
	if len(e.Keys) == 0 {
		return nil
	}
	return []Export{e}
}

// makeRoom forgets blocks of other trees so that those of a segment of a tree may be added.
func (s *indexShard) makeRoom(most int, added *tree, keys []Key) {
	s.blocks += added.unknown(keys)
	if s.blocks <= most {
		return
	}
	s.blocks = added.unknown(keys)
	byAccount := make(map[string]*accountTrees)
	for root, t := range s.trees {
		s.blocks += len(t.blocks)
		a, ok := byAccount[t.salt.ClientAccount]
		if !ok {
			a = &accountTrees{}
			byAccount[t.salt.ClientAccount] = a
		}
		a.add(root, t)
	}
	// Some room is left, so that not each observation has to make some.
	const fill = 0.9
	for s.blocks > int(float64(most)*fill) {
		largest := largestAccount(byAccount)
		if largest == nil {
			return
		}
		root, t := largest.removeOldest()
		if t == added {
			continue
		}
		s.blocks -= t.forgetUnstored()
		if len(t.blocks) == 0 {
			delete(s.trees, root)
		}
	}
}

// accountTrees holds trees of one account.
type accountTrees struct {
	trees []accountTree
	// unstored is the number of blocks in trees that are in no store.
	unstored int
	isSorted bool
}

// accountTree is a tree with its root.
type accountTree struct {
	root     Key
	tree     *tree
	unstored int
}

func (a *accountTrees) add(root Key, t *tree) {
	n := 0
	for _, b := range t.blocks {
		if !b.isStored {
			n++
		}
	}
	a.trees = append(a.trees, accountTree{root: root, tree: t, unstored: n})
	a.unstored += n
}

// removeOldest removes the least recently used tree and returns it.
func (a *accountTrees) removeOldest() (Key, *tree) {
	if !a.isSorted {
		slices.SortFunc(a.trees, func(x, y accountTree) int { return y.tree.lastUse.Compare(x.tree.lastUse) })
		a.isSorted = true
	}
	last := a.trees[len(a.trees)-1]
	a.trees = a.trees[:len(a.trees)-1]
	a.unstored -= last.unstored
	return last.root, last.tree
}

// largestAccount returns the trees of the account with the most blocks that are in no store, or nil
// if there are none.
func largestAccount(byAccount map[string]*accountTrees) *accountTrees {
	var largest *accountTrees
	for _, a := range byAccount {
		if a.unstored > 0 && (largest == nil || a.unstored > largest.unstored) {
			largest = a
		}
	}
	return largest
}

// unknown returns how many of the keys have no block.
func (t *tree) unknown(keys []Key) int {
	n := 0
	for _, k := range keys {
		if _, ok := t.blocks[k]; !ok {
			n++
		}
	}
	return n
}

// forgetUnstored removes the blocks that are in no store and returns their number.
func (t *tree) forgetUnstored() int {
	n := len(t.blocks)
	for k, b := range t.blocks {
		if !b.isStored {
			delete(t.blocks, k)
		}
	}
	return n - len(t.blocks)
}

// block returns the block with the key k, which it adds if necessary.
func (t *tree) block(k Key) *block {
	b, ok := t.blocks[k]
	if !ok {
		b = &block{}
		t.blocks[k] = b
	}
	return b
}

// addHolder makes h the latest holder of the block in place of an older entry of
// the same engine. Beyond maxHolders the oldest holder is removed.
func (b *block) addHolder(h blockHolder) {
	b.holders = slices.DeleteFunc(b.holders, func(old blockHolder) bool { return old.engine == h.engine })
	b.holders = append(b.holders, h)
	if len(b.holders) > maxHolders {
		b.holders = b.holders[1:]
	}
}

// markUnstored records that a block is in no store, so that the next observation
// requests an export.
func (t *tree) markUnstored(k Key) {
	b, ok := t.blocks[k]
	if !ok || !b.isStored {
		return
	}
	b.isStored = false
	b.exportedAt = time.Time{}
	t.storedBytes -= int64(b.stored.Length)
}

// Failed records that an engine could not read stored blocks. It returns the
// blocks to free; they are exported again after the next use.
func (x *Index) Failed(account string, keys []Key) []Drop {
	if len(keys) == 0 {
		return nil
	}
	s := x.shard(keys[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[keys[0]]
	if !ok || t.salt.ClientAccount != account {
		return nil
	}
	drops := newDropSet()
	for _, k := range keys {
		if b, ok := t.blocks[k]; ok && b.isStored {
			drops.add(k, b.stored)
			t.markUnstored(k)
		}
	}
	return drops.list()
}

// AbandonExport records that an export was abandoned, so that the next
// observation of its blocks requests it again.
func (x *Index) AbandonExport(e Export) {
	s := x.shard(e.Root)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[e.Root]
	if !ok {
		return
	}
	for _, k := range e.Keys {
		if b, ok := t.blocks[k]; ok {
			b.exportedAt = time.Time{}
		}
	}
}

// Sealed records a block that a store has sealed. The caller must not pass blocks
// of a store incarnation other than the latest known one.
func (x *Index) Sealed(now time.Time, root, key Key, salt Salt, stored Stored) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[root]
	if !ok {
		t = &tree{salt: salt, lastUse: now, blocks: make(map[Key]*block)}
		s.trees[root] = t
	}
	b := t.block(key)
	if b.lastUse.IsZero() {
		b.lastUse = now
	}
	if b.isStored {
		t.storedBytes -= int64(b.stored.Length)
	}
	b.stored = stored
	b.isStored = true
	t.storedBytes += int64(stored.Length)
}

// Freed records that a store has freed a generation of a block. Other
// generations of the block are not affected.
func (x *Index) Freed(root, key Key, store string, generation uint64) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.trees[root]
	if !ok {
		return
	}
	b, ok := t.blocks[key]
	if ok && b.isStored && b.stored.Store == store && b.stored.Generation == generation {
		t.markUnstored(key)
	}
}

// StoreLost marks all blocks of a store as not stored, except those of the given
// incarnation. Incarnation zero marks all of them.
func (x *Index) StoreLost(store string, incarnation uint64) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for _, t := range s.trees {
			for k, b := range t.blocks {
				if b.isStored && b.stored.Store == store && b.stored.Incarnation != incarnation {
					t.markUnstored(k)
				}
			}
		}
		s.mu.Unlock()
	}
}

// Retain removes all prompts for whose root key owns returns false. After a change
// of the members, these are the prompts that another instance owns now.
func (x *Index) Retain(owns func(root Key) bool) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root := range s.trees {
			if !owns(root) {
				delete(s.trees, root)
			}
		}
		s.mu.Unlock()
	}
}

// Pin protects the stored blocks of a prompt until a time: TrimOverBudget keeps
// them, and Trim frees them only after all others.
func (x *Index) Pin(root Key, until time.Time) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.trees[root]; ok {
		t.pinUntil = until
	}
}

// Expire removes blocks that are in no store and were last used more than idle
// ago.
func (x *Index) Expire(now time.Time, idle time.Duration) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, t := range s.trees {
			for k, b := range t.blocks {
				if !b.isStored && now.Sub(b.lastUse) > idle {
					delete(t.blocks, k)
				}
			}
			if len(t.blocks) == 0 {
				delete(s.trees, root)
			}
		}
		s.mu.Unlock()
	}
}

// Size describes the number of entries of an index.
type Size struct {
	Trees       int   `json:"trees"`
	Blocks      int   `json:"blocks"`
	Stored      int   `json:"stored"`
	StoredBytes int64 `json:"stored_bytes"`
}

// Size returns the number of trees, blocks and stored blocks of the index, and
// the total length of the stored blocks.
func (x *Index) Size() Size {
	var size Size
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for _, t := range s.trees {
			size.Trees++
			size.Blocks += len(t.blocks)
			size.StoredBytes += t.storedBytes
			for _, b := range t.blocks {
				if b.isStored {
					size.Stored++
				}
			}
		}
		s.mu.Unlock()
	}
	return size
}
