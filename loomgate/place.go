package loomgate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

const (
	// serviceTime is the time of one request at a plain service, spread over its
	// places; it only has to order upstreams.
	serviceTime = 3 * time.Millisecond
	// defaultTokenTime is how long an engine reads one token of a prompt until
	// it was measured: 112 to 125 tokens a millisecond at full speed.
	defaultTokenTime = 9 * time.Microsecond
	// recomputeWeight adds to the time of computing what it takes from others at
	// the same engine, and that parts are not to be read again.
	recomputeWeight = 2
	// moveWeight makes an engine that caches the parts preferred to one that has
	// to fetch them, since transfers share links.
	moveWeight = 3
	// cacheShare is the part of an engine's memory that is believed to keep parts
	// of prompts; running requests use the rest.
	cacheShare = 0.8
	// defaultMemoryTokens is used for an engine whose memory is not told.
	defaultMemoryTokens = 100_000
)

// choose picks the upstream of the next attempt.
func (d *dispatch) choose(now time.Time) *loomerror.Error {
	g, r := d.gate, d.req
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return loomerror.New(loomerror.NoUpstream, "no upstream of %q lives now", r.group.Name).WithRetryAfter(refusedRetryAfter)
	}
	if len(d.tried) > 0 && allSuspect(candidates) {
		// After one failure there is no sense in waiting for the next: an instance
		// that is cut off sends its callers on.
		return loomerror.New(loomerror.NoUpstream, "no upstream of %q can be reached now", r.group.Name).WithRetryAfter(refusedRetryAfter)
	}
	d.choice = g.policy.Choose(d.question(), candidates, g.newRandom())
	for _, u := range g.usable(now, r.group.Name) {
		if u.ID == d.choice.ID {
			d.upstream = u
		}
	}
	for _, c := range candidates {
		if c.ID == d.choice.ID {
			d.wait = c.Wait
		}
	}
	d.version = d.upstream.Version(r.Prompt.Model)
	return nil
}

// candidates returns the upstreams that may take the next attempt. Those that
// were tried are left out while there are others.
func (d *dispatch) candidates(now time.Time) []loomroute.Candidate {
	upstreams := d.gate.usable(now, d.req.group.Name)
	ids := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	ejected := make(map[string]bool)
	for _, id := range d.gate.fleet.Ejected(now, ids) {
		ejected[id] = true
	}
	var fresh, tried []loomroute.Candidate
	versions := make(map[string]uint64, len(upstreams))
	for _, u := range upstreams {
		versions[u.ID] = u.Version(d.req.Prompt.Model)
		if d.req.HasPrompt && d.gate.beliefs.expired(now, d.req.Prompt.Model, u.Version(d.req.Prompt.Model)) {
			continue
		}
		c := d.candidate(now, u)
		c.Suspect = ejected[u.ID] || d.gate.fleet.Suspect(now, u.ID)
		if d.wasTried(u.ID) {
			tried = append(tried, c)
			continue
		}
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	d.noteStored(fresh, versions)
	return fresh
}

func allSuspect(candidates []loomroute.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c loomroute.Candidate) bool { return !c.Suspect })
}

func (d *dispatch) candidate(now time.Time, u loommember.Upstream) loomroute.Candidate {
	c := loomroute.Candidate{ID: u.ID, FailureDomain: u.FailureDomain}
	estimate := d.gate.fleet.Estimate(now, u.ID, d.unitTime())
	c.Wait = estimate.Wait
	c.Outstanding = estimate.Outstanding
	if d.req.HasPrompt {
		version := u.Version(d.req.Prompt.Model)
		c.Held = d.gate.residency.Held(u.ID, saltOf(d.req, version), d.req.Prompt.Parts)
		if wanted := d.gate.beliefs.wanted(d.req.Prompt.Model); version < wanted {
			c.Wait += oldWeightsPenalty
		}
		c.BlockTime = d.moveTime(u, version)
		if over := estimate.Memory + d.memory() - runningTokens(d.req.group.Engine); over > 0 && estimate.Outstanding > 0 {
			c.Wait += fullMemoryWait + time.Duration(over)*d.unitTime()
		}
		if d.gate.rollout.loading(now, u.ID) {
			c.Wait += loadingPenalty
		}
	}
	return c
}

// runningTokens returns how many tokens running requests may hold at an engine.
func runningTokens(e *loomcatalogue.EngineClass) int {
	if e == nil || e.MemoryTokens == 0 {
		return defaultMemoryTokens
	}
	return int(float64(e.MemoryTokens) * runningShare)
}

const (
	// runningShare is the part of an engine's memory that running requests may
	// hold; beyond it they are preempted, and parts that return are evicted.
	runningShare = 1.0
	// fullMemoryWait is about the time until a running request ends.
	fullMemoryWait = 300 * time.Millisecond
	// oldWeightsPenalty prefers engines with the named weights when they are not
	// much slower.
	oldWeightsPenalty = 60 * time.Millisecond
	// loadingPenalty keeps work from an engine that loads weights.
	loadingPenalty = 2 * time.Second
)

// unitTime is how long one unit of work takes.
func (d *dispatch) unitTime() time.Duration {
	if !d.req.HasPrompt {
		return serviceTime
	}
	return d.gate.pace.tokenTime(d.req.group.Name)
}

// question is what the policy is asked about the request.
func (d *dispatch) question() loomroute.Request {
	q := loomroute.Request{
		BlockTokens:     1,
		FailureDomain:   d.gate.settings.FailureDomain,
		TokenTime:       d.unitTime(),
		RecomputeWeight: recomputeWeight,
	}
	if !d.req.HasPrompt {
		return q
	}
	q.Tokens = d.req.Prompt.Tokens
	q.BlockTime = linkTime(d.req.group.Engine) * moveWeight
	return q
}

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
