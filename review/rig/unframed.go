package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the gate is stopped, and downTime how long the runner is down.
	freezeTime = 1700 * time.Millisecond
	downTime   = time.Second
	// eventsBefore is the number of events that the client has when the disruption begins.
	eventsBefore = 5
	// streamCount is the number of streams of a run, of which one has no length: 0.05 of them.
	streamCount = 20
)

// unframed: a gate is frozen for a moment. Meanwhile a runner that sends a stream without a length
// is killed and starts again.
func unframed() bool {
	s := newSite(0, defaultKVTokens)
	var mu sync.Mutex
	var runners []*child
	for i := range 4 {
		runners = append(runners, &child{id: fmt.Sprintf("i-%02d", i+1), address: freePort()})
	}
	beat := func(c *child) {
		mu.Lock()
		defer mu.Unlock()
		if !c.isDown {
			s.store.put("servers", c.id, c.entry())
		}
	}
	for _, c := range runners {
		c.start()
		beat(c)
		go func() {
			for range time.Tick(heartbeat) {
				beat(c)
			}
		}()
	}
	g := newGate("front-1", defaultMemoryMB, s.store.listen(openDoor{}))
	g.start()
	g.awaitReady()
	time.Sleep(time.Second)
	isBroken := false
	check := func(id string, a answer) {
		record("client: request %s got status %d with %d of %d events, complete %t %s", id, a.status, len(a.events), childEvents, a.complete, a.failure)
		if a.status == http.StatusOK && a.complete && len(a.events) < childEvents {
			mu.Lock()
			isBroken = true
			mu.Unlock()
		}
	}
	var sound sync.WaitGroup
	for i := range streamCount - 1 {
		id := fmt.Sprintf("a%015d", i)
		sound.Go(func() { check(id, stream(g, "/szkic/x", id, func(int, string) {})) })
	}
	sound.Wait()
	id := unframedPrefix + "000000000000001"
	check(id, stream(g, "/szkic/x", id, func(n int, server string) {
		if !trouble || n != eventsBefore {
			return
		}
		g.signal(syscall.SIGSTOP)
		time.Sleep(20 * time.Millisecond)
		c := runners[slices.IndexFunc(runners, func(c *child) bool { return c.id == server })]
		mu.Lock()
		c.isDown = true
		mu.Unlock()
		c.kill()
		time.Sleep(downTime)
		c.start()
		mu.Lock()
		c.isDown = false
		mu.Unlock()
		beat(c)
		time.Sleep(freezeTime - downTime)
		g.signal(syscall.SIGCONT)
	}))
	return isBroken
}
