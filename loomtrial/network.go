package loomtrial

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"swiftloom/loommember"
	"swiftloom/loomplatform"
)

var errCut = errors.New("the network is cut")

// network connects the processes of a trial and can cut them off from each
// other. A cut closes the connections across it and refuses new ones.
type network struct {
	mu sync.Mutex
	// domains maps addresses to failure domains; the platform has none.
	domains map[string]string
	// kinds maps addresses to the kind of process behind them.
	kinds map[string]string
	cut   map[string]bool
	// unlinked domains do not reach the platform, but all others.
	unlinked map[string]bool
	// healedAt is when a domain was last joined again to what it was cut from.
	healedAt map[string]time.Time
	conns    map[*gatedConn]struct{}
}

func newNetwork() *network {
	return &network{
		domains:  make(map[string]string),
		kinds:    make(map[string]string),
		cut:      make(map[string]bool),
		unlinked: make(map[string]bool),
		healedAt: make(map[string]time.Time),
		conns:    make(map[*gatedConn]struct{}),
	}
}

// place notes the failure domain and the kind of the process at an address.
func (w *network) place(address, domain, kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domains[address] = domain
	w.kinds[address] = kind
}

// node is one process as the network sees it.
type node struct {
	network *network
	domain  string
	// dead is guarded by the mutex of network.
	dead bool
	// traffic counts the bytes of the connections that the process opened, in
	// both directions, by the kind of process at the other end.
	traffic map[string]*atomic.Int64
}

// trafficKinds are the kinds of processes that an instance connects to.
var trafficKinds = []string{platformDomain, loommember.KindInstance, loommember.KindEngine, loommember.KindStore, loommember.KindService}

func (w *network) node(domain string) *node {
	p := &node{network: w, domain: domain, traffic: make(map[string]*atomic.Int64)}
	for _, kind := range trafficKinds {
		p.traffic[kind] = new(atomic.Int64)
	}
	return p
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
	if to == platformDomain && w.unlinked[p.domain] {
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
	g := &gatedConn{Conn: conn, node: p, address: address, bytes: p.traffic[w.kinds[address]]}
	w.conns[g] = struct{}{}
	return g, nil
}

// setCut cuts a failure domain off from everything outside, or heals it.
func (w *network) setCut(domain string, cut bool) {
	w.mu.Lock()
	w.cut[domain] = cut
	if !cut {
		w.healedAt[domain] = time.Now()
	}
	w.mu.Unlock()
	w.closeUnreachable()
}

// setUnlinked cuts a failure domain off from the platform alone, or heals it.
func (w *network) setUnlinked(domain string, unlinked bool) {
	w.mu.Lock()
	w.unlinked[domain] = unlinked
	w.mu.Unlock()
	w.closeUnreachable()
}

// lastHealed returns when a domain was last joined again after a whole cut.
func (w *network) lastHealed(domain string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healedAt[domain]
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
	bytes   *atomic.Int64
}

// Read implements net.Conn.
func (g *gatedConn) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.count(n)
	return n, err
}

// Write implements net.Conn.
func (g *gatedConn) Write(b []byte) (int, error) {
	n, err := g.Conn.Write(b)
	g.count(n)
	return n, err
}

func (g *gatedConn) count(n int) {
	if g.bytes != nil {
		g.bytes.Add(int64(n))
	}
}

// Close implements net.Conn.
func (g *gatedConn) Close() error {
	w := g.node.network
	w.mu.Lock()
	delete(w.conns, g)
	w.mu.Unlock()
	return g.Conn.Close()
}
