package loomgate

import (
	"sync"
	"time"
)

// pace keeps how long the engines of each group take for one token of a prompt,
// with what decoding and the work of others add to it.
type pace struct {
	mu     sync.Mutex
	groups map[string]time.Duration
}

func (p *pace) tokenTime(group string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.groups[group]; ok {
		return t
	}
	return defaultTokenTime
}

const (
	// paceFixed is the time to a first token besides the work before it.
	paceFixed = 50 * time.Millisecond
	// paceLeast is the least expected work from which the pace is learnt.
	paceLeast = 20 * time.Millisecond
	// paceWeight is the weight of one observation.
	paceWeight = 0.04
	// paceMost bounds how much slower than at first engines are believed to be.
	paceMost = 1.3
)

// observe takes in that work that was expected to take some time took another.
func (p *pace) observe(group string, expected, took time.Duration) {
	if expected < paceLeast {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1.0/paceMost), paceMost)
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.groups[group]
	if !ok {
		t = defaultTokenTime
	}
	t = time.Duration(float64(t) * (1 + paceWeight*(ratio-1)))
	p.groups[group] = min(max(t, defaultTokenTime), time.Duration(float64(defaultTokenTime)*paceMost))
}

// learnPace takes in the time to the first token of a prompt.
func (g *Gate) learnPace(d *dispatch, now time.Time) {
	if d.req.HasPrompt {
		g.pace.observe(d.req.group.Name, d.choice.Expected, now.Sub(d.sentAt)-paceFixed)
	}
}
