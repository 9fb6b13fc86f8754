package loomcache

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StoreClass describes a store for KV caches. It is immutable.
type StoreClass struct {
	Address       string
	FailureDomain string
	// Capacity is the size of the store in tokens.
	Capacity int
	// FirstByte is the latency of a transfer, and PerToken the additional time
	// for each token.
	FirstByte time.Duration
	PerToken  time.Duration
}

// StoreFilter reports whether a store may be used. Nil accepts all.
type StoreFilter func(StoreClass) bool

// transferTime returns the time to transfer a part to or from the store.
func (c StoreClass) transferTime(tokens int) time.Duration {
	return c.FirstByte + time.Duration(tokens)*c.PerToken
}

const (
	// maxFillFraction is the fraction of the capacity that saves may fill. Parts
	// that are being written take space before the store reports them.
	maxFillFraction = 0.95
	// pendingTimeout is how long a requested save counts as pending before the
	// store reports the part.
	pendingTimeout = 3 * time.Second
	// maxTransferRatio is the maximum ratio of the time to transfer a part to the
	// time to compute it. A transfer to another failure domain takes twice the
	// time.
	maxTransferRatio = 1
	// storedPartBytes is the memory that an indexed part takes in addition to its ID, and
	// pendingSaveBytes that of a pending save.
	storedPartBytes  = 96
	pendingSaveBytes = 192
	// minStoreBytes is the least memory for the parts of one store.
	minStoreBytes = 64 << 10
)

// StoreIndex is an index of the parts in all stores for KV caches, built from the
// events of the stores. It contains only parts that a store reported as complete.
// Its memory is bounded: a part that would take more of it than of the store's memory
// is not saved once half of the bound is reached. The methods are safe for concurrent use;
// each store has its own lock.
type StoreIndex struct {
	// size bounds the memory for all stores in bytes.
	size int64

	mu     sync.RWMutex
	stores []*storeParts
}

// storeParts is the state of one store.
type storeParts struct {
	class StoreClass

	mu sync.Mutex
	// isUp reports whether the store answers.
	isUp  bool
	epoch uint64
	// parts holds the number of tokens of each part.
	parts map[partID]int
	// used is the total number of tokens of all parts.
	used int
	// pending holds the saves that were requested and that the store has not
	// reported yet.
	pending map[partID]pendingSave
	// bytes is the memory that parts and pending take, and maxBytes the bound on it.
	bytes, maxBytes int64
	// salts holds the salts in parts, so that equal ones share their memory.
	salts map[string]string
}

// intern returns a salt that shares its memory with equal ones. p.mu must be held.
func (p *storeParts) intern(salt string) string {
	if known, ok := p.salts[salt]; ok {
		return known
	}
	if len(p.salts) >= maxSalts {
		clear(p.salts)
	}
	salt = strings.Clone(salt)
	p.salts[salt] = salt
	return salt
}

// maxSalts bounds the salts that a store's parts share.
const maxSalts = 1024

// removePending removes a pending save, if there is one. p.mu must be held.
func (p *storeParts) removePending(n partID) {
	if _, ok := p.pending[n]; ok {
		p.bytes -= n.pendingBytes()
		delete(p.pending, n)
	}
}

// isWorthIndexing reports whether a part may take memory of the index: it leaves half of that
// free, or takes no more of the other half than of the store's memory. p.mu must be held.
func (p *storeParts) isWorthIndexing(n partID, tokens int) bool {
	need, half := max(n.bytes(), n.pendingBytes()), p.maxBytes/2
	if p.bytes+need <= half {
		return true
	}
	return p.bytes+need <= p.maxBytes && float64(tokens)*float64(half) >= float64(p.class.Capacity)*float64(n.bytes())
}

type partID struct {
	salt string
	id   string
}

// bytes returns the memory that an indexed part takes.
func (n partID) bytes() int64 {
	return int64(storedPartBytes + len(n.id))
}

// pendingBytes returns the memory that a pending save takes.
func (n partID) pendingBytes() int64 {
	return int64(pendingSaveBytes + len(n.salt) + len(n.id))
}

