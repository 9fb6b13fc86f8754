package loomroute

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// Report is the load that an engine reports of itself.
type Report struct {
	Model       string
	Version     uint64
	Incarnation uint64
	Adapters    []string
	// QueuedTokens is the number of prompt tokens that are queued or being
	// computed.
	QueuedTokens int
	Queued       int
	Running      int
	BatchLimit   int
	// MeasuredAt is the time at which the engine measured its load.
	MeasuredAt time.Time
	// Event is the sequence number of the engine's latest cache event, and
	// CacheBlocks the capacity of its cache in blocks.
	Event       uint64
	CacheBlocks int
	Leaving     bool
	// LoadingVersion is the version of the weights that are being loaded, or
	// zero.
	LoadingVersion uint64
	FencingToken   uint64
}

const fleetShards = 32

// Fleet tracks the load and the health of each upstream. It corrects the load
// that an upstream reported by the requests sent since, from this instance and
// from its peers. The state is sharded, with a lock per shard; the methods are
// safe for concurrent use.
type Fleet struct {
	seed   maphash.Seed
	shards [fleetShards]fleetShard
}

type fleetShard struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamLoad
}

type upstreamLoad struct {
	report     Report
	reportedAt time.Time
	// inFlight holds the requests of this instance that have not ended, by
	// ticket number.
	inFlight   map[uint64]inFlightWork
	nextTicket uint64
	// failures is the number of attempts that failed since the last success.
	failures int
	// ejectedUntil is when the ejection of an outlier ends.
	ejectedUntil time.Time
	// unreachableUntil is when an upstream that could not be reached is tried
	// again, and connectFailures the number of failures to connect since it last
	// sent anything.
	unreachableUntil time.Time
	connectFailures  int
	// receivedAt is when the upstream last sent anything to this instance.
	receivedAt time.Time
	// peers holds the load that other instances reported to have at this
	// upstream, by the ID of the instance.
	peers map[string]peerLoad
	// peerSum is the sum over peers.
	peerSum  peerSum
	contacts peerContacts
}

// peerSum is the sum of the loads of peers at an upstream. A choice reads it for each
// candidate, so it is kept up to date in place of being computed.
type peerSum struct {
	outstanding, tokens, memory int
	// oldestAt is no later than the oldest of the reports, latestAt the time of the latest.
	oldestAt, latestAt time.Time
}

func (s *peerSum) add(p peerLoad) {
	s.outstanding += p.outstanding
	s.tokens += p.tokens
	s.memory += p.memory
	if s.oldestAt.IsZero() || p.at.Before(s.oldestAt) {
		s.oldestAt = p.at
	}
	if p.at.After(s.latestAt) {
		s.latestAt = p.at
	}
}

// remove removes a load, whose time may stay the oldest or the latest.
func (s *peerSum) remove(p peerLoad) {
	s.outstanding -= p.outstanding
	s.tokens -= p.tokens
	s.memory -= p.memory
}

type peerLoad struct {
	at          time.Time
	outstanding int
	tokens      int
	memory      int
}

// PeerLoad is the load from the requests that one instance has in flight at an
// upstream.
type PeerLoad struct {
	ID          string
	Outstanding int
	// Tokens is the number of prompt tokens that are not computed yet.
	Tokens int
	// Memory is the number of tokens that the requests occupy in the upstream's
	// cache memory.
	Memory int
}

// peerLoadTTL is how long the load reported by a peer remains valid.
const peerLoadTTL = 1500 * time.Millisecond

// SetPeerLoads replaces the load of a peer at all upstreams by loads.
func (f *Fleet) SetPeerLoads(now time.Time, peer string, loads []PeerLoad) {
	byUpstream := make(map[string]peerLoad, len(loads))
	for _, l := range loads {
		byUpstream[l.ID] = peerLoad{at: now, outstanding: l.Outstanding, tokens: l.Tokens, memory: l.Memory}
	}
	for i := range f.shards {
		f.shards[i].removePeer(peer, byUpstream)
	}
	for id, l := range byUpstream {
		s := f.shard(id)
		s.mu.Lock()
		s.upstream(id).setPeerLoad(peer, l)
		s.mu.Unlock()
	}
}

// removePeer removes the load of a peer from the upstreams that are missing in
// its latest report.
func (s *fleetShard) removePeer(peer string, byUpstream map[string]peerLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.upstreams {
		if _, ok := byUpstream[id]; !ok {
			l.removePeerLoad(peer)
		}
	}
}

