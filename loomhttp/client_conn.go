package loomhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection of a Transport. http.Transport passes a connection on to the next
// request before the caller has seen a response without a body, so a Conn makes that request
// wait until the response has been checked.
type Conn struct {
	net.Conn
	// checked holds a value while no request waits for its response to be checked.
	checked chan struct{}
	// written counts the bytes passed to Write.
	written atomic.Int64
	// isSpent is set once no further request may be written.
	isSpent atomic.Bool
	// requests counts the requests that have begun. Read alone uses meter, which counts the lines
	// of the head of the response to the request with the number metered.
	requests atomic.Int64
	meter    responseMeter
	metered  int64
	// isHeadTooLong is set once the head of a response has had more than maxHeaderLines lines, and
	// hasFaultyFraming once one has had fields that don't say where its body ends.
	isHeadTooLong    atomic.Bool
	hasFaultyFraming atomic.Bool
	// writeMu is held during each Write, and hasWriteFailed is set once one has failed.
	writeMu        sync.Mutex
	hasWriteFailed atomic.Bool
	// openedAt is when the connection was made. isReading is set while a Read waits, which ends
	// when the peer ends the connection.
	openedAt  time.Time
	isReading atomic.Bool
	// closed is called once when the connection is closed.
	closed func()
	once   sync.Once
}

func newConn(now time.Time, c net.Conn) *Conn {
	conn := &Conn{Conn: c, checked: make(chan struct{}, 1), openedAt: now}
	conn.checked <- struct{}{}
	return conn
}

// Read implements net.Conn. It fails if the head of a response has more than maxHeaderLines lines, and
// at the end of a connection that was reset.
func (c *Conn) Read(b []byte) (int, error) {
	c.isReading.Store(true)
	n, err := c.Conn.Read(b)
	c.isReading.Store(false)
	if number := c.requests.Load(); number != c.metered {
		c.meter, c.metered = responseMeter{}, number
	}
	c.meter.add(b[:n])
	if c.meter.lines > maxHeaderLines {
		c.isHeadTooLong.Store(true)
		return 0, errors.NotValidf("response whose headers exceeded %d lines", maxHeaderLines)
	}
	if c.meter.fields.isFaulty() {
		c.hasFaultyFraming.Store(true)
	}
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, errors.Annotate(syscall.ECONNRESET, "read")
	}
	return n, err
}

// failedWriteTime is within how long a write fails on a connection that has been reset.
const failedWriteTime = 100 * time.Millisecond

// wasReset reports whether the connection, from which a Read has found the end, was reset and not ended
// in order by the peer. The kernel reports the error of a connection once: if a Write takes it, a Read
// finds the same as after an orderly end.
func (c *Conn) wasReset() bool {
	if c.hasWriteFailed.Load() {
		return true
	}
	switch state, ok := tcpState(c.Conn); {
	case ok && state == unix.BPF_TCP_CLOSE:
		return true
	case ok && state == unix.BPF_TCP_CLOSE_WAIT:
		return false
	}
	// Without a state, only a Write that is under way can have taken the error.
	for until := time.Now().Add(failedWriteTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if c.writeMu.TryLock() {
			c.writeMu.Unlock()
			break
		}
	}
	return c.hasWriteFailed.Load()
}

// tcpState returns the kernel's state of a TCP connection, or false if that isn't known.
func tcpState(c net.Conn) (uint8, bool) {
	raw := rawConn(c)
	if raw == nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0, false
	}
	return info.State, true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		if c.closed != nil {
			c.closed()
		}
	})
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.hasWriteFailed.Store(true)
	}
	return n, err
}

// Written returns the number of bytes passed to Write. If a request leaves it unchanged, no
// part of the request can have reached the peer.
func (c *Conn) Written() int64 {
	return c.written.Load()
}

// IsSpent reports whether no further request may be written.
func (c *Conn) IsSpent() bool {
	return c.isSpent.Load()
}

// begin waits until the response to the earlier request was checked, and reports whether
// the connection may carry another one. The wait is short: the round trip of the earlier
// request is about to return.
func (c *Conn) begin() bool {
	<-c.checked
	c.requests.Add(1)
	if c.IsSpent() {
		// http.Transport is going to write the request all the same.
		_ = c.Close()
		c.checked <- struct{}{}
		return false
	}
	return true
}