type pendingSave struct {
	until  time.Time
	tokens int
}

// NewStoreIndex returns an index without stores that takes about 64 MiB at most.
func NewStoreIndex() *StoreIndex {
	return NewStoreIndexOf(defaultIndexBytes)
}

// NewStoreIndexOf is like NewStoreIndex for about size bytes at most.
func NewStoreIndexOf(size int64) *StoreIndex {
	return &StoreIndex{size: size}
}

// SetStores replaces the stores. The parts of stores whose class is unchanged are
// kept.
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
		next = append(next, &storeParts{class: c, parts: make(map[partID]int), pending: make(map[partID]pendingSave), salts: make(map[string]string)})
	}
	for _, p := range next {
		p.mu.Lock()
		p.maxBytes = max(s.size/int64(len(next)), minStoreBytes)
		p.mu.Unlock()
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

// SetEpoch records that a store answers with an epoch. A different epoch than
// before means that the store has restarted and is empty.
func (s *StoreIndex) SetEpoch(address string, epoch uint64) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isUp = true
	if p.epoch == epoch {
		return
	}
	p.epoch = epoch
	clear(p.parts)
	clear(p.pending)
	clear(p.salts)
	p.used, p.bytes = 0, 0
}

// Epoch returns the epoch of a store, or zero if it is not known.
func (s *StoreIndex) Epoch(address string) uint64 {
	p := s.store(address)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

// MarkDown records that a store does not answer. Its parts are used again once it
// answers with the same epoch.
func (s *StoreIndex) MarkDown(address string) {
	if p := s.store(address); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.isUp = false
	}
}

// AddPart records that a store has a complete part with a number of tokens. A part for which
// there is no memory is not indexed, but takes room in the store.
func (s *StoreIndex) AddPart(address, salt, id string, tokens int) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partID{salt: p.intern(salt), id: id}
	p.removePending(n)
	tokens = min(max(tokens, 0), MaxTokens)
	old, isKnown := p.parts[n]
	p.used += tokens - old
	if !isKnown {
		if p.bytes+n.bytes() > p.maxBytes {
			return
		}
		p.bytes += n.bytes()
	}
	p.parts[n] = tokens
}

// RemovePart records that a store no longer has a part.
func (s *StoreIndex) RemovePart(address, salt, id string) {
	p := s.store(address)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partID{salt: salt, id: id}
	tokens, isKnown := p.parts[n]
	if !isKnown {
		return
	}
	p.used -= tokens
	p.bytes -= n.bytes()
	delete(p.parts, n)
}

// Source returns the store to fetch a part from: the one with the shortest
// transfer time among those that have all of it. It returns false if there is
// none.
func (s *StoreIndex) Source(salt string, part PromptPart) (StoreClass, bool) {
	return s.SourceAmong(nil, salt, part)
}

// SourceAmong is like Source for the stores that a filter accepts.
func (s *StoreIndex) SourceAmong(accepts StoreFilter, salt string, part PromptPart) (StoreClass, bool) {
	var best StoreClass
	found := false
	for _, p := range s.all() {
		if accepts != nil && !accepts(p.class) {
			continue
		}
		faster := !found || p.class.transferTime(part.Tokens) < best.transferTime(part.Tokens)
		if faster && p.hasAll(salt, part) {
			best, found = p.class, true
		}
	}
	return best, found
}

// hasAll reports whether the store answers and has all tokens of a part.
func (p *storeParts) hasAll(salt string, part PromptPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUp && part.Tokens > 0 && p.parts[partID{salt: salt, id: part.ID}] == part.Tokens
}

// Target returns the address of the store to save a part to, and counts the save
// as pending there. The address is empty if a store has the part or a pending
// save of it, or if no store is suitable. A store is suitable if it has room and
// transfers the part in no more time than computing it takes, with tokenTime for
// each token. Among these it chooses by weighted rendezvous hashing, so that all
// instances prefer the same store for a part.
func (s *StoreIndex) Target(now time.Time, salt string, part PromptPart, tokenTime time.Duration) string {
	return s.TargetAmong(nil, now, salt, part, tokenTime)
}