func (l *upstreamLoad) removePeerLoad(peer string) {
	p, ok := l.peers[peer]
	if !ok {
		return
	}
	delete(l.peers, peer)
	l.peerSum.remove(p)
	if len(l.peers) == 0 {
		l.peerSum = peerSum{}
	}
}

func (l *upstreamLoad) setPeerLoad(peer string, p peerLoad) {
	if l.peers == nil {
		l.peers = make(map[string]peerLoad)
	}
	l.peerSum.remove(l.peers[peer])
	l.peers[peer] = p
	l.peerSum.add(p)
}

// peerTotals sums the load of all peers and deletes expired reports. The wait
// is reduced by the time since the latest report, in which the upstream has
// continued to compute.
func (l *upstreamLoad) peerTotals(now time.Time, tokenTime time.Duration) (wait time.Duration, outstanding, memory int) {
	if now.Sub(l.peerSum.oldestAt) > peerLoadTTL {
		l.removeExpiredPeers(now)
	}
	sum := l.peerSum
	wait = time.Duration(sum.tokens) * tokenTime
	if wait > 0 {
		wait = max(wait-now.Sub(sum.latestAt), 0)
	}
	return wait, sum.outstanding, sum.memory
}

// removeExpiredPeers deletes expired reports and computes the sum anew.
func (l *upstreamLoad) removeExpiredPeers(now time.Time) {
	l.peerSum = peerSum{}
	for peer, p := range l.peers {
		if now.Sub(p.at) > peerLoadTTL {
			delete(l.peers, peer)
			continue
		}
		l.peerSum.add(p)
	}
}

// LocalLoads returns the load of this instance at each upstream where it has
// requests in flight.
func (f *Fleet) LocalLoads() []PeerLoad {
	var loads []PeerLoad
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.upstreams {
			if len(l.inFlight) == 0 {
				continue
			}
			own := PeerLoad{ID: id, Outstanding: len(l.inFlight)}
			for _, w := range l.inFlight {
				own.Tokens += w.tokens
				own.Memory += w.memory
			}
			loads = append(loads, own)
		}
		s.mu.Unlock()
	}
	return loads
}

// CombinedLoads returns the load of this instance and of its peers together at
// each upstream, without the peers in except.
func (f *Fleet) CombinedLoads(now time.Time, except []string) []PeerLoad {
	var loads []PeerLoad
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.upstreams {
			if sum := l.combined(now, except); sum.Outstanding > 0 {
				sum.ID = id
				loads = append(loads, sum)
			}
		}
		s.mu.Unlock()
	}
	return loads
}

// combined sums the load of this instance and of the peers that are not in
// except.
func (l *upstreamLoad) combined(now time.Time, except []string) PeerLoad {
	sum := PeerLoad{Outstanding: len(l.inFlight)}
	for _, w := range l.inFlight {
		sum.Tokens += w.tokens
		sum.Memory += w.memory
	}
	for peer, p := range l.peers {
		if now.Sub(p.at) > peerLoadTTL || slices.Contains(except, peer) {
			continue
		}
		sum.Outstanding += p.outstanding
		sum.Tokens += p.tokens
		sum.Memory += p.memory
	}
	return sum
}

// Outstanding returns the number of requests of this instance and of its peers, without
// those in except, that are in flight at an upstream.
func (f *Fleet) Outstanding(now time.Time, id string, except []string) int {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	return l.combined(now, except).Outstanding
}

// InFlight returns the number of requests of this instance that are in flight at an upstream.
func (f *Fleet) InFlight(id string) int {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.upstreams[id]; ok {
		return len(l.inFlight)
	}
	return 0
}

// MeanAge returns the mean time since the requests of this instance were sent that are
// in flight at an upstream, or zero if there are none.
func (f *Fleet) MeanAge(now time.Time, id string) time.Duration {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	if !ok || len(l.inFlight) == 0 {
		return 0
	}
	var sum time.Duration
	for _, w := range l.inFlight {
		sum += now.Sub(w.at)
	}
	return sum / time.Duration(len(l.inFlight))
}

// inFlightWork is a request that was sent to an upstream and has not ended.
type inFlightWork struct {
	at     time.Time
	tokens int
	memory int
}

// Ticket identifies a request in flight at an upstream.
type Ticket struct {
	upstream string
	number   uint64
}

// NewFleet returns a fleet without upstreams.
func NewFleet() *Fleet {
	f := &Fleet{seed: maphash.MakeSeed()}
	for i := range f.shards {
		f.shards[i].upstreams = make(map[string]*upstreamLoad)
	}
	return f
}

