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
	// outputs holds how long a group's engines take for one token of output.
	outputs map[string]time.Duration
}

func newPace() *pace {
	return &pace{groups: make(map[string]time.Duration), outputs: make(map[string]time.Duration)}
}

// runTime returns how long an engine is expected to make an answer of a number
// of tokens.
func (p *pace) runTime(group string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.outputs[group]
	if !ok {
		t = defaultOutputTime
	}
	return time.Duration(tokens) * t
}

// observeRun takes in how long an answer took after its first token.
func (p *pace) observeRun(group string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.outputs[group]
	if !ok {
		t = defaultOutputTime
	}
	// One answer that is much longer than its caller expected counts little.
	seen := min(took/time.Duration(tokens), mostOutputTime)
	p.outputs[group] = t + time.Duration(paceWeight*float64(seen-t))
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
	// defaultOutputTime is the time for one token of output until it was
	// measured: 7 ms with some twenty runs at an engine. mostOutputTime bounds
	// what one answer tells.
	defaultOutputTime = 7 * time.Millisecond
	mostOutputTime    = 50 * time.Millisecond
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

// learnRun takes in how long a complete stream took after its first event.
func (g *Gate) learnRun(d *dispatch, now time.Time) {
	if d.req.HasPrompt {
		g.pace.observeRun(d.req.group.Name, d.req.Prompt.ExpectedOutput, now.Sub(d.firstAt))
	}
}
