package loomroute

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Report is the load that an engine told of itself.
type Report struct {
	Model       string
	Version     uint64
	Incarnation uint64
	Adapters    []string
	// QueuedTokens counts prompt tokens that are waiting or being computed.
	QueuedTokens int
	Queued       int
	Running      int
	BatchLimit   int
	// MeasuredAt is when the load was as told.
	MeasuredAt time.Time
	// Event is the sequence number that the cache events had reached, and
	// CacheBlocks the capacity of the cache.
	Event       uint64
	CacheBlocks int
	Leaving     bool
	// LoadingVersion is that of the weights being loaded, or zero.
	LoadingVersion uint64
	FencingToken   uint64
}

const fleetShards = 32

// Fleet keeps the load of each upstream, corrected by what this instance has
// sent since the latest report. Its state lies in shards, each under its own
// lock; its methods may be called concurrently.
type Fleet struct {
	seed   maphash.Seed
	shards [fleetShards]fleetShard
}

type fleetShard struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	report     Report
	reportedAt time.Time
	// sent holds what this instance has sent and not seen answered.
	sent map[uint64]sentWork
	next uint64
	// failures counts attempts that broke since the last good one.
	failures int
	// ejectedUntil is when an outlier gets work again.
	ejectedUntil time.Time
	// downUntil is when an upstream that could not be reached is tried again, and
	// misses the number of times since it was last heard.
	downUntil time.Time
	misses    int
	// heardAt is when the upstream last sent anything to this instance.
	heardAt time.Time
	// peers holds what other instances told that they have under way here.
	peers map[string]peerLoad
}

type peerLoad struct {
	at          time.Time
	outstanding int
	tokens      int
	memory      int
}

// PeerLoad is what an instance has under way at an upstream.
type PeerLoad struct {
	ID          string
	Outstanding int
	// Tokens counts prompt tokens that are not computed yet.
	Tokens int
	// Memory counts the tokens that running requests hold.
	Memory int
}

// peerLoadMemory is how long a peer's word counts without a new one.
const peerLoadMemory = 1500 * time.Millisecond

// PeerLoads takes in all that a peer has under way.
func (f *Fleet) PeerLoads(now time.Time, peer string, loads []PeerLoad) {
	told := make(map[string]peerLoad, len(loads))
	for _, l := range loads {
		told[l.ID] = peerLoad{at: now, outstanding: l.Outstanding, tokens: l.Tokens, memory: l.Memory}
	}
	for i := range f.shards {
		f.shards[i].takePeer(peer, told)
	}
	for id, l := range told {
		s := f.shard(id)
		s.mu.Lock()
		s.load(id).setPeer(peer, l)
		s.mu.Unlock()
	}
}

// takePeer drops what a peer no longer tells.
func (s *fleetShard) takePeer(peer string, told map[string]peerLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.loads {
		if _, ok := told[id]; !ok {
			delete(l.peers, peer)
		}
	}
}

func (l *load) setPeer(peer string, p peerLoad) {
	if l.peers == nil {
		l.peers = make(map[string]peerLoad)
	}
	l.peers[peer] = p
}

// ofPeers adds up what peers have under way. Work shrinks at the rate of
// computing since it was told.
func (l *load) ofPeers(now time.Time, tokenTime time.Duration) (wait time.Duration, outstanding, memory int) {
	var latest time.Time
	for peer, p := range l.peers {
		if now.Sub(p.at) > peerLoadMemory {
			delete(l.peers, peer)
			continue
		}
		wait += time.Duration(p.tokens) * tokenTime
		outstanding += p.outstanding
		memory += p.memory
		if p.at.After(latest) {
			latest = p.at
		}
	}
	if wait > 0 {
		wait = max(wait-now.Sub(latest), 0)
	}
	return wait, outstanding, memory
}

