package loomgate

import (
	"context"
	"sync"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomkernel"
	"swiftloom/loomupstream"
)

const (
	// watchWait is how long a store holds a call for its events; shorter calls
	// count as probes.
	watchWait = 900 * time.Millisecond
	// watchPause spaces the calls to a busy store, whose events come at once.
	watchPause = 250 * time.Millisecond
	// watchRetry is the pause after a failed call.
	watchRetry = 400 * time.Millisecond
	// watchTimeout bounds a call besides the time that it is held.
	watchTimeout = 500 * time.Millisecond
	// freeInterval is the time between two looks for parts that no request can
	// use any more, freeDelay how long after the last engine changed its weights
	// they are freed: no fetch lasts that long.
	freeInterval = time.Second
	freeDelay    = 5 * time.Second
	// freeBatch bounds the parts of one call.
	freeBatch = 200
)

// stores watches the stores for kept state.
type stores struct {
	gate  *Gate
	index *loomcache.StoreIndex

	mu sync.Mutex
	// watched holds the end of the watch of each address.
	watched map[string]context.CancelFunc
	// engines holds the upstream behind each watched address of an engine.
	engines map[string]string
	// clock is the upstreams' clock minus the steady clock of this process, by
	// the latest event; known tells that it was ever heard.
	clock      time.Duration
	clockKnown bool
	// settledAt is since when all engines have the named weights.
	settledAt time.Time
}

func newStores(g *Gate) *stores {
	return &stores{gate: g, index: loomcache.NewStoreIndex(), watched: make(map[string]context.CancelFunc), engines: make(map[string]string)}
}

// processStart anchors the steady clock of this process.
var processStart = time.Now()

// run watches the stores of the current routing until ctx ends.
func (s *stores) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		s.adopt(ctx, &running)
		s.free(ctx, time.Now())
		if loomkernel.Pause(ctx, freeInterval) != nil {
			return nil
		}
	}
}

