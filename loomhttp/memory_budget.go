package loomhttp

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connBytes is what an accepted connection costs: two goroutines with their stacks, the
	// buffers of http.Server and the records about it. 11 to 19 KiB were measured.
	connBytes = 20 << 10
	// smallRequestBytes is the most that a request may hold and still count as small. It covers
	// an ordinary head and a body of 64 KiB.
	smallRequestBytes = 80 << 10
	// minRate is the least rate in bytes per second at which a caller makes progress, and
	// progressGrace the time for which it may fall short of it. A body of 4 MiB at this
	// rate takes longer than any deadline in use.
	minRate       = 32 << 10
	progressGrace = time.Second
	// firstByteGrace is the time that a connection may stay without a byte after it was
	// accepted, and idleGrace that after a response. Callers send the first request as soon
	// as the connection is established.
	firstByteGrace = 500 * time.Millisecond
	idleGrace      = time.Second
	// scanInterval is the time between two searches for connections to close after one that
	// found none, which bounds their cost while many requests are refused.
	scanInterval = 10 * time.Millisecond
)

// Shares of a budget. Answers have one of their own, since a request that runs ends only with its
// answer: 0.3 of the smallest budget, 50 MiB, is room for one of 8 MiB that has grown from 4 MiB.
// Connections and requests have the rest. What is above the sum of connShare and largeShare is
// left to small requests.
const (
	connShare   = 0.25
	largeShare  = 0.4
	smallShare  = 0.7
	answerShare = 0.3
	// eventShare bounds what answers may hold once memory was given for an event of a stream.
	// The rest of answerShare is left to other answers.
	eventShare = 0.2
)

// part is the part of a budget that bytes belong to.
type part int

const (
	partRequests part = iota
	partAnswers
	partCount
)

// amounts are bytes by part.
type amounts [partCount]int64

func (a amounts) sum() int64 {
	return a[partRequests] + a[partAnswers]
}

// phase is what a connection is doing.
type phase int32

const (
	// phaseHead is the time until the head of a request is complete.
	phaseHead phase = iota
	// phaseBody is the time in which a handler may read the body, or has ended without.
	phaseBody
	// phaseRun is the time in which the request may run. A connection is never shed in it.
	phaseRun
	// phaseWrite is the time in which a write waits for the caller.
	phaseWrite
	// phaseIdle is the time between two requests.
	phaseIdle
	phaseCount
)

// String returns the name of the phase in snake case.
func (p phase) String() string {
	return [phaseCount]string{"head", "body", "run", "answer", "idle"}[p]
}

// MemoryBudget bounds the bytes that a process holds for the callers of HTTP servers: their
// connections, heads at the cost of the parsed fields, bodies, and answers until the
// callers have read them. It decides what is admitted and, when there is no room, which
// connections are shed: those that make the least progress and hold most first, and first
// those of addresses that hold more than a fair part. It reads no clock and closes nothing by
// itself. Its methods may be called concurrently.
type MemoryBudget struct {
	size     int64
	maxConns int
	// start is the time from which the times of holders are counted.
	start time.Time

	mu sync.Mutex
	// held is the sum of what holders hold, and leaving the part of it whose holders are
	// being shed.
	held, leaving amounts
	leavingConns  int
	holders       map[*holder]struct{}
	byAddress     map[netip.Addr]int64
	// scanAfter is the time before which no search for victims is made, for each use.
	scanAfter [len(useNames)]time.Time
	// freed is closed when something is released, and nil if nobody waits for it.
	freed chan struct{}
	stats MemoryStats
}

// MemoryStats tells what a MemoryBudget holds, and what it has decided since it was asked last.
type MemoryStats struct {
	// Size, Held and Peak are in bytes; Peak is the most that was held at a time.
	Size, Held, Peak int64
	Conns            int
	// Shed counts the connections that were shed, by phase ("head", "body", "answer" or
	// "idle"), and Refused the requests ("small", "large") and connections ("conn") that
	// found no room.
	Shed    map[string]int64
	Refused map[string]int64
}

// use is what memory is asked for.
type use int

const (
	useConn use = iota
	useSmall
	useLarge
	// useAnswer is for the answer to a request that may have run. It is never refused.
	useAnswer
	// useEvent is for a long event of a stream that runs. It doesn't wait for room.
	useEvent
)

var useNames = [...]string{"conn", "small", "large", "answer", "event"}