func (f *Fleet) shard(id string) *fleetShard {
	return &f.shards[maphash.String(f.seed, id)%fleetShards]
}

func (s *fleetShard) upstream(id string) *upstreamLoad {
	l, ok := s.upstreams[id]
	if !ok {
		l = &upstreamLoad{inFlight: make(map[uint64]inFlightWork)}
		s.upstreams[id] = l
	}
	return l
}

// Report stores the latest report of an upstream.
func (f *Fleet) Report(now time.Time, id string, r Report) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(id)
	l.report = r
	l.reportedAt = now
}

// Latest returns the latest report of an upstream.
func (f *Fleet) Latest(id string) (Report, bool) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	if !ok || l.reportedAt.IsZero() {
		return Report{}, false
	}
	return l.report, true
}

// RecordSent records that a request with a number of prompt tokens was sent to an
// upstream. The caller must call Done with the ticket when the request ends.
func (f *Fleet) RecordSent(now time.Time, id string, tokens int) Ticket {
	return f.RecordSentWithMemory(now, id, tokens, 0)
}

// RecordSentWithMemory is like RecordSent for a request that occupies a number
// of tokens of the upstream's cache memory until it ends.
func (f *Fleet) RecordSentWithMemory(now time.Time, id string, tokens, memory int) Ticket {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(id)
	l.nextTicket++
	l.inFlight[l.nextTicket] = inFlightWork{at: now, tokens: tokens, memory: memory}
	return Ticket{upstream: id, number: l.nextTicket}
}

// Started records that the upstream has computed the prompt of a request.
func (f *Fleet) Started(t Ticket) {
	s := f.shard(t.upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(t.upstream)
	if w, ok := l.inFlight[t.number]; ok {
		w.tokens = 0
		l.inFlight[t.number] = w
	}
}

// Done records that a request has ended.
func (f *Fleet) Done(t Ticket) {
	s := f.shard(t.upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstream(t.upstream).inFlight, t.number)
}

const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected, and ejectionTime the duration of the ejection.
	ejectAfterFailures = 5
	ejectionTime       = 3 * time.Second
	// maxEjectedDivisor bounds the ejected upstreams of a group: at most one in
	// maxEjectedDivisor.
	maxEjectedDivisor = 3
)

// RecordFailure records that an attempt at an upstream failed. Consecutive
// failures eject the upstream.
func (f *Fleet) RecordFailure(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(id)
	l.failures++
	if l.failures >= ejectAfterFailures {
		l.failures = 0
		l.ejectedUntil = now.Add(ejectionTime)
	}
}

const (
	// minUnreachableTime is how long an upstream is suspect after a failure to
	// connect. It is short because a restarted process accepts connections before
	// its membership entry is updated. The time doubles with each further
	// failure, up to maxUnreachableTime.
	minUnreachableTime = 700 * time.Millisecond
	maxUnreachableTime = 2800 * time.Millisecond
	// silenceTimeout is how long an upstream with requests in flight may send
	// nothing to this instance before it counts as silent. Tokens and events
	// usually arrive every few tens of milliseconds.
	silenceTimeout = 600 * time.Millisecond
	// minSilentRequests is the number of requests that must be without an answer
	// for silenceTimeout before an upstream counts as silent rather than idle.
	minSilentRequests = 2
)

// Unreachable records that no connection to an upstream could be made.
func (f *Fleet) Unreachable(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(id)
	l.unreachableUntil = now.Add(unreachableTime(l.connectFailures))
	l.connectFailures++
}

// unreachableTime returns how long an upstream is suspect after a number of earlier failures.
func unreachableTime(failures int) time.Duration {
	return min(minUnreachableTime<<min(failures, maxUnreachableDoublings), maxUnreachableTime)
}

// maxUnreachableDoublings bounds the exponent of the unreachable time, so that
// the shift does not overflow.
const maxUnreachableDoublings = 4

// IsSilent reports whether a known upstream has sent nothing to this instance for
// longer than silenceTimeout, whether or not it has requests in flight.
func (f *Fleet) IsSilent(now time.Time, id string) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	return ok && now.Sub(l.receivedAt) > silenceTimeout
}

// RecordReceived records that an upstream sent something, which shows that it is
// reachable.
func (f *Fleet) RecordReceived(now time.Time, id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.upstream(id)
	l.receivedAt = now
	l.unreachableUntil = time.Time{}
	l.connectFailures = 0
	l.contacts.reached(now)
}

