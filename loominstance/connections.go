package loominstance

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"swiftloom/loompb"
	"swiftloom/loomplatform"
	"swiftloom/loomupstream"
)

// peers caches one gRPC connection for each peer address.
type peers struct {
	key    string
	dialer loomplatform.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers(key string, d loomplatform.Dialer) *peers {
	return &peers{key: key, dialer: d, conns: make(map[string]*grpc.ClientConn)}
}

func (p *peers) client(address string) (loompb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	if !ok {
		var err error
		conn, err = loomplatform.Dial(address, p.dialer, grpc.WithUnaryInterceptor(p.attachKey))
		if err != nil {
			return nil, err
		}
		p.conns[address] = conn
	}
	return loompb.NewPeerClient(conn), nil
}

// attachKey is a client interceptor that adds the deployment's peer key to the
// metadata of each call.
func (p *peers) attachKey(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	return invoke(metadata.AppendToOutgoingContext(ctx, peerKeyHeader, p.key), method, req, reply, cc, opts...)
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// closeExcept closes the connections to all addresses that are not in
// addresses.
func (p *peers) closeExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if !addresses[address] {
			_ = conn.Close()
			delete(p.conns, address)
		}
	}
}

// engines caches one client for each engine address.
type engines struct {
	dialer loomplatform.Dialer

	mu    sync.Mutex
	conns map[string]loomupstream.Engine
}

func newEngines(d loomplatform.Dialer) *engines {
	return &engines{dialer: d, conns: make(map[string]loomupstream.Engine)}
}

func (e *engines) client(address string) (loomupstream.Engine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.conns[address]; ok {
		return c, nil
	}
	c, err := loomupstream.OpenEngine("grpc", address, e.dialer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.conns[address] = c
	return c, nil
}

func (e *engines) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// closeExcept closes the connections to all addresses that are not in
// addresses.
func (e *engines) closeExcept(addresses map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, c := range e.conns {
		if !addresses[address] {
			_ = c.Close()
			delete(e.conns, address)
		}
	}
}
