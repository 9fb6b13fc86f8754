// Package loomload generates load for running instances. It plans a reproducible
// workload of conversations, whose prompts return with more text, and of service
// calls, sends it as an open loop, verifies every answer and measures latency as
// callers see it.
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

// Workload describes the requests to send. It is immutable.
type Workload struct {
	Seed uint64
	// Requests is the number of planned requests; a duplicated call counts once.
	Requests int
	// RequestsPerSecond is the mean arrival rate of an open loop: requests are
	// sent at their planned times, however long answers take.
	RequestsPerSecond float64
	// ServiceShare is the fraction of requests, from 0 to 1, that are service
	// calls.
	ServiceShare float64
	// FollowUps is the mean number of follow-up prompts of a conversation,
	// FollowUpInterval the mean time between two prompts of a conversation, and
	// FollowUpTokens the mean number of tokens that a follow-up prompt adds to the
	// prompt before.
	FollowUps        float64
	FollowUpInterval time.Duration
	FollowUpTokens   int
	// PromptTokens is the mean length of the first prompt of a conversation. It
	// includes the SharedTokens with which all prompts of an account start, as
	// with a system prompt.
	PromptTokens int
	SharedTokens int
	// AnswerTokens is the mean number of requested tokens.
	AnswerTokens int
	// Accounts holds the accounts that send requests; at least one is required.
	Accounts []Account
	// MaxAttempts is the maximum number of attempts for a request; zero selects
	// the default.
	MaxAttempts int
	// Model and Service name the targets of prompts and of service calls.
	Model   string
	Service string
}

// Account is a client account that sends requests.
type Account struct {
	Name string
	// Key is the account's API key.
	Key string
	// Weight is the account's share of the requests, relative to the weights of
	// the other accounts.
	Weight float64
}

// Request is one planned request. Either Prompt or Call is set.
type Request struct {
	// Number counts the requests of a plan from zero.
	Number int
	// At is the planned time of sending, from the start of the run.
	At      time.Duration
	Account Account
	Prompt  *Prompt
	Call    *Call
}

// Prompt is a planned prompt.
type Prompt struct {
	Text string
	// Tokens is the length of the prompt. NewTokens is how many of these tokens
	// are not part of a prefix that the account has sent before, so that they
	// must be computed even with an ideal cache.
	Tokens    int
	NewTokens int
	// MaxTokens is the number of tokens to generate.
	MaxTokens int
}

// Call is a planned service call. Its job must not run more than once.
type Call struct {
	// Job is the ID of the job, unique in a plan.
	Job string
	// Key is the idempotency key, or empty for a call without one.
	Key string
	// Ticket is set if a ticket is fetched before the call and replaces Key.
	Ticket bool
	// IsDuplicated is set if the same call is sent twice concurrently, as a rule
	// to different instances.
	IsDuplicated bool
}

// conversation is a series of prompts of which each extends the one before.
type conversation struct {
	number int
	// account is an index into Workload.Accounts.
	account int
	// at is the time of the next prompt, and remaining is the number of prompts
	// that are still to be scheduled.
	at        time.Duration
	words     []string
	remaining int
}

// conversationHeap is a heap of conversations, ordered by the time of their next
// prompt.
type conversationHeap []*conversation

// Len implements heap.Interface.
func (h conversationHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h conversationHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].number, h[j].number)) < 0
}

// Swap implements heap.Interface.
func (h conversationHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *conversationHeap) Push(x any) {
	if c, ok := x.(*conversation); ok {
		*h = append(*h, c)
	}
}

