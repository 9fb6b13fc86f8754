package loomplatform_test

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// failingPeer panics in each call to Place.
type failingPeer struct {
	loompb.UnimplementedGatePeerServer
}

// Place implements loompb.GatePeerServer.
func (failingPeer) Place(_ context.Context, r *loompb.PlaceRequest) (*loompb.PlaceReply, error) {
	var replies []*loompb.PlaceReply
	return replies[len(r.GetFrom())], nil
}

// TestPanicOfHandlerEndsOnlyTheCall guards against a call that ends each instance to which
// it is repeated.
func TestPanicOfHandlerEndsOnlyTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := loomplatform.NewServer()
	loompb.RegisterGatePeerServer(server, failingPeer{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := loomplatform.Dial(l.Addr().String(), nil)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, err = loompb.NewGatePeerClient(conn).Place(t.Context(), &loompb.PlaceRequest{From: "a"})
		assert.Equal(t, status.Code(err), codes.Internal)
	}
}
