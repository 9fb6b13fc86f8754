package loomschedule

import (
	"math"
	"time"
)

const (
	// rankRatio is how many requests of the next rank one request is worth. It also bounds
	// how far the work of requests and the shares of accounts change the order, so that these
	// alone never put a rank before a more urgent one.
	rankRatio = 10
	// onTimeValue and answerValue are what a caller loses if its request starts too late for
	// its objective, and what it loses further if the request does not start before the caller
	// leaves. A late answer is worth half of one on time.
	onTimeValue = 0.5
	answerValue = 0.5
	// minHorizon is the least horizon of urgency: the time between two checks of a list, in
	// which a request that is not chosen falls behind in any case.
	minHorizon = 20 * time.Millisecond
)

// Waiter is a request that waits until an upstream has capacity for it. It is immutable.
type Waiter struct {
	ID string
	// Rank is the priority class; lower ranks are more urgent.
	Rank int
	// Account is the client account, or empty if it is not known.
	Account string
	Arrived time.Time
	// Due is the latest start time that still meets the latency objective.
	Due time.Time
	// Until is the latest start time at which the request is still worth serving; a request
	// that waits past it expires.
	Until time.Time
	// Work is the time for which the request occupies an upstream: that to compute the prompt
	// tokens that are not cached, and its share of the time to generate the output.
	Work time.Duration
}

// isLate reports whether the request can no longer meet its objective.
func (w Waiter) isLate(now time.Time) bool {
	return w.Due.Before(now)
}

// shortage is the time in which the upstreams complete the work that waits: that of the requests
// which can still meet their objectives, and that of all.
type shortage struct {
	onTime, all time.Duration
}

// urgency returns the logarithm of the value that the request loses if others go first. A step of
// the value counts in full if the time left until it is shorter than that for the work which
// waits, and less and less if it is longer. The logarithm keeps requests comparable of which
// none is urgent.
func (w Waiter) urgency(now time.Time, s shortage) float64 {
	answer := math.Log(answerValue) - excess(w.Until.Sub(now), s.all)
	if w.isLate(now) {
		return answer
	}
	onTime := math.Log(onTimeValue) - excess(w.Due.Sub(now), s.onTime)
	return max(answer, onTime) + math.Log1p(math.Exp(-math.Abs(answer-onTime)))
}

// excess returns how much longer slack is than horizon, in units of horizon.
func excess(slack, horizon time.Duration) float64 {
	over := max(slack-horizon, 0)
	return float64(over) / float64(max(horizon, minHorizon))
}

// rankWeight returns the logarithm of the weight of a rank.
func rankWeight(rank int) float64 {
	return -float64(rank) * math.Log(rankRatio)
}

// logWork returns the logarithm of the work of a request.
func (w Waiter) logWork() float64 {
	return math.Log(max(w.Work, time.Microsecond).Seconds())
}

// boundPreference bounds what work and account shares add to the weight of a request.
func boundPreference(preference float64) float64 {
	limit := math.Log(rankRatio) / 2
	return min(max(preference, -limit), limit)
}
