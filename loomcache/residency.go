package loomcache

import (
	"container/list"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Residency estimates which parts of prompts each engine still caches, from the
// prompts that were sent there. Engines evict what was used least recently, and
// the estimate does the same. A wrong one costs computing, never a wrong answer.
// Its methods may be called concurrently; each engine has a lock of its own.
type Residency struct {
	mu      sync.RWMutex
	engines map[string]*engineParts
}

// engineParts is the estimate for one engine.
type engineParts struct {
	mu sync.Mutex
	// recent holds residentPart values, the latest first.
	recent *list.List
	byKey  map[uint64]*list.Element
	// tokens is the sum over recent.
	tokens int
}

type residentPart struct {
	key    uint64
	tokens int
}

// NewResidency returns an estimate that knows nothing.
func NewResidency() *Residency {
	return &Residency{engines: make(map[string]*engineParts)}
}

// partKey names a part under a salt.
func partKey(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}

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

// Note takes in that an engine reads the parts of a prompt. The engine caches at
// most capacity tokens.
func (r *Residency) Note(engine, salt string, parts []PromptPart, capacity int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		e.use(partKey(salt, p.ID), p.Tokens)
	}
	for e.tokens > capacity && e.recent.Len() > 0 {
		e.drop(e.recent.Back())
	}
}

// Cached notes that an engine told that it caches a part.
func (r *Residency) Cached(engine, salt, id string, tokens int) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.use(partKey(salt, id), tokens)
}

// Evicted notes that an engine told that it no longer caches all of a part.
func (r *Residency) Evicted(engine, salt, id string) {
	e := r.engine(engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.byKey[partKey(salt, id)]; ok {
		e.drop(at)
	}
}

func (e *engineParts) use(key uint64, tokens int) {
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

// Held returns how many leading tokens of the parts an engine caches.
func (r *Residency) Held(engine, salt string, parts []PromptPart) int {
	r.mu.RLock()
	e, ok := r.engines[engine]
	r.mu.RUnlock()
	if !ok {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := 0
	for _, p := range parts {
		if _, ok := e.byKey[partKey(salt, p.ID)]; !ok {
			return held
		}
		held += p.Tokens
	}
	return held
}

// Len returns the number of parts that engines are believed to cache.
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

// Keep drops what is believed of all engines but some.
func (r *Residency) Keep(engines []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.engines, func(id string, _ *engineParts) bool { return !slices.Contains(engines, id) })
}

// Forget drops what is believed of an engine, as when it starts again.
func (r *Residency) Forget(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, engine)
}
