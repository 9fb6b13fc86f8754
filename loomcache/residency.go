package loomcache

import (
	"maps"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// residentPartBytes is the memory that an entry of a Residency takes: the entry itself and
	// its slot in a map that may be half empty.
	residentPartBytes = 128
	// minEngineParts is the least number of parts that are tracked for an engine.
	minEngineParts = 64
)

// Residency estimates which parts of prompts each engine has cached, from the
// prompts that were sent to it and from its cache events. Like the engines, it
// evicts the least recently used parts. A wrong estimate costs extra computation
// but never affects the answer. Its memory is bounded: beyond the bound, parts of
// few tokens that were not used of late yield first, since each entry takes the
// same memory and a short part saves little computation. The methods are safe for
// concurrent use; each engine has its own lock.
type Residency struct {
	// maxParts bounds the parts of all engines together.
	maxParts int

	mu      sync.RWMutex
	engines map[string]*engineParts
}

// defaultIndexBytes bounds the memory of an estimate or an index of which no bound is stated.
const defaultIndexBytes = 64 << 20

// NewResidency returns an estimate without engines that takes about 64 MiB at most.
func NewResidency() *Residency {
	return NewResidencyOf(defaultIndexBytes)
}

// NewResidencyOf is like NewResidency for about size bytes at most.
func NewResidencyOf(size int64) *Residency {
	return &Residency{maxParts: int(size / residentPartBytes), engines: make(map[string]*engineParts)}
}

// partKey returns the hash of a salt and the ID of a part.
func partKey(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}

// engine returns the estimate for an engine, which it adds if necessary. The engines share
// the bound equally.
func (r *Residency) engine(id string) *engineParts {
	r.mu.RLock()
	e, ok := r.engines[id]
	r.mu.RUnlock()
	if ok {
		return e
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.engines[id]; ok {
		return e
	}
	e = &engineParts{byKey: make(map[uint64]*residentPart)}
	r.engines[id] = e
	r.share()
	return e
}

// share divides the bound among the engines. The caller holds mu.
func (r *Residency) share() {
	share := max(r.maxParts/max(len(r.engines), 1), minEngineParts)
	for _, e := range r.engines {
		e.setMaxParts(share)
	}
}

// RecordPrompt records that a prompt with the given leading parts was sent to an engine,
// and evicts the least recently used parts beyond capacity, which is the size of
// the engine's cache in tokens.
func (r *Residency) RecordPrompt(engine, salt string, parts []PromptPart, capacity int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		e.touch(partKey(salt, p.ID), p.Tokens)
	}
	for e.tokens > capacity && len(e.byKey) > 0 {
		e.drop(e.oldest())
	}
	e.trim()
}

// Cached records the event of an engine that it has cached a part.
func (r *Residency) Cached(engine, salt, id string, tokens int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.touch(partKey(salt, id), tokens)
	e.trim()
}

// Evicted records the event of an engine that it no longer has all of a part
// cached.
func (r *Residency) Evicted(engine, salt, id string) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.byKey[partKey(salt, id)]; ok {
		e.drop(p)
	}
}

// CachedTokens returns the number of leading tokens of the parts that an engine
// is expected to have cached.
func (r *Residency) CachedTokens(engine, salt string, parts []PromptPart) int {
	return r.CachedTokensOf(engine, NewPartKeys(salt, parts), parts)
}

// CachedTokensOf is like CachedTokens for parts with known keys, which it is cheaper to
// compute once than for each engine.
func (r *Residency) CachedTokensOf(engine string, keys PartKeys, parts []PromptPart) int {
	r.mu.RLock()
	e, ok := r.engines[engine]
	r.mu.RUnlock()
	if !ok {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := 0
	for i, p := range parts {
		if _, ok := e.byKey[keys[i]]; !ok && p.Tokens > 0 {
			return cached
		}
		cached += p.Tokens
	}
	return cached
}

// Len returns the number of parts that all engines are expected to have cached.
func (r *Residency) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	parts := 0
	for _, e := range r.engines {
		e.mu.Lock()
		parts += len(e.byKey)
		e.mu.Unlock()
	}
	return parts
}

// Bytes returns about how much memory the estimate takes.
func (r *Residency) Bytes() int64 {
	return int64(r.Len()) * residentPartBytes
}

