package loomcache

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StoreClass is what is known of one store for kept state. It is immutable.
type StoreClass struct {
	Address       string
	FailureDomain string
	// Capacity is in tokens.
	Capacity int
	// FirstByte and PerToken are the time of a transfer.
	FirstByte time.Duration
	PerToken  time.Duration
}

// transferTime returns how long a part takes on its way from or to the store.
func (c StoreClass) transferTime(tokens int) time.Duration {
	return c.FirstByte + time.Duration(tokens)*c.PerToken
}

const (
	// fullShare is the part of a store that saves may fill; what is being
	// written already takes space but is not told yet.
	fullShare = 0.95
	// pendingTime is how long a save that was asked for is expected to show.
	pendingTime = 3 * time.Second
	// slowestTransfer bounds the transfer of a part by the time to compute it; a
	// store in another failure domain takes twice the time.
	slowestTransfer = 1
)

// StoreIndex is the index of what the stores for kept state hold, as they tell.
// Only parts that a store has told to be whole are in it. Its methods may be
// called concurrently; each store has a lock of its own.
type StoreIndex struct {
	mu     sync.RWMutex
	stores []*storeParts
}

type storeParts struct {
	class StoreClass

	mu sync.Mutex
	// up tells that the store answers.
	up    bool
	epoch uint64
	parts map[partName]int
	// used is the sum over parts.
	used int
	// pending holds saves that were asked for and not told yet.
	pending map[partName]pendingSave
}

type partName struct {
	salt string
	id   string
}

type pendingSave struct {
	until  time.Time
	tokens int
}

// NewStoreIndex returns an index of no stores.
func NewStoreIndex() *StoreIndex {
	return &StoreIndex{}
}

// SetStores replaces the stores; what is known of those that stay is kept.
func (s *StoreIndex) SetStores(classes []StoreClass) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make([]*storeParts, 0, len(classes))
	for _, c := range classes {
		i := slices.IndexFunc(s.stores, func(old *storeParts) bool { return old.class == c })
		if i >= 0 {
			next = append(next, s.stores[i])
			continue
		}
		next = append(next, &storeParts{class: c, parts: make(map[partName]int), pending: make(map[partName]pendingSave)})
	}
	s.stores = next
}

func (s *StoreIndex) all() []*storeParts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.stores
}

func (s *StoreIndex) store(address string) *storeParts {
	for _, p := range s.all() {
		if p.class.Address == address {
			return p
		}
	}
	return nil
}

// Restarted notes a store's epoch. A new one means that it holds nothing.
func (s *StoreIndex) Restarted(address string, epoch uint64) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = true
	if p.epoch == epoch {
		return
	}
	p.epoch = epoch
	clear(p.parts)
	clear(p.pending)
	p.used = 0
}

// Epoch returns the epoch of a store, which is zero while it is not known.
func (s *StoreIndex) Epoch(address string) uint64 {
	p := s.store(address)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// Down notes that a store does not answer. What it holds is known again when it
// answers with the same epoch.
func (s *StoreIndex) Down(address string) {
	if p := s.store(address); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.up = false
	}
}

// Holds notes that a store holds a part whole, with a number of tokens.
func (s *StoreIndex) Holds(address, salt, id string, tokens int) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partName{salt: salt, id: id}
	p.used += tokens - p.parts[n]
	p.parts[n] = tokens
	delete(p.pending, n)
}

// Gone notes that a store no longer holds a part.
func (s *StoreIndex) Gone(address, salt, id string) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partName{salt: salt, id: id}
	p.used -= p.parts[n]
	delete(p.parts, n)
}

// Source returns the store from which a part may be fetched: the fastest that
// holds all of it, if there is one.
func (s *StoreIndex) Source(salt string, part PromptPart) (StoreClass, bool) {
	var best StoreClass
	found := false
	for _, p := range s.all() {
		faster := !found || p.class.transferTime(part.Tokens) < best.transferTime(part.Tokens)
		if faster && p.holds(salt, part) {
			best, found = p.class, true
		}
	}
	return best, found
}

