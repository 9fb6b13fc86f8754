package loomcache

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retireShare is the part of a store that is filled when the parts that were
	// not used for longest are retired, and keepShare what is left of it then.
	// What lies between retireShare and fullShare takes the saves of the time
	// until they are free: a twentieth of a store a second was measured.
	retireShare = 0.75
	keepShare   = 0.6
	// leastIdle is how long a part that is retired was not used at least.
	leastIdle = 3 * time.Second
)

// Retire returns the time before which parts of a store must have been last used
// to be freed, so that there is room for new ones. It reports false while there
// is room, or while all parts were used of late.
//
// A store drops nothing on its own and does not know who reads from it, so parts
// are freed in two steps: all instances are told to fetch them no more, and once
// all have heard it and the last fetch has ended they are freed.
func (s *StoreIndex) Retire(now time.Time, address string) (time.Time, bool) {
	p := s.store(address)
	if p == nil {
		return time.Time{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := float64(p.class.Capacity)
	if !p.up || float64(p.used) < capacity*retireShare {
		return time.Time{}, false
	}
	parts := make([]storedPart, 0, len(p.parts))
	for _, part := range p.parts {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b storedPart) int {
		return cmp.Or(a.usedAt.Compare(b.usedAt), cmp.Compare(a.tokens, b.tokens))
	})
	var before time.Time
	left := p.used
	for _, part := range parts {
		if float64(left) < capacity*keepShare || now.Sub(part.usedAt) < leastIdle {
			break
		}
		left -= part.tokens
		before = part.usedAt.Add(1)
	}
	return before, !before.IsZero()
}

// SetRetired makes a store's parts that were last used before a time no source
// any more. The zero time ends that: what was to be freed is, or is kept.
func (s *StoreIndex) SetRetired(address string, before time.Time) {
	if p := s.store(address); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.retired = before
	}
}

// Idle returns the parts of a store that were last used before a time, at most
// limit of them.
func (s *StoreIndex) Idle(address string, before time.Time, limit int) []PartAt {
	p := s.store(address)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []PartAt
	for n, part := range p.parts {
		if len(idle) >= limit {
			break
		}
		if part.usedAt.Before(before) {
			idle = append(idle, PartAt{Salt: n.salt, ID: n.id})
		}
	}
	return idle
}
