// Package loomload plays a seeded mix of returning prompts and service calls at
// running instances, checks every answer and measures what users measure.
package loomload

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Mix describes a load. It is immutable.
type Mix struct {
	Seed     uint64
	Requests int
	// RequestsPerSecond is the mean rate of an open loop.
	RequestsPerSecond float64
	// ServiceShare is the part of requests that are service calls.
	ServiceShare float64
	// Returns is the mean number of times that a prompt returns, Gap the mean
	// time between, and Growth the mean number of tokens that are added.
	Returns float64
	Gap     time.Duration
	Growth  int
	// PromptTokens is the mean length of a new prompt; SharedTokens is the
	// part that all prompts of an account have in common.
	PromptTokens int
	SharedTokens int
	AnswerTokens int
	// Accounts are those that send, with the weight of each.
	Accounts []Account
	// Tries bounds how often a request is sent; zero means the default.
	Tries   int
	Model   string
	Service string
}

// Account is a sender of requests.
type Account struct {
	Name string
	Key  string
	// Weight is the part of the requests that the account sends.
	Weight float64
}

// Request is one planned request.
type Request struct {
	Number  int
	At      time.Duration
	Account Account
	// Prompt is set for prompts, and Call for service calls.
	Prompt *Prompt
	Call   *Call
}

// Prompt is a planned prompt.
type Prompt struct {
	Text string
	// Tokens is the length, and Fresh the part that was never sent before.
	Tokens    int
	Fresh     int
	MaxTokens int
}

// Call is a planned service call that may not run twice.
type Call struct {
	Job string
	// Key is empty for calls without an idempotency key.
	Key string
	// Ticket tells that the key is a ticket, fetched before the call.
	Ticket bool
	// Twin tells that the same call is sent to a second instance at once.
	Twin bool
}

// conversation is a prompt that returns.
type conversation struct {
	number  int
	account int
	at      time.Duration
	words   []string
	left    int
}

// due orders conversations by their next return.
type due []*conversation

// Len implements heap.Interface.
func (d due) Len() int { return len(d) }

// Less implements heap.Interface.
func (d due) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].number, d[j].number)) < 0
}

// Swap implements heap.Interface.
func (d due) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *due) Push(x any) {
	if c, ok := x.(*conversation); ok {
		*d = append(*d, c)
	}
}

// Pop implements heap.Interface.
func (d *due) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// planner draws the requests of a mix in order of time.
type planner struct {
	mix      Mix
	random   *rand.Rand
	now      time.Duration
	next     time.Duration
	returns  due
	started  int
	greeted  map[int]bool
	requests []Request
}

// Plan returns the requests of a mix. Equal mixes give equal plans.
func Plan(m Mix) []Request {
	p := &planner{mix: m, random: rand.New(rand.NewPCG(m.Seed, 7)), greeted: make(map[int]bool)}
	newRate := m.RequestsPerSecond * (1 - m.ServiceShare) / (1 + m.Returns)
	callRate := m.RequestsPerSecond * m.ServiceShare
	nextCall := p.wait(callRate)
	p.next = p.wait(newRate)
	for len(p.requests) < m.Requests {
		at := min(p.next, nextCall)
		if len(p.returns) > 0 && p.returns[0].at < at {
			c, ok := heap.Pop(&p.returns).(*conversation)
			if ok {
				p.now = c.at
				p.comeBack(c)
			}
			continue
		}
		p.now = at
		if at == nextCall {
			p.call()
			nextCall = at + p.wait(callRate)
			continue
		}
		p.open()
		p.next = at + p.wait(newRate)
	}
	slices.SortStableFunc(p.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return p.requests
}

// wait draws the time to the next event of a rate.
func (p *planner) wait(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

func (p *planner) account() int {
	total := 0.0
	for _, a := range p.mix.Accounts {
		total += a.Weight
	}
	draw := p.random.Float64() * total
	for i, a := range p.mix.Accounts {
		if draw -= a.Weight; draw < 0 {
			return i
		}
	}
	return len(p.mix.Accounts) - 1
}

func (p *planner) add(r Request) {
	r.Number = len(p.requests)
	r.At = p.now
	p.requests = append(p.requests, r)
}

// open starts a new conversation.
func (p *planner) open() {
	c := &conversation{number: p.started, account: p.account()}
	p.started++
	c.left = p.count(p.mix.Returns)
	for i := range p.mix.SharedTokens {
		c.words = append(c.words, fmt.Sprintf("a%d-%d", c.account, i))
	}
	fresh := p.length(p.mix.PromptTokens - p.mix.SharedTokens)
	p.grow(c, fresh)
	if !p.greeted[c.account] {
		p.greeted[c.account] = true
		fresh += p.mix.SharedTokens
	}
	p.prompt(c, fresh)
}

// comeBack sends a conversation again, with more text.
func (p *planner) comeBack(c *conversation) {
	fresh := p.length(p.mix.Growth)
	p.grow(c, fresh)
	p.prompt(c, fresh)
}

func (p *planner) grow(c *conversation, n int) {
	for range n {
		c.words = append(c.words, fmt.Sprintf("c%d-%d", c.number, len(c.words)))
	}
}

func (p *planner) prompt(c *conversation, fresh int) {
	p.add(Request{
		Account: p.mix.Accounts[c.account],
		Prompt: &Prompt{
			Text:      strings.Join(c.words, " "),
			Tokens:    len(c.words),
			Fresh:     fresh,
			MaxTokens: p.length(p.mix.AnswerTokens),
		},
	})
	if c.left > 0 {
		c.left--
		c.at = p.now + p.gap()
		heap.Push(&p.returns, c)
	}
}

// gap draws a log-normal gap whose mean is that of the mix.
func (p *planner) gap() time.Duration {
	const sigma = 0.6
	scale := math.Exp(sigma*p.random.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(p.mix.Gap) * scale)
}

// length draws a length between half and one and a half of the mean.
func (p *planner) length(mean int) int {
	return max(mean/2+p.random.IntN(mean+1), 1)
}

// count draws a geometric number with a mean.
func (p *planner) count(mean float64) int {
	n := 0
	for p.random.Float64() < mean/(1+mean) {
		n++
	}
	return n
}

func (p *planner) call() {
	c := &Call{Job: fmt.Sprintf("job-%d-%d", p.mix.Seed, len(p.requests))}
	if p.random.IntN(2) == 0 {
		c.Key = "key-" + c.Job
		c.Twin = p.random.IntN(5) == 0
		c.Ticket = p.random.IntN(3) == 0
	}
	p.add(Request{Account: p.mix.Accounts[p.account()], Call: c})
}
