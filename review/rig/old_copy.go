package main

import (
	"syscall"
	"time"
)

const (
	// copyAge is how old the copy is from which the store returns, and copyAway how long it is
	// away before.
	copyAge  = 5 * time.Second
	copyAway = 200 * time.Millisecond
	// stopAfter is the time from the naming of new weights until their first holder is stopped.
	stopAfter = 3700 * time.Millisecond
)

// oldCopy: an instance is stopped and started again, as planned. Meanwhile the store returns from
// a copy that is some seconds old, in which that instance still holds the rollout lease.
func oldCopy() bool {
	s := newSite(12, defaultKVTokens)
	var all []*gate
	byName := make(map[string]*gate)
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		g := newGate(name, "hala-nport", defaultMemoryMB, s.store.listen(openDoor{}))
		all = append(all, g)
		byName[name] = g
	}
	first, second := make(chan string, 1), make(chan string, 1)
	var firstHolder, secondHolder string
	for _, r := range s.runners {
		saw := r.saw
		r.saw = func(a arrival) {
			saw(a)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case firstHolder == "":
				firstHolder = a.order.Holder
				first <- a.order.Holder
			case a.order.Holder != firstHolder && secondHolder == "":
				secondHolder = a.order.Holder
				second <- a.order.Holder
			}
		}
		r.start()
	}
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(3 * time.Second)
	copies := make(chan storeCopy, 1000)
	go func() {
		for {
			copies <- s.store.copyOf()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.name(2)
	stopped := byName[await(first, "first order")]
	time.Sleep(stopAfter)
	stopped.signal(syscall.SIGTERM)
	<-stopped.ended
	await(second, "first order of another holder")
	// The runner that got it loads weights, so the others get the requests.
	time.Sleep(300 * time.Millisecond)
	var running []*gate
	for _, g := range all {
		if g != stopped {
			running = append(running, g)
		}
	}
	s.press(running, streamsPerRunner*(len(s.runners)-1))
	if trouble {
		taken := len(copies)
		var older storeCopy
		for range max(taken-int(copyAge/(100*time.Millisecond)), 1) {
			older = <-copies
		}
		s.store.setAway(true)
		time.Sleep(copyAway)
		s.store.returnFrom(older)
		record("store: has returned from a copy of version %d, about %s old", older.ver, copyAge)
		// The operator writes again what the store may have lost.
		s.writeManifest(1)
		s.name(2)
	}
	stopped.start()
	s.awaitVersion(2)
	time.Sleep(300 * time.Millisecond)
	s.name(3)
	time.Sleep(8 * time.Second)
	return s.holdersTakeTurns()
}

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
