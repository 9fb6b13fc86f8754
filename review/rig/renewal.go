package main

import (
	"bytes"
	"net/http"
	"sync"
	"time"
)

const (
	// slowTime is how long the store takes slowAnswer for each answer, 60 times as long as usual.
	slowTime   = 4500 * time.Millisecond
	slowAnswer = 240 * time.Millisecond
	// calmTime is the time between that and turnedAwayTime, for which the store leaves the calls
	// of the holder's machine unanswered.
	calmTime       = 350 * time.Millisecond
	turnedAwayTime = 8900 * time.Millisecond
	// slowAfter is the time from the naming of new weights until the store becomes slow.
	slowAfter = 200 * time.Millisecond
	// beforeNaming is the time from the first stream to the first naming of new weights.
	beforeNaming = 3 * time.Second
	// nameAgainAfter is the time from the holder's last renewal until newer weights are named.
	nameAgainAfter = 8600 * time.Millisecond
)

// troubledDoor is the way of one machine to a store that is slow for some time, and that turns the
// machine away for some time.
type troubledDoor struct {
	machine string

	mu                                     sync.Mutex
	slowFrom, slowUntil, goneFrom, goneEnd time.Time
	isTold                                 bool
	// renewals are the times at which writes of the lease were answered.
	renewals []time.Time
}

// lastRenewal returns when the lease was last written before a time.
func (d *troubledDoor) lastRenewal(before time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last time.Time
	for _, at := range d.renewals {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// slow makes the store slow for a time.
func (d *troubledDoor) slow(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowFrom, d.slowUntil = from, from.Add(slowTime)
}

// turnAway leaves the calls of the machine unanswered for a time.
func (d *troubledDoor) turnAway(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.goneFrom, d.goneEnd = from, from.Add(turnedAwayTime)
}

func (d *troubledDoor) admit(*http.Request, []byte) (performed, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !now.Before(d.goneFrom) && now.Before(d.goneEnd) {
		if !d.isTold {
			record("store: turns machine %s away from now on", d.machine)
		}
		d.isTold = true
		return false, false
	}
	return true, true
}

func (d *troubledDoor) done(r *http.Request, body []byte, status, _ int) bool {
	d.mu.Lock()
	now := time.Now()
	if status == http.StatusOK && r.URL.Path == "/rows-tx" && bytes.Contains(body, []byte(`"leases/rollout"`)) {
		d.renewals = append(d.renewals, now)
	}
	isSlow := !now.Before(d.slowFrom) && now.Before(d.slowUntil)
	isGone := !now.Before(d.goneFrom) && now.Before(d.goneEnd)
	d.mu.Unlock()
	if isSlow {
		time.Sleep(slowAnswer)
	}
	return !isGone
}

// renewal: the store is slow for some seconds, and shortly afterwards it turns away the machine
// that holds the rollout lease. New weights are named three times for a model that one runner
// serves: at first, towards the end of the lease, and once more when the runner has them.
func renewal() bool {
	s := newSite(1, defaultKVTokens)
	doors := make(map[string]*troubledDoor)
	all := s.newGates(func(machine string) door {
		doors[machine] = &troubledDoor{machine: machine}
		return doors[machine]
	})
	r := s.runners[0]
	first := firstHolder(r)
	r.start()
	startGates(all)
	time.Sleep(3 * time.Second)
	// The runner finishes its streams before it loads weights.
	s.press(all, 3)
	time.Sleep(beforeNaming)
	s.name(2)
	holder := await(first, "first order")
	time.Sleep(slowAfter)
	slowFrom := time.Now()
	if trouble {
		for _, d := range doors {
			d.slow(slowFrom)
		}
		doors[holder].turnAway(slowFrom.Add(slowTime + calmTime))
		record("store: is slow for %s", slowTime)
	}
	s.awaitVersion(2)
	renewedAt := doors[holder].lastRenewal(slowFrom)
	record("the last renewal of machine %s that the store answered in time was at %.3f", holder, renewedAt.Sub(began).Seconds())
	time.Sleep(time.Until(renewedAt.Add(nameAgainAfter)))
	s.name(3)
	s.awaitVersion(3)
	s.name(4)
	time.Sleep(6 * time.Second)
	return s.holdersTakeTurns()
}
