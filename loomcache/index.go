package loomcache

import (
	"slices"
	"sync"
	"time"
)

const (
	indexShards = 32
	// maxHolders bounds the engines that are remembered for one prompt.
	maxHolders = 4
	// exportRetry is how long an export may take before it is asked for again.
	exportRetry = 5 * time.Second
)

// Stored is a sealed block in a store.
type Stored struct {
	Store       string
	Incarnation uint64
	Generation  uint64
	Checksum    uint64
	Length      uint32
}

// Holder is an engine that has cached the leading blocks of a prompt.
type Holder struct {
	Engine      string
	Incarnation uint64
	// Blocks counts the leading blocks.
	Blocks int
	// Event is the sequence number of the engine's cache events when it had
	// just used the blocks.
	Event uint64
}

// Found is what the index knows of the blocks of a request.
type Found struct {
	Holders []Holder
	// Stored holds a reference for each leading block that a store keeps.
	Stored []Stored
}

// Observation says that an engine has computed or read the blocks of a prompt.
type Observation struct {
	Salt        Salt
	Keys        []Key
	Engine      string
	Incarnation uint64
	Event       uint64
}

// Export asks that an engine write blocks to a store.
type Export struct {
	Engine string
	Salt   Salt
	Root   Key
	Keys   []Key
}

// Drop asks that a store free blocks.
type Drop struct {
	Store       string
	Keys        []Key
	Generations []uint64
}

// Index knows the kept state of the prompts whose home is this instance. Its
// state lies in shards, each under its own lock; its methods may be called
// concurrently.
type Index struct {
	shards [indexShards]indexShard
	// returns is shared by all shards and has its own lock.
	returns *returnStats
}

type indexShard struct {
	mu sync.Mutex
	// trees maps the first key of a segment to the tree of all segments that
	// begin with it.
	trees map[Key]*tree
}

// tree holds the blocks of all segments with the same first block.
type tree struct {
	salt     Salt
	lastUse  time.Time
	pinUntil time.Time
	blocks   map[Key]*block
	// storedBytes is the sum of the lengths of all stored blocks.
	storedBytes int64
}

type block struct {
	stored Stored
	// isStored tells whether stored is valid.
	isStored bool
	// exportAt is when an export was last asked for.
	exportAt time.Time
	lastUse  time.Time
	holders  []blockHolder
}

type blockHolder struct {
	engine      string
	incarnation uint64
	event       uint64
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := &Index{returns: newReturnStats()}
	for i := range x.shards {
		x.shards[i].trees = make(map[Key]*tree)
	}
	return x
}

func (x *Index) shard(root Key) *indexShard {
	return &x.shards[int(root[0])%indexShards]
}

