package loomstandin

import (
	"slices"
	"sync"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loompb"
)

// run is one prompt in an engine.
type run struct {
	request *loompb.GenerateRequest
	keys    []loomcache.Key
	version uint64
	arrived time.Time

	// The engine's step loop alone uses the fields up to mu.
	prefix      []state
	last        state
	prefillLeft int
	cached      int
	imported    map[loomcache.Key]state
	failed      int

	mu sync.Mutex
	// answer only grows; closed is set once, after the last token.
	answer   []uint32
	finished *loompb.Finished
	closed   bool
	canceled bool
	// streams counts the open streams; idleSince is when it fell to zero.
	streams   int
	idleSince time.Time
	// signal is closed and replaced whenever a field under mu changes.
	signal chan struct{}
}

func newRun(r *loompb.GenerateRequest, version uint64, now time.Time) *run {
	n := &run{
		request:   r,
		version:   version,
		arrived:   now,
		imported:  make(map[loomcache.Key]state),
		idleSince: now,
		signal:    make(chan struct{}),
	}
	for _, b := range r.GetBlockKeys() {
		if k, ok := loomcache.KeyFrom(b); ok {
			n.keys = append(n.keys, k)
		}
	}
	return n
}

// begin finds the longest prefix in the cache or among the imports.
func (n *run) begin(c *prefixCache) {
	salt := n.request.GetCacheSalt()
	n.last = initialState(salt, n.request.GetModel(), n.version)
	for _, key := range n.keys {
		s, ok := c.get(key, salt, n.version)
		if !ok {
			s, ok = n.imported[key]
		}
		if !ok {
			break
		}
		n.prefix = append(n.prefix, s)
		n.last = s
	}
	n.cached = len(n.prefix) * loomcache.BlockTokens
	n.prefillLeft = max(len(n.request.GetTokens())-n.cached, 1)
}

// complete computes the blocks that were missing and puts all of them in the
// cache, the first one last, so that a prefix is evicted from its end.
func (n *run) complete(c *prefixCache, now time.Time) {
	tokens := n.request.GetTokens()
	s := n.last
	for i := len(n.prefix); i < len(n.keys); i++ {
		s = s.extend(tokens[i*loomcache.BlockTokens : (i+1)*loomcache.BlockTokens])
		n.prefix = append(n.prefix, s)
	}
	for i, key := range slices.Backward(n.keys) {
		c.put(now, cachedBlock{key: key, salt: n.request.GetCacheSalt(), version: n.version, state: n.prefix[i]})
	}
	n.last = s.extend(tokens[len(n.keys)*loomcache.BlockTokens:])
}

// emit adds the next token and reports whether the answer is complete.
func (n *run) emit() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer = append(n.answer, n.last.answerToken(len(n.answer)))
	if len(n.answer) >= int(n.request.GetMaxTokens()) {
		n.closed = true
		n.finished = &loompb.Finished{
			AnswerTokens:   uint32(len(n.answer)),
			PromptTokens:   uint32(len(n.request.GetTokens())),
			CachedTokens:   uint32(n.cached),
			ImportedTokens: uint32(len(n.imported) * loomcache.BlockTokens),
			FailedImports:  uint32(n.failed),
		}
	}
	n.wake()
	return n.closed
}

func (n *run) cancel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.canceled = true
		n.closed = true
	}
	n.wake()
}

func (n *run) wake() {
	close(n.signal)
	n.signal = make(chan struct{})
}

func (n *run) attach() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams++
}

func (n *run) detach(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams--
	n.idleSince = now
}

// abandoned reports whether nobody has read the run for longer than d.
func (n *run) abandoned(now time.Time, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.streams == 0 && now.Sub(n.idleSince) > d
}

func (n *run) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// from returns the tokens after an offset, the end if it has come, and a
// channel that is closed at the next change.
func (n *run) from(offset int) (tokens []uint32, finished *loompb.Finished, closed bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if offset < len(n.answer) {
		tokens = n.answer[offset:]
	}
	return tokens, n.finished, n.closed, n.signal
}
