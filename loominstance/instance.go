package loominstance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomclaim"
	"swiftloom/loomhome"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomplatform"
	"swiftloom/loomroute"
	"swiftloom/loomsettings"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// Options holds what is not part of the settings.
type Options struct {
	Log *slog.Logger
	// Dialer opens all connections to others; nil means TCP.
	Dialer loomplatform.Dialer
	// Seed is the source of all random numbers of the instance.
	Seed uint64
	// HTTPListener and PeerListener are used in place of the addresses of the
	// settings when they are not nil.
	HTTPListener net.Listener
	PeerListener net.Listener
}

// Instance is one entry instance. Create it with New and run it once.
type Instance struct {
	settings    loomsettings.Settings
	options     Options
	log         *slog.Logger
	incarnation uint64
	metrics     *metrics

	platform   loomplatform.Platform
	keeper     *loomcatalogue.Keeper
	tracker    *loommember.Tracker
	fleet      *loomroute.Fleet
	policy     loomroute.Policy
	index      *loomcache.Index
	flights    *loomcache.Flights
	desk       *loomclaim.Batcher
	book       *loomclaim.TicketStore
	retries    *loomstream.RetryBudget
	services   *loomupstream.Services
	peers      *peers
	engines    *engines
	stores     *stores
	exports    *exporter
	claims     *claims
	queues     *queues
	quotas     *quotas
	reconciler *reconciler

	// view and homes are replaced as a whole; they are never nil.
	view  atomic.Pointer[loommember.View]
	homes atomic.Pointer[loomhome.Table]
	// homesAt is when homes was last replaced, in nanoseconds.
	homesAt atomic.Int64
	// parts is derived from view; it is never nil.
	parts atomic.Pointer[engineParts]
	// claimWriters is derived from homes; it is never nil.
	claimWriters atomic.Pointer[[]string]
	// listRevision is that of the platform's list when it was last read.
	listRevision atomic.Uint64
	// stopping is set once and never unset.
	stopping atomic.Bool
	// settled is set once the first view of the members has lasted; it is
	// never unset, so that changes of the members do not take the instance
	// out of the balancer.
	settled  atomic.Bool
	inFlight sync.WaitGroup
	active   atomic.Int64
	requests atomic.Uint64

	randomMu sync.Mutex
	random   *rand.Rand

	httpListener net.Listener
	peerListener net.Listener
	// killed is closed by Kill.
	killed   chan struct{}
	killOnce sync.Once
}

// New returns an instance that listens and does nothing else yet.
func New(s loomsettings.Settings, o Options) (*Instance, error) {
	policy, err := loomroute.PolicyByName(s.Routing.Policy)
	if err != nil {
		return nil, errors.Trace(err)
	}
	platform, err := loomplatform.Open(s.Platform.Driver, loomplatform.Options{Addresses: addressTexts(s), Dialer: o.Dialer})
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Instance{
		settings:    s,
		options:     o,
		log:         o.Log.With("instance", s.Instance.ID),
		incarnation: uint64(time.Now().UnixMilli()),
		metrics:     newMetrics(),
		platform:    platform,
		keeper:      loomcatalogue.NewKeeper(platform),
		tracker:     loommember.NewTracker(loommember.DefaultOptions()),
		fleet:       loomroute.NewFleet(),
		policy:      policy,
		index:       loomcache.NewIndex(),
		flights:     &loomcache.Flights{},
		desk:        loomclaim.NewBatcher(),
		book:        loomclaim.NewTicketStore(),
		retries:     loomstream.NewRetryBudget(),
		services:    loomupstream.NewServices(o.Dialer),
		peers:       newPeers(s.Deployment.PeerKey, o.Dialer),
		engines:     newEngines(o.Dialer),
		stores:      newStores(o.Dialer),
		killed:      make(chan struct{}),
		random:      rand.New(rand.NewPCG(o.Seed, uint64(len(s.Instance.ID)))),
	}
	n.exports = newExporter(n)
	n.claims = newClaims(n)
	n.queues = newQueues(n)
	n.quotas = newQuotas(n)
	n.reconciler = newReconciler(n)
	n.view.Store(&loommember.View{})
	n.homes.Store(&loomhome.Table{})
	n.parts.Store(&engineParts{})
	n.claimWriters.Store(&[]string{})
	return n, n.listen()
}

func addressTexts(s loomsettings.Settings) []string {
	texts := make([]string, 0, len(s.Platform.Addresses))
	for _, a := range s.Platform.Addresses {
		texts = append(texts, a.String())
	}
	return texts
}

