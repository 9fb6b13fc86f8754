package loomgate

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomupstream"
)

const (
	// watchHoldTime is how long a store holds a watch call open until it has
	// events. Stores treat shorter calls as probes.
	watchHoldTime = 900 * time.Millisecond
	// busyWatchPause separates the calls to a busy store, whose events would
	// otherwise be answered at once. busyWatchSpacing is the least time for each
	// watch, which bounds the calls of an instance that has many.
	busyWatchPause   = 250 * time.Millisecond
	busyWatchSpacing = 6 * time.Millisecond
	// watchRetryDelay is the mean pause after a failed call.
	watchRetryDelay = 400 * time.Millisecond
	// watchStartDelay is how long the watches wait for the instance rows, which
	// tell whether this instance is to watch.
	watchStartDelay = 1500 * time.Millisecond
	// busyStoreDelay is the mean pause after a call that was refused because
	// others watch the store.
	busyStoreDelay = 2 * time.Second
	// watchTimeout bounds a call in addition to the time that the store holds
	// it open.
	watchTimeout = 500 * time.Millisecond
	// freeInterval is the time between two updates of the watches and checks of
	// the stores for parts that no request can use any more. Such parts are
	// freed freeDelay after the last engine has left their weights, when no
	// fetch of them can still be running.
	freeInterval = time.Second
	freeDelay    = 3 * time.Second
	// freeBatch bounds the parts that are freed in one call.
	freeBatch = 200
)

// storeWatcher follows the events of the KV cache stores, and those of the
// engines in small fleets.
type storeWatcher struct {
	gate  *Gate
	index *loomcache.StoreIndex

	mu sync.Mutex
	// watched holds the function that stops the watch of each address.
	watched map[string]context.CancelFunc
	// engineIDs holds the upstream ID for each watched address of an engine.
	engineIDs map[string]string
	// clockOffset is the upstreams' shared clock minus the monotonic time since
	// processStart, from the latest event. hasClock is set once it is known.
	clockOffset time.Duration
	hasClock    bool
	// saltSeenAt holds, for the prefix of each salt, when requests could last use
	// it. saltsKnownSince is when the first one was recorded. Only run uses them.
	saltSeenAt      map[string]time.Time
	saltsKnownSince time.Time
}

func newStoreWatcher(g *Gate) *storeWatcher {
	return &storeWatcher{gate: g, index: loomcache.NewStoreIndexOf(g.settings.memoryShare(storeIndexShare)), watched: make(map[string]context.CancelFunc), engineIDs: make(map[string]string), saltSeenAt: make(map[string]time.Time)}
}

// processStart is the origin of this process's monotonic time.
var processStart = time.Now()

// run keeps the watches in line with the current routing and frees obsolete
// parts until ctx ends.
func (s *storeWatcher) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	if !s.gate.peers.waitForRows(ctx, watchStartDelay) {
		return nil
	}
	for {
		s.updateWatches(ctx, &running)
		s.freeObsolete(ctx, time.Now())
		if loomkernel.Sleep(ctx, freeInterval) != nil {
			return nil
		}
	}
}

