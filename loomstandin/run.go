package loomstandin

import (
	"slices"
	"sync"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loompb"
)

// run is the processing of one prompt by an engine.
type run struct {
	request *loompb.GenerateRequest
	keys    []loomcache.Key
	version uint64
	arrived time.Time

	// Generate sets imported and failedImports before it queues the run. After
	// that the fields up to mu belong to the step loop, which writes
	// prefillRemaining under Engine.mu because load reports read it.
	blockStates      []prefixState
	lastState        prefixState
	prefillRemaining int
	cachedTokens     int
	imported         map[loomcache.Key]prefixState
	failedImports    int

	mu sync.Mutex
	// answer is append-only. closed is set once, after the last token or when the
	// run is canceled; finished stays nil in the second case.
	answer   []uint32
	finished *loompb.Finished
	closed   bool
	canceled bool
	// openStreams counts the streams that read the answer. idleSince is when the
	// last of them ended, or when the run arrived.
	openStreams int
	idleSince   time.Time
	// changed is closed and replaced whenever answer, finished, closed or canceled
	// may have changed.
	changed chan struct{}
}

func newRun(r *loompb.GenerateRequest, version uint64, now time.Time) *run {
	n := &run{
		request:   r,
		version:   version,
		arrived:   now,
		imported:  make(map[loomcache.Key]prefixState),
		idleSince: now,
		changed:   make(chan struct{}),
	}
	for _, b := range r.GetBlockKeys() {
		if k, ok := loomcache.KeyFrom(b); ok {
			n.keys = append(n.keys, k)
		}
	}
	return n
}

// beginPrefill finds the longest prefix of the prompt whose blocks are cached or
// imported, and sets the number of tokens that remain to be computed. At least
// one token is computed, even if the whole prompt is cached.
func (n *run) beginPrefill(c *prefixCache) {
	salt := n.request.GetCacheSalt()
	n.lastState = initialState(salt, n.request.GetModel(), n.version)
	for _, key := range n.keys {
		s, ok := c.get(key, salt, n.version)
		if !ok {
			s, ok = n.imported[key]
		}
		if !ok {
			break
		}
		n.blockStates = append(n.blockStates, s)
		n.lastState = s
	}
	n.cachedTokens = len(n.blockStates) * loomcache.BlockTokens
	n.prefillRemaining = max(len(n.request.GetTokens())-n.cachedTokens, 1)
}

// completePrefill computes the states of the missing blocks and puts all blocks
// of the prompt into the cache. The first block is put last and so is the most
// recently used one, because eviction must shorten a prefix from its end: blocks
// behind a missing one can't be reused.
func (n *run) completePrefill(c *prefixCache, now time.Time) {
	tokens := n.request.GetTokens()
	s := n.lastState
	for i := len(n.blockStates); i < len(n.keys); i++ {
		s = s.extend(tokens[i*loomcache.BlockTokens : (i+1)*loomcache.BlockTokens])
		n.blockStates = append(n.blockStates, s)
	}
	for i, key := range slices.Backward(n.keys) {
		c.put(now, cachedBlock{key: key, salt: n.request.GetCacheSalt(), version: n.version, state: n.blockStates[i]})
	}
	n.lastState = s.extend(tokens[len(n.keys)*loomcache.BlockTokens:])
}

// emitToken generates the next token and reports whether the run is closed.
func (n *run) emitToken() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer = append(n.answer, n.lastState.tokenAt(len(n.answer)))
	if len(n.answer) >= int(n.request.GetMaxTokens()) {
		n.closed = true
		n.finished = &loompb.Finished{
			AnswerTokens:   uint32(len(n.answer)),
			PromptTokens:   uint32(len(n.request.GetTokens())),
			CachedTokens:   uint32(n.cachedTokens),
			ImportedTokens: uint32(len(n.imported) * loomcache.BlockTokens),
			FailedImports:  uint32(n.failedImports),
		}
	}
	n.notify()
	return n.closed
}

// cancel closes the run, unless it is already closed.
func (n *run) cancel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.canceled = true
		n.closed = true
	}
	n.notify()
}

// notify wakes the streams that wait for a change. The caller must hold n.mu.
func (n *run) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *run) addStream() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openStreams++
}

func (n *run) removeStream(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.openStreams--
	n.idleSince = now
}

// isAbandoned reports whether no stream has read the run for longer than d.
func (n *run) isAbandoned(now time.Time, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openStreams == 0 && now.Sub(n.idleSince) > d
}

func (n *run) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// progressFrom returns the tokens from offset on, the final event if the answer
// is complete, whether the run is closed, and a channel that is closed at the
// next change.
func (n *run) progressFrom(offset int) (tokens []uint32, finished *loompb.Finished, closed bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if offset < len(n.answer) {
		tokens = n.answer[offset:]
	}
	return tokens, n.finished, n.closed, n.changed
}