func (p *storeParts) holds(salt string, part PromptPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.up && part.Tokens > 0 && p.parts[partName{salt: salt, id: part.ID}] == part.Tokens
}

// Target returns the store that a part should be saved to, or an empty address
// when one holds it, is about to, or none has room. All instances prefer the
// same store for a part: the one with the highest weight by rendezvous hashing.
// tokenTime is how long computing one token takes; stores that are slower than
// computing are left out.
func (s *StoreIndex) Target(now time.Time, salt string, part PromptPart, tokenTime time.Duration) string {
	compute := time.Duration(float64(part.Tokens) * float64(tokenTime) * slowestTransfer)
	var best *storeParts
	var bestWeight float64
	for _, p := range s.all() {
		if p.has(now, salt, part) {
			return ""
		}
		if p.class.transferTime(part.Tokens) > compute || !p.room(now, part.Tokens) {
			continue
		}
		if w := storeWeight(p.class, salt, part); best == nil || w > bestWeight {
			best, bestWeight = p, w
		}
	}
	if best == nil {
		return ""
	}
	best.expect(now, salt, part)
	return best.class.Address
}

// firstByteShare is the part of a transfer's time that its first byte may take
// for the part to count as large at a store.
const firstByteShare = 0.3

// storeWeight orders stores for a part. Large parts are spread in proportion to
// the capacity of the stores; small ones go where transfers begin fast, for as
// long as there is room.
func storeWeight(c StoreClass, salt string, part PromptPart) float64 {
	const bits = 53
	draw := float64(xxhash.Sum64String(c.Address+"\x00"+salt+"\x00"+part.ID)>>(64-bits)+1) / (1 << bits)
	transfer := c.transferTime(part.Tokens).Seconds()
	weight := float64(c.Capacity)
	if c.FirstByte.Seconds() > firstByteShare*transfer {
		weight /= transfer * transfer
	}
	return weight / -math.Log(draw)
}

// has reports whether the store holds a part or is expected to.
func (p *storeParts) has(now time.Time, salt string, part PromptPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partName{salt: salt, id: part.ID}
	if p.up && p.parts[n] > 0 {
		return true
	}
	save, ok := p.pending[n]
	return ok && now.Before(save.until)
}

func (p *storeParts) room(now time.Time, tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return false
	}
	used := p.used
	for n, save := range p.pending {
		if !now.Before(save.until) {
			delete(p.pending, n)
			continue
		}
		used += save.tokens
	}
	return float64(used+tokens) < float64(p.class.Capacity)*fullShare
}

func (p *storeParts) expect(now time.Time, salt string, part PromptPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[partName{salt: salt, id: part.ID}] = pendingSave{until: now.Add(pendingTime), tokens: part.Tokens}
}

// Outdated returns the parts of a store whose salt does not begin with any of
// the prefixes, at most limit of them.
func (s *StoreIndex) Outdated(address string, prefixes []string, limit int) []PartAt {
	p := s.store(address)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []PartAt
	for n := range p.parts {
		if len(old) >= limit {
			break
		}
		if !slices.ContainsFunc(prefixes, func(prefix string) bool { return n.salt == prefix || strings.HasPrefix(n.salt, prefix+"/") }) {
			old = append(old, PartAt{Salt: n.salt, ID: n.id})
		}
	}
	return old
}

// PartAt names a part under its salt.
type PartAt struct {
	Salt string
	ID   string
}

// Len returns the number of parts that all stores hold, and their tokens.
func (s *StoreIndex) Len() (parts, tokens int) {
	for _, p := range s.all() {
		p.mu.Lock()
		parts += len(p.parts)
		tokens += p.used
		p.mu.Unlock()
	}
	return parts, tokens
}

// Usage returns the tokens that a store holds and its capacity.
func (s *StoreIndex) Usage(address string) (used, capacity int) {
	p := s.store(address)
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.class.Capacity
}
