package main

import (
	"fmt"
	"sort"
	"time"
)

// playLease names new weights twice during a rolling restart of two machines. Before the second
// time, the platform's store returns from a copy that is older than the rollout lease. The machine
// that held the lease is stopping by then; the process on the other one has just started again.
func playLease(s *site, trouble bool) error {
	m, err := s.addRunner("i-7f3a91c0", "model-desk", "model-a")
	if err != nil {
		return err
	}
	m.loadTime = 970 * time.Millisecond
	config := manifest(7, nil)
	s.store.put("op", "config", config)
	nameVersion := func(version uint64) {
		m.mu.Lock()
		m.named[version] = true
		m.mu.Unlock()
		s.store.put("op", "version/model-a", map[string]any{"model": "model-a", fieldVersion: version})
		s.rec.printf("weights %d of model-a named and acknowledged", version)
	}
	nameVersion(1)
	for i, zone := range []string{"half-way-tree", "new-kingston"} {
		g, err := s.newGate(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		if err := s.start(g); err != nil {
			return err
		}
	}
	for _, g := range s.gates {
		if err := s.awaitReady(g); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	restarted, next := s.gates[0], s.gates[1]
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	s.stop(restarted)
	at(900 * time.Millisecond)
	copyAt := time.Now()
	s.rec.printf("the copy of the store is of this moment")
	at(1100 * time.Millisecond)
	nameVersion(2)
	at(2100 * time.Millisecond)
	s.stop(next)
	at(2200 * time.Millisecond)
	if trouble {
		s.store.setAway(true)
		s.rec.printf("the store is away")
	}
	at(2500 * time.Millisecond)
	if trouble {
		s.store.returnFrom(copyAt)
		s.rec.printf("the store is back from a copy that is %.1f s old, in another era", time.Since(copyAt).Seconds())
		s.store.put("op", "config", config)
		nameVersion(2)
		m.register()
	}
	at(2600 * time.Millisecond)
	nameVersion(3)
	for _, g := range []*gateProcess{restarted, next} {
		select {
		case <-g.exited:
		case <-time.After(9 * time.Second):
			return fmt.Errorf("instance %s does not end after SIGTERM", g.node)
		}
		s.rec.printf("instance %s has ended", g.node)
		time.Sleep(200 * time.Millisecond)
		if err := s.start(g); err != nil {
			return err
		}
	}
	if err := await(30*time.Second, func() bool { return loaded([]*modelRunner{m}, 3) == 1 }); err != nil {
		return fmt.Errorf("weights 3: %w", err)
	}
	time.Sleep(time.Second)
	if checkTurns(s.rec, []*modelRunner{m}) > 0 {
		return errBroken
	}
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("nothing within %s", limit)
}

// loaded returns the number of runners that have a version.
func loaded(runners []*modelRunner, version uint64) int {
	n := 0
	for _, m := range runners {
		m.mu.Lock()
		if m.version == version {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// checkTurns returns how often a runner got orders of two machines within the lease time, a
// lower fencing token after a higher one, or one token of two machines.
func checkTurns(rec *record, runners []*modelRunner) int {
	broken := 0
	for _, m := range runners {
		m.mu.Lock()
		orders := append([]order{}, m.orders...)
		m.mu.Unlock()
		sort.Slice(orders, func(i, j int) bool { return orders[i].At.Before(orders[j].At) })
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			gap := b.At.Sub(a.At)
			switch {
			case a.Holder != b.Holder && gap < leaseTime:
				broken++
				rec.printf("ONE: runner %s got an order of %s %.2f s after one of %s (lease_ms %d)", m.id, b.Holder, gap.Seconds(), a.Holder, leaseTime.Milliseconds())
			case a.Holder != b.Holder && a.Fence == b.Fence:
				broken++
				rec.printf("ONE: runner %s got orders of %s and %s with the token %d", m.id, a.Holder, b.Holder, a.Fence)
			case b.Fence < a.Fence:
				broken++
				rec.printf("ONE: runner %s got the token %d after %d", m.id, b.Fence, a.Fence)
			}
		}
	}
	return broken
}