// TargetAmong is like Target for the stores that a filter accepts.
func (s *StoreIndex) TargetAmong(accepts StoreFilter, now time.Time, salt string, part PromptPart, tokenTime time.Duration) string {
	compute := time.Duration(float64(part.Tokens) * float64(tokenTime) * maxTransferRatio)
	var best *storeParts
	var bestWeight float64
	for _, p := range s.all() {
		if accepts != nil && !accepts(p.class) {
			continue
		}
		if p.hasOrExpects(now, salt, part) {
			return ""
		}
		if p.class.transferTime(part.Tokens) > compute || !p.hasRoom(now, salt, part) {
			continue
		}
		if w := storeWeight(p.class, salt, part); best == nil || w > bestWeight {
			best, bestWeight = p, w
		}
	}
	if best == nil {
		return ""
	}
	best.addPending(now, salt, part)
	return best.class.Address
}

// maxFirstByteFraction is the maximum fraction of the transfer time that the
// latency of the first byte may take for a part to count as large at a store.
const maxFirstByteFraction = 0.3

// storeWeight returns the rendezvous weight of a store for a part. Large parts are
// spread in proportion to the capacity of the stores. Small parts prefer stores
// with a low latency, as long as these have room.
func storeWeight(c StoreClass, salt string, part PromptPart) float64 {
	const bits = 53
	draw := float64(xxhash.Sum64String(c.Address+"\x00"+salt+"\x00"+part.ID)>>(64-bits)+1) / (1 << bits)
	transfer := c.transferTime(part.Tokens).Seconds()
	weight := float64(c.Capacity)
	if c.FirstByte.Seconds() > maxFirstByteFraction*transfer {
		weight /= transfer * transfer
	}
	return weight / -math.Log(draw)
}

// hasOrExpects reports whether the store has any tokens of a part, or a pending
// save of it.
func (p *storeParts) hasOrExpects(now time.Time, salt string, part PromptPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partID{salt: salt, id: part.ID}
	if p.isUp && p.parts[n] > 0 {
		return true
	}
	save, ok := p.pending[n]
	return ok && now.Before(save.until)
}

// hasRoom reports whether a part fits into the store and the index along with the
// pending saves. It deletes expired ones.
func (p *storeParts) hasRoom(now time.Time, salt string, part PromptPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isUp {
		return false
	}
	used := p.used
	for n, save := range p.pending {
		if !now.Before(save.until) {
			p.removePending(n)
			continue
		}
		used += save.tokens
	}
	if !p.isWorthIndexing(partID{salt: salt, id: part.ID}, part.Tokens) {
		return false
	}
	return float64(used+part.Tokens) < float64(p.class.Capacity)*maxFillFraction
}

// addPending counts the save of a part as pending. It keeps no text alive of which the ID is a
// part.
func (p *storeParts) addPending(now time.Time, salt string, part PromptPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := partID{salt: p.intern(salt), id: strings.Clone(part.ID)}
	p.removePending(n)
	p.bytes += n.pendingBytes()
	p.pending[n] = pendingSave{until: now.Add(pendingTimeout), tokens: part.Tokens}
}

// Outdated returns at most limit parts of a store whose salt is neither one of
// the prefixes nor begins with one followed by a slash.
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

// PartAt identifies a part by its salt and ID.
type PartAt struct {
	Salt string
	ID   string
}

// Len returns the number of parts in all stores and their total number of tokens.
func (s *StoreIndex) Len() (parts, tokens int) {
	for _, p := range s.all() {
		p.mu.Lock()
		parts += len(p.parts)
		tokens += p.used
		p.mu.Unlock()
	}
	return parts, tokens
}

// Bytes returns about how much memory the index takes.
func (s *StoreIndex) Bytes() int64 {
	n := int64(0)
	for _, p := range s.all() {
		p.mu.Lock()
		n += p.bytes
		p.mu.Unlock()
	}
	return n
}

// Usage returns the number of tokens in a store and its capacity in tokens.
func (s *StoreIndex) Usage(address string) (used, capacity int) {
	p := s.store(address)
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used, p.class.Capacity
}
