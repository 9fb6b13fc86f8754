package loomcache

import (
	"container/list"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt that other prompts may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Residency estimates which parts of prompts each engine has cached, from the
// prompts that were sent to it and from its cache events. Like the engines, it
// evicts the least recently used parts. A wrong estimate costs extra computation
// but never affects the answer. The methods are safe for concurrent use; each
// engine has its own lock.
type Residency struct {
	mu      sync.RWMutex
	engines map[string]*engineParts
}

// engineParts is the estimate for one engine.
type engineParts struct {
	mu sync.Mutex
	// recent holds residentPart values, most recently used first.
	recent *list.List
	byKey  map[uint64]*list.Element
	// tokens is the total number of tokens of the parts in recent.
	tokens int
}

type residentPart struct {
	key    uint64
	tokens int
}

// NewResidency returns an estimate without engines.
func NewResidency() *Residency {
	return &Residency{engines: make(map[string]*engineParts)}
}

// partKey returns the hash of a salt and the ID of a part.
func partKey(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}

// engine returns the estimate for an engine, which it adds if necessary.
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
	e = &engineParts{recent: list.New(), byKey: make(map[uint64]*list.Element)}
	r.engines[id] = e
	return e
}

// RecordPrompt records that a prompt with the given parts was sent to an engine,
// and evicts the least recently used parts beyond capacity, which is the size of
// the engine's cache in tokens.
func (r *Residency) RecordPrompt(engine, salt string, parts []PromptPart, capacity int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		e.touch(partKey(salt, p.ID), p.Tokens)
	}
	for e.tokens > capacity && e.recent.Len() > 0 {
		e.drop(e.recent.Back())
	}
}

// Cached records the event of an engine that it has cached a part.
func (r *Residency) Cached(engine, salt, id string, tokens int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.touch(partKey(salt, id), tokens)
}

// Evicted records the event of an engine that it no longer has all of a part
// cached.
func (r *Residency) Evicted(engine, salt, id string) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.byKey[partKey(salt, id)]; ok {
		e.drop(at)
	}
}

// touch makes a part the most recently used, which it adds if necessary.
func (e *engineParts) touch(key uint64, tokens int) {
	if at, ok := e.byKey[key]; ok {
		e.recent.MoveToFront(at)
		return
	}
	e.byKey[key] = e.recent.PushFront(residentPart{key: key, tokens: tokens})
	e.tokens += tokens
}

func (e *engineParts) drop(at *list.Element) {
	part, ok := at.Value.(residentPart)
	if !ok {
		return
	}
	e.recent.Remove(at)
	delete(e.byKey, part.key)
	e.tokens -= part.tokens
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
		if _, ok := e.byKey[keys[i]]; !ok {
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

// Retain removes all engines that are not in engines.
func (r *Residency) Retain(engines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.engines, func(id string, _ *engineParts) bool { return !slices.Contains(engines, id) })
}

// Forget removes an engine, for example because a restart has emptied its cache.
func (r *Residency) Forget(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, engine)
}
