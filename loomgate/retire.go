package loomgate

import (
	"context"
	"time"

	"swiftloom/loompb"
)

const (
	// retireTimeout is how long all instances may take to hear of a retirement.
	// It is given up after that, since one of them may be gone for good.
	retireTimeout = 30 * time.Second
	// retireSlack is added to the time before which a peer retires parts: what
	// instances tell each other of uses takes up to a second.
	retireSlack = time.Second
	// heardMemory is how long a peer's word that it has heard counts without a new
	// one; peers are called several times a second.
	heardMemory = 2500 * time.Millisecond
	// strangerTime is how long nothing is freed after an instance was heard of
	// that is not on the list: it fetches by its own knowledge.
	strangerTime = 10 * time.Second
)

// retirement is the freeing of parts that were not used for long at one store.
// Instances fetch from stores by their own knowledge, so each has to hear of it
// before parts are freed.
type retirement struct {
	address string
	// before is the time before which the parts were last used.
	before time.Time
	// round is what peers have to have heard.
	round     uint64
	startedAt time.Time
	// heardAt is since when all instances have heard; zero while one has not.
	heardAt time.Time
	// lookedAt is when this was last looked at. A process that was frozen since
	// does not know what others did in between, and waits anew.
	lookedAt time.Time
}

// retire goes on with the freeing of parts that were not used for long. The
// instance that ranks first does it for all.
func (s *stores) retire(ctx context.Context, now time.Time) {
	live := s.gate.peers.live()
	if s.gate.Stopping() || live[0] != s.gate.settings.ID {
		s.retireNothing()
		return
	}
	for _, store := range s.gate.beliefs.routing().Stores() {
		if store.Managed {
			s.retireAt(ctx, now, store.Address)
		}
	}
}

// retireNothing gives up all retirements. Nothing of them was freed, or all that
// was asked for is free.
func (s *stores) retireNothing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.retiring {
		s.endRetirement(address)
	}
}

// endRetirement ends one retirement. The caller holds the lock.
func (s *stores) endRetirement(address string) {
	delete(s.retiring, address)
	s.setRetired(address, s.gate.settings.ID, time.Time{})
}

// setRetired notes the time that an instance told for a store, or that it tells
// none any more. The latest of all instances' holds. The caller holds the lock.
func (s *stores) setRetired(address, instance string, before time.Time) {
	told := s.retired[address]
	if told == nil {
		told = make(map[string]time.Time)
		s.retired[address] = told
	}
	if before.IsZero() {
		delete(told, instance)
	} else {
		told[instance] = before
	}
	latest := time.Time{}
	for _, t := range told {
		if t.After(latest) {
			latest = t
		}
	}
	s.index.SetRetired(address, latest)
}

// retireAt goes on with the retirement at one store, or begins one.
func (s *stores) retireAt(ctx context.Context, now time.Time, address string) {
	s.mu.Lock()
	r, ok := s.retiring[address]
	if !ok {
		s.beginRetirement(now, address)
		s.mu.Unlock()
		return
	}
	heard := s.gate.peers.allHeard(now, r.round)
	gap := now.Sub(r.lookedAt)
	r.lookedAt = now
	switch {
	case !heard || gap > heardMemory:
		r.heardAt = time.Time{}
	case r.heardAt.IsZero():
		r.heardAt = now
	}
	due := !r.heardAt.IsZero() && now.Sub(r.heardAt) >= freeDelay
	if !heard && now.Sub(r.startedAt) > retireTimeout {
		s.gate.log.Warn("retirement_given_up", "address", address, "waited_ms", now.Sub(r.startedAt).Milliseconds())
		s.endRetirement(address)
	}
	s.mu.Unlock()
	if !due {
		return
	}
	idle := s.index.Idle(address, r.before, freeBatch)
	if len(idle) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endRetirement(address)
		return
	}
	s.freeParts(ctx, address, idle)
}

// beginRetirement retires parts of a store that is nearly full. The caller holds
// the lock.
func (s *stores) beginRetirement(now time.Time, address string) {
	before, ok := s.index.Retire(now, address)
	if !ok {
		return
	}
	s.rounds++
	s.retiring[address] = &retirement{address: address, before: before, round: s.rounds, startedAt: now, lookedAt: now}
	s.setRetired(address, s.gate.settings.ID, before)
	used, capacity := s.index.Usage(address)
	s.gate.log.Info("parts_retired", "address", address, "idle_ms", now.Sub(before).Milliseconds(), "used", used, "capacity", capacity)
}

// toldRetirements returns what peers should know, and the latest round in it.
func (s *stores) toldRetirements(now time.Time) ([]*loompb.Retirement, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := make([]*loompb.Retirement, 0, len(s.retiring))
	for address, r := range s.retiring {
		told = append(told, &loompb.Retirement{StoreAddress: address, IdleMs: uint64(max(now.Sub(r.before), 0).Milliseconds())})
	}
	return told, s.rounds
}

// heardRetirements takes in what a peer is about to free. What the same peer no
// longer tells is done.
func (s *stores) heardRetirements(now time.Time, from string, told []*loompb.Retirement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	still := make(map[string]bool, len(told))
	for _, r := range told {
		address := r.GetStoreAddress()
		still[address] = true
		before := now.Add(retireSlack - time.Duration(r.GetIdleMs())*time.Millisecond)
		if before.After(s.retired[address][from]) {
			s.setRetired(address, from, before)
		}
	}
	for address, by := range s.retired {
		if _, ok := by[from]; ok && !still[address] {
			s.setRetired(address, from, time.Time{})
		}
	}
}
