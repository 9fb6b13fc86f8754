package loomhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// ErrOverloaded is the cause of errors that say that there is no memory for a request.
var ErrOverloaded = errors.New("no memory for the request")

const (
	// grantBytes is the unit in which memory is taken from the budget, so that an ordinary
	// request takes it once.
	grantBytes = 8 << 10
	// smallWait and largeWait bound the wait for connections that are being shed. An answer is
	// waited for until the deadline of its request, and looked for connections to shed
	// each roomInterval.
	smallWait    = 250 * time.Millisecond
	largeWait    = 500 * time.Millisecond
	roomInterval = 50 * time.Millisecond
	// writePiece is the most that is written at once, so that progress is seen.
	writePiece = 64 << 10
	// refusalTimeout bounds the writing of a refusal, and lingerTime and lingerBytes what is
	// read after it so that the caller can read it before the connection is reset.
	refusalTimeout = 100 * time.Millisecond
	lingerTime     = 250 * time.Millisecond
	lingerBytes    = 256 << 10
)

// headRefusal is the response to a request whose head finds no room.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: 1\r\nContent-Length: 11\r\nConnection: close\r\n\r\noverloaded\n"

// Rejection tells what was shed or refused for lack of memory.
type Rejection struct {
	Address netip.Addr
	// IsShed is set for an open connection that was shed, and unset for a request or a new
	// connection that found no room.
	IsShed bool
	// What is the phase of a connection that was shed ("head", "body", "answer" or "idle"),
	// or what was refused ("conn", "small" or "large" request).
	What string
	// Held is what the connection held, in bytes, and Slow how long it made too little
	// progress.
	Held int64
	Slow time.Duration
}

// connMemory is the part of a callerConn that belongs to a MemoryBudget. Except holder, its fields
// are guarded by callerConn.mu.
type connMemory struct {
	// holder is nil without a budget.
	holder *holder
	// used is what the current request has asked for, in bytes, and granted what the budget
	// has given for it.
	used, granted int64
	meter         headMeter
	// isShed is set while the connection is to be closed for lack of memory, and
	// isShedAsSlow if that is for too little progress.
	isShed, isShedAsSlow bool
	// lingers is set if a request was refused before its body was read: a connection that is
	// closed with unread bytes is reset, and the caller may not see the refusal.
	lingers bool
}

// enter records that a phase begins. c.mu must be held.
func (c *callerConn) enter(p phase, grace time.Duration) {
	if c.holder != nil {
		c.holder.enter(time.Now(), p, grace)
	}
}

// openMemory asks the budget for room for the connection, and reports whether there is some.
func (c *callerConn) openMemory(now time.Time, b *MemoryBudget) bool {
	var address netip.Addr
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr().Unmap()
	}
	var shed []shedding
	c.holder, shed = b.open(now, address, c)
	c.shedAll(shed)
	if c.holder == nil {
		c.reject(Rejection{Address: address, What: useNames[useConn]})
	}
	return c.holder != nil
}

func (c *callerConn) reject(r Rejection) {
	if c.all.rejected != nil {
		c.all.rejected(r)
	}
}

// shedAll closes connections, or wakes the goroutines that do.
func (c *callerConn) shedAll(victims []shedding) {
	for _, v := range victims {
		c.reject(Rejection{Address: v.holder.address, IsShed: true, What: v.phase.String(), Held: v.held, Slow: max(v.slow, 0)})
		v.holder.conn.shed(v.phase, v.slow > 0)
	}
}

// shed makes the goroutine that serves c end it, if c is still in phase p.
func (c *callerConn) shed(p phase, isSlow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || phase(c.holder.phase.Load()) != p {
		c.holder.budget.keep(c.holder)
		return
	}
	c.isShed, c.isShedAsSlow = true, isSlow
	if p == phaseWrite {
		_ = c.SetWriteDeadline(past)
	}
	_ = c.Conn.SetReadDeadline(past)
}

