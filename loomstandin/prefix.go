package loomstandin

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loompb"
)

const (
	// minRetainedEvents is how many of the latest cache events always stay
	// available; older ones are dropped in batches of this size.
	minRetainedEvents = 4096
	// eventLag is the time from a change of the cache to its published event.
	eventLag             = 300 * time.Millisecond
	defaultEventLossRate = 0.05
)

// cachedBlock is a block of the prefix cache with the state after it.
type cachedBlock struct {
	key     loomcache.Key
	salt    string
	version uint64
	state   prefixState
}

type cacheEvent struct {
	at    time.Time
	event *loompb.CacheEvent
}

// prefixCache is the prefix cache of an engine, with eviction of the least
// recently used block. It publishes its changes as events, which become visible
// after eventLag and of which a fraction is lost. Its methods may be called
// concurrently, except where a caller must hold mu.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[loomcache.Key]*list.Element
	// lru holds *cachedBlock values, least recently used first.
	lru      *list.List
	events   []cacheEvent
	sequence uint64
	// lossRate is the fraction of events, from 0 to 1, that are never published.
	// They use up sequence numbers, so that a reader sees a gap.
	lossRate float64
	rng      *rand.Rand
}

func newPrefixCache(capacity int, rng *rand.Rand) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		blocks:   make(map[loomcache.Key]*list.Element),
		lru:      list.New(),
		lossRate: defaultEventLossRate,
		rng:      rng,
	}
}

// get returns the state after a block and marks the block as used. A block of
// another salt or version is not found, even if its key is equal. An empty salt
// matches every block.
func (c *prefixCache) get(key loomcache.Key, salt string, version uint64) (prefixState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.blocks[key]
	if !ok {
		return prefixState{}, false
	}
	b, ok := e.Value.(*cachedBlock)
	if !ok || b.version != version || (salt != "" && b.salt != salt) {
		return prefixState{}, false
	}
	c.lru.MoveToBack(e)
	return b.state, true
}

// put adds or replaces a block and evicts others if the cache exceeds its
// capacity.
func (c *prefixCache) put(now time.Time, b cachedBlock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.blocks[b.key]; ok {
		e.Value = &b
		c.lru.MoveToBack(e)
		return
	}
	c.blocks[b.key] = c.lru.PushBack(&b)
	c.publish(now, b.key, false)
	for len(c.blocks) > c.capacity {
		c.evictOldest(now)
	}
}

// evictOldest evicts the least recently used block. The caller must hold c.mu.
func (c *prefixCache) evictOldest(now time.Time) {
	e := c.lru.Front()
	b, ok := e.Value.(*cachedBlock)
	c.lru.Remove(e)
	if ok {
		delete(c.blocks, b.key)
		c.publish(now, b.key, true)
	}
}

func (c *prefixCache) clear(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.blocks) > 0 {
		c.evictOldest(now)
	}
}

// publish numbers an event and records it, unless it is lost. The caller must
// hold c.mu.
func (c *prefixCache) publish(now time.Time, key loomcache.Key, evicted bool) {
	c.sequence++
	if c.rng.Float64() < c.lossRate {
		return
	}
	event := &loompb.CacheEvent{Sequence: c.sequence, Key: key[:], Evicted: evicted}
	c.events = append(c.events, cacheEvent{at: now, event: event})
	if len(c.events) > 2*minRetainedEvents {
		c.events = append([]cacheEvent(nil), c.events[minRetainedEvents:]...)
	}
}

// eventsAfter returns the visible events with a sequence number above after.
func (c *prefixCache) eventsAfter(now time.Time, after uint64) []*loompb.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []*loompb.CacheEvent
	for _, e := range c.events {
		if e.event.GetSequence() > after && now.Sub(e.at) >= eventLag {
			events = append(events, e.event)
		}
	}
	return events
}

// lastPublished returns the sequence number of the latest visible event, or zero.
func (c *prefixCache) lastPublished(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range slices.Backward(c.events) {
		if now.Sub(e.at) >= eventLag {
			return e.event.GetSequence()
		}
	}
	return 0
}

func (c *prefixCache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks)
}

func (c *prefixCache) setLossRate(r float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossRate = r
}
