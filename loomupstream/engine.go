// Package loomupstream defines the interfaces through which instances call
// upstreams, and provides drivers for engines over gRPC and services over HTTP.
package loomupstream

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// Engine is a connection to one model engine. It is safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. An attempt that can't be started may also yield
	// an Answer whose first Recv returns the error, so that Delivered is known.
	Generate(ctx context.Context, r *loompb.GenerateRequest) (Answer, error)
	// Cancel stops an attempt by its ID.
	Cancel(ctx context.Context, attempt string) error
	// Report fetches the load, the weights and the latest cache events.
	Report(ctx context.Context) (*loompb.ReportReply, error)
	// Export asks the engine to copy cache blocks to a store.
	Export(ctx context.Context, r *loompb.ExportRequest) (*loompb.ExportReply, error)
	// Order instructs the engine to load weights.
	Order(ctx context.Context, r *loompb.OrderRequest) (*loompb.OrderReply, error)
	Close() error
}

// Answer is the stream of events of one attempt. It is not safe for concurrent
// use.
type Answer interface {
	// Recv returns the next event, or io.EOF at the end of the stream.
	Recv() (*loompb.GenerateEvent, error)
	// Delivered reports whether the engine may have received the request.
	Delivered() bool
}

// EngineDriver opens connections to engines that speak one protocol.
type EngineDriver interface {
	// OpenEngine opens a connection to address through d.
	OpenEngine(address string, d loomplatform.Dialer) (Engine, error)
}

var engines loomkernel.Registry

// RegisterEngine makes a driver available under a name. It panics when the name is
// already registered.
func RegisterEngine(name string, d EngineDriver) {
	engines.Register(name, d)
}

// OpenEngine opens a connection with the named driver. The error satisfies
// errors.IsNotFound when no such driver is registered.
func OpenEngine(driver, address string, d loomplatform.Dialer) (Engine, error) {
	plugin, ok := engines.Lookup(driver)
	if !ok {
		return nil, errors.NotFoundf("engine driver %q", driver)
	}
	e, ok := plugin.(EngineDriver)
	if !ok {
		return nil, errors.NotValidf("engine driver %q", driver)
	}
	return e.OpenEngine(address, d)
}

func init() {
	RegisterEngine("grpc", grpcDriver{})
}

type grpcDriver struct{}

// OpenEngine implements EngineDriver.
func (grpcDriver) OpenEngine(address string, d loomplatform.Dialer) (Engine, error) {
	conn, err := loomplatform.Dial(address, d, grpc.WithStatsHandler(deliveryMarker{}))
	if err != nil {
		return nil, err
	}
	return &grpcEngine{conn: conn, client: loompb.NewEngineClient(conn)}, nil
}

type grpcEngine struct {
	conn   *grpc.ClientConn
	client loompb.EngineClient
}

type grpcAnswer struct {
	stream    grpc.ServerStreamingClient[loompb.GenerateEvent]
	delivered *atomic.Bool
}

// Recv implements Answer.
func (a grpcAnswer) Recv() (*loompb.GenerateEvent, error) {
	return a.stream.Recv()
}

// Delivered implements Answer.
func (a grpcAnswer) Delivered() bool {
	return a.delivered.Load()
}

// failedAnswer is the Answer of an attempt whose stream could not be opened.
type failedAnswer struct {
	err       error
	delivered bool
}

// Recv implements Answer.
func (a failedAnswer) Recv() (*loompb.GenerateEvent, error) {
	return nil, a.err
}

// Delivered implements Answer.
func (a failedAnswer) Delivered() bool {
	return a.delivered
}

// Generate implements Engine.
func (e *grpcEngine) Generate(ctx context.Context, r *loompb.GenerateRequest) (Answer, error) {
	delivered := new(atomic.Bool)
	stream, err := e.client.Generate(context.WithValue(ctx, deliveryKey{}, delivered), r)
	if err != nil {
		return failedAnswer{err: err, delivered: delivered.Load()}, nil
	}
	return grpcAnswer{stream: stream, delivered: delivered}, nil
}

// Cancel implements Engine.
func (e *grpcEngine) Cancel(ctx context.Context, attempt string) error {
	_, err := e.client.Cancel(ctx, &loompb.CancelRequest{AttemptId: attempt})
	return errors.Trace(err)
}

// Report implements Engine.
func (e *grpcEngine) Report(ctx context.Context) (*loompb.ReportReply, error) {
	reply, err := e.client.Report(ctx, &loompb.ReportRequest{})
	return reply, errors.Trace(err)
}

// Export implements Engine.
func (e *grpcEngine) Export(ctx context.Context, r *loompb.ExportRequest) (*loompb.ExportReply, error) {
	reply, err := e.client.Export(ctx, r)
	return reply, errors.Trace(err)
}

// Order implements Engine.
func (e *grpcEngine) Order(ctx context.Context, r *loompb.OrderRequest) (*loompb.OrderReply, error) {
	reply, err := e.client.Order(ctx, r)
	return reply, errors.Trace(err)
}

// Close implements Engine.
func (e *grpcEngine) Close() error {
	return errors.Trace(e.conn.Close())
}

type deliveryKey struct{}

// deliveryMarker is a stats.Handler that records for each call whether its headers
// were written. From then on the engine may have received the call.
type deliveryMarker struct{}

// TagRPC implements stats.Handler.
func (deliveryMarker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler.
func (deliveryMarker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if delivered, ok := ctx.Value(deliveryKey{}).(*atomic.Bool); ok {
		delivered.Store(true)
	}
}

// TagConn implements stats.Handler.
func (deliveryMarker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (deliveryMarker) HandleConn(context.Context, stats.ConnStats) {}