// NewMemoryBudget returns a budget of size bytes that admits at most maxConns connections at
// a time, or as many as half of the size allows if maxConns is zero.
func NewMemoryBudget(now time.Time, size int64, maxConns int) *MemoryBudget {
	room := max(int(float64(size)*connShare)/connBytes, 1)
	if maxConns <= 0 || maxConns > room {
		maxConns = room
	}
	return &MemoryBudget{
		size:      size,
		maxConns:  maxConns,
		start:     now,
		holders:   make(map[*holder]struct{}),
		byAddress: make(map[netip.Addr]int64),
		stats:     newMemoryStats(size),
	}
}

// Stats returns what is held, and what was decided since the last call.
func (b *MemoryBudget) Stats() MemoryStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Held, s.Conns = b.held.sum(), len(b.holders)
	b.stats = newMemoryStats(b.size)
	b.stats.Peak = s.Held
	return s
}

func newMemoryStats(size int64) MemoryStats {
	return MemoryStats{Size: size, Shed: make(map[string]int64), Refused: make(map[string]int64)}
}

// holder is one connection with what is held for it.
type holder struct {
	budget  *MemoryBudget
	address netip.Addr
	// conn is told to shed the connection. It is nil in tests.
	conn *callerConn

	phase atomic.Int32
	// paidUntil is until when the progress so far lasts, in nanoseconds since
	// MemoryBudget.start.
	paidUntil atomic.Int64

	// The fields below are guarded by MemoryBudget.mu.
	held      amounts
	isLeaving bool
}

// shedding is a connection that is to be shed, as it was when that was decided.
type shedding struct {
	holder *holder
	phase  phase
	held   int64
	// slow is how long the connection has made too little progress.
	slow time.Duration
}

// open admits a connection from address, or returns nil. The connections to be shed make room
// for it.
func (b *MemoryBudget) open(now time.Time, address netip.Addr, conn *callerConn) (*holder, []shedding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &holder{budget: b, address: address, conn: conn}
	h.enter(now, phaseHead, firstByteGrace)
	var shed []shedding
	if len(b.holders) >= b.maxConns {
		// What is being shed takes up to a second to close. A quarter more connections may be
		// open meanwhile.
		need := int64(max(len(b.holders)-b.leavingConns-b.maxConns+1, 0)) * connBytes
		var ok bool
		shed, ok = b.chooseVictims(now, h, need, useConn)
		if !ok || len(b.holders) >= b.maxConns+b.maxConns/4 {
			b.stats.Refused[useNames[useConn]]++
			return nil, shed
		}
	}
	b.holders[h] = struct{}{}
	b.add(h, partRequests, connBytes)
	return h, shed
}

// add records n bytes more or less for h. b.mu must be held.
func (b *MemoryBudget) add(h *holder, p part, n int64) {
	b.held[p] += n
	h.held[p] += n
	b.byAddress[h.address] += n
	if h.isLeaving {
		b.leaving[p] += n
	}
	if b.byAddress[h.address] == 0 {
		delete(b.byAddress, h.address)
	}
	b.stats.Peak = max(b.stats.Peak, b.held.sum())
	if n < 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// ceiling returns how much may be held in the part of u after memory was given for it.
func (b *MemoryBudget) ceiling(u use) int64 {
	share := smallShare
	switch u {
	case useConn:
		share = connShare
	case useLarge:
		share = largeShare
	case useAnswer:
		share = answerShare
	case useEvent:
		share = eventShare
	case useSmall:
	}
	return int64(float64(b.size) * share)
}

// part returns the part that memory for u belongs to.
func (u use) part() part {
	if u == useAnswer || u == useEvent {
		return partAnswers
	}
	return partRequests
}

// grow gives h another n bytes for u if there is room. If there is none, it returns the connections
// to be shed and a channel that is closed when something was released, or a nil channel if
// nothing is being shed that would make room.
func (b *MemoryBudget) grow(now time.Time, h *holder, n int64, u use) (ok bool, shed []shedding, freed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		// The server was closed while the request runs. Nothing would give the bytes back.
		return true, nil, nil
	}
	p := u.part()
	over := b.held[p] + n - b.ceiling(u)
	if over <= 0 {
		b.add(h, p, n)
		return true, nil, nil
	}
	if u == useEvent {
		return false, nil, nil
	}
	shed, ok = b.chooseVictims(now, h, over-b.leaving[p], u)
	if !ok && u == useLarge {
		return false, shed, nil
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return false, shed, b.freed
}

// refused counts a request that is refused since there is no room.
func (b *MemoryBudget) refused(u use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused[useNames[u]]++
}

// release takes back n bytes of h, first of the part p.
func (b *MemoryBudget) release(h *holder, p part, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		return
	}
	first := min(n, h.held[p])
	b.add(h, p, -first)
	b.add(h, partCount-1-p, first-n)
}