// OwnLoads returns what this instance has under way at each upstream.
func (f *Fleet) OwnLoads() []PeerLoad {
	var loads []PeerLoad
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.loads {
			if len(l.sent) == 0 {
				continue
			}
			own := PeerLoad{ID: id, Outstanding: len(l.sent)}
			for _, w := range l.sent {
				own.Tokens += w.tokens
				own.Memory += w.memory
			}
			loads = append(loads, own)
		}
		s.mu.Unlock()
	}
	return loads
}

type sentWork struct {
	at     time.Time
	tokens int
	memory int
}

// Ticket names one piece of work that was sent to an upstream.
type Ticket struct {
	upstream string
	number   uint64
}

// NewFleet returns a fleet without upstreams.
func NewFleet() *Fleet {
	f := &Fleet{seed: maphash.MakeSeed()}
	for i := range f.shards {
		f.shards[i].loads = make(map[string]*load)
	}
	return f
}

func (f *Fleet) shard(id string) *fleetShard {
	return &f.shards[maphash.String(f.seed, id)%fleetShards]
}

func (s *fleetShard) load(id string) *load {
	l, ok := s.loads[id]
	if !ok {
		l = &load{sent: make(map[uint64]sentWork)}
		s.loads[id] = l
	}
	return l
}

// Report takes in what an upstream told.
func (f *Fleet) Report(now time.Time, id string, r Report) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.report = r
	l.reportedAt = now
}

// Latest returns the latest report of an upstream.
func (f *Fleet) Latest(id string) (Report, bool) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loads[id]
	if !ok || l.reportedAt.IsZero() {
		return Report{}, false
	}
	return l.report, true
}

// Sent notes that work was sent to an upstream. The ticket must be given back
// to Started or Done.
func (f *Fleet) Sent(now time.Time, id string, tokens int) Ticket {
	return f.SentWith(now, id, tokens, 0)
}

// SentWith is Sent for work that holds a number of tokens in the upstream's
// memory until it is done.
func (f *Fleet) SentWith(now time.Time, id string, tokens, memory int) Ticket {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.next++
	l.sent[l.next] = sentWork{at: now, tokens: tokens, memory: memory}
	return Ticket{upstream: id, number: l.next}
}

// Started notes that the upstream has computed the prompt of a ticket.
func (f *Fleet) Started(t Ticket) {
	s := f.shard(t.upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(t.upstream)
	if w, ok := l.sent[t.number]; ok {
		w.tokens = 0
		l.sent[t.number] = w
	}
}

// Done notes that a ticket's work has ended.
func (f *Fleet) Done(t Ticket) {
	s := f.shard(t.upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.load(t.upstream).sent, t.number)
}

const (
	// ejectAfter is the number of attempts in a row that break before an
	// upstream is ejected, and ejectTime for how long.
	ejectAfter = 5
	ejectTime  = 3 * time.Second
	// ejectPart bounds the ejected upstreams to one in so many.
	ejectPart = 3
)

// Broke notes that an attempt at an upstream broke.
func (f *Fleet) Broke(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.failures++
	if l.failures >= ejectAfter {
		l.failures = 0
		l.ejectedUntil = now.Add(ejectTime)
	}
}

const (
	// downTime is how long an upstream that could not be reached gets no work; a
	// process that was started again answers sooner than its entry shows. The time
	// doubles with each further miss, up to mostDownTime.
	downTime     = 700 * time.Millisecond
	mostDownTime = 2800 * time.Millisecond
	// silentTime is how long an upstream with work may send nothing to anyone
	// here before it counts as silent. Answers and events usually come every few
	// tens of milliseconds.
	silentTime = 600 * time.Millisecond
	// silentWork is the least work that tells a silent upstream from an idle one.
	silentWork = 2
)

// Unreachable notes that no connection to an upstream could be made.
func (f *Fleet) Unreachable(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.downUntil = now.Add(min(downTime<<min(l.misses, maxMisses), mostDownTime))
	l.misses++
}

// maxMisses bounds the doubling.
const maxMisses = 4

// Quiet reports whether an upstream has sent nothing for a while.
func (f *Fleet) Quiet(now time.Time, id string) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loads[id]
	return ok && now.Sub(l.heardAt) > silentTime
}

