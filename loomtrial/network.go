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

var errUnreachable = errors.New("address not reachable in the network of the trial")

// network simulates network partitions between the processes of a trial. A
// partition closes the connections that cross it and makes new ones fail. The
// methods of network may be called concurrently.
type network struct {
	mu sync.Mutex
	// domains maps addresses to failure domains, and the address of the platform
	// to platformDomain.
	domains map[string]string
	// kinds maps addresses to the kind of process behind them.
	kinds map[string]string
	// partitioned holds the failure domains that can reach nothing outside.
	partitioned map[string]bool
	// platformCut holds the failure domains that cannot reach the platform, but
	// can reach all other failure domains.
	platformCut map[string]bool
	// healedAt maps failure domains to the time at which their last partition
	// ended. It does not cover platformCut.
	healedAt map[string]time.Time
	conns    map[*trackedConn]struct{}
}

func newNetwork() *network {
	return &network{
		domains:     make(map[string]string),
		kinds:       make(map[string]string),
		partitioned: make(map[string]bool),
		platformCut: make(map[string]bool),
		healedAt:    make(map[string]time.Time),
		conns:       make(map[*trackedConn]struct{}),
	}
}

// register records the failure domain and the kind of the process that listens
// on an address.
func (nw *network) register(address, domain, kind string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.domains[address] = domain
	nw.kinds[address] = kind
}

// node is a process that opens connections through the network.
type node struct {
	network *network
	domain  string
	// dead is true after kill. It is guarded by the mutex of network.
	dead bool
	// bytesByKind counts the bytes sent and received on connections that the
	// process opened, by the kind of the process at the other end.
	bytesByKind map[string]*atomic.Int64
}

// trafficKinds are the kinds of processes that an instance connects to.
var trafficKinds = []string{platformDomain, loommember.KindInstance, loommember.KindEngine, loommember.KindStore, loommember.KindService}

func (nw *network) newNode(domain string) *node {
	n := &node{network: nw, domain: domain, bytesByKind: make(map[string]*atomic.Int64)}
	for _, kind := range trafficKinds {
		n.bytesByKind[kind] = new(atomic.Int64)
	}
	return n
}

// dialer returns a dialer whose connections belong to the node. It fails if the
// network does not let the node reach the address.
func (n *node) dialer() loomplatform.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !n.network.canReach(n, address) {
			return nil, errUnreachable
		}
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return n.network.track(n, address, conn)
	}
}

func (nw *network) canReach(n *node, address string) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.canReachLocked(n, address)
}

// canReachLocked reports whether n may connect to address. The caller must hold
// nw.mu.
func (nw *network) canReachLocked(n *node, address string) bool {
	target := nw.domains[address]
	if n.dead {
		return false
	}
	if target == platformDomain && nw.platformCut[n.domain] {
		return false
	}
	return target == n.domain || (!nw.partitioned[n.domain] && !nw.partitioned[target])
}

// track wraps a new connection so that a partition closes it. It checks again
// that address can be reached, because a partition may have begun during the
// dial.
func (nw *network) track(n *node, address string, conn net.Conn) (net.Conn, error) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if !nw.canReachLocked(n, address) {
		_ = conn.Close()
		return nil, errUnreachable
	}
	c := &trackedConn{Conn: conn, node: n, address: address, bytes: n.bytesByKind[nw.kinds[address]]}
	nw.conns[c] = struct{}{}
	return c, nil
}

// setPartitioned separates a failure domain from all other ones and from the
// platform, or ends that partition.
func (nw *network) setPartitioned(domain string, cut bool) {
	nw.mu.Lock()
	nw.partitioned[domain] = cut
	if !cut {
		nw.healedAt[domain] = time.Now()
	}
	nw.mu.Unlock()
	nw.closeUnreachable()
}

// setPlatformCut separates a failure domain from the platform only, or ends that
// partition.
func (nw *network) setPlatformCut(domain string, cut bool) {
	nw.mu.Lock()
	nw.platformCut[domain] = cut
	nw.mu.Unlock()
	nw.closeUnreachable()
}

// lastHealed returns when the last partition of a failure domain from all others
// ended. It returns the zero time if there was none.
func (nw *network) lastHealed(domain string) time.Time {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.healedAt[domain]
}

// kill closes all connections that a process opened and makes new ones fail.
func (nw *network) kill(n *node) {
	nw.mu.Lock()
	n.dead = true
	nw.mu.Unlock()
	nw.closeUnreachable()
}

// closeUnreachable closes the connections across current partitions and those of
// killed nodes.
func (nw *network) closeUnreachable() {
	nw.mu.Lock()
	var unreachable []*trackedConn
	for c := range nw.conns {
		if !nw.canReachLocked(c.node, c.address) {
			unreachable = append(unreachable, c)
		}
	}
	nw.mu.Unlock()
	for _, c := range unreachable {
		_ = c.Close()
	}
}

// trackedConn is a connection that counts its traffic and that the network
// closes when a partition separates its ends or when its node is killed.
type trackedConn struct {
	net.Conn
	node    *node
	address string
	// bytes is nil if traffic to the kind of process is not counted.
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *trackedConn) count(n int) {
	if c.bytes != nil {
		c.bytes.Add(int64(n))
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	nw := c.node.network
	nw.mu.Lock()
	delete(nw.conns, c)
	nw.mu.Unlock()
	return c.Conn.Close()
}