// close takes back everything of h.
func (b *MemoryBudget) close(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		return
	}
	b.setLeaving(h, false)
	b.add(h, partRequests, -h.held[partRequests])
	b.add(h, partAnswers, -h.held[partAnswers])
	delete(b.holders, h)
}

// setLeaving records whether h is being shed. b.mu must be held.
func (b *MemoryBudget) setLeaving(h *holder, isLeaving bool) {
	if h.isLeaving == isLeaving {
		return
	}
	h.isLeaving = isLeaving
	sign := int64(-1)
	if isLeaving {
		sign = 1
	}
	for p, n := range h.held {
		b.leaving[p] += sign * n
	}
	b.leavingConns += int(sign)
}

// keep records that h was not shed after all, since it has made progress.
func (b *MemoryBudget) keep(h *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLeaving(h, false)
}

// fairPart returns what each address may hold under pressure: its part of what large requests may
// hold. b.mu must be held.
func (b *MemoryBudget) fairPart(address netip.Addr) int64 {
	n := len(b.byAddress)
	if _, ok := b.byAddress[address]; !ok {
		n++
	}
	return b.ceiling(useLarge) / int64(n)
}

// chooseVictims chooses connections that hold at least need bytes and records that they are being
// shed. It returns false if there are not enough. A requester whose address holds more than
// its fair part makes only connections of the same address close. b.mu must be held.
func (b *MemoryBudget) chooseVictims(now time.Time, requester *holder, need int64, u use) ([]shedding, bool) {
	if need <= 0 {
		return nil, true
	}
	if now.Before(b.scanAfter[u]) {
		return nil, false
	}
	fair := b.fairPart(requester.address)
	isOverFair := b.byAddress[requester.address]+connBytes > fair && len(b.byAddress) > 1
	var candidates []shedding
	for h := range b.holders {
		if h == requester || h.isLeaving || (isOverFair && h.address != requester.address) {
			continue
		}
		if h.held[u.part()] == 0 {
			continue
		}
		if c, ok := h.victim(now, u, !isOverFair && b.byAddress[h.address] > fair); ok {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(x, y shedding) int { return cmp.Compare(y.score(), x.score()) })
	var chosen []shedding
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		need -= c.holder.held[u.part()]
		b.setLeaving(c.holder, true)
		b.stats.Shed[c.phase.String()]++
		chosen = append(chosen, c)
	}
	if need > 0 {
		b.scanAfter[u] = now.Add(scanInterval)
	}
	return chosen, need <= 0
}

// victim returns h as a connection to be shed for u, if it may be. That is one that makes too little
// progress. Of those whose request is still being read, it is also one whose address holds
// too much, a large one if a small request or a connection asks, and a connection without a
// byte if another one asks. A connection whose bytes have not been read yet is kept in the end.
func (h *holder) victim(now time.Time, u use, isAddressOver bool) (shedding, bool) {
	p := phase(h.phase.Load())
	c := shedding{holder: h, phase: p, held: h.held.sum(), slow: now.Sub(h.budget.start) - time.Duration(h.paidUntil.Load())}
	switch p {
	case phaseRun:
		return c, false
	case phaseHead, phaseBody:
		isLarge := (u == useConn || u == useSmall) && c.held > connBytes+smallRequestBytes
		isSilent := u == useConn && p == phaseHead && c.held == connBytes
		return c, c.slow > 0 || isAddressOver || isLarge || isSilent
	default:
		return c, c.slow > 0
	}
}

// score orders connections to be shed: by the bytes held times the time since the last progress.
func (s shedding) score() float64 {
	return float64(s.held) * max(s.slow+progressGrace, time.Millisecond).Seconds()
}

// enter records that h begins a phase, in which it may make no progress for grace.
func (h *holder) enter(now time.Time, p phase, grace time.Duration) {
	h.paidUntil.Store(int64(now.Add(grace).Sub(h.budget.start)))
	h.phase.Store(int32(p))
}

// progress records that the caller has sent or read n bytes.
func (h *holder) progress(now time.Time, n int) {
	at := now.Sub(h.budget.start)
	paid := max(time.Duration(h.paidUntil.Load()), at) + time.Duration(n)*time.Second/minRate
	h.paidUntil.Store(int64(min(paid, at+progressGrace)))
}