// Lookup returns where the leading blocks of a segment are held, and notes the
// use. The account must be that of the prompt, else nothing is found.
func (x *Index) Lookup(now time.Time, account string, keys []Key) Found {
	if len(keys) == 0 {
		return Found{}
	}
	s := x.shard(keys[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[keys[0]]
	if !ok || p.salt.ClientAccount != account {
		return Found{}
	}
	if last := p.touch(now, keys); !last.IsZero() {
		x.returns.used(account, now.Sub(last))
	}
	return p.find(keys)
}

// touch notes the use of all known blocks of a segment, and returns when the
// deepest of them was last used.
func (p *tree) touch(now time.Time, keys []Key) time.Time {
	var last time.Time
	p.lastUse = now
	for _, k := range keys {
		b, ok := p.blocks[k]
		if !ok {
			break
		}
		last = b.lastUse
		b.lastUse = now
	}
	return last
}

func (p *tree) find(keys []Key) Found {
	var found Found
	storedRun := true
	var alive []Holder
	for i, k := range keys {
		b, ok := p.blocks[k]
		if !ok {
			break
		}
		if storedRun = storedRun && b.isStored; storedRun {
			found.Stored = append(found.Stored, b.stored)
		}
		if i == 0 {
			for _, h := range b.holders {
				alive = append(alive, Holder{Engine: h.engine, Incarnation: h.incarnation, Blocks: 1, Event: h.event})
			}
			continue
		}
		extend(alive, b.holders, i)
	}
	found.Holders = alive
	return found
}

// extend adds block i to each holder whose run reaches it.
func extend(alive []Holder, holders []blockHolder, i int) {
	for n := range alive {
		h := &alive[n]
		if h.Blocks != i {
			continue
		}
		for _, bh := range holders {
			if bh.engine == h.Engine && bh.incarnation == h.Incarnation {
				h.Blocks++
				h.Event = min(h.Event, bh.event)
			}
		}
	}
}

// Observe notes where blocks are cached and returns the exports that are worth
// their bytes; the result is empty when there are none.
func (x *Index) Observe(now time.Time, o Observation) []Export {
	if len(o.Keys) == 0 {
		return nil
	}
	root := o.Keys[0]
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[root]
	if !ok {
		p = &tree{salt: o.Salt, lastUse: now, blocks: make(map[Key]*block)}
		s.trees[root] = p
	}
	if p.salt != o.Salt {
		return nil
	}
	e := Export{Engine: o.Engine, Salt: o.Salt, Root: root}
	for _, k := range o.Keys {
		b := p.block(k)
		if b.lastUse.IsZero() {
			x.returns.first(o.Salt.ClientAccount)
		}
		b.lastUse = now
		b.hold(blockHolder{engine: o.Engine, incarnation: o.Incarnation, event: o.Event})
		if !b.isStored && now.Sub(b.exportAt) > exportRetry {
			b.exportAt = now
			e.Keys = append(e.Keys, k)
		}
	}
	if len(e.Keys) == 0 {
		return nil
	}
	return []Export{e}
}

func (p *tree) block(k Key) *block {
	b, ok := p.blocks[k]
	if !ok {
		b = &block{}
		p.blocks[k] = b
	}
	return b
}

func (b *block) hold(h blockHolder) {
	b.holders = slices.DeleteFunc(b.holders, func(old blockHolder) bool { return old.engine == h.engine })
	b.holders = append(b.holders, h)
	if len(b.holders) > maxHolders {
		b.holders = b.holders[1:]
	}
}

func (p *tree) unstore(k Key) {
	b, ok := p.blocks[k]
	if !ok || !b.isStored {
		return
	}
	b.isStored = false
	b.exportAt = time.Time{}
	p.storedBytes -= int64(b.stored.Length)
}

// Failed notes that an engine could not read stored blocks, and returns what to
// free, so that bad blocks are written anew.
func (x *Index) Failed(account string, keys []Key) []Drop {
	if len(keys) == 0 {
		return nil
	}
	s := x.shard(keys[0])
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[keys[0]]
	if !ok || p.salt.ClientAccount != account {
		return nil
	}
	drops := newDropSet()
	for _, k := range keys {
		if b, ok := p.blocks[k]; ok && b.isStored {
			drops.add(k, b.stored)
			p.unstore(k)
		}
	}
	return drops.list()
}

// Postpone notes that an export was given up, so that the next use asks again.
func (x *Index) Postpone(e Export) {
	s := x.shard(e.Root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[e.Root]
	if !ok {
		return
	}
	for _, k := range e.Keys {
		if b, ok := p.blocks[k]; ok {
			b.exportAt = time.Time{}
		}
	}
}

// Sealed notes a block that a store keeps. A block of a store incarnation
// other than the newest known one must not be passed on.
func (x *Index) Sealed(now time.Time, root, key Key, salt Salt, stored Stored) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[root]
	if !ok {
		p = &tree{salt: salt, lastUse: now, blocks: make(map[Key]*block)}
		s.trees[root] = p
	}
	b := p.block(key)
	if b.lastUse.IsZero() {
		b.lastUse = now
	}
	if b.isStored {
		p.storedBytes -= int64(b.stored.Length)
	}
	b.stored = stored
	b.isStored = true
	p.storedBytes += int64(stored.Length)
}

// Freed notes that a store no longer keeps a block in some generation.
func (x *Index) Freed(root, key Key, store string, generation uint64) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.trees[root]
	if !ok {
		return
	}
	b, ok := p.blocks[key]
	if ok && b.isStored && b.stored.Store == store && b.stored.Generation == generation {
		p.unstore(key)
	}
}

// StoreLost forgets every block of a store in incarnations other than the
// given one; zero forgets all.
func (x *Index) StoreLost(store string, incarnation uint64) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for _, p := range s.trees {
			for k, b := range p.blocks {
				if b.isStored && b.stored.Store == store && b.stored.Incarnation != incarnation {
					p.unstore(k)
				}
			}
		}
		s.mu.Unlock()
	}
}

// Keep forgets all prompts whose root the function refuses: those that have
// another home now.
func (x *Index) Keep(owns func(root Key) bool) {
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

// Pin keeps a prompt until a time, whatever its value.
func (x *Index) Pin(root Key, until time.Time) {
	s := x.shard(root)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.trees[root]; ok {
		p.pinUntil = until
	}
}

// Expire forgets blocks that no store keeps and that were not used for a while.
func (x *Index) Expire(now time.Time, idle time.Duration) {
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for root, p := range s.trees {
			for k, b := range p.blocks {
				if !b.isStored && now.Sub(b.lastUse) > idle {
					delete(p.blocks, k)
				}
			}
			if len(p.blocks) == 0 {
				delete(s.trees, root)
			}
		}
		s.mu.Unlock()
	}
}

// Size is the extent of an index.
type Size struct {
	Trees       int   `json:"trees"`
	Blocks      int   `json:"blocks"`
	Stored      int   `json:"stored"`
	StoredBytes int64 `json:"stored_bytes"`
}

// Size counts what the index holds.
func (x *Index) Size() Size {
	var size Size
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		for _, p := range s.trees {
			size.Trees++
			size.Blocks += len(p.blocks)
			size.StoredBytes += p.storedBytes
			for _, b := range p.blocks {
				if b.isStored {
					size.Stored++
				}
			}
		}
		s.mu.Unlock()
	}
	return size
}
