package main

import (
	"fmt"
	"sync"
	"time"
)

// defaultKVTokens is the memory of a runner at cumy-gdansk.
const defaultKVTokens = 179183

// leaseMs is the bound lease_ms of the rule ONE.
const leaseMs = 3000 * time.Millisecond

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
	s.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	for i := range n {
		r := &runner{
			id: fmt.Sprintf("i-%02d", i+1), service: "llm-port", zone: "hala-nport", store: s.store,
			load: 1300 * time.Millisecond, named: s.newest, saw: s.saw,
		}
		s.runners = append(s.runners, r)
	}
	return s
}

func (s *site) writeManifest(version int) {
	s.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "cumy.example", "prefix": "/skrot/", "kind": "streaming", "timeout_ms": 12000, "goal_ms": 400,
			"priority": 1, "service": "llm-port", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300,
		}, {
			"name": "r-2", "host": "cumy.example", "prefix": "/szkic/", "kind": "streaming", "timeout_ms": 15000, "goal_ms": 600,
			"priority": 2, "service": "llm-port", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "llm-port", "health_path": "/healthz", "max_conns": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv_tokens": s.kvTokens, "kv_bytes": 35136, "link_mbps": 260000, "managed": true, "stride": 6,
				"max_inflight": 12, "models": []map[string]any{{"name": modelName}},
			},
		}},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "pulo", "api_keys": []string{"fqasnmgkcuyj8pjbvk9m"}, "priority": 1}},
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
	s.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": version})
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

// holdersTakeTurns reports whether a runner has got orders of two machines within leaseMs, or a
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
		if gap < leaseMs || a.order.Fence <= before.order.Fence {
			isBroken = true
		}
	}
	return isBroken
}

// apiKey is a key of the manifests.
const apiKey = "fqasnmgkcuyj8pjbvk9m"

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
