package loomhttp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// queueGap is the time without a new connection after which a drain looks whether the
	// kernel's queue is empty, and maxQueueTime the time after which it only accepts what is
	// in the queue.
	queueGap     = 20 * time.Millisecond
	maxQueueTime = 300 * time.Millisecond
	// maxLateConns bounds the connections that are accepted after maxQueueTime.
	maxLateConns = 1024
)

// deadlineListener is a listener whose Accept can be ended by a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// listener accepts the connections of one http.Server on a listener that another http.Server
// may take over.
type listener struct {
	deadlineListener
	conns *callerConns

	isReplaced atomic.Bool
	// drainUntil is the end of maxQueueTime in Unix nanoseconds, or zero before drain is called.
	drainUntil atomic.Int64
	// lateConns counts the connections accepted after drainUntil. Only Accept uses it.
	lateConns int
}

// replace makes Accept return net.ErrClosed.
func (l *listener) replace() error {
	l.isReplaced.Store(true)
	return l.SetDeadline(past)
}

// drain makes Accept return net.ErrClosed once no connection is left in the kernel's queue.
func (l *listener) drain(now time.Time) {
	l.drainUntil.Store(now.Add(maxQueueTime).UnixNano())
	_ = l.SetDeadline(now.Add(queueGap))
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		until := l.drainUntil.Load()
		if until != 0 {
			if err := l.prepareDrain(time.Now(), until); err != nil {
				return nil, err
			}
		}
		c, err := l.deadlineListener.Accept()
		switch {
		case err == nil:
			if added := l.conns.add(time.Now(), c); added != nil {
				return added, nil
			}
			_ = c.Close()
			continue
		case l.isReplaced.Load():
			return nil, net.ErrClosed
		case l.drainUntil.Load() == 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !l.hasWaiting():
			return nil, net.ErrClosed
		}
		// A process that was paused finds connections and the deadline at the same time.
	}
}

// prepareDrain sets the deadline of the next Accept of a drain. Its error says that the drain
// is over.
func (l *listener) prepareDrain(now time.Time, until int64) error {
	if now.UnixNano() > until {
		l.lateConns++
		if l.lateConns > maxLateConns || !l.hasWaiting() {
			return net.ErrClosed
		}
	}
	return l.SetDeadline(now.Add(queueGap))
}

// hasWaiting reports whether a connection can be accepted at once.
func (l *listener) hasWaiting() bool {
	raw := rawConn(l.deadlineListener)
	if raw == nil {
		return false
	}
	n := 0
	err := raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// Close implements net.Listener. The listener itself stays open for the next http.Server.
func (*listener) Close() error {
	return nil
}
