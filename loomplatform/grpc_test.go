package loomplatform_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"gotest.tools/v3/assert"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// endlessPeer is a gRPC server that answers the first call of each connection with
// frames without end.
type endlessPeer struct {
	listener net.Listener
	// send sends some frames of the answer.
	send func(f *http2.Framer) error
	// accepted receives the number of bytes that a connection took until it ended.
	accepted chan int
}

// countingWriter counts the bytes of a connection.
type countingWriter struct {
	io.Writer
	n int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n += n
	return n, err
}

// endlessBytes is how much an endless peer sends before it gives up.
const endlessBytes = 48 << 20

func newEndlessPeer(t *testing.T, send func(f *http2.Framer) error) *endlessPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &endlessPeer{listener: l, send: send, accepted: make(chan int, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *endlessPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(16 << 10)
	}
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	w := &countingWriter{Writer: c}
	f := http2.NewFramer(w, c)
	if err := f.WriteSettings(); err != nil {
		return
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		if _, ok := frame.(*http2.HeadersFrame); ok {
			break
		}
	}
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for w.n < endlessBytes {
		if err := p.send(f); err != nil {
			break
		}
	}
	p.accepted <- w.n
}

// headerBlock returns a block of header fields of about 16 KiB.
func headerBlock(status bool) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	if status {
		_ = e.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
		_ = e.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc"})
	}
	_ = e.WriteField(hpack.HeaderField{Name: "a", Value: strings.Repeat("~", 10_000), Sensitive: true})
	return b.Bytes()
}

// TestPeerWithoutEndFailsTheCall guards against calls over gRPC that read for as long as
// bytes come.
func TestPeerWithoutEndFailsTheCall(t *testing.T) {
	isFirst := true
	tests := []struct {
		name string
		send func(f *http2.Framer) error
		// accepted is the most that the peer may get rid of: the bound and the
		// buffers of the connection.
		accepted int
	}{
		{"header fields", func(f *http2.Framer) error {
			if isFirst {
				isFirst = false
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headerBlock(true)})
			}
			return f.WriteContinuation(1, false, headerBlock(false))
		}, 1 << 20},
		{"message", func(f *http2.Framer) error {
			if isFirst {
				isFirst = false
				var b bytes.Buffer
				_ = hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
				_ = hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc"})
				if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, BlockFragment: b.Bytes()}); err != nil {
					return err
				}
				return f.WriteData(1, false, []byte{0, 0xff, 0xff, 0xff, 0xff})
			}
			return f.WriteData(1, false, make([]byte, 16<<10))
		}, 8 << 20},
		{"no frames", func(f *http2.Framer) error {
			return f.WriteRawFrame(0xee, 0xff, 0x7fffffff, bytes.Repeat([]byte{0xff}, 1<<20))
		}, 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			isFirst = true
			peer := newEndlessPeer(t, tt.send)
			conn, err := loomplatform.Dial(peer.listener.Addr().String(), nil)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err = loompb.NewGatePeerClient(conn).Rows(ctx, &loompb.RowsRequest{Topic: "upstreams"})
			assert.Assert(t, err != nil)
			t.Logf("the call ended with %v", err)
			_ = conn.Close()
			select {
			case n := <-peer.accepted:
				assert.Check(t, n <= tt.accepted, "%d bytes were accepted, at most %d may be", n, tt.accepted)
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// largePeer answers with a field or a list of a size.
type largePeer struct {
	loompb.UnimplementedGatePeerServer
	headerBytes, valueBytes int
}

// Rows implements loompb.GatePeerServer.
func (p *largePeer) Rows(ctx context.Context, _ *loompb.RowsRequest) (*loompb.RowsReply, error) {
	if err := grpc.SetHeader(ctx, metadata.Pairs("a", strings.Repeat("a", p.headerBytes))); err != nil {
		return nil, err
	}
	return &loompb.RowsReply{Version: 1, Rows: []*loompb.TopicRow{{Key: "k", Value: make([]byte, p.valueBytes)}}}, nil
}

// TestLargePeerReplyPasses guards against bounds that cut replies which peers may give.
func TestLargePeerReplyPasses(t *testing.T) {
	tests := []struct {
		name string
		peer largePeer
		// requestHeader is the size of the largest field of the request.
		requestHeader int
		passes        bool
	}{
		{"header just below the bound", largePeer{headerBytes: 64<<10 - 500}, 0, true},
		{"header above the bound", largePeer{headerBytes: 64 << 10}, 0, false},
		{"message just below the bound", largePeer{valueBytes: 4<<20 - 100}, 0, true},
		{"message above the bound", largePeer{valueBytes: 4 << 20}, 0, false},
		{"request header just below the bound", largePeer{}, 64<<10 - 500, true},
		{"request header above the bound", largePeer{}, 64 << 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := loomplatform.NewServer()
			loompb.RegisterGatePeerServer(server, &tt.peer)
			go func() { _ = server.Serve(l) }()
			defer server.Stop()
			conn, err := loomplatform.Dial(l.Addr().String(), nil)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			ctx = metadata.AppendToOutgoingContext(ctx, "a", strings.Repeat("a", tt.requestHeader))
			_, err = loompb.NewGatePeerClient(conn).Rows(ctx, &loompb.RowsRequest{Topic: "upstreams"})
			assert.Equal(t, err == nil, tt.passes, "%v", err)
		})
	}
}
