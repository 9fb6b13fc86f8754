package loomupstream

import (
	"context"
	"io"
	"net/http"
	"slices"
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

// NewBody returns the body of w, the response of the upstream at address. If the body
// ends with its connection, the end counts only if the upstream doesn't refuse
// connections, opened with d, afterwards; otherwise the error is
// io.ErrUnexpectedEOF. A process that has started again at the address by then hides
// that the one before was killed.
func NewBody(ctx context.Context, w *http.Response, d loomplatform.Dialer, address string) io.ReadCloser {
	if FramingOf(w) != FramingUntilClose {
		return w.Body
	}
	return &untilCloseBody{ReadCloser: w.Body, ctx: ctx, dial: d, address: address}
}

// untilCloseBody is the body of a response that has neither a length nor chunks.
type untilCloseBody struct {
	io.ReadCloser
	// ctx is that of the request, since io.Reader takes none.
	ctx     context.Context
	dial    loomplatform.Dialer
	address string
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	hasEnded, err := HasEnded(b.ctx, b.dial, b.address)
	switch {
	case err != nil:
		return n, err
	case hasEnded:
		return n, errors.Annotatef(io.ErrUnexpectedEOF, "body without length ended and %s refuses connections", b.address)
	default:
		return n, io.EOF
	}
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