// adopt starts the watches of new stores and ends those of old ones.
func (s *stores) adopt(ctx context.Context, running *sync.WaitGroup) {
	routing := s.gate.beliefs.routing()
	var classes []loomcache.StoreClass
	wanted := make(map[string]bool)
	bytes := bytesPerToken(routing)
	for _, store := range routing.Stores() {
		if !store.Managed {
			continue
		}
		wanted[store.Address] = true
		const bitsPerByte = 8
		classes = append(classes, loomcache.StoreClass{
			Address:       store.Address,
			FailureDomain: store.FailureDomain,
			Capacity:      store.MemoryTokens,
			FirstByte:     store.FirstByte,
			PerToken:      time.Duration(bytes * bitsPerByte / max(store.LinkBitsPerSecond, 1) * float64(time.Second)),
		})
	}
	s.index.SetStores(classes)
	engines := s.watchedEngines(routing)
	for address := range engines {
		wanted[address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = engines
	for address, end := range s.watched {
		if !wanted[address] {
			end()
			delete(s.watched, address)
		}
	}
	for address := range wanted {
		if _, ok := s.watched[address]; ok {
			continue
		}
		watch, end := context.WithCancel(ctx)
		s.watched[address] = end
		running.Go(func() { s.watch(watch, address) })
	}
}

// maxWatchedEngines bounds the engines whose events one instance follows. In
// larger fleets the estimate from what was sent stands alone.
const maxWatchedEngines = 24

// watchedEngines returns the engines whose events this instance follows, by
// address.
func (s *stores) watchedEngines(r loomcatalogue.Routing) map[string]string {
	engines := make(map[string]string)
	for _, group := range r.Groups() {
		if group.Engine == nil {
			continue
		}
		for _, u := range s.gate.usable(time.Now(), group.Name) {
			engines[u.Address] = u.ID
		}
	}
	if len(engines) > maxWatchedEngines {
		return nil
	}
	return engines
}

// takeEngine takes in the events of an engine.
func (s *stores) takeEngine(id string, e loomupstream.KeptEvents) uint64 {
	for _, event := range e.Events {
		if event.Gone {
			s.gate.residency.Evicted(id, event.Part.Salt, event.Part.ID)
			continue
		}
		s.gate.residency.Cached(id, event.Part.Salt, event.Part.ID, event.Tokens)
	}
	return e.Next
}

// bytesPerToken returns the size of the kept state of one token.
func bytesPerToken(r loomcatalogue.Routing) float64 {
	for _, g := range r.Groups() {
		if g.Engine != nil && g.Engine.BytesPerToken > 0 {
			return float64(g.Engine.BytesPerToken)
		}
	}
	return 0
}

// watch follows the events of one store.
func (s *stores) watch(ctx context.Context, address string) {
	since := uint64(0)
	down := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, err := s.gate.kept.Watch(call, address, since, watchWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.index.Down(address)
			if !down {
				s.gate.log.Warn("dependency_lost", "dependency", "store", "address", address, "cause", err.Error())
			}
			down = true
			if loomkernel.Pause(ctx, s.gate.jitter(watchRetry)) != nil {
				return
			}
			continue
		}
		if down {
			s.gate.log.Info("dependency_regained", "dependency", "store", "address", address, "epoch", events.Epoch)
		}
		down = false
		since = s.take(time.Now(), address, since, events)
		if len(events.Events) > 0 && loomkernel.Pause(ctx, watchPause) != nil {
			return
		}
	}
}

// take takes in events and returns where to go on.
func (s *stores) take(now time.Time, address string, since uint64, e loomupstream.KeptEvents) uint64 {
	s.mu.Lock()
	engine := s.engines[address]
	s.mu.Unlock()
	if engine != "" {
		return s.takeEngine(engine, e)
	}
	if s.index.Epoch(address) != e.Epoch && since > 0 {
		s.gate.log.Info("store_restarted", "address", address, "epoch", e.Epoch)
		s.index.Restarted(address, e.Epoch)
		return 0
	}
	s.index.Restarted(address, e.Epoch)
	for _, event := range e.Events {
		if event.Gone {
			s.index.Gone(address, event.Part.Salt, event.Part.ID)
			continue
		}
		s.index.Holds(address, event.Part.Salt, event.Part.ID, event.Tokens)
	}
	if e.Clock > 0 {
		s.mu.Lock()
		s.clock = e.Clock - now.Sub(processStart)
		s.clockKnown = true
		s.mu.Unlock()
	}
	return e.Next
}

// fetchUntil returns the time on the upstreams' clock by which a fetch must have
// ended that spares compute, or zero while that clock is not known.
func (s *stores) fetchUntil(now time.Time, compute time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.clockKnown {
		return 0
	}
	return now.Sub(processStart) + s.clock + fetchSlack + 2*compute
}

// fetchSlack is the time that a fetch may take besides twice the time of
// computing: the way to the engine and the setup of a transfer.
const fetchSlack = 120 * time.Millisecond

// free frees the parts that belong to weights that no engine has any more. The
// instance that ranks first does it for all.
func (s *stores) free(ctx context.Context, now time.Time) {
	salts, settled := s.currentSalts(now)
	if !settled {
		s.settledAt = time.Time{}
		return
	}
	if s.settledAt.IsZero() {
		s.settledAt = now
	}
	live := s.gate.peers.live()
	if now.Sub(s.settledAt) < freeDelay || s.gate.Stopping() || live[0] != s.gate.settings.ID {
		return
	}
	for _, store := range s.gate.beliefs.routing().Stores() {
		s.freeAt(ctx, store.Address, salts)
	}
}

func (s *stores) freeAt(ctx context.Context, address string, salts []string) {
	old := s.index.Outdated(address, salts, freeBatch)
	if len(old) == 0 {
		return
	}
	parts := make([]loomupstream.KeptPart, 0, len(old))
	for _, p := range old {
		parts = append(parts, loomupstream.KeptPart{Salt: p.Salt, ID: p.ID})
	}
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	err := s.gate.kept.Free(call, address, s.index.Epoch(address), parts)
	if err != nil {
		s.gate.log.Warn("free_failed", "address", address, "parts", len(parts), "cause", err.Error())
		return
	}
	for _, p := range old {
		s.index.Gone(address, p.Salt, p.ID)
	}
	s.gate.log.Info("parts_freed", "address", address, "parts", len(parts))
}

// currentSalts returns the beginnings of the salts that requests use, and
// whether all engines have the named weights.
func (s *stores) currentSalts(now time.Time) ([]string, bool) {
	routing := s.gate.beliefs.routing()
	wishes := s.gate.beliefs.wishes()
	var salts []string
	engines := 0
	for _, group := range routing.Groups() {
		if group.Engine == nil {
			continue
		}
		for _, model := range group.Engine.Models {
			for _, u := range s.gate.usable(now, group.Name) {
				engines++
				if u.Version(model) < wishes[model] {
					return nil, false
				}
				salts = append(salts, modelSalt(model, u.Version(model)))
			}
		}
	}
	return salts, engines > 0
}
