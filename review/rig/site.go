package main

import (
	"fmt"
	"sync"
	"time"
)

// defaultKVTokens is the memory of a runner at cumy-gdansk.
const defaultKVTokens = 179183

// leaseTime is the bound lease_ms of the rule ONE.
const leaseTime = 3 * time.Second

// site is a small deployment: a store, runners of one model and gates in one zone.
type site struct {
	store   *store
	runners []*runner
	// kvTokens is the memory of a runner.
	kvTokens int

	mu       sync.Mutex
	named    uint64
	arrivals []arrival
}

// newSite returns a site with a manifest and n runners, which have version 1 of their weights and
// memory for a number of tokens.
func newSite(n, kvTokens int) *site {
	s := &site{store: newStore(), kvTokens: kvTokens, named: 1}
	s.writeManifest(1)
	s.store.put("op", "version/"+modelName, namedVersion{Model: modelName, Version: 1})
	for i := range n {
		r := &runner{
			id: fmt.Sprintf("i-%02d", i+1), service: modelGroup, store: s.store,
			load: 1300 * time.Millisecond, named: s.newest, saw: s.saw,
		}
		s.runners = append(s.runners, r)
	}
	return s
}

// writeManifest writes a manifest with routes to the model's runners, of which one may be resumed.
func (s *site) writeManifest(version int) {
	s.store.put("op", "config", manifest{
		Version: version,
		Routes: []route{
			{Name: "r-1", Host: hostName, Prefix: "/skrot/", Kind: "streaming", Timeout: 12000, Goal: 400, Priority: 1, Service: modelGroup, Attempts: 2, Sticky: true, Resumable: true, GapTarget: 300},
			{Name: "r-2", Host: hostName, Prefix: "/szkic/", Kind: "streaming", Timeout: 15000, Goal: 600, Priority: 2, Service: modelGroup, Attempts: 1, Sticky: true, GapTarget: 300},
		},
		Services: []service{{
			Name: modelGroup, HealthPath: healthPath, MaxConns: 620, Protocol: "h1",
			Engine: &engine{Slots: 128, KVTokens: s.kvTokens, KVBytes: 35136, LinkMbps: 260000, Managed: true, Stride: 6, MaxInflight: 12, Models: []modelID{{Name: modelName}}},
		}},
		Limits:  siteLimits,
		Tenants: []tenant{{Name: "pulo", APIKeys: []string{keptKey}, Priority: 1}},
	})
}

// newest returns the newest version of the weights that was named.
func (s *site) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.named
}

// name names new weights.
func (s *site) name(version uint64) {
	s.mu.Lock()
	s.named = version
	s.mu.Unlock()
	s.store.put("op", "version/"+modelName, namedVersion{Model: modelName, Version: version})
	record("operator names version %d", version)
}

// awaitVersion waits until all runners have a version of the weights.
func (s *site) awaitVersion(version uint64) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := 0
		for _, r := range s.runners {
			r.mu.Lock()
			if r.version >= version {
				n++
			}
			r.mu.Unlock()
		}
		if n == len(s.runners) {
			return
		}
	}
	fail("not all runners have version %d within 30 s", version)
}

// saw records an order that has reached a runner.
func (s *site) saw(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
	record("runner %s gets an order from holder %s: version %d, fence %d; answer %s", a.runner, a.order.Holder, a.order.Version, a.order.Fence, a.answer)
}

// holdersTakeTurns reports whether a runner has got orders of two machines within leaseTime, or a
// lower fencing token after a higher one, or one token from two machines.
func (s *site) holdersTakeTurns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isBroken := false
	latest := make(map[string]arrival)
	for _, a := range s.arrivals {
		before, ok := latest[a.runner]
		latest[a.runner] = a
		if !ok || before.order.Holder == a.order.Holder {
			continue
		}
		gap := a.at.Sub(before.at)
		record("runner %s: order of %s (fence %d), %d ms after one of %s (fence %d)", a.runner, a.order.Holder, a.order.Fence, gap.Milliseconds(), before.order.Holder, before.order.Fence)
		if gap < leaseTime || a.order.Fence <= before.order.Fence {
			isBroken = true
		}
	}
	return isBroken
}

// keptKey is a key of all manifests.
const keptKey = "fqasnmgkcuyj8pjbvk9m"

// await returns what a channel receives within 30 s.
func await(c <-chan string, what string) string {
	select {
	case v := <-c:
		return v
	case <-time.After(30 * time.Second):
		fail("no %s within 30 s", what)
		return ""
	}
}

// newGates returns three gates, each with a door of its own to the store, which newDoor makes.
func (s *site) newGates(newDoor func(machine string) door) []*gate {
	var all []*gate
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		all = append(all, newGate(name, defaultMemoryMB, s.store.listen(newDoor(name))))
	}
	return all
}

// startGates starts gates and waits until they are ready.
func startGates(all []*gate) {
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady()
	}
}

// firstHolder returns a channel that receives the holder of the first order to r.
func firstHolder(r *runner) <-chan string {
	first := make(chan string, 1)
	saw := r.saw
	r.saw = func(a arrival) {
		saw(a)
		select {
		case first <- a.order.Holder:
		default:
		}
	}
	return first
}
