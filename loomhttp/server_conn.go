package loomhttp

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstRequestTimeout is how long a drain waits for the first byte on a new connection.
	// Callers send it as soon as the connection is established.
	firstRequestTimeout = time.Second
	// unreadTimeout bounds the wait for the rest of the head of a request of which bytes were
	// found after the deadline.
	unreadTimeout = time.Second
)

// past is a deadline that wakes a reader at once.
var past = time.Unix(1, 0)

// callerConns are the open connections of a Server.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// isDraining is set once connections without a request are closed.
	isDraining bool
	// idleClosed counts the connections that were closed for that.
	idleClosed int
	// budget bounds what is held for the connections, unless it is nil, and rejected is told
	// what it has refused or shed.
	budget   *MemoryBudget
	rejected func(Rejection)
	// isClosing is set once all connections are cut.
	isClosing atomic.Bool
}

func newCallerConns() *callerConns {
	return &callerConns{open: make(map[*callerConn]struct{})}
}

// add returns the connection of a Server on c, which was accepted at now, or nil if the budget has
// no room for it.
func (o *callerConns) add(now time.Time, c net.Conn) *callerConn {
	added := &callerConn{Conn: c, all: o, firstByteUntil: now.Add(firstRequestTimeout)}
	if o.budget != nil && !added.openMemory(now, o.budget) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	added.isDraining = o.isDraining
	o.open[added] = struct{}{}
	if added.isDraining {
		_ = c.SetReadDeadline(added.deadline())
	}
	return added
}

func (o *callerConns) remove(c *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, c)
}

func (o *callerConns) recordIdleClosed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idleClosed++
}

// drain makes each connection close once no part of a request is left on it.
func (o *callerConns) drain() {
	o.mu.Lock()
	o.isDraining = true
	open := make([]*callerConn, 0, len(o.open))
	for c := range o.open {
		open = append(open, c)
	}
	o.mu.Unlock()
	for _, c := range open {
		c.drain()
	}
}

// counts returns the numbers of open connections and of those closed as idle.
func (o *callerConns) counts() (open, idleClosed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open), o.idleClosed
}

// callerConn is an accepted connection. In a drain, the goroutine that reads from it closes it, and
// only while it has read no part of a request and the kernel holds none. So no other
// goroutine can close a connection whose request has just been read.
type callerConn struct {
	net.Conn
	all *callerConns
	// firstByteUntil is until when a drain waits for the first byte of the first request.
	firstByteUntil time.Time

	mu sync.Mutex
	// serverDeadline is the read deadline that http.Server or a handler has set.
	serverDeadline time.Time
	// isUsed is set from the first byte of a request until its response is complete.
	isUsed bool
	// isActive is set from the end of a request's head until its response is complete.
	isActive bool
	// bufferSize is the size of http.Server's read buffer, or zero before the first read.
	bufferSize int
	// hasServed is set once a request has been read.
	hasServed bool
	// isDraining is set once the connection is to be closed when it is idle.
	isDraining bool
	isClosed   bool
	// scanner follows the requests on the connection.
	scanner requestScanner

	connMemory
}

// NetConn returns the connection that c wraps.
func (c *callerConn) NetConn() net.Conn {
	return c.Conn
}

