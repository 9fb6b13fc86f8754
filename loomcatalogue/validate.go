package loomcatalogue

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
)

const (
	maxNameLength = 64
	// digestHexLength is the length of a SHA-256 digest in hexadecimal.
	digestHexLength = 64
	maxPercent      = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

var (
	classes       = []string{"gold", "silver", "bronze"}
	upstreamKinds = []string{"engine", "store", "service"}
)

// Problem is a violated constraint on a field of an entry.
type Problem struct {
	ID      ID     `json:"id"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the problem as "kind/name: field: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.ID, p.Field, p.Message)
}

// Validate checks each entry and its references to other entries, and returns
// all problems in order of kind and name.
func (s Snapshot) Validate() []Problem {
	v := &validator{snapshot: s, idByDigest: make(map[string]ID)}
	for _, e := range s.Entries("") {
		v.checkEntry(e)
	}
	return v.problems
}

// validator collects the problems of a snapshot.
type validator struct {
	snapshot   Snapshot
	idByDigest map[string]ID
	problems   []Problem
	id         ID
}

func (v *validator) checkEntry(e Entry) {
	v.id = e.ID()
	v.checkHeader(e.header())
	switch e := e.(type) {
	case Deployment:
		v.checkDeployment(e)
	case Model:
		v.checkModel(e)
	case Adapter:
		v.checkReference("model", KindModel, e.Model)
		v.check(e.Version > 0, "version", "must be above zero")
	case ClientAccount:
		v.checkClientAccount(e)
	case KeptPrompt:
		v.checkKeptPrompt(e)
	case UpstreamGroup:
		v.checkUpstreamGroup(e)
	}
}

func (v *validator) checkHeader(h Header) {
	v.check(namePattern.MatchString(h.Name) && len(h.Name) <= maxNameLength, "name", "must be 1 to 64 of a-z, 0-9, dot, underscore and hyphen")
	v.check(h.Owner != "", "owner", "is required")
	v.check(slices.Contains(classes, h.Class), "class", "must be gold, silver or bronze")
}

func (v *validator) checkDeployment(e Deployment) {
	v.check(e.LoadLimit >= 1, "load_limit", "must be at least 1")
	v.check(e.RecomputeWeight >= 0, "recompute_weight", "must not be negative")
	v.check(len(e.FailureDomains) > 0, "failure_domains", "must name at least one")
	share := e.MinDomainShare * len(e.FailureDomains)
	v.check(e.MinDomainShare >= 0 && share <= maxPercent, "min_domain_share", fmt.Sprintf("must be at least 0 and add up to at most 100 over all failure domains, but adds up to %d", share))
}

func (v *validator) checkModel(e Model) {
	v.check(e.Version > 0, "version", "must be above zero")
	v.check(e.WindowTokens > 0, "window_tokens", "must be above zero")
	v.check(e.MaxTokens > 0 && e.MaxTokens <= e.WindowTokens, "max_tokens", "must be above zero and at most window_tokens")
	v.check(e.PrefillTokensPerSecond > 0, "prefill_tokens_per_second", "must be above zero")
	v.check(e.BlockBytes > 0, "block_bytes", "must be above zero")
	v.checkReference("upstream_group", KindUpstreamGroup, e.UpstreamGroup)
}

func (v *validator) checkClientAccount(e ClientAccount) {
	v.check(len(e.KeySHA256) > 0, "key_sha256", "must hold at least one digest")
	for _, d := range e.KeySHA256 {
		_, err := hex.DecodeString(d)
		v.check(err == nil && len(d) == digestHexLength, "key_sha256", "must hold SHA-256 digests in hexadecimal")
		other, dup := v.idByDigest[d]
		v.check(!dup, "key_sha256", "shares a key with "+other.String())
		v.idByDigest[d] = v.id
	}
	v.check(e.Share >= 1, "share", "must be at least 1")
	v.check(e.TokensPerSecond > 0, "tokens_per_second", "must be above zero")
	v.check(e.BurstTokens > 0, "burst_tokens", "must be above zero")
	v.check(e.MaxQueued > 0, "max_queued", "must be above zero")
	v.check(e.KeptBytes >= 0, "kept_bytes", "must not be negative")
	for _, m := range e.Models {
		v.checkReference("models", KindModel, m)
	}
}

func (v *validator) checkKeptPrompt(e KeptPrompt) {
	v.checkReference("client_account", KindClientAccount, e.ClientAccount)
	v.checkReference("model", KindModel, e.Model)
	_, err := hex.DecodeString(e.BlockKey)
	v.check(err == nil && e.BlockKey != "", "block_key", "must be hexadecimal")
	v.check(e.RetainSeconds > 0, "retain_seconds", "must be above zero")
}

func (v *validator) checkUpstreamGroup(e UpstreamGroup) {
	v.check(slices.Contains(upstreamKinds, e.UpstreamKind), "upstream_kind", "must be engine, store or service")
	v.check(e.MaxQueued >= 0, "max_queued", "must not be negative")
	v.check(e.MaxOrderSeconds >= 0, "max_order_seconds", "must not be negative")
	v.check(e.LinkBytesPerSecond >= 0, "link_bytes_per_second", "must not be negative")
	if e.Stores != "" {
		v.checkReference("stores", KindUpstreamGroup, e.Stores)
	}
}

// checkReference checks that the field names an existing entry of the kind.
func (v *validator) checkReference(field string, kind Kind, name string) {
	_, ok := v.snapshot.Entry(ID{kind, name})
	v.check(ok, field, fmt.Sprintf("names the %s %q, which does not exist", kind, name))
}

// check records a problem with a field of the current entry unless ok is true.
func (v *validator) check(ok bool, field, message string) {
	if !ok {
		v.problems = append(v.problems, Problem{ID: v.id, Field: field, Message: message})
	}
}
