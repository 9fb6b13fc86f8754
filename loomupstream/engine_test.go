package loomupstream

import (
	"net"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

// TestEngineCallIsDeliveredOnceWritten guards against an attempt that is made again though an
// engine has received the first one, or that isn't though none has.
func TestEngineCallIsDeliveredOnceWritten(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	loompb.RegisterEngineServer(server, loompb.UnimplementedEngineServer{})
	go func() { _ = server.Serve(l) }()
	assert.Equal(t, isDelivered(t, l.Addr().String()), true)
	server.Stop()
	assert.Equal(t, isDelivered(t, l.Addr().String()), false)
}

// isDelivered reports whether an attempt that fails counts as delivered.
func isDelivered(t *testing.T, address string) bool {
	t.Helper()
	engine, err := OpenEngine("grpc", address, nil)
	assert.NilError(t, err)
	defer func() { assert.Check(t, engine.Close()) }()
	answer, err := engine.Generate(t.Context(), &loompb.GenerateRequest{AttemptId: "a"})
	assert.NilError(t, err)
	_, err = answer.Recv()
	assert.Assert(t, err != nil)
	return answer.Delivered()
}
