package loomgate

import (
	"cmp"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

// noteStored sets what each candidate may fetch: the leading tokens that stores
// keep for the version of its weights, or that another engine with this version
// caches.
func (d *dispatch) noteStored(candidates []loomroute.Candidate, versions map[string]uint64) {
	if !d.req.HasPrompt {
		return
	}
	stored := make(map[uint64]int)
	for _, c := range candidates {
		v := versions[c.ID]
		if _, ok := stored[v]; !ok {
			stored[v] = d.storedTokens(v)
		}
		stored[v] = max(stored[v], c.Held)
	}
	for i := range candidates {
		candidates[i].Stored = stored[versions[candidates[i].ID]]
	}
}

// storedTokens returns how many leading tokens of the prompt stores keep for a
// version of the weights.
func (d *dispatch) storedTokens(version uint64) int {
	salt := saltOf(d.req, version)
	tokens := 0
	for _, part := range d.req.Prompt.Parts[:d.returning()] {
		if _, found := d.gate.stores.index.Source(salt, part); !found {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// moveTime is how long the kept state of one token takes to an engine: from the
// store that keeps the session's part, or else on the engine's own link.
func (d *dispatch) moveTime(u loommember.Upstream, version uint64) time.Duration {
	parts := d.req.Prompt.Parts
	if len(parts) == 0 {
		return 0
	}
	last := parts[max(d.returning(), 1)-1]
	source, found := d.gate.stores.index.Source(saltOf(d.req, version), last)
	if !found || last.Tokens == 0 {
		return linkTime(d.req.group.Engine) * moveWeight
	}
	perToken := source.PerToken
	if source.FailureDomain != u.FailureDomain {
		perToken *= farFactor
	}
	return (perToken + source.FirstByte/time.Duration(last.Tokens)) * moveWeight
}

// farFactor is how much longer a transfer between failure domains takes.
const farFactor = 2

// linkTime is how long the kept state of one token takes on an engine's link.
func linkTime(e *loomcatalogue.EngineClass) time.Duration {
	if e == nil || e.LinkBitsPerSecond <= 0 {
		return time.Second
	}
	const bitsPerByte = 8
	return time.Duration(float64(e.BytesPerToken) * bitsPerByte / e.LinkBitsPerSecond * float64(time.Second))
}

// keptPlan says for each part of a prompt where its kept state comes from and
// goes to. Empty addresses mean nowhere.
type keptPlan struct {
	fetch []string
	save  []string
	// fetched counts the tokens of the parts that are fetched.
	fetched int
}

// planKept decides which parts the chosen engine fetches, and which are saved.
// A part that the engine is believed to cache gets a source too, since a source
// is used only for what is missing.
func (d *dispatch) planKept(now time.Time) keptPlan {
	parts := d.req.Prompt.Parts
	if !d.req.HasPrompt || len(parts) == 0 || d.version == 0 {
		return keptPlan{}
	}
	salt := saltOf(d.req, d.version)
	p := keptPlan{fetch: make([]string, len(parts)), save: make([]string, len(parts))}
	stored := d.gate.stores.index
	for i, part := range parts[:d.returning()] {
		source, found := stored.Source(salt, part)
		address := source.Address
		if !found {
			p.save[i] = stored.Target(now, salt, part, d.unitTime())
		}
		if !found || source.PerToken > linkTime(d.req.group.Engine) {
			// Engines have faster links than large stores, and more of them.
			address = cmp.Or(d.holder(now, salt, parts[:i+1]), address)
		}
		if address != "" {
			p.fetch[i] = address
			p.fetched += part.Tokens
		}
	}
	return p
}

// returning returns how many leading parts of the prompt may come back with
// other requests.
func (d *dispatch) returning() int {
	parts := d.req.Prompt.Parts
	if len(parts) == 0 || d.lastReturns {
		return len(parts)
	}
	return len(parts) - 1
}

// holder returns the address of another engine that is believed to cache the
// last of the parts, or nothing.
func (d *dispatch) holder(now time.Time, salt string, parts []Part) string {
	last := parts[len(parts)-1:]
	address := ""
	for _, u := range d.gate.usable(now, d.req.group.Name) {
		if u.ID == d.upstream.ID || u.Version(d.req.Prompt.Model) != d.version || d.gate.residency.Held(u.ID, salt, last) == 0 {
			continue
		}
		if u.FailureDomain == d.upstream.FailureDomain {
			return u.Address
		}
		address = u.Address
	}
	return address
}

// noteParts notes that the chosen engine is about to read the prompt.
func (d *dispatch) noteParts() {
	if !d.req.HasPrompt || len(d.req.Prompt.Parts) == 0 {
		return
	}
	salt := saltOf(d.req, d.version)
	d.gate.residency.Note(d.upstream.ID, salt, d.req.Prompt.Parts, cacheTokens(d.req.group.Engine))
	d.gate.peers.placed(d.upstream.ID, salt, d.req.Prompt.Parts[:d.returning()])
}

func cacheTokens(e *loomcatalogue.EngineClass) int {
	if e == nil || e.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return int(float64(e.MemoryTokens) * cacheShare)
}
