// Package loomturn decides when the instances of a fleet ask for news of which they may have lost
// the notice, so that one of them asks in each interval and tells the others.
package loomturn

import "time"

// Schedule holds the times at which the instances of a fleet take turns. It is immutable.
type Schedule struct {
	// Interval is the time between the turns of two instances. It is above zero.
	Interval time.Duration
	// MaxCycle bounds the time between two turns of one instance. It is no less than Interval.
	MaxCycle time.Duration
}

// Cycle returns the time between two turns of an instance in a fleet of n.
func (s Schedule) Cycle(n int) time.Duration {
	return min(time.Duration(max(n, 1))*s.Interval, s.MaxCycle)
}

// Wait returns the time from a reading of a clock that all instances share until the next turn of
// the instance that ranks as rank, from zero, among n. Turns that are due in less than a quarter
// of the interval are left out: the instance asks now.
func (s Schedule) Wait(clock time.Duration, rank, n int) time.Duration {
	cycle := s.Cycle(n)
	turn := cycle * time.Duration(rank) / time.Duration(max(n, 1))
	wait := (turn - clock) % cycle
	if wait < 0 {
		wait += cycle
	}
	const leastPart = 4
	if wait < s.Interval/leastPart && wait < cycle/2 {
		wait += cycle
	}
	return wait
}