// Pop implements heap.Interface.
func (h *conversationHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// planner generates the requests of a workload in order of time.
type planner struct {
	workload Workload
	rng      *rand.Rand
	now      time.Duration
	// nextConversation is when the next new conversation starts.
	nextConversation time.Duration
	// pending holds the conversations with prompts still to plan.
	pending conversationHeap
	// conversations is the number of started conversations.
	conversations int
	// seenAccounts holds the accounts whose shared tokens were sent before.
	seenAccounts map[int]bool
	requests     []Request
}

// Plan returns the requests of a workload in order of time. Equal workloads give
// equal plans. New conversations and service calls arrive as Poisson processes.
func Plan(w Workload) []Request {
	p := &planner{workload: w, rng: rand.New(rand.NewPCG(w.Seed, 7)), seenAccounts: make(map[int]bool)}
	conversationRate := w.RequestsPerSecond * (1 - w.ServiceShare) / (1 + w.FollowUps)
	callRate := w.RequestsPerSecond * w.ServiceShare
	nextCall := p.drawWait(callRate)
	p.nextConversation = p.drawWait(conversationRate)
	for len(p.requests) < w.Requests {
		at := min(p.nextConversation, nextCall)
		if len(p.pending) > 0 && p.pending[0].at < at {
			c, ok := heap.Pop(&p.pending).(*conversation)
			if ok {
				p.now = c.at
				p.continueConversation(c)
			}
			continue
		}
		p.now = at
		if at == nextCall {
			p.addCall()
			nextCall = at + p.drawWait(callRate)
			continue
		}
		p.startConversation()
		p.nextConversation = at + p.drawWait(conversationRate)
	}
	slices.SortStableFunc(p.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return p.requests
}

// drawWait draws the exponentially distributed time to the next event of a
// Poisson process with the given rate per second. The time is practically
// infinite if the rate is not positive.
func (p *planner) drawWait(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
}

// drawAccount draws the index of an account by weight.
func (p *planner) drawAccount() int {
	total := 0.0
	for _, a := range p.workload.Accounts {
		total += a.Weight
	}
	draw := p.rng.Float64() * total
	for i, a := range p.workload.Accounts {
		if draw -= a.Weight; draw < 0 {
			return i
		}
	}
	return len(p.workload.Accounts) - 1
}

// addRequest adds a request to the plan at the current time.
func (p *planner) addRequest(r Request) {
	r.Number = len(p.requests)
	r.At = p.now
	p.requests = append(p.requests, r)
}

// startConversation plans the first prompt of a new conversation.
func (p *planner) startConversation() {
	c := &conversation{number: p.conversations, account: p.drawAccount()}
	p.conversations++
	c.remaining = p.drawCount(p.workload.FollowUps)
	for i := range p.workload.SharedTokens {
		c.words = append(c.words, fmt.Sprintf("a%d-%d", c.account, i))
	}
	newTokens := p.drawLength(p.workload.PromptTokens - p.workload.SharedTokens)
	p.addWords(c, newTokens)
	if !p.seenAccounts[c.account] {
		p.seenAccounts[c.account] = true
		newTokens += p.workload.SharedTokens
	}
	p.addPrompt(c, newTokens)
}

// continueConversation plans the next prompt of a conversation, with more text.
func (p *planner) continueConversation(c *conversation) {
	newTokens := p.drawLength(p.workload.FollowUpTokens)
	p.addWords(c, newTokens)
	p.addPrompt(c, newTokens)
}

// addWords appends n words that occur in no other conversation. Each word is one
// token.
func (p *planner) addWords(c *conversation, n int) {
	for range n {
		c.words = append(c.words, fmt.Sprintf("c%d-%d", c.number, len(c.words)))
	}
}

// addPrompt plans a prompt with the words of a conversation, of which newTokens
// are new, and schedules the next one if any remain.
func (p *planner) addPrompt(c *conversation, newTokens int) {
	p.addRequest(Request{
		Account: p.workload.Accounts[c.account],
		Prompt: &Prompt{
			Text:      strings.Join(c.words, " "),
			Tokens:    len(c.words),
			NewTokens: newTokens,
			MaxTokens: p.drawLength(p.workload.AnswerTokens),
		},
	})
	if c.remaining > 0 {
		c.remaining--
		c.at = p.now + p.drawInterval()
		heap.Push(&p.pending, c)
	}
}

// drawInterval draws the time to the next prompt of a conversation from a
// log-normal distribution with the mean FollowUpInterval. The term
// -sigma*sigma/2 keeps the mean of the scale at one.
func (p *planner) drawInterval() time.Duration {
	const sigma = 0.6
	scale := math.Exp(sigma*p.rng.NormFloat64() - sigma*sigma/2)
	return time.Duration(float64(p.workload.FollowUpInterval) * scale)
}

// drawLength draws a number of tokens, uniformly distributed between 0.5 and 1.5
// times the mean, but at least one.
func (p *planner) drawLength(mean int) int {
	return max(mean/2+p.rng.IntN(mean+1), 1)
}

// drawCount draws a number from a geometric distribution with the given mean.
func (p *planner) drawCount(mean float64) int {
	n := 0
	for p.rng.Float64() < mean/(1+mean) {
		n++
	}
	return n
}

// addCall plans a service call. Half of the calls have an idempotency key; of
// these a third use a ticket and a fifth are sent twice.
func (p *planner) addCall() {
	c := &Call{Job: fmt.Sprintf("job-%d-%d", p.workload.Seed, len(p.requests))}
	if p.rng.IntN(2) == 0 {
		c.Key = "key-" + c.Job
		c.IsDuplicated = p.rng.IntN(5) == 0
		c.Ticket = p.rng.IntN(3) == 0
	}
	p.addRequest(Request{Account: p.workload.Accounts[p.drawAccount()], Call: c})
}
