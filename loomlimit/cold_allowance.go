package loomlimit

import (
	"math"
	"time"
)

const (
	// coldSpan is the span for which upstreams state how many requests they may get while cold.
	coldSpan = time.Second
	// ColdTransit bounds the time from when a request is counted until it arrives at a cold
	// upstream. It covers a coordinator's answer and a new connection.
	ColdTransit = 400 * time.Millisecond
	// ColdWindow is the span in which the requests to a cold upstream are counted. All that
	// arrive within a second were counted within a ColdWindow.
	ColdWindow = coldSpan + ColdTransit
	// ColdRamp is the time after the cold period in which the allowance grows, and
	// coldRampGrowth what it grows to, as a multiple, before the bound is lifted.
	ColdRamp       = time.Second
	coldRampGrowth = 4
	// maxColdSent bounds the requests that a ColdAllowance remembers. A share beyond it
	// counts as this one.
	maxColdSent = 512
)

// ColdBound bounds the requests that a cold upstream gets from all instances together. It is
// immutable. The zero value bounds nothing.
type ColdBound struct {
	// PerSecond is the rate that the upstream sustains, in requests per second.
	PerSecond float64
	// Over and Slack state the most that may arrive in any second: PerSecond times Over,
	// and Slack requests more.
	Over, Slack float64
}

// IsBound reports whether there is a bound.
func (b ColdBound) IsBound() bool {
	return b.PerSecond > 0
}

// Total returns the number of requests of all instances in any ColdWindow. It is what the
// upstream sustains for so long, and at most what may arrive in a second, since all of
// them may arrive together. The argument is the time since the cold period ended, or
// negative during it; Total is not bounded once ColdRamp has passed.
func (b ColdBound) Total(since time.Duration) int {
	total := math.Floor(min(b.PerSecond*b.Over+b.Slack, max(b.PerSecond*ColdWindow.Seconds(), 1)))
	if since <= 0 {
		return int(total)
	}
	growth := 1 + (coldRampGrowth-1)*min(since.Seconds()/ColdRamp.Seconds(), 1)
	return int(max(total, 1) * growth)
}

// ColdShare returns the part of a total of requests that the holder of a rank has among a
// number of holders. The parts of all ranks add up to the total, and no part grows when
// a holder is added before or after it. If there are more holders than requests, those of
// the last ranks have none.
func ColdShare(total, rank, holders int) int {
	if rank < 0 || rank >= total || holders <= 0 {
		return 0
	}
	return (total - rank + holders - 1) / holders
}

// ColdAllowance counts the requests of one instance to an upstream and bounds them while the
// upstream is cold. It is not safe for concurrent use. The zero value has counted nothing.
type ColdAllowance struct {
	// sent holds the times of the requests of the last ColdWindow, the latest maxColdSent
	// of them in order.
	sent []time.Time
}

// Add counts a request that is about to be sent.
func (a *ColdAllowance) Add(now time.Time) {
	a.trim(now)
	if len(a.sent) >= maxColdSent {
		a.sent = append(a.sent[:0], a.sent[1:]...)
	}
	a.sent = append(a.sent, now)
}

// Wait returns the time until a share of requests in any ColdWindow allows another one, or
// zero if it does now.
func (a *ColdAllowance) Wait(now time.Time, share int) time.Duration {
	a.trim(now)
	share = min(share, maxColdSent)
	if len(a.sent) < share {
		return 0
	}
	if share <= 0 {
		return maxWait
	}
	// A request may be sent once fewer than share are left in the window.
	return max(a.sent[len(a.sent)-share].Add(ColdWindow).Sub(now), time.Millisecond)
}

// trim removes the requests that have left the window. Those at its edge count.
func (a *ColdAllowance) trim(now time.Time) {
	n := 0
	for n < len(a.sent) && now.Sub(a.sent[n]) > ColdWindow {
		n++
	}
	a.sent = append(a.sent[:0], a.sent[n:]...)
}