func (n *Instance) listen() error {
	n.httpListener = n.options.HTTPListener
	n.peerListener = n.options.PeerListener
	ctx := context.Background()
	var config net.ListenConfig
	var err error
	if n.httpListener == nil {
		n.httpListener, err = config.Listen(ctx, "tcp", n.settings.Instance.HTTPAddress.String())
		if err != nil {
			return errors.Annotate(err, "listen for callers")
		}
	}
	if n.peerListener == nil {
		n.peerListener, err = config.Listen(ctx, "tcp", n.settings.Instance.PeerAddress.String())
		if err != nil {
			return errors.Annotate(err, "listen for peers")
		}
	}
	return nil
}

// ID returns the name of the instance.
func (n *Instance) ID() string {
	return n.settings.Instance.ID
}

// FailureDomain returns the failure domain of the instance.
func (n *Instance) FailureDomain() string {
	return n.settings.Instance.FailureDomain
}

// HTTPAddress returns the address for callers.
func (n *Instance) HTTPAddress() string {
	return n.httpListener.Addr().String()
}

// PeerAddress returns the address for other instances.
func (n *Instance) PeerAddress() string {
	return n.peerListener.Addr().String()
}

// Run serves until ctx ends, and then drains: it takes no new request and ends
// when every request in flight has been answered.
func (n *Instance) Run(ctx context.Context) error {
	defer n.close()
	n.log.Info("instance starts",
		"http_address", n.HTTPAddress(),
		"peer_address", n.peerListener.Addr().String(),
		"failure_domain", n.FailureDomain(),
		"incarnation", n.incarnation,
		"policy", n.settings.Routing.Policy)
	var kernel loomkernel.Kernel
	t := n.settings.Timing
	kernel.Add("peer_server", loomkernel.ComponentFunc(n.servePeers))
	kernel.Add("catalogue", n.everyScaled(t.CatalogueInterval, n.refreshCatalogue))
	kernel.Add("members", n.everyScaled(t.MembersInterval, n.refreshMembers))
	kernel.Add("gossip", n.repeat(n.gossipInterval, n.gossip))
	kernel.Add("reports", n.everyScaled(t.ReportInterval, n.collectReports))
	kernel.Add("stores", n.repeat(n.stores.interval, n.stores.refresh(n)))
	kernel.Add("trim", n.every(trimInterval, n.trim))
	kernel.Add("exports", loomkernel.ComponentFunc(n.exports.run))
	kernel.Add("claims", loomkernel.ComponentFunc(n.claims.run))
	kernel.Add("queues", loomkernel.ComponentFunc(n.queues.run))
	kernel.Add("quotas", n.every(trimInterval, n.quotas.tidy))
	kernel.Add("quota_borrow", n.every(borrowInterval, n.quotas.pools.borrow))
	kernel.Add("quota_pools", n.every(poolInterval, n.quotas.pools.hold))
	kernel.Add("reconciler", n.every(reconcileInterval, n.reconciler.step))
	kernel.Add("http_server", loomkernel.ComponentFunc(n.serveHTTP))
	err := kernel.Run(ctx)
	n.log.Info("instance ends")
	return err
}

// Kill makes the instance drop its callers and peers without draining, as when
// its process dies. Run returns soon after the context given to it has ended.
func (n *Instance) Kill() {
	n.killOnce.Do(func() { close(n.killed) })
}

func (n *Instance) close() {
	n.engines.close()
	n.stores.close()
	n.peers.close()
	n.services.Close()
	_ = n.platform.Close()
	n.metrics.close()
}

// every calls f at once and then in an interval with some jitter.
func (n *Instance) every(interval time.Duration, f func(ctx context.Context)) loomkernel.Component {
	return n.repeat(func() time.Duration { return interval }, f)
}

// everyScaled is every with an interval that grows with the fleet.
func (n *Instance) everyScaled(interval time.Duration, f func(ctx context.Context)) loomkernel.Component {
	return n.repeat(func() time.Duration { return n.scaled(interval) }, f)
}

func (n *Instance) repeat(interval func() time.Duration, f func(ctx context.Context)) loomkernel.Component {
	return loomkernel.ComponentFunc(func(ctx context.Context) error {
		for {
			f(ctx)
			timer := time.NewTimer(n.jitter(interval()))
			select {
			case <-ctx.Done():
				timer.Stop()
				return nil
			case <-timer.C:
			}
		}
	})
}

// jitter returns a time between 0.8 and 1.2 times d.
func (n *Instance) jitter(d time.Duration) time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return d*4/5 + time.Duration(n.random.Int64N(int64(d)*2/5+1))
}

// newRandom returns a source of its own for one request.
func (n *Instance) newRandom() *rand.Rand {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}