// deadline returns the read deadline in force. c.mu must be held, unless c is not shared yet.
func (c *callerConn) deadline() time.Time {
	switch {
	case c.isShed:
		return past
	case !c.isDraining || c.isUsed:
		return c.serverDeadline
	case c.hasServed:
		return past
	case c.serverDeadline.IsZero() || c.firstByteUntil.Before(c.serverDeadline):
		return c.firstByteUntil
	default:
		return c.serverDeadline
	}
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.Conn.SetReadDeadline(c.deadline())
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// drain lets the reader close the connection once it is idle, and wakes it for that.
func (c *callerConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	_ = c.Conn.SetReadDeadline(c.deadline())
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	c.beginRead(len(b))
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if err := c.recordRead(b[:n]); err != nil {
				return 0, err
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.checkDeadline(time.Now(), err); err != nil {
			return 0, err
		}
	}
}

// beginRead records that a read with room for size bytes begins. If a read after a response has
// less room than the first one on the connection, the buffer of http.Server holds the first bytes
// of the next request.
func (c *callerConn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferSize == 0 {
		c.bufferSize = size
	}
	if size < c.bufferSize {
		c.use()
	}
}

// beginRequest tells the connection what body the request has whose head was read last. Its error
// has the cause ErrFraming.
func (c *callerConn) beginRequest(r *http.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.begin(r)
}

// recordRead records that a read has brought bytes. Its error says that there is no memory for
// the head that they belong to.
func (c *callerConn) recordRead(b []byte) error {
	c.mu.Lock()
	c.use()
	c.scanner.add(b)
	if c.holder == nil {
		c.mu.Unlock()
		return nil
	}
	cost := c.meterRead(time.Now(), b)
	c.mu.Unlock()
	if cost == 0 {
		return nil
	}
	if err := c.reserve(cost, useSmall, nil); err != nil {
		return c.refuseHead(err)
	}
	return nil
}

// use records that a part of a request has been read. c.mu must be held.
func (c *callerConn) use() {
	if c.isUsed {
		return
	}
	c.isUsed = true
	c.enter(phaseHead, progressGrace)
	if c.isDraining {
		_ = c.Conn.SetReadDeadline(c.serverDeadline)
	}
}

// checkDeadline decides on a read that ended with err since its deadline had passed. It returns
// nil if the read is to be repeated.
func (c *callerConn) checkDeadline(now time.Time, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isShed {
		return c.endShed()
	}
	hasServerTimedOut := !c.serverDeadline.IsZero() && !now.Before(c.serverDeadline)
	// A process that was paused finds bytes of a head and the deadline at the same time. While a
	// handler runs, a deadline that has passed ends the reads in the background.
	if !c.isActive && hasUnread(c.Conn) {
		if hasServerTimedOut {
			c.serverDeadline = now.Add(unreadTimeout)
		}
		return c.Conn.SetReadDeadline(c.serverDeadline)
	}
	if hasServerTimedOut {
		return err
	}
	if c.isUsed {
		return c.Conn.SetReadDeadline(c.serverDeadline)
	}
	if !c.isDraining {
		return err
	}
	if !c.hasServed && now.Before(c.firstByteUntil) {
		return c.Conn.SetReadDeadline(c.deadline())
	}
	if !c.isClosed {
		c.isClosed = true
		c.all.recordIdleClosed()
		_ = c.Conn.Close()
	}
	return net.ErrClosed
}

// setState records what http.Server says of the connection.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isActive = state == http.StateActive
	if c.isActive {
		c.isUsed, c.hasServed = true, true
		c.unshed()
		c.enter(phaseBody, progressGrace)
	}
	if state == http.StateIdle {
		c.isUsed = false
		c.releaseRequest()
		c.enter(phaseIdle, idleGrace)
	}
	if c.isDraining {
		_ = c.Conn.SetReadDeadline(c.deadline())
	}
}

// isOpen reports whether the connection has not been closed by this process.
func (c *callerConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosed
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	isLingering := c.lingers && !c.isClosed && !c.all.isClosing.Load()
	c.isClosed = true
	c.mu.Unlock()
	if isLingering {
		c.linger()
	}
	c.mu.Lock()
	c.scanner.release()
	c.mu.Unlock()
	c.all.remove(c)
	if c.holder != nil {
		c.holder.budget.close(c.holder)
	}
	return c.Conn.Close()
}

// CloseWrite ends the writing side. http.Server calls it before it closes a connection whose
// caller may still send.
func (c *callerConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// hasUnread reports whether the kernel holds bytes that have not been read from c. Of a
// connection without a file descriptor it reports false.
func hasUnread(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	n := 0
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// rawConn returns the file descriptor of c or of a connection that it wraps, or nil.
func rawConn(c any) syscall.RawConn {
	for {
		switch inner := c.(type) {
		case syscall.Conn:
			raw, err := inner.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}
