package loomplatform

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"swiftloom/loompb"
)

func init() {
	Register("grpc", grpcDriver{})
}

// grpcDriver opens platforms over gRPC.
type grpcDriver struct{}

// Open implements Driver. Connections are made on first use.
func (grpcDriver) Open(o Options) (Platform, error) {
	if len(o.Addresses) == 0 {
		return nil, errors.NotValidf("platform without an address")
	}
	p := &grpcPlatform{}
	for _, address := range o.Addresses {
		conn, err := Dial(address, o.Dialer)
		if err != nil {
			return nil, err
		}
		p.conns = append(p.conns, conn)
		p.clients = append(p.clients, loompb.NewPlatformClient(conn))
	}
	return p, nil
}

// Dial returns an unencrypted client connection to an address with an IP
// number. The address is not resolved, and the connection is made on first use.
func Dial(address string, d Dialer, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(connectParams()),
		grpc.WithKeepaliveParams(keepaliveParams()),
		grpc.WithDisableServiceConfig(),
		grpc.WithMaxHeaderListSize(maxHeaderListBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}, extra...)
	if d != nil {
		options = append(options, grpc.WithContextDialer(d))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	return conn, errors.Annotatef(err, "dial %s", address)
}

// NewServer returns a server that bounds what it reads for a call as clients from Dial
// do. A handler that panics ends only its call.
func NewServer(extra ...grpc.ServerOption) *grpc.Server {
	options := append([]grpc.ServerOption{
		grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ChainUnaryInterceptor(recoverCall),
	}, extra...)
	return grpc.NewServer(options...)
}

// grpcPlatform is a Platform reached over gRPC at one of several addresses.
type grpcPlatform struct {
	conns   []*grpc.ClientConn
	clients []loompb.PlatformClient
	// next is the index of the address in use, modulo the number of addresses.
	// It moves to the next address after each failed call.
	next atomic.Uint32
}

// client returns the client of the address in use.
func (p *grpcPlatform) client() loompb.PlatformClient {
	return p.clients[int(p.next.Load())%len(p.clients)]
}

// checkError moves to the next address if a call failed, and traces the error.
func (p *grpcPlatform) checkError(err error) error {
	if err != nil {
		p.next.Add(1)
	}
	return errors.Trace(err)
}

// Transact implements Platform.
func (p *grpcPlatform) Transact(ctx context.Context, r *loompb.TransactRequest) (*loompb.TransactReply, error) {
	reply, err := p.client().Transact(ctx, r)
	return reply, p.checkError(err)
}

// ReadRows implements Platform.
func (p *grpcPlatform) ReadRows(ctx context.Context, r *loompb.ReadRowsRequest) (*loompb.ReadRowsReply, error) {
	reply, err := p.client().ReadRows(ctx, r)
	return reply, p.checkError(err)
}

// PutObject implements Platform.
func (p *grpcPlatform) PutObject(ctx context.Context, r *loompb.PutObjectRequest) (*loompb.PutObjectReply, error) {
	reply, err := p.client().PutObject(ctx, r)
	return reply, p.checkError(err)
}

// GetObject implements Platform.
func (p *grpcPlatform) GetObject(ctx context.Context, r *loompb.GetObjectRequest) (*loompb.GetObjectReply, error) {
	reply, err := p.client().GetObject(ctx, r)
	return reply, p.checkError(err)
}

// Announce implements Platform.
func (p *grpcPlatform) Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error) {
	reply, err := p.client().Announce(ctx, r)
	return reply, p.checkError(err)
}

// Members implements Platform.
func (p *grpcPlatform) Members(ctx context.Context, r *loompb.MembersRequest) (*loompb.MembersReply, error) {
	reply, err := p.client().Members(ctx, r)
	return reply, p.checkError(err)
}

// Close implements Platform. It closes all connections and returns the first
// error.
func (p *grpcPlatform) Close() error {
	var first error
	for _, conn := range p.conns {
		if err := conn.Close(); err != nil && first == nil {
			first = err
		}
	}
	return errors.Trace(first)
}