// updateWatches starts watches of new stores and engines and stops those of
// removed ones. Stores in evacuated failure domains count as removed.
func (s *storeWatcher) updateWatches(ctx context.Context, running *sync.WaitGroup) {
	routing := s.gate.view.routing()
	var classes []loomcache.StoreClass
	wanted := make(map[string]bool)
	bytes := bytesPerToken(routing)
	for _, store := range routing.Stores() {
		if !store.IsManaged || s.gate.view.isEvacuated(store.FailureDomain) {
			continue
		}
		wanted[store.Address] = true
		const bitsPerByte = 8
		classes = append(classes, loomcache.StoreClass{
			Address:       store.Address,
			FailureDomain: store.FailureDomain,
			Capacity:      store.MemoryTokens,
			FirstByte:     store.FirstByteLatency,
			PerToken:      time.Duration(bytes * bitsPerByte / max(store.LinkBitsPerSecond, 1) * float64(time.Second)),
		})
	}
	s.index.SetStores(classes)
	engines := s.watchedEngines(routing)
	for address := range engines {
		wanted[address] = true
	}
	if !s.gate.coordinators.isCoordinator() {
		clear(wanted)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineIDs = engines
	for address, stop := range s.watched {
		if !wanted[address] {
			stop()
			delete(s.watched, address)
		}
	}
	for address := range wanted {
		if _, ok := s.watched[address]; ok {
			continue
		}
		watch, stop := context.WithCancel(ctx)
		s.watched[address] = stop
		running.Go(func() { s.watch(watch, address) })
	}
}

// maxWatchedEngines bounds the engines whose events one instance follows. In
// larger fleets the cache contents are estimated only from the requests that
// were sent.
const maxWatchedEngines = 24

// watchedEngines returns the IDs of the engines whose events this instance
// follows, keyed by address.
func (s *storeWatcher) watchedEngines(r loomcatalogue.Routing) map[string]string {
	engines := make(map[string]string)
	for _, group := range r.Groups() {
		if group.Engine == nil {
			continue
		}
		for _, u := range s.gate.usableUpstreams(time.Now(), group.Name) {
			engines[u.Address] = u.ID
		}
	}
	if len(engines) > maxWatchedEngines && s.gate.coordinators.elected() == nil {
		return nil
	}
	return engines
}

// applyEngineEvents applies the events of an engine and returns the number
// after which the next call continues.
func (s *storeWatcher) applyEngineEvents(id string, e loomupstream.KVEvents) uint64 {
	for _, event := range e.Events {
		if event.Gone {
			s.gate.residency.Evicted(id, event.Part.Salt, event.Part.ID)
			continue
		}
		s.gate.residency.Cached(id, event.Part.Salt, event.Part.ID, event.Tokens)
	}
	return e.Next
}

// bytesPerToken returns the size of the KV cache of one token in bytes, or zero
// if no engine class states it.
func bytesPerToken(r loomcatalogue.Routing) float64 {
	for _, g := range r.Groups() {
		if g.Engine != nil && g.Engine.BytesPerToken > 0 {
			return float64(g.Engine.BytesPerToken)
		}
	}
	return 0
}

// watch follows the events of one store or engine until ctx ends.
func (s *storeWatcher) watch(ctx context.Context, address string) {
	since := uint64(0)
	isDown := false
	var answeredAt time.Time
	for ctx.Err() == nil {
		if loomkernel.Sleep(ctx, s.holdOff(time.Now(), address)) != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, watchHoldTime+watchTimeout)
		events, err := s.gate.kvStores.Watch(call, address, since, watchHoldTime)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.hear(time.Now(), address, events.Said)
		if errors.Is(err, loomupstream.ErrBusy) {
			// The store has all the watches that it accepts. This is no outage,
			// but without events a restart of the store would go unnoticed.
			if time.Since(answeredAt) > watchHoldTime+watchTimeout {
				s.index.MarkDown(address)
			}
			if loomkernel.Sleep(ctx, s.gate.jitter(busyStoreDelay)) != nil {
				return
			}
			continue
		}
		if err != nil {
			s.index.MarkDown(address)
			if !isDown {
				s.gate.log.Warn("dependency_lost", "dependency", "store", "address", address, "cause", err.Error())
			}
			isDown = true
			if loomkernel.Sleep(ctx, s.gate.jitter(watchRetryDelay)) != nil {
				return
			}
			continue
		}
		if isDown {
			s.gate.log.Info("dependency_regained", "dependency", "store", "address", address, "epoch", events.Epoch)
		}
		isDown = false
		answeredAt = time.Now()
		since = s.applyEvents(time.Now(), address, since, events)
		if len(events.Events) > 0 && loomkernel.Sleep(ctx, s.busyPause()) != nil {
			return
		}
	}
}

// busyPause returns the pause between two calls of a watch that brings events.
func (s *storeWatcher) busyPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(busyWatchPause, time.Duration(len(s.watched))*busyWatchSpacing)
}

// engineAt returns the engine at a watched address, or false if that is a store.
func (s *storeWatcher) engineAt(address string) (loommember.Upstream, bool) {
	s.mu.Lock()
	id := s.engineIDs[address]
	s.mu.Unlock()
	return s.gate.view.upstream(id)
}

// holdOff returns how long the engine at an address wants no calls of this instance.
func (s *storeWatcher) holdOff(now time.Time, address string) time.Duration {
	u, ok := s.engineAt(address)
	if !ok {
		return 0
	}
	return s.gate.holdOffs.wait(now, u)
}

// hear applies what a response to a watch says of the engine at an address.
func (s *storeWatcher) hear(now time.Time, address string, said loomupstream.Statement) {
	if u, ok := s.engineAt(address); ok {
		s.gate.hear(now, u, said, "events")
	}
}

