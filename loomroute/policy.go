// Package loomroute chooses the upstream for a request. Routing policies are
// registered by name; a Fleet tracks the load and health of each upstream.
package loomroute

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
)

// Request describes a prompt to a policy. It is immutable.
type Request struct {
	// Root is the key of the first block. It is empty for a prompt that is
	// too short to have one.
	Root []byte
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// BlockTokens is the number of tokens of one block.
	BlockTokens int
	// Adapter is the name of the adapter that the engine must have loaded, or
	// empty.
	Adapter string
	// FailureDomain is the failure domain of the instance that routes the
	// request.
	FailureDomain string
	// Stored is the number of leading blocks whose KV cache is in a store.
	Stored int
	// LinkWait is the time until the link to the store is free, and BlockTime
	// the transfer time of one block.
	LinkWait  time.Duration
	BlockTime time.Duration
	// TokenTime is the time in which an engine computes one prompt token.
	TokenTime time.Duration
	// RecomputeWeight is the weight of the time to recompute tokens in the score
	// of a candidate.
	RecomputeWeight float64
	// PauseObjective is the longest pause between two tokens with which the
	// streams that run at the engines are on time, or zero if there is none.
	PauseObjective time.Duration
	// Avoid lists the upstreams that were already tried.
	Avoid []string
}

// Candidate is an upstream that may take the request.
type Candidate struct {
	ID            string
	FailureDomain string
	// CachedPrefix is the number of leading blocks that the engine is expected to
	// have cached.
	CachedPrefix int
	// Stored overrides Request.Stored for this candidate unless it is zero.
	Stored int
	// Pending is true while the engine fetches or computes the same prompt.
	Pending bool
	// Wait is the expected time until the engine starts on the prompt.
	Wait time.Duration
	// TokensAhead is the number of prompt tokens that the engine is expected to
	// process first.
	TokensAhead int
	// BlockTime overrides Request.BlockTime for this candidate unless it is zero.
	BlockTime time.Duration
	// TokenTime overrides Request.TokenTime for this candidate unless it is zero.
	TokenTime time.Duration
	// Outstanding is the number of queued and running requests of the engine.
	Outstanding int
	// LacksAdapter is true if the engine must load the adapter first.
	LacksAdapter bool
	// Suspect is true if the upstream may be down. Such a candidate is chosen
	// only when all candidates are suspect.
	Suspect bool
}

// Choice is the decision of a policy.
type Choice struct {
	// ID is the chosen upstream.
	ID string
	// Import is the number of leading blocks that the engine should fetch from
	// the store unless it has them cached. Zero means no import.
	Import int
	// Recompute is the expected number of prompt tokens to compute.
	Recompute int
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// Policy is a routing policy.
type Policy interface {
	// Choose returns the choice among candidates, of which there is at least
	// one. It takes random numbers only from random.
	Choose(r Request, candidates []Candidate, random *rand.Rand) Choice
	// UsesKVCache reports whether upstreams that are chosen by the policy
	// export blocks of the KV cache to stores and import them.
	UsesKVCache() bool
}

var policies loomkernel.Registry

// Register makes a policy available under a name. It panics if the name is
// already registered.
func Register(name string, p Policy) {
	policies.Register(name, p)
}

// Policies returns the names of the registered policies in ascending order.
func Policies() []string {
	return policies.Names()
}

// PolicyByName returns the policy that is registered under a name. The error is
// of kind NotFound if there is none.
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

// tokensToCompute returns the number of prompt tokens that remain after the
// leading cachedPrefix blocks. It is at least one, since an engine computes the
// last token to generate the next.
func tokensToCompute(r Request, cachedPrefix int) int {
	return max(r.Tokens-cachedPrefix*r.BlockTokens, 1)
}