// Retain removes all engines that are not in engines.
func (r *Residency) Retain(engines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.engines)
	maps.DeleteFunc(r.engines, func(id string, _ *engineParts) bool { return !slices.Contains(engines, id) })
	if len(r.engines) < n {
		r.share()
	}
}

// Forget removes an engine, for example because a restart has emptied its cache.
func (r *Residency) Forget(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.engines[engine]; ok {
		delete(r.engines, engine)
		r.share()
	}
}

// PartKeys identifies parts of a prompt under a salt, for CachedTokensOf.
type PartKeys []uint64

// NewPartKeys returns the keys of parts.
func NewPartKeys(salt string, parts []PromptPart) PartKeys {
	keys := make(PartKeys, 0, len(parts))
	for _, p := range parts {
		keys = append(keys, partKey(salt, p.ID))
	}
	return keys
}

// partClasses is the number of classes of parts by the binary logarithm of their tokens.
const partClasses = 25

// partClass returns the class of a part with a number of tokens above zero.
func partClass(tokens int) int {
	return bits.Len(uint(min(tokens, MaxTokens))) - 1
}

// engineParts is the estimate for one engine. To evict for lack of memory it uses the
// GreedyDual-Size policy of Cao and Irani (1997), with all parts of a class treated as
// equally long, so that the next part to evict is among the oldest ones of the classes.
type engineParts struct {
	mu       sync.Mutex
	maxParts int
	byKey    map[uint64]*residentPart
	// classes holds the parts of each class.
	classes [partClasses]partList
	// tokens is the total number of tokens of all parts.
	tokens int
	// uses counts the uses of parts, and floor is the value of the part that was evicted last
	// for lack of memory. Both only increase.
	uses, floor uint64
}

// residentPart is a part that an engine is expected to have cached.
type residentPart struct {
	key    uint64
	tokens int32
	class  int8
	// usedAt is engineParts.uses at the latest use, and value engineParts.floor then plus the
	// tokens of the class. Along a partList, both decrease.
	usedAt, value uint64
	newer, older  *residentPart
}

// touch makes a part the most recently used, which it adds if necessary. A part without tokens
// saves nothing and is not recorded.
func (e *engineParts) touch(key uint64, tokens int) {
	if tokens <= 0 {
		return
	}
	p, ok := e.byKey[key]
	if ok {
		e.classes[p.class].remove(p)
	} else {
		tokens = min(tokens, MaxTokens)
		p = &residentPart{key: key, tokens: int32(tokens), class: int8(partClass(tokens))}
		e.byKey[key] = p
		e.tokens += tokens
	}
	e.uses++
	p.usedAt, p.value = e.uses, e.floor+1<<p.class
	e.classes[p.class].add(p)
}

// oldest returns the least recently used part. There must be one.
func (e *engineParts) oldest() *residentPart {
	var oldest *residentPart
	for i := range e.classes {
		if p := e.classes[i].oldest; p != nil && (oldest == nil || p.usedAt < oldest.usedAt) {
			oldest = p
		}
	}
	return oldest
}

// cheapest returns the part to evict for lack of memory. There must be one.
func (e *engineParts) cheapest() *residentPart {
	var cheapest *residentPart
	for i := range e.classes {
		if p := e.classes[i].oldest; p != nil && (cheapest == nil || p.value < cheapest.value) {
			cheapest = p
		}
	}
	return cheapest
}

// trim evicts parts beyond the bound.
func (e *engineParts) trim() {
	for len(e.byKey) > e.maxParts {
		p := e.cheapest()
		e.floor = max(e.floor, p.value)
		e.drop(p)
	}
}

func (e *engineParts) setMaxParts(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxParts = n
	e.trim()
}

func (e *engineParts) drop(p *residentPart) {
	e.classes[p.class].remove(p)
	delete(e.byKey, p.key)
	e.tokens -= int(p.tokens)
}

// partList is a list of parts in the order of their latest use.
type partList struct {
	newest, oldest *residentPart
}

// add adds a part as the newest.
func (l *partList) add(p *residentPart) {
	p.newer, p.older = nil, l.newest
	if l.newest != nil {
		l.newest.newer = p
	} else {
		l.oldest = p
	}
	l.newest = p
}

func (l *partList) remove(p *residentPart) {
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		l.newest = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		l.oldest = p.newer
	}
	p.newer, p.older = nil, nil
}