// unshed keeps a connection that was to be shed. c.mu must be held.
func (c *callerConn) unshed() {
	if !c.isShed {
		return
	}
	c.isShed = false
	c.holder.budget.keep(c.holder)
	_ = c.Conn.SetReadDeadline(c.deadline())
}

// endShed decides on a read of a connection that is to be shed. It returns nil if the read is to
// be repeated, since the process has not read what the caller had sent. c.mu must be held.
func (c *callerConn) endShed() error {
	p := phase(c.holder.phase.Load())
	isEmpty := p == phaseIdle || (p == phaseHead && !c.isUsed)
	if (c.isShedAsSlow || isEmpty) && p != phaseWrite && hasUnread(c.Conn) {
		c.holder.progress(time.Now(), minRate)
		c.unshed()
		return nil
	}
	switch {
	case isEmpty:
		if !c.isClosed {
			c.isClosed = true
			_ = c.Conn.Close()
		}
		return net.ErrClosed
	case p == phaseHead:
		c.writeHeadRefusal()
		return readError(ErrOverloaded)
	default:
		c.lingers = p == phaseBody
		return ErrOverloaded
	}
}

// readError returns err in a form that http.Server does not answer.
func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

func (c *callerConn) writeHeadRefusal() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, headRefusal)
}

// refuseHead refuses the request whose head is being read, and returns the error of the read.
func (c *callerConn) refuseHead(err error) error {
	c.writeHeadRefusal()
	c.linger()
	return readError(err)
}

// linger ends the writing side and reads for some time what the caller still sends.
func (c *callerConn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(c.Conn, lingerBytes), make([]byte, 2<<10))
}

// meterRead records what a read has brought, and returns what it costs as a part of a head. c.mu
// must be held.
func (c *callerConn) meterRead(now time.Time, b []byte) int64 {
	p := phase(c.holder.phase.Load())
	if p == phaseHead || p == phaseBody {
		c.holder.progress(now, len(b))
	}
	if p == phaseHead {
		return c.meter.add(b)
	}
	return 0
}

// reserve reserves n bytes for u; for a request, that is useSmall or useLarge by what it holds. It
// waits while connections are being shed for them, and for an answer until done is closed.
func (c *callerConn) reserve(n int64, u use, done <-chan struct{}) error {
	if c.holder == nil {
		return nil
	}
	c.mu.Lock()
	c.used += n
	need := c.used - c.granted
	if u.part() == partRequests {
		u = useSmall
		if c.used > smallRequestBytes {
			u = useLarge
		}
	}
	c.mu.Unlock()
	if need <= 0 {
		return nil
	}
	need = (need + grantBytes - 1) / grantBytes * grantBytes
	err := c.awaitRoom(need, u, done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.used -= n
		return err
	}
	c.granted += need
	return nil
}

// awaitRoom takes n bytes from the budget.
func (c *callerConn) awaitRoom(n int64, u use, done <-chan struct{}) error {
	b := c.holder.budget
	var until time.Time
	for {
		now := time.Now()
		ok, shed, freed := b.grow(now, c.holder, n, u)
		c.shedAll(shed)
		if ok {
			return nil
		}
		if until.IsZero() {
			until = now.Add(smallWait)
			if u == useLarge {
				until = now.Add(largeWait)
			}
		}
		if freed == nil || (u != useAnswer && !now.Before(until)) {
			b.refused(u)
			c.reject(Rejection{Address: c.holder.address, What: useNames[u], Held: c.held()})
			return errors.Trace(ErrOverloaded)
		}
		timer := time.NewTimer(roomInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-done:
			timer.Stop()
			return errors.Trace(ErrOverloaded)
		}
		timer.Stop()
	}
}

// held returns what the current request has been given.
func (c *callerConn) held() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.granted
}

// unreserve gives back n bytes that were reserved in part p.
func (c *callerConn) unreserve(p part, n int64) {
	if c.holder == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used -= n
	if excess := (c.granted - c.used) / grantBytes * grantBytes; excess > 0 {
		c.granted -= excess
		c.holder.budget.release(c.holder, p, excess)
	}
}

