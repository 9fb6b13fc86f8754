package loomstandin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"swiftloom/loompb"
)

const (
	announceInterval = 200 * time.Millisecond
	listenAttempts   = 20
	listenRetryDelay = 50 * time.Millisecond
)

// Announcer announces members to the platform. The platform's gRPC client
// implements it.
type Announcer interface {
	Announce(ctx context.Context, r *loompb.AnnounceRequest) (*loompb.AnnounceReply, error)
}

// process is a gRPC server that can be stopped like a crashed process and started
// again on the same address. Its methods may be called concurrently.
type process struct {
	register func(*grpc.Server)

	mu      sync.Mutex
	address string
	server  *grpc.Server
	done    chan struct{}
	// incarnation is higher at each start, also after a restart of the operating
	// system process, as it is at least the Unix time in milliseconds.
	incarnation uint64
}

// start serves on the address of the previous start, or else on address.
func (p *process) start(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address != "" {
		address = p.address
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	p.register(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	p.address = listener.Addr().String()
	p.server = server
	p.done = done
	p.incarnation = max(p.incarnation+1, uint64(time.Now().UnixMilli()))
	return nil
}

// listen listens on a TCP address. It retries for one second, because the
// previous listener of the same port may still be closing.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = config.Listen(context.Background(), "tcp", address)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, errors.Annotatef(err, "listen on %s", address)
}

// kill closes the listener and all connections without waiting for calls to
// end. It has no effect if the server is down.
func (p *process) kill() {
	p.mu.Lock()
	server, done := p.server, p.done
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return
	}
	server.Stop()
	<-done
}

func (p *process) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server != nil
}

func (p *process) identity() (address string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address, p.incarnation
}

// announce sends the announcement that member returns to the platform every
// announceInterval until ctx is done. It skips the announcement while member
// returns nil. Errors are ignored because the next announcement follows soon.
func announce(ctx context.Context, a Announcer, member func() *loompb.Member) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if m := member(); m != nil {
			callCtx, cancel := context.WithTimeout(ctx, announceInterval)
			_, _ = a.Announce(callCtx, &loompb.AnnounceRequest{Member: m})
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
