package loomtrial

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomplatform"
)

var errCut = errors.New("the network is cut")

// network connects the processes of a trial and can cut them off from each
// other. A cut closes the connections across it and refuses new ones.
type network struct {
	mu sync.Mutex
	// domains maps addresses to failure domains; the platform has none.
	domains map[string]string
	cut     map[string]bool
	conns   map[*gatedConn]struct{}
}

func newNetwork() *network {
	return &network{
		domains: make(map[string]string),
		cut:     make(map[string]bool),
		conns:   make(map[*gatedConn]struct{}),
	}
}

// place notes the failure domain of an address.
func (w *network) place(address, domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[address] = domain
}

// node is one process as the network sees it.
type node struct {
	network *network
	domain  string
	// dead is guarded by the mutex of network.
	dead bool
}

func (w *network) node(domain string) *node {
	return &node{network: w, domain: domain}
}

// dialer returns the dialer of a process.
func (p *node) dialer() loomplatform.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !p.network.reaches(p, address) {
			return nil, errCut
		}
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return p.network.gate(p, address, conn)
	}
}

func (w *network) reaches(p *node, address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reachable(p, address)
}

func (w *network) reachable(p *node, address string) bool {
	to := w.domains[address]
	if p.dead {
		return false
	}
	return to == p.domain || (!w.cut[p.domain] && !w.cut[to])
}

func (w *network) gate(p *node, address string, conn net.Conn) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reachable(p, address) {
		_ = conn.Close()
		return nil, errCut
	}
	g := &gatedConn{Conn: conn, node: p, address: address}
	w.conns[g] = struct{}{}
	return g, nil
}

// setCut cuts a failure domain off from everything outside, or heals it.
func (w *network) setCut(domain string, cut bool) {
	w.mu.Lock()
	w.cut[domain] = cut
	w.mu.Unlock()
	w.closeUnreachable()
}

// kill closes every connection of a process.
func (w *network) kill(p *node) {
	w.mu.Lock()
	p.dead = true
	w.mu.Unlock()
	w.closeUnreachable()
}

func (w *network) closeUnreachable() {
	w.mu.Lock()
	var broken []*gatedConn
	for g := range w.conns {
		if !w.reachable(g.node, g.address) {
			broken = append(broken, g)
		}
	}
	w.mu.Unlock()
	for _, g := range broken {
		_ = g.Close()
	}
}

// gatedConn is a connection that a cut closes.
type gatedConn struct {
	net.Conn
	node    *node
	address string
}

// Close implements net.Conn.
func (g *gatedConn) Close() error {
	w := g.node.network
	w.mu.Lock()
	delete(w.conns, g)
	w.mu.Unlock()
	return g.Conn.Close()
}
