package loomgate

import (
	"sync"
	"time"
)

// prefillEstimator estimates how long the engines of each group take to process
// one prompt token, including the slowdown by decoding and by other requests.
type prefillEstimator struct {
	mu         sync.Mutex
	tokenTimes map[string]time.Duration
}

// tokenTime returns the estimated time per prompt token in a group.
func (p *prefillEstimator) tokenTime(group string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.tokenTimes[group]; ok {
		return t
	}
	return defaultTokenTime
}

const (
	// firstTokenOverhead is the time to the first token apart from prompt
	// processing.
	firstTokenOverhead = 50 * time.Millisecond
	// minObservedWork is the shortest expected work that updates the estimate.
	minObservedWork = 20 * time.Millisecond
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.04
	// maxSlowdown bounds the estimate relative to defaultTokenTime, and the
	// ratio of actual to expected time of one observation in both directions.
	maxSlowdown = 1.3
)

// observe updates a group's estimate with the expected and the actual time of
// one prompt. The estimate stays between defaultTokenTime and maxSlowdown times
// that.
func (p *prefillEstimator) observe(group string, expected, actual time.Duration) {
	if expected < minObservedWork {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1.0/maxSlowdown), maxSlowdown)
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tokenTimes[group]
	if !ok {
		t = defaultTokenTime
	}
	t = time.Duration(float64(t) * (1 + observationWeight*(ratio-1)))
	p.tokenTimes[group] = min(max(t, defaultTokenTime), time.Duration(float64(defaultTokenTime)*maxSlowdown))
}

// observePrefill updates the estimate with the time to the first token of a
// prompt.
func (g *Gate) observePrefill(d *dispatch, now time.Time) {
	if d.req.HasPrompt {
		g.prefill.observe(d.req.group.Name, d.choice.Expected, now.Sub(d.sentAt)-firstTokenOverhead)
	}
}