// applyEvents applies events and returns the number after which the next call
// continues.
func (s *storeWatcher) applyEvents(now time.Time, address string, since uint64, e loomupstream.KVEvents) uint64 {
	s.mu.Lock()
	engine := s.engineIDs[address]
	s.mu.Unlock()
	if engine != "" {
		return s.applyEngineEvents(engine, e)
	}
	if s.index.Epoch(address) != e.Epoch && since > 0 {
		s.gate.log.Info("store_restarted", "address", address, "epoch", e.Epoch)
		s.index.SetEpoch(address, e.Epoch)
		return 0
	}
	if len(e.Events) > 0 && e.Next <= since {
		s.gate.log.Warn("events_repeated", "address", address, "since", since, "next", e.Next, "events", len(e.Events))
		return since
	}
	s.index.SetEpoch(address, e.Epoch)
	for _, event := range e.Events {
		if event.Gone {
			s.index.RemovePart(address, event.Part.Salt, event.Part.ID)
			continue
		}
		s.index.AddPart(address, event.Part.Salt, event.Part.ID, event.Tokens)
	}
	if e.Clock > 0 {
		s.mu.Lock()
		s.clockOffset = e.Clock - now.Sub(processStart)
		s.hasClock = true
		s.mu.Unlock()
	}
	return e.Next
}

// fetchDeadline returns the deadline, on the upstreams' shared clock, of a
// fetch that replaces computation of the given length, or zero while that clock
// is unknown.
func (s *storeWatcher) fetchDeadline(now time.Time, compute time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasClock {
		return 0
	}
	return now.Sub(processStart) + s.clockOffset + min(fetchSlack+2*compute, maxFetchTime)
}

// fetchSlack is how long a fetch may take in addition to twice the computation
// that it replaces. It covers the way to the engine and the setup of the
// transfer.
const fetchSlack = 120 * time.Millisecond

// maxFetchTime bounds a fetch, so that it has ended when its part may be freed,
// however slowly the engines compute.
const maxFetchTime = freeDelay - time.Second

// freeObsolete frees the parts that belong to weights that no engine runs any
// more. An engine never returns to older weights, so no request can use them
// again. Nothing is freed by an old list of upstreams, which may lack engines. Only
// the live instance with the lowest ID does this, on behalf of all.
func (s *storeWatcher) freeObsolete(ctx context.Context, now time.Time) {
	prefixes := s.recentSaltPrefixes(now)
	live := s.gate.coordinators.all()
	if live == nil {
		live = s.gate.peers.liveInstances()
	}
	isCurrent := s.gate.view.upstreamsAge(now) < s.gate.maxUpstreamsAge()
	if len(prefixes) == 0 || !isCurrent || s.gate.IsStopping() || live[0] != s.gate.settings.ID {
		return
	}
	for _, store := range s.gate.view.routing().Stores() {
		s.freeObsoleteAt(ctx, store.Address, prefixes)
	}
}

// recentSaltPrefixes returns the prefixes of the salts that requests use or have
// used within freeDelay. It is empty until the engines have been known for that
// long.
func (s *storeWatcher) recentSaltPrefixes(now time.Time) []string {
	for _, prefix := range s.currentSaltPrefixes(now) {
		s.saltSeenAt[prefix] = now
	}
	if len(s.saltSeenAt) == 0 {
		return nil
	}
	if s.saltsKnownSince.IsZero() {
		s.saltsKnownSince = now
	}
	if now.Sub(s.saltsKnownSince) < freeDelay {
		return nil
	}
	var prefixes []string
	for prefix, seenAt := range s.saltSeenAt {
		if now.Sub(seenAt) > freeDelay {
			delete(s.saltSeenAt, prefix)
			continue
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

// freeObsoleteAt frees up to freeBatch parts of one store whose salts have none of
// the prefixes.
func (s *storeWatcher) freeObsoleteAt(ctx context.Context, address string, prefixes []string) {
	outdated := s.index.Outdated(address, prefixes, freeBatch)
	if len(outdated) == 0 {
		return
	}
	parts := make([]loomupstream.KVPart, 0, len(outdated))
	for _, p := range outdated {
		parts = append(parts, loomupstream.KVPart{Salt: p.Salt, ID: p.ID})
	}
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	err := s.gate.kvStores.Free(call, address, s.index.Epoch(address), parts)
	if err != nil {
		s.gate.log.Warn("free_failed", "address", address, "parts", len(parts), "cause", err.Error())
		return
	}
	for _, p := range outdated {
		s.index.RemovePart(address, p.Salt, p.ID)
	}
	s.gate.log.Info("parts_freed", "address", address, "parts", len(parts))
}

// currentSaltPrefixes returns the prefixes of the salts of the weights that
// engines run and of the target versions.
func (s *storeWatcher) currentSaltPrefixes(now time.Time) []string {
	routing := s.gate.view.routing()
	targets := s.gate.view.targetVersions()
	var prefixes []string
	for _, group := range routing.Groups() {
		if group.Engine == nil {
			continue
		}
		for _, model := range group.Engine.Models {
			for _, u := range s.gate.usableUpstreams(now, group.Name) {
				prefixes = append(prefixes, modelSalt(model, u.Version(model)), modelSalt(model, targets[model]))
			}
		}
	}
	return prefixes
}