// releaseRequest gives back everything that the last request was given. c.mu must be held.
func (c *callerConn) releaseRequest() {
	if c.holder == nil {
		return
	}
	c.holder.budget.release(c.holder, partAnswers, c.granted)
	c.used, c.granted, c.meter = 0, 0, headMeter{}
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.holder == nil {
		return c.Conn.Write(b)
	}
	before := c.changePhase(phaseWrite)
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
		if written == len(b) {
			c.changePhase(before)
			return written, nil
		}
		c.holder.progress(time.Now(), n)
	}
}

// changePhase begins a phase and returns the one before.
func (c *callerConn) changePhase(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := phase(c.holder.phase.Load())
	c.enter(p, progressGrace)
	return before
}

// RequestMemory is the memory of a request that a Server with a MemoryBudget serves. Of the zero
// value, and of a request of another server, nothing is bounded.
type RequestMemory struct {
	conn *callerConn
}

// MemoryOf returns the memory of the request with the context ctx.
func MemoryOf(ctx context.Context) RequestMemory {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || c.holder == nil {
		return RequestMemory{}
	}
	return RequestMemory{conn: c}
}

// Admit reserves the memory of the head of r as far as it was not counted when it arrived, which
// a request that was sent ahead was not. A handler calls it first. An error, of Reserve too, has
// the cause ErrOverloaded: the request must be refused.
func (m RequestMemory) Admit(r *http.Request) error {
	if m.conn == nil {
		return nil
	}
	var cost int64
	for name, values := range r.Header {
		for _, v := range values {
			cost += 2*int64(len(name)+len(v)) + headFieldBytes
		}
	}
	m.conn.mu.Lock()
	cost -= m.conn.used
	m.conn.mu.Unlock()
	if cost <= 0 {
		return nil
	}
	return m.conn.reserve(cost, useSmall, nil)
}

// Reserve reserves n bytes for the body of the request. It waits for some hundred milliseconds
// at most.
func (m RequestMemory) Reserve(n int64) error {
	if m.conn == nil {
		return nil
	}
	return m.conn.reserve(n, useSmall, nil)
}

// ReserveAnswer reserves n bytes for the answer. It waits until ctx ends.
func (m RequestMemory) ReserveAnswer(ctx context.Context, n int64) error {
	if m.conn == nil {
		return nil
	}
	return m.conn.reserve(n, useAnswer, ctx.Done())
}

// ReserveEvent reserves n bytes for an event of a stream, which ReleaseAnswer gives back. It fails at
// once if there is no room, so that streams that hold much don't keep other answers waiting.
func (m RequestMemory) ReserveEvent(n int64) error {
	if m.conn == nil {
		return nil
	}
	return m.conn.reserve(n, useEvent, nil)
}

// Release gives back n bytes of Reserve. What is left is given back after the response.
func (m RequestMemory) Release(n int64) {
	if m.conn != nil {
		m.conn.unreserve(partRequests, n)
	}
}

// ReleaseAnswer gives back n bytes of ReserveAnswer.
func (m RequestMemory) ReleaseAnswer(n int64) {
	if m.conn != nil {
		m.conn.unreserve(partAnswers, n)
	}
}

// BeginRun records that the body has been read and the request may run from now on. Its error
// says that the connection is being closed for lack of memory, and that the request must not run.
func (m RequestMemory) BeginRun() error {
	if m.conn == nil {
		return nil
	}
	m.conn.mu.Lock()
	defer m.conn.mu.Unlock()
	if m.conn.isShed {
		return errors.Trace(ErrOverloaded)
	}
	m.conn.enter(phaseRun, 0)
	return nil
}

// EndRun records that the request runs no longer.
func (m RequestMemory) EndRun() {
	if m.conn != nil {
		m.conn.changePhase(phaseBody)
	}
}

// IsOverloaded reports whether err says that a request was given up for lack of memory.
func IsOverloaded(err error) bool {
	return errors.Is(err, ErrOverloaded)
}
