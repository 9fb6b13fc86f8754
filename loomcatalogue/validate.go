package loomcatalogue

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
)

const (
	maxNameLength   = 64
	digestHexLength = 64
	percent         = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

var (
	classes       = []string{"gold", "silver", "bronze"}
	upstreamKinds = []string{"engine", "store", "service"}
)

// Problem is one mistake in an entry.
type Problem struct {
	ID      ID     `json:"id"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.ID, p.Field, p.Message)
}

// Validate returns every mistake of s, each entry for itself and its
// references to others.
func (s Snapshot) Validate() []Problem {
	v := &validator{snapshot: s, digests: make(map[string]ID)}
	for _, e := range s.Entries("") {
		v.entry(e)
	}
	return v.problems
}

type validator struct {
	snapshot Snapshot
	digests  map[string]ID
	problems []Problem
	id       ID
}

func (v *validator) entry(e Entry) {
	v.id = e.ID()
	v.header(e.header())
	switch e := e.(type) {
	case Deployment:
		v.deployment(e)
	case Model:
		v.model(e)
	case Adapter:
		v.refers("model", KindModel, e.Model)
		v.check(e.Version > 0, "version", "must be above zero")
	case ClientAccount:
		v.account(e)
	case KeptPrompt:
		v.keptPrompt(e)
	case UpstreamGroup:
		v.group(e)
	}
}

func (v *validator) header(h Header) {
	v.check(namePattern.MatchString(h.Name) && len(h.Name) <= maxNameLength, "name", "must be 1 to 64 of a-z, 0-9, dot, underscore and hyphen")
	v.check(h.Owner != "", "owner", "is required")
	v.check(slices.Contains(classes, h.Class), "class", "must be gold, silver or bronze")
}

func (v *validator) deployment(e Deployment) {
	v.check(e.LoadLimit >= 1, "load_limit", "must be at least 1")
	v.check(e.RecomputeWeight >= 0, "recompute_weight", "must not be negative")
	v.check(len(e.FailureDomains) > 0, "failure_domains", "must name at least one")
	share := e.MinDomainShare * len(e.FailureDomains)
	v.check(e.MinDomainShare >= 0 && share <= percent, "min_domain_share", "must leave the sum over all failure domains at 100 or below")
}

func (v *validator) model(e Model) {
	v.check(e.Version > 0, "version", "must be above zero")
	v.check(e.WindowTokens > 0, "window_tokens", "must be above zero")
	v.check(e.MaxTokens > 0 && e.MaxTokens <= e.WindowTokens, "max_tokens", "must be above zero and within the window")
	v.check(e.PrefillTokensPerSecond > 0, "prefill_tokens_per_second", "must be above zero")
	v.check(e.BlockBytes > 0, "block_bytes", "must be above zero")
	v.refers("upstream_group", KindUpstreamGroup, e.UpstreamGroup)
}

func (v *validator) account(e ClientAccount) {
	v.check(len(e.KeySHA256) > 0, "key_sha256", "must hold at least one digest")
	for _, d := range e.KeySHA256 {
		_, err := hex.DecodeString(d)
		v.check(err == nil && len(d) == digestHexLength, "key_sha256", "must hold SHA-256 digests in hexadecimal")
		other, dup := v.digests[d]
		v.check(!dup, "key_sha256", "shares a key with "+other.String())
		v.digests[d] = v.id
	}
	v.check(e.Share >= 1, "share", "must be at least 1")
	v.check(e.TokensPerSecond > 0, "tokens_per_second", "must be above zero")
	v.check(e.BurstTokens > 0, "burst_tokens", "must be above zero")
	v.check(e.MaxQueued > 0, "max_queued", "must be above zero")
	v.check(e.KeptBytes >= 0, "kept_bytes", "must not be negative")
	for _, m := range e.Models {
		v.refers("models", KindModel, m)
	}
}

func (v *validator) keptPrompt(e KeptPrompt) {
	v.refers("client_account", KindClientAccount, e.ClientAccount)
	v.refers("model", KindModel, e.Model)
	_, err := hex.DecodeString(e.BlockKey)
	v.check(err == nil && e.BlockKey != "", "block_key", "must be hexadecimal")
	v.check(e.RetainSeconds > 0, "retain_seconds", "must be above zero")
}

func (v *validator) group(e UpstreamGroup) {
	v.check(slices.Contains(upstreamKinds, e.UpstreamKind), "upstream_kind", "must be engine, store or service")
	v.check(e.MaxQueued >= 0, "max_queued", "must not be negative")
	v.check(e.MaxOrderSeconds >= 0, "max_order_seconds", "must not be negative")
	v.check(e.LinkBytesPerSecond >= 0, "link_bytes_per_second", "must not be negative")
	if e.Stores != "" {
		v.refers("stores", KindUpstreamGroup, e.Stores)
	}
}

func (v *validator) refers(field string, kind Kind, name string) {
	_, ok := v.snapshot.Entry(ID{kind, name})
	v.check(ok, field, fmt.Sprintf("names the %s %q, which does not exist", kind, name))
}

func (v *validator) check(ok bool, field, message string) {
	if !ok {
		v.problems = append(v.problems, Problem{ID: v.id, Field: field, Message: message})
	}
}