// IsSuspect reports whether a recent connection to an upstream failed, or the
// upstream is silent although it has requests in flight. An upstream that could
// not be reached is suspect again, after the unreachable time, while a request is
// in flight there; thus it gets one request at a time until it answers.
func (f *Fleet) IsSuspect(now time.Time, id string) bool {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	return ok && l.isSuspect(now)
}

func (l *upstreamLoad) isSuspect(now time.Time) bool {
	return now.Before(l.unreachableUntil) || (l.connectFailures > 0 && len(l.inFlight) > 0) || l.isSilent(now) ||
		l.contacts.isSuspect(now, len(l.inFlight))
}

// isSilent reports whether the upstream has sent nothing for silenceTimeout
// although at least minSilentRequests requests are older than that.
func (l *upstreamLoad) isSilent(now time.Time) bool {
	if now.Sub(l.receivedAt) <= silenceTimeout {
		return false
	}
	waiting := 0
	for _, w := range l.inFlight {
		if now.Sub(w.at) > silenceTimeout {
			waiting++
		}
	}
	return waiting >= minSilentRequests
}

// RecordSuccess records that an attempt at an upstream succeeded, which resets
// the count of consecutive failures.
func (f *Fleet) RecordSuccess(id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstream(id).failures = 0
}

// Ejected returns the upstreams of a group that are ejected as outliers, at most
// one third of the group. Beyond that the most recently ejected ones stay in
// service.
func (f *Fleet) Ejected(now time.Time, ids []string) []string {
	var out []ejection
	for _, id := range ids {
		s := f.shard(id)
		s.mu.Lock()
		if l, ok := s.upstreams[id]; ok && now.Before(l.ejectedUntil) {
			out = append(out, ejection{id: id, until: l.ejectedUntil})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ejection) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.id, b.id))
	})
	var names []string
	for _, e := range out[:min(len(out), len(ids)/maxEjectedDivisor)] {
		names = append(names, e.id)
	}
	return names
}

// ejection is an ejected upstream and the end of its ejection.
type ejection struct {
	id    string
	until time.Time
}

// Retain removes all upstreams that are not in keep and have no requests of this
// instance in flight.
func (f *Fleet) Retain(keep []string) {
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for id, l := range s.upstreams {
			if !slices.Contains(keep, id) && len(l.inFlight) == 0 {
				delete(s.upstreams, id)
			}
		}
		s.mu.Unlock()
	}
}

// Estimate is the estimated load of an upstream.
type Estimate struct {
	// Known is false until the upstream has reported.
	Known bool
	// Wait is the expected time until the upstream starts on another prompt.
	Wait time.Duration
	// Outstanding is the number of queued and running requests.
	Outstanding int
	// Memory is the number of tokens that the requests of this instance and its
	// peers occupy in the upstream's cache memory.
	Memory int
	// IsSuspect is as Fleet.IsSuspect returns it.
	IsSuspect bool
}

// Estimate returns the estimated load of an upstream. The reported queue is
// assumed to have shrunk by one token per tokenTime since it was measured, and
// to have grown by the requests that were sent after that moment.
func (f *Fleet) Estimate(now time.Time, id string, tokenTime time.Duration) Estimate {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.upstreams[id]
	if !ok {
		return Estimate{}
	}
	reported := time.Duration(l.report.QueuedTokens)*tokenTime - now.Sub(l.report.MeasuredAt)
	newRequests, newTokens, tokens, memory := 0, 0, 0, 0
	for _, w := range l.inFlight {
		tokens += w.tokens
		memory += w.memory
		if w.at.After(l.report.MeasuredAt) {
			newRequests++
			newTokens += w.tokens
		}
	}
	wait := max(reported, 0) + time.Duration(newTokens)*tokenTime
	wait = max(wait, time.Duration(tokens)*tokenTime)
	outstanding := max(l.report.Queued+l.report.Running+newRequests, len(l.inFlight))
	peerWait, peerOutstanding, peerMemory := l.peerTotals(now, tokenTime)
	wait += peerWait
	outstanding += peerOutstanding
	if over := outstanding - l.report.BatchLimit; l.report.BatchLimit > 0 && over > 0 {
		wait += time.Duration(over) * batchSlotTime
	}
	return Estimate{Known: !l.reportedAt.IsZero(), Wait: wait, Outstanding: outstanding, Memory: memory + peerMemory, IsSuspect: l.isSuspect(now)}
}

// batchSlotTime is the expected time until the next slot of a full batch becomes
// free.
const batchSlotTime = 10 * time.Millisecond
