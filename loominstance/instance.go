package loominstance

import (
	"cmp"
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
	"swiftloom/loomquarantine"
	"swiftloom/loomroute"
	"swiftloom/loomsettings"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// Options holds the dependencies of an instance that are not part of its
// settings.
type Options struct {
	Log *slog.Logger
	// Dialer opens all outgoing connections; nil means TCP.
	Dialer loomplatform.Dialer
	// Seed initializes the random number generator of the instance.
	Seed uint64
	// HTTPListener and PeerListener replace the listen addresses of the
	// settings unless they are nil.
	HTTPListener net.Listener
	PeerListener net.Listener
}

// Instance is one entry instance. Create it with New, and call Run once.
type Instance struct {
	settings    loomsettings.Settings
	options     Options
	log         *slog.Logger
	incarnation uint64
	metrics     *metrics

	platform  loomplatform.Platform
	catalogue *loomcatalogue.Replica
	// unreadableRows is the number of the catalogue's unreadable rows that were logged. Only
	// refreshCatalogue uses it.
	unreadableRows int
	tracker        *loommember.Tracker
	oddMembers     oddMembers
	fleet          *loomroute.Fleet
	policy         loomroute.Policy
	index          *loomcache.Index
	importFlights  *loomcache.Flights
	claimBatcher   *loomclaim.Batcher
	tickets        *loomclaim.TicketStore
	retryBudget    *loomstream.RetryBudget
	services       *loomupstream.Services
	peers          *peers
	engines        *engines
	stores         *stores
	exporter       *exporter
	claims         *claims
	queues         *queues
	quotas         *quotas
	reconciler     *reconciler
	quarantine     *loomquarantine.Ledger

	// view and homes are replaced as a whole when members change; they are
	// never nil.
	view  atomic.Pointer[loommember.View]
	homes atomic.Pointer[loomhome.Table]
	// homesChangedNanos is the time at which homes was last replaced, in Unix
	// nanoseconds.
	homesChangedNanos atomic.Int64
	// engineSubsets is derived from view; it is never nil.
	engineSubsets atomic.Pointer[engineSubsets]
	// claimWriters holds the IDs of the instances that write claims. It is
	// derived from homes and never nil.
	claimWriters atomic.Pointer[[]string]
	// listRevision is the revision of the platform's member list that was read
	// last; zero means that it has not been read.
	listRevision atomic.Uint64
	// stopping is set when draining starts and never unset.
	stopping atomic.Bool
	// membersSettled is set once the members have not changed for
	// homesSettleTime. It is never unset, so that later changes of the members
	// do not take the instance out of the load balancer.
	membersSettled atomic.Bool
	// background tracks notifications and frees that are not part of a request.
	// Draining waits for them.
	background     sync.WaitGroup
	activeRequests atomic.Int64
	requestSeq     atomic.Uint64

	randomMu sync.Mutex
	random   *rand.Rand

	httpListener net.Listener
	peerListener net.Listener
	// killed is closed by Kill.
	killed   chan struct{}
	killOnce sync.Once
}

// New returns an instance that listens on its addresses but does not serve yet.
func New(s loomsettings.Settings, o Options) (*Instance, error) {
	policy, err := loomroute.PolicyByName(s.Routing.Policy)
	if err != nil {
		return nil, errors.Trace(err)
	}
	platform, err := loomplatform.Open(s.Platform.Driver, loomplatform.Options{Addresses: addressStrings(s), Dialer: o.Dialer})
	if err != nil {
		return nil, errors.Trace(err)
	}
	ledger, err := loomquarantine.NewLedger()
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Instance{
		settings:      s,
		quarantine:    ledger,
		options:       o,
		log:           o.Log.With("instance", s.Instance.ID),
		incarnation:   uint64(time.Now().UnixMilli()),
		metrics:       newMetrics(),
		platform:      platform,
		catalogue:     loomcatalogue.NewReplica(platform),
		tracker:       loommember.NewTracker(loommember.DefaultOptions()),
		fleet:         loomroute.NewFleet(),
		policy:        policy,
		index:         loomcache.NewIndexOf(int64(indexMemoryRatio * float64(cmp.Or(s.Instance.MemoryMB, defaultMemoryMB)<<20))),
		importFlights: &loomcache.Flights{},
		claimBatcher:  loomclaim.NewBatcher(),
		tickets:       loomclaim.NewTicketStore(),
		retryBudget:   loomstream.NewRetryBudget(),
		services:      loomupstream.NewServices(o.Dialer),
		peers:         newPeers(s.Deployment.PeerKey, o.Dialer),
		engines:       newEngines(o.Dialer),
		stores:        newStores(o.Dialer),
		killed:        make(chan struct{}),
		random:        rand.New(rand.NewPCG(o.Seed, uint64(len(s.Instance.ID)))),
	}
	n.exporter = newExporter(n)
	n.claims = newClaims(n)
	n.queues = newQueues(n)
	n.quotas = newQuotas(n)
	n.reconciler = newReconciler(n)
	n.view.Store(&loommember.View{})
	n.homes.Store(&loomhome.Table{})
	n.engineSubsets.Store(&engineSubsets{})
	n.claimWriters.Store(&[]string{})
	return n, n.listen()
}

func addressStrings(s loomsettings.Settings) []string {
	addresses := make([]string, 0, len(s.Platform.Addresses))
	for _, a := range s.Platform.Addresses {
		addresses = append(addresses, a.String())
	}
	return addresses
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

// ID returns the ID of the instance.
func (n *Instance) ID() string {
	return n.settings.Instance.ID
}

// FailureDomain returns the failure domain of the instance.
func (n *Instance) FailureDomain() string {
	return n.settings.Instance.FailureDomain
}

// HTTPAddress returns the address that callers connect to.
func (n *Instance) HTTPAddress() string {
	return n.httpListener.Addr().String()
}

// PeerAddress returns the address that other instances connect to.
func (n *Instance) PeerAddress() string {
	return n.peerListener.Addr().String()
}

// Run serves until ctx ends and then drains: after the drain delay it accepts
// no new connections, and it returns when the requests in flight have been
// answered or the drain timeout has passed.
func (n *Instance) Run(ctx context.Context) error {
	defer n.close()
	n.log.Info("instance started",
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
	kernel.Add("gossip", n.runPeriodically(n.gossipInterval, n.gossip))
	kernel.Add("quarantine", n.runPeriodically(func() time.Duration { return quarantineJudgeInterval }, n.judgeQuarantines))
	kernel.Add("reports", n.everyScaled(t.ReportInterval, n.collectReports))
	kernel.Add("stores", n.runPeriodically(n.stores.pollInterval, n.stores.refreshTask(n)))
	kernel.Add("trim", n.every(cleanupInterval, n.evictStored))
	kernel.Add("exports", loomkernel.ComponentFunc(n.exporter.run))
	kernel.Add("claims", loomkernel.ComponentFunc(n.claims.run))
	kernel.Add("queues", loomkernel.ComponentFunc(n.queues.run))
	kernel.Add("quotas", n.every(cleanupInterval, n.quotas.evictIdle))
	kernel.Add("quota_borrow", n.every(borrowInterval, n.quotas.pools.borrowAll))
	kernel.Add("quota_pools", n.every(poolLeaseInterval, n.quotas.pools.renewLeases))
	kernel.Add("reconciler", n.every(reconcileInterval, n.reconciler.step))
	kernel.Add("http_server", loomkernel.ComponentFunc(n.serveHTTP))
	err := kernel.Run(ctx)
	n.log.Info("instance stopped")
	return err
}

// Kill closes all connections to callers and peers without draining, as a crash
// of the process does. Run returns soon after its context has ended.
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

// every returns a component that calls f at once and then repeatedly, with an
// interval that varies by up to a fifth.
func (n *Instance) every(interval time.Duration, f func(ctx context.Context)) loomkernel.Component {
	return n.runPeriodically(func() time.Duration { return interval }, f)
}

// everyScaled is like every, but its interval grows with the number of
// instances.
func (n *Instance) everyScaled(interval time.Duration, f func(ctx context.Context)) loomkernel.Component {
	return n.runPeriodically(func() time.Duration { return n.scaledInterval(interval) }, f)
}

// runPeriodically returns a component that calls f at once and then after each
// jittered interval.
func (n *Instance) runPeriodically(interval func() time.Duration, f func(ctx context.Context)) loomkernel.Component {
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

// jitter returns a random duration between 0.8 and 1.2 times d.
func (n *Instance) jitter(d time.Duration) time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return d*4/5 + time.Duration(n.random.Int64N(int64(d)*2/5+1))
}

// newRandom returns an independent generator, seeded from that of the instance.
func (n *Instance) newRandom() *rand.Rand {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}
