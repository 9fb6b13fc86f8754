// Package loomroute chooses the upstream for a request. Policies register
// themselves by name; Fleet keeps what is known of the load of each upstream.
package loomroute

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
)

// Request is what a policy needs to know of a prompt. It is immutable.
type Request struct {
	// Root is the key of the first block, or empty for a short prompt.
	Root []byte
	// Tokens is the length of the prompt.
	Tokens int
	// BlockTokens is the number of tokens of one block.
	BlockTokens int
	// Adapter is empty or names the adapter that the engine must have.
	Adapter string
	// FailureDomain is that of the choosing instance.
	FailureDomain string
	// Stored is the number of leading blocks that a store keeps.
	Stored int
	// BlockBytes is the size of the kept state of a block, LinkWait the time
	// until the link of the store is free, and BlockTime how long one block
	// takes on it.
	LinkWait  time.Duration
	BlockTime time.Duration
	// TokenTime is how long an engine computes one prompt token.
	TokenTime time.Duration
	// RecomputeWeight multiplies the time to recompute tokens in the score.
	RecomputeWeight float64
	// Avoid holds upstreams that were tried before.
	Avoid []string
}

// Candidate is an upstream that may take the request.
type Candidate struct {
	ID            string
	FailureDomain string
	// Held is the number of leading blocks that the engine is believed to
	// cache.
	Held int
	// Stored replaces that of the request for this candidate unless it is zero.
	Stored int
	// Pending tells that the engine is fetching or computing the prompt.
	Pending bool
	// Wait is the expected time until the engine starts on the prompt.
	Wait time.Duration
	// BlockTime replaces that of the request for this candidate unless it is
	// zero.
	BlockTime time.Duration
	// Outstanding is the number of requests that the engine is known to have.
	Outstanding int
	// LacksAdapter tells that the engine must load the adapter first.
	LacksAdapter bool
	// Suspect candidates are taken only when no other is left.
	Suspect bool
}

// Choice is the decision of a policy.
type Choice struct {
	// ID is the upstream.
	ID string
	// Import is the number of leading blocks that the engine should have or
	// fetch from the store.
	Import int
	// Recompute is the expected number of prompt tokens to compute.
	Recompute int
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// Policy chooses among candidates, of which there is at least one. It draws
// random numbers from the given source alone.
type Policy interface {
	Choose(r Request, candidates []Candidate, random *rand.Rand) Choice
	// UsesKeptState tells whether the policy takes part in exports and
	// imports.
	UsesKeptState() bool
}

var policies loomkernel.Registry

// Register makes a policy available under a name. It panics when the name is
// taken.
func Register(name string, p Policy) {
	policies.Register(name, p)
}

// Policies returns the names of the registered policies in order.
func Policies() []string {
	return policies.Names()
}

// PolicyByName returns a registered policy.
func PolicyByName(name string) (Policy, error) {
	plugin, ok := policies.Lookup(name)
	if !ok {
		return nil, errors.NotFoundf("routing policy %q (have %v)", name, Policies())
	}
	p, ok := plugin.(Policy)
	if !ok {
		return nil, errors.NotValidf("routing policy %q", name)
	}
	return p, nil
}

func recompute(r Request, held int) int {
	return max(r.Tokens-held*r.BlockTokens, 1)
}