// Heard notes that an upstream sent something.
func (f *Fleet) Heard(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.heardAt = now
	l.downUntil = time.Time{}
	l.misses = 0
}

// Suspect reports whether an upstream could not be reached lately, or is silent
// although it has work. One that could not be reached gets a single request at a
// time until it is heard again.
func (f *Fleet) Suspect(now time.Time, id string) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loads[id]
	if !ok {
		return false
	}
	return now.Before(l.downUntil) || (l.misses > 0 && len(l.sent) > 0) || l.silent(now)
}

func (l *load) silent(now time.Time) bool {
	if now.Sub(l.heardAt) <= silentTime {
		return false
	}
	waiting := 0
	for _, w := range l.sent {
		if now.Sub(w.at) > silentTime {
			waiting++
		}
	}
	return waiting >= silentWork
}

// Worked notes that an attempt at an upstream ended well.
func (f *Fleet) Worked(id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).failures = 0
}

// Ejected returns which of the upstreams of a group are outliers, at most a
// third of them: those that were ejected last stay in.
func (f *Fleet) Ejected(now time.Time, ids []string) []string {
	var out []ejected
	for _, id := range ids {
		s := f.shard(id)
		s.mu.Lock()
		if l, ok := s.loads[id]; ok && now.Before(l.ejectedUntil) {
			out = append(out, ejected{id: id, until: l.ejectedUntil})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ejected) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.id, b.id))
	})
	var names []string
	for _, e := range out[:min(len(out), len(ids)/ejectPart)] {
		names = append(names, e.id)
	}
	return names
}

type ejected struct {
	id    string
	until time.Time
}

// Forget drops upstreams that are no longer wanted.
func (f *Fleet) Forget(keep []string) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.loads {
			if !slices.Contains(keep, id) && len(l.sent) == 0 {
				delete(s.loads, id)
			}
		}
		s.mu.Unlock()
	}
}

// Estimate is the corrected load of an upstream.
type Estimate struct {
	// Known is false until the upstream has reported.
	Known       bool
	Wait        time.Duration
	Outstanding int
	// Memory counts the tokens that running requests are believed to hold.
	Memory int
}

// Estimate returns the expected wait at an upstream. The reported queue is
// taken to shrink at the rate of computing since it was measured, and grows by
// what was sent after that moment.
func (f *Fleet) Estimate(now time.Time, id string, tokenTime time.Duration) Estimate {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loads[id]
	if !ok {
		return Estimate{}
	}
	reported := time.Duration(l.report.QueuedTokens)*tokenTime - now.Sub(l.report.MeasuredAt)
	fresh, freshTokens, tokens, memory := 0, 0, 0, 0
	for _, w := range l.sent {
		tokens += w.tokens
		memory += w.memory
		if w.at.After(l.report.MeasuredAt) {
			fresh++
			freshTokens += w.tokens
		}
	}
	wait := max(reported, 0) + time.Duration(freshTokens)*tokenTime
	wait = max(wait, time.Duration(tokens)*tokenTime)
	outstanding := max(l.report.Queued+l.report.Running+fresh, len(l.sent))
	peerWait, peerOutstanding, peerMemory := l.ofPeers(now, tokenTime)
	wait += peerWait
	outstanding += peerOutstanding
	if over := outstanding - l.report.BatchLimit; l.report.BatchLimit > 0 && over > 0 {
		wait += time.Duration(over) * batchSlotTime
	}
	return Estimate{Known: !l.reportedAt.IsZero(), Wait: wait, Outstanding: outstanding, Memory: memory + peerMemory}
}

// batchSlotTime is the expected time until one more place in a full batch is
// free.
const batchSlotTime = 10 * time.Millisecond