// end follows the check of a response.
func (c *Conn) end(mayReuse bool) {
	if !mayReuse {
		c.isSpent.Store(true)
	}
	c.checked <- struct{}{}
}

// spentBody is the body of the last response on a connection.
type spentBody struct {
	io.ReadCloser
	conn *Conn
}

// Close implements io.Closer. It also closes the connection.
func (b spentBody) Close() error {
	err := b.ReadCloser.Close()
	_ = b.conn.Close()
	return err
}

// roundTrip is one use of a connection. The zero value has none.
type roundTrip struct {
	conn *Conn
	// foundSpent is set if the connection was spent before the request was written.
	foundSpent bool
	interim    interimCheck
}

// interimCheck checks the interim responses of a round trip. The transport reads them in a goroutine of its own,
// also after the round trip has been given up.
type interimCheck struct {
	mu   sync.Mutex
	conn *Conn
	// length is about how long the interim responses were in bytes, and err what is wrong with
	// the first faulty one.
	length int
	err    error
}

// begin sets the connection of the round trip.
func (i *interimCheck) begin(c *Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conn = c
}

// got1xxResponse is the httptrace.ClientTrace.Got1xxResponse hook. http.Transport leaves it to the hook
// to bound how much of interim responses it reads. It closes the connection after a faulty one, since
// another hook may hide the error.
func (i *interimCheck) got1xxResponse(_ int, h textproto.MIMEHeader) error {
	const statusLineBytes = 32
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err != nil {
		return i.err
	}
	i.length += statusLineBytes
	for name, values := range h {
		for _, v := range values {
			i.length += len(name) + len(v)
		}
	}
	i.err = checkFields(http.Header(h))
	if i.err == nil && i.length > MaxHeaderBytes {
		i.err = errors.Annotatef(ErrTooLarge, "interim response headers exceeded %d bytes", MaxHeaderBytes)
	}
	if i.err != nil && i.conn != nil {
		_ = i.conn.Close()
	}
	return i.err
}

// failure returns what is wrong with the interim responses so far.
func (i *interimCheck) failure() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.err
}

// gotConn is the httptrace.ClientTrace.GotConn hook. http.Transport calls it again when it
// repeats a request by itself.
func (t *roundTrip) gotConn(info httptrace.GotConnInfo) {
	t.finish(false)
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	if t.foundSpent = !conn.begin(); !t.foundSpent {
		t.conn = conn
		t.interim.begin(conn)
	}
}

// finish ends the use of the connection, if there is one.
func (t *roundTrip) finish(mayReuse bool) {
	if t.conn != nil {
		t.conn.end(mayReuse)
	}
	t.conn = nil
}

// finishResponse ends the use of the connection after the response w. A connection that may not be
// used again is closed with the body.
func (t *roundTrip) finishResponse(w *http.Response, mayReuse bool) {
	conn := t.conn
	t.finish(mayReuse)
	if len(w.TransferEncoding) > 0 && w.Body != http.NoBody {
		w.Body = trailedBody{ReadCloser: w.Body, response: w}
	}
	switch {
	case conn == nil || mayReuse:
	case w.Body == http.NoBody:
		_ = conn.Close()
	default:
		w.Body = spentBody{ReadCloser: w.Body, conn: conn}
	}
}

// OneTimeBody is a request body that http.Transport can't rewind, so that it never repeats a
// request by itself. A Transport of this package sends it anew if nothing was written.
type OneTimeBody struct {
	*bytes.Reader
	data []byte
}

// NewOneTimeBody returns a body with data, which must not be changed.
func NewOneTimeBody(data []byte) OneTimeBody {
	return OneTimeBody{Reader: bytes.NewReader(data), data: data}
}

// Close implements io.Closer.
func (OneTimeBody) Close() error { return nil }

// rewound returns r with an unread body, or false if that can't be.
func rewound(r *http.Request) (*http.Request, bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, true
	}
	body, ok := r.Body.(OneTimeBody)
	if !ok {
		return nil, false
	}
	again := *r
	again.Body = NewOneTimeBody(body.data)
	return &again, true
}
