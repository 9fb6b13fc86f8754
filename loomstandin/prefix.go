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
	keptEvents    = 4096
	eventLag      = 300 * time.Millisecond
	eventLossRate = 0.05
)

type cachedBlock struct {
	key     loomcache.Key
	salt    string
	version uint64
	state   state
}

type cacheEvent struct {
	at    time.Time
	event *loompb.CacheEvent
}

// prefixCache is the prefix cache of an engine: limited, least recently used
// out first, with events that come late and with gaps.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[loomcache.Key]*list.Element
	// order holds *cachedBlock values, least recently used first.
	order    *list.List
	events   []cacheEvent
	sequence uint64
	// lossRate is the part of events that is never published.
	lossRate float64
	random   *rand.Rand
}

func newPrefixCache(capacity int, random *rand.Rand) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		blocks:   make(map[loomcache.Key]*list.Element),
		order:    list.New(),
		lossRate: eventLossRate,
		random:   random,
	}
}

// get returns the state after a block. A block of another salt or version is
// not found, whatever its key.
func (c *prefixCache) get(key loomcache.Key, salt string, version uint64) (state, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.blocks[key]
	if !ok {
		return state{}, false
	}
	b, ok := e.Value.(*cachedBlock)
	if !ok || b.version != version || (salt != "" && b.salt != salt) {
		return state{}, false
	}
	c.order.MoveToBack(e)
	return b.state, true
}

func (c *prefixCache) put(now time.Time, b cachedBlock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.blocks[b.key]; ok {
		e.Value = &b
		c.order.MoveToBack(e)
		return
	}
	c.blocks[b.key] = c.order.PushBack(&b)
	c.publish(now, b.key, false)
	for len(c.blocks) > c.capacity {
		c.evictOldest(now)
	}
}

func (c *prefixCache) evictOldest(now time.Time) {
	e := c.order.Front()
	b, ok := e.Value.(*cachedBlock)
	c.order.Remove(e)
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

func (c *prefixCache) publish(now time.Time, key loomcache.Key, evicted bool) {
	c.sequence++
	if c.random.Float64() < c.lossRate {
		return
	}
	event := &loompb.CacheEvent{Sequence: c.sequence, Key: key[:], Evicted: evicted}
	c.events = append(c.events, cacheEvent{at: now, event: event})
	if len(c.events) > 2*keptEvents {
		c.events = append([]cacheEvent(nil), c.events[keptEvents:]...)
	}
}

// since returns the published events after a sequence number.
func (c *prefixCache) since(now time.Time, after uint64) []*loompb.CacheEvent {
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

// published returns the sequence number of the latest published event.
func (c *prefixCache) published(now time.Time) uint64 {
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
