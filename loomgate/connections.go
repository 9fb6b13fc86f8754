package loomgate

import "time"

const (
	// connectionShare is the share of the connections that an upstream accepts that
	// requests of all instances may use. The rest is left for idle connections,
	// event watches and orders.
	connectionShare = 0.8
	// freeConnectionShare is the share of those up to which instances use
	// connections as they need them. Beyond it, each keeps to an equal part, since it
	// hears only later what the others have opened.
	freeConnectionShare = 0.5
	// durationPerAge is the expected duration of a request divided by the mean age of
	// those in flight.
	durationPerAge = 2
)

// connectionDelay returns how long requests to an upstream, at which a number of
// requests of all instances are in flight, are held for a connection.
func (q *placementQuery) connectionDelay(now time.Time, upstream string, outstanding int) limitDelay {
	usable := float64(q.group.MaxConnections) * connectionShare
	if usable <= 0 || float64(outstanding) < usable*freeConnectionShare {
		return limitDelay{}
	}
	deciders := q.gate.limits.parts.ids(now)
	own := q.gate.fleet.Outstanding(now, upstream, deciders)
	if float64(own) < max(usable/float64(max(len(deciders), 1)), 1) {
		return limitDelay{}
	}
	// One of the requests in flight ends in each interval.
	interval := max(durationPerAge*q.gate.fleet.MeanAge(now, upstream)/time.Duration(max(own, 1)), queueInterval)
	return limitDelay{wait: interval, interval: interval}
}
