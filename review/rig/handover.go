package main

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// orderBefore is the time from SIGTERM, some 2.6 s before the holder ends, until new weights
	// are named, which it orders at once.
	orderBefore = 2300 * time.Millisecond
	// killAfter is the time from the write by which the next holder takes the lease until it is
	// killed, and restartDelay how long after that its process is started again.
	killAfter    = 100 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// watchedDoor tells when its machine writes the row of the lease.
type watchedDoor struct {
	machine string
	written chan string

	mu        sync.Mutex
	isWatched bool
}

// watch begins to tell.
func (d *watchedDoor) watch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isWatched = true
}

func (*watchedDoor) admit(*http.Request, []byte) (performed, answered bool) { return true, true }

func (d *watchedDoor) done(r *http.Request, body []byte, status, _ int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isWatched && status == http.StatusOK && r.URL.Path == "/rows-tx" && bytes.Contains(body, []byte(`"leases/rollout"`)) {
		d.isWatched = false
		d.written <- d.machine
	}
	return true
}

// handover: the holder of the rollout lease is stopped, as planned, and gives the lease back. The
// next holder has to wait before its first order. Its process is killed meanwhile and starts
// again.
func handover() bool {
	s := newSite(1, defaultKVTokens)
	doors := make(map[string]*watchedDoor)
	written := make(chan string, 10)
	all := s.newGates(func(machine string) door {
		doors[machine] = &watchedDoor{machine: machine, written: written}
		return doors[machine]
	})
	byName := make(map[string]*gate)
	for _, g := range all {
		byName[g.name] = g
	}
	r := s.runners[0]
	first := firstHolder(r)
	r.start()
	startGates(all)
	time.Sleep(3 * time.Second)
	s.name(2)
	stopped := byName[await(first, "first order")]
	s.awaitVersion(2)
	time.Sleep(5 * time.Second)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(orderBefore)
	for name, d := range doors {
		if name != stopped.name {
			d.watch()
		}
	}
	s.name(3)
	<-stopped.ended
	next := byName[await(written, "write of the lease by another machine")]
	record("machine %s has taken the lease", next.name)
	if trouble {
		time.Sleep(killAfter)
		next.signal(syscall.SIGKILL)
		<-next.ended
		time.Sleep(restartDelay)
		next.start()
	}
	s.awaitVersion(3)
	time.Sleep(100 * time.Millisecond)
	s.name(4)
	time.Sleep(6 * time.Second)
	return s.holdersTakeTurns()
}
