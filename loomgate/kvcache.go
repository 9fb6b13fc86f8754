package loomgate

import (
	"cmp"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

// setStoredTokens sets how many leading tokens each candidate may fetch: those
// that stores hold for the version of its weights, or that one of the sources with
// the same version caches.
func (q *placementQuery) setStoredTokens(candidates, sources []loomroute.Candidate, versions map[string]uint64) {
	if !q.hasPrompt {
		return
	}
	stored := make(map[uint64]int)
	for _, c := range sources {
		v := versions[c.ID]
		if _, ok := stored[v]; !ok {
			stored[v] = q.storedTokens(v)
		}
		stored[v] = max(stored[v], c.CachedPrefix)
	}
	for i := range candidates {
		candidates[i].Stored = stored[versions[candidates[i].ID]]
	}
}

// storedTokens returns how many leading tokens of the prompt are held by stores
// for a version of the weights. The last part is left out if it is not
// reusable.
func (q *placementQuery) storedTokens(version uint64) int {
	salt := q.cacheSalt(version)
	filter := q.storeFilter()
	tokens := 0
	for _, part := range q.prompt.Parts[:q.reusableParts()] {
		if _, found := q.gate.stores.index.SourceAmong(filter, salt, part); !found {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// transferTime returns the weighted time for transferring the KV cache of one
// token to an engine with the given weights. The source is the store that holds the last reusable
// part; if no store holds it, the engine's own link is assumed. The store's
// time to the first byte is spread over the tokens of the part.
func (q *placementQuery) transferTime(u loommember.Upstream, weights *weightsOption) time.Duration {
	parts := q.prompt.Parts
	if len(parts) == 0 {
		return 0
	}
	last := parts[max(q.reusableParts(), 1)-1]
	source := weights.source
	if !weights.hasSource || last.Tokens == 0 {
		return linkTokenTime(q.group.Engine) * transferWeight
	}
	perToken := source.PerToken
	if source.FailureDomain != u.FailureDomain {
		perToken *= crossDomainFactor
	}
	return (perToken + source.FirstByte/time.Duration(last.Tokens)) * transferWeight
}

// crossDomainFactor is how many times longer a transfer between failure domains
// takes.
const crossDomainFactor = 2

// linkTokenTime returns the time for transferring the KV cache of one token
// over an engine's link.
func linkTokenTime(e *loomcatalogue.EngineClass) time.Duration {
	if e == nil || e.LinkBitsPerSecond <= 0 {
		return time.Second
	}
	const bitsPerByte = 8
	return time.Duration(float64(e.BytesPerToken) * bitsPerByte / e.LinkBitsPerSecond * float64(time.Second))
}

// kvPlan holds, for each part of a prompt, the address that its KV cache is
// fetched from and the address that it is saved to. An empty address means
// none.
type kvPlan struct {
	fetch []string
	save  []string
	// fetchedTokens is the number of tokens in the parts that have a fetch
	// address.
	fetchedTokens int
	// fetchUntil is the deadline of the fetches on the upstreams' shared clock,
	// or zero for none.
	fetchUntil time.Duration
}

// planKV decides which parts the selected engine fetches and which are saved to
// a store. A part that the engine is estimated to cache gets a fetch address
// too, because the engine uses it only if the part is missing.
func (q *placementQuery) planKV(now time.Time, p placement) kvPlan {
	parts := q.prompt.Parts
	if !q.hasPrompt || len(parts) == 0 || p.version == 0 {
		return kvPlan{}
	}
	salt := q.cacheSalt(p.version)
	plan := kvPlan{fetch: make([]string, len(parts)+q.prompt.UntrackedParts), save: make([]string, len(parts)+q.prompt.UntrackedParts)}
	index := q.gate.stores.index
	filter := q.storeFilter()
	for i, part := range parts[:q.reusableParts()] {
		source, found := index.SourceAmong(filter, salt, part)
		address := source.Address
		if !found {
			plan.save[i] = index.TargetAmong(filter, now, salt, part, q.workUnitTime())
		}
		if !found || source.PerToken > linkTokenTime(q.group.Engine) {
			// Engines have faster links than large stores, and there are more
			// of them.
			address = cmp.Or(q.cachingEngine(now, p, salt, parts[:i+1]), address)
		}
		if address != "" {
			plan.fetch[i] = address
			plan.fetchedTokens += part.Tokens
		}
	}
	if plan.fetchedTokens > 0 {
		plan.fetchUntil = q.gate.stores.fetchDeadline(now, time.Duration(plan.fetchedTokens)*q.workUnitTime())
	}
	return plan
}

// reusableParts returns the number of leading parts of the prompt that later
// requests may use again.
func (q *placementQuery) reusableParts() int {
	parts := q.prompt.Parts
	if len(parts) == 0 || q.isLastPartReusable || q.prompt.UntrackedParts > 0 {
		return len(parts)
	}
	return len(parts) - 1
}

// cachingEngine returns the address of another engine with the same version
// that is estimated to cache the last of the parts, or an empty address. It
// prefers an engine in the failure domain of the selected one.
func (q *placementQuery) cachingEngine(now time.Time, p placement, salt string, parts []PromptPart) string {
	last := parts[len(parts)-1:]
	keys := loomcache.NewPartKeys(salt, last)
	address := ""
	for _, u := range q.allowedUpstreams(now) {
		if u.ID == p.upstream.ID || u.Version(q.prompt.Model) != p.version || q.gate.residency.CachedTokensOf(u.ID, keys, last) == 0 {
			continue
		}
		if u.FailureDomain == p.upstream.FailureDomain {
			return u.Address
		}
		address = u.Address
	}
	return address
}

// recordPlacement records that the selected engine is about to process the
// prompt and will cache its parts, and queues the reusable parts for the peers. An engine
// refuses a prompt that exceeds its memory, and caches none of it.
func (q *placementQuery) recordPlacement(p placement) {
	if !q.hasPrompt || len(q.prompt.Parts) == 0 {
		return
	}
	if e := q.group.Engine; e != nil && e.MemoryTokens > 0 && max(q.prompt.Tokens, q.prompt.SharedTokens()) > e.MemoryTokens {
		return
	}
	salt := q.cacheSalt(p.version)
	q.gate.residency.RecordPrompt(p.upstream.ID, salt, q.prompt.Parts, cacheCapacity(q.group.Engine))
	q.gate.peers.addPlacements(p.upstream.ID, salt, q.prompt.Parts[:q.reusableParts()])
}

// cacheCapacity returns the estimated number of tokens that an engine caches.
func cacheCapacity(e *loomcatalogue.EngineClass) int {
	if e == nil || e.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return int(float64(e.MemoryTokens) * cacheShare)
}
