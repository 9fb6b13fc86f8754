package loomupstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
	"swiftloom/loomplatform"
)

// Framing is the way in which a response marks the end of its body.
type Framing int

// The framings. A body that ends with its connection is also cut without a trace
// when the upstream's process is killed, because the operating system then closes
// the connection in the same way.
const (
	FramingUnknown Framing = iota
	FramingLength
	FramingChunked
	FramingUntilClose
)

// FramingOf returns the framing of a response's body. A response that can have none,
// as that to HEAD, ends with its head.
func FramingOf(w *http.Response) Framing {
	switch {
	case slices.Contains(w.TransferEncoding, "chunked"):
		return FramingChunked
	case w.ContentLength >= 0, w.Body == http.NoBody:
		return FramingLength
	default:
		return FramingUntilClose
	}
}

// String returns the name of the framing in lower case.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	case FramingUntilClose:
		return "until_close"
	default:
		return "unknown"
	}
}

// listenerCheckDelays are the times after the end of a connection at which its upstream is
// checked, each from the one before. The operating system closes the sockets of a
// killed process one after the other, its listener among them.
var listenerCheckDelays = []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 35 * time.Millisecond}

// maxUnseen is the time for which this process may not have looked at a connection that has ended.
// A process doesn't start again in less, so that one which was killed meanwhile shows by its
// listener.
const maxUnseen = 250 * time.Millisecond

// Witness reports whether a connection to the upstream that was open at a time is still open, so that
// the process at its other end is the same.
type Witness func(since time.Time) bool

// NewBody returns the body of w, the response of the upstream at address. If the body
// ends with its connection, the end counts only if the upstream doesn't refuse
// connections, opened with d, afterwards; otherwise the error is
// io.ErrUnexpectedEOF. A process that has started again at the address by then would hide
// that the one before was killed. So if the connection may have ended more than maxUnseen ago,
// since this process was paused or its caller read slowly, the end counts only if a witness
// confirms that the upstream's process is the same.
func NewBody(ctx context.Context, w *http.Response, d loomplatform.Dialer, address string, witness Witness) io.ReadCloser {
	if FramingOf(w) != FramingUntilClose {
		return w.Body
	}
	return &untilCloseBody{ReadCloser: w.Body, ctx: ctx, dial: d, address: address, witness: witness, watch: newConnWatch(bootTime()), pauses: watchPauses()}
}

// untilCloseBody is the body of a response that has neither a length nor chunks.
type untilCloseBody struct {
	io.ReadCloser
	// ctx is that of the request, since io.Reader takes none.
	ctx     context.Context
	dial    loomplatform.Dialer
	address string
	witness Witness
	watch   connWatch
	pauses  *pauseWatch
	once    sync.Once
}

// Close implements io.Closer.
func (b *untilCloseBody) Close() error {
	b.once.Do(b.pauses.release)
	return b.ReadCloser.Close()
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	began := bootTime()
	n, err := b.ReadCloser.Read(p)
	ended := bootTime()
	b.watch = b.watch.withRead(began, ended, b.pauses.hasPaused(began, ended))
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	unseen := b.watch.unseen(ended)
	since := time.Now().Add(-unseen)
	hasEnded, err := HasEnded(b.ctx, b.dial, b.address)
	switch {
	case err != nil:
		return n, err
	case hasEnded:
		return n, errors.Annotatef(io.ErrUnexpectedEOF, "body without length ended and %s refuses connections", b.address)
	case unseen > maxUnseen && !b.hasWitness(since):
		return n, errors.Annotatef(io.ErrUnexpectedEOF, "body without length ended up to %s ago and nothing shows that the process at %s is the same", unseen, b.address)
	default:
		return n, io.EOF
	}
}

// hasWitness reports whether the upstream's process is the same as before a time.
func (b *untilCloseBody) hasWitness(since time.Time) bool {
	return b.witness != nil && b.witness(since)
}

// minReadWait is the least time of a read that has waited for data.
const minReadWait = time.Millisecond

// connWatch decides since when a connection may have ended without being looked at. It is immutable.
type connWatch struct {
	// openAt is the latest time at which the connection is known to have been open.
	openAt time.Time
}

func newConnWatch(now time.Time) connWatch {
	return connWatch{openAt: now}
}

// withRead returns a copy of w after a read. A read that waited found nothing to read when it
// began, and returned as soon as there was something unless the process was paused meanwhile.
func (w connWatch) withRead(began, ended time.Time, hasPaused bool) connWatch {
	switch {
	case ended.Sub(began) < minReadWait:
	case hasPaused:
		w.openAt = began
	default:
		w.openAt = ended
	}
	return w
}

// unseen returns the time for which the connection may have been ended.
func (w connWatch) unseen(now time.Time) time.Duration {
	return now.Sub(w.openAt)
}

// HasEnded reports whether the process at an address, which has just ended a connection, has
// ended itself: nothing listens there any more. A process that has started again by then
// hides the end. The error is that of ctx.
func HasEnded(ctx context.Context, d loomplatform.Dialer, address string) (bool, error) {
	for _, delay := range listenerCheckDelays {
		if err := loomkernel.Sleep(ctx, delay); err != nil {
			return false, err
		}
		conn, err := d.Dial(ctx, address)
		if err == nil {
			_ = conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, nil
		}
	}
	return false, nil
}
