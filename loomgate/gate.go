package loomgate

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomroute"
	"swiftloom/loomupstream"
)

// Settings identifies a gate and holds the parameters of its deployment. It is
// immutable.
type Settings struct {
	// ID is unique among the instances that run at the same time.
	ID            string
	FailureDomain string
	// Region is the region of the instance, or empty. ZoneRegions holds the regions of failure
	// domains.
	Region      string
	ZoneRegions map[string]string
	// ProcessorCores is the processor capacity of the instance in cores.
	ProcessorCores float64
	// PeerAddress is the address on which other instances reach this one.
	PeerAddress string
	// RetryRatio and RetryReserve bound the retries of all instances together:
	// the share of requests that may be sent again, and the number of retries
	// allowed beyond it.
	RetryRatio   float64
	RetryReserve float64
	// MinOrderGap is the minimum time between orders of two different instances
	// to one upstream.
	MinOrderGap time.Duration
	// OldWeightsTTL is how long the previous weights may still serve requests
	// after operators set a new target version.
	OldWeightsTTL time.Duration
	// LeavingLimit is how long after an upstream has left the list requests may still
	// arrive there, and RenewalInterval the time between two renewals of an entry in
	// the list.
	LeavingLimit    time.Duration
	RenewalInterval time.Duration
	// In any second, a cold upstream may get what its group states for a second times
	// ColdOver, and ColdSlack requests more.
	ColdOver  float64
	ColdSlack float64
	// StartOrder is the order in which waiting requests start.
	StartOrder StartOrder
	// MemoryBytes is the memory limit of the process, of which what requests leave behind may
	// take a part; zero means defaultMemoryBytes.
	MemoryBytes int64
}

// Options holds the dependencies of a gate.
type Options struct {
	Log      *slog.Logger
	Source   Source
	Runner   loomupstream.Runner
	KVStores loomupstream.KVStores
	// Seed seeds all random numbers.
	Seed uint64
}

// Gate is one entry instance for opaque requests. Create it with New and call
// Run once; Serve may be called concurrently.
type Gate struct {
	settings    Settings
	log         *slog.Logger
	source      Source
	runner      loomupstream.Runner
	kvStores    loomupstream.KVStores
	incarnation uint64
	metrics     *Metrics

	view *clusterView
	// regions holds the regions of the failure domains.
	regions loomcatalogue.RegionMap
	// unreadable holds the platform's rows that can't be used.
	unreadable *unreadableRows
	fleet      *loomroute.Fleet
	policy     loomroute.Policy
	residency  *loomcache.Residency
	partReuse  *loomcache.ReuseDetector
	retries    *retryBudgets
	peers      *peers
	rollout    *rollout
	stores     *storeWatcher
	queues     *queues
	waitLists  *waitLists
	limits     *upstreamLimits
	holdOffs   *holdOffs
	cold       *coldUpstreams

	quarantine *quarantine
	// coordinators decides which instances choose upstreams for others.
	coordinators *coordinators
	prefill      prefillModels

	stop stopState
	// stopping is never reset.
	stopping atomic.Bool
	active   atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a gate with an empty view of the catalogue and the upstreams,
// which Run fills.
func New(s Settings, o Options) (*Gate, error) {
	policy, err := loomroute.PolicyByName("cost")
	if err != nil {
		return nil, errors.Trace(err)
	}
	g := &Gate{
		settings:    s,
		log:         o.Log,
		source:      o.Source,
		runner:      o.Runner,
		kvStores:    o.KVStores,
		incarnation: uint64(time.Now().UnixMilli()),
		metrics:     newMetrics(),
		fleet:       loomroute.NewFleet(),
		policy:      policy,
		residency:   loomcache.NewResidencyOf(s.memoryShare(residencyShare)),
		partReuse:   loomcache.NewReuseDetector(s.memoryShare(partReuseShare)),
		retries:     newRetryBudgets(s),
		random:      rand.New(rand.NewPCG(o.Seed, uint64(len(s.ID)))),
	}
	g.stop.waitsEnd = make(chan struct{})
	g.prefill.byGroup = make(map[string]*loomroute.PrefillModel)
	g.regions = loomcatalogue.NewRegionMap(s.ZoneRegions, s.FailureDomain, s.Region)
	g.unreadable = newUnreadableRows(g.log)
	g.view = newClusterView(g)
	g.peers = newPeers(g)
	g.coordinators = &coordinators{gate: g}
	g.rollout = newRollout(g)
	g.stores = newStoreWatcher(g)
	g.queues = newQueues(g)
	g.waitLists = &waitLists{gate: g, byGroup: make(map[string]*waitList)}
	g.limits = newUpstreamLimits(g)
	g.holdOffs = newHoldOffs(g)
	g.cold = newColdUpstreams(time.Now(), g)
	if g.quarantine, err = newQuarantine(g); err != nil {
		return nil, errors.Trace(err)
	}
	return g, nil
}

// Run keeps the gate's view of the catalogue, the upstreams and its peers up to
// date and rolls out weights, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	var kernel loomkernel.Kernel
	kernel.Add("catalogue_feed", loomkernel.ComponentFunc(g.view.watchCatalogue))
	kernel.Add("upstreams_feed", loomkernel.ComponentFunc(g.view.watchUpstreams))
	kernel.Add("peers", loomkernel.ComponentFunc(g.peers.run))
	kernel.Add("stores", loomkernel.ComponentFunc(g.stores.run))
	kernel.Add("rollout", loomkernel.ComponentFunc(g.rollout.run))
	kernel.Add("quarantine", loomkernel.ComponentFunc(g.quarantine.run))
	kernel.Add("gauges", loomkernel.ComponentFunc(g.runGauges))
	return kernel.Run(ctx)
}

// IsReady reports whether the gate can serve requests: it is not stopping and has
// received both the catalogue and the upstream list.
func (g *Gate) IsReady() bool {
	return !g.stopping.Load() && g.HasCatalogue() && g.view.hasUpstreamList()
}

// HasCatalogue reports whether the catalogue has been received.
func (g *Gate) HasCatalogue() bool {
	return g.view.routing().Revision() > 0
}

// MarkStopping makes IsReady report false. Requests are still served.
func (g *Gate) MarkStopping() {
	g.stopping.Store(true)
	g.log.Info("stopping", "active", g.active.Load())
}

// IsStopping reports whether MarkStopping was called.
func (g *Gate) IsStopping() bool {
	return g.stopping.Load()
}

// ActiveRequests returns the number of requests in flight.
func (g *Gate) ActiveRequests() int64 {
	return g.active.Load()
}

// Metrics returns the gate's metrics.
func (g *Gate) Metrics() *Metrics {
	return g.metrics
}

// defaultBodyLimit is the maximum size of a request body in bytes until the
// catalogue sets one.
const defaultBodyLimit = 4 << 20

// BodyLimit returns the maximum size of a request body in bytes.
func (g *Gate) BodyLimit() int64 {
	if n := g.view.routing().Limits().BodyBytes; n > 0 {
		return n
	}
	return defaultBodyLimit
}

// Limits returns the limits on requests that operators have set.
func (g *Gate) Limits() loomcatalogue.Limits {
	return g.view.routing().Limits()
}

// CheckAdmission returns the error with which a request must be refused, or nil
// if it may be served. It does not need the body, so it can be called before the
// body is read.
func (g *Gate) CheckAdmission(in IncomingRequest) *loomerror.Error {
	_, err := g.admit(in)
	if err != nil {
		g.recordRefusal(in, err)
	}
	return err
}

// admit resolves the route, client account and upstream group of a request, and
// its deadline.
func (g *Gate) admit(in IncomingRequest) (*request, *loomerror.Error) {
	routing := g.view.routing()
	if routing.Revision() == 0 {
		return nil, loomerror.New(loomerror.PlatformUnavailable, "catalogue is not loaded yet").WithRetryAfter(startupRetryAfter)
	}
	route, ok := routing.Match(in.Host, in.Path)
	if !ok {
		return nil, loomerror.New(loomerror.NotFound, "no route matches host %q and path %q", in.Host, in.Path)
	}
	r := &request{IncomingRequest: in, route: route, revision: routing.Revision()}
	if routing.RequiresKey() {
		r.account, ok = routing.Account(in.APIKey)
		if isAnonymous := route.IsPublic && in.APIKey == ""; !ok && !isAnonymous {
			return nil, loomerror.New(loomerror.Unauthorized, "unknown API key")
		}
	}
	if err := r.resolveRegions(); err != nil {
		return nil, err
	}
	target := route.Target(hashString(in.RequestID))
	if r.group, ok = routing.Group(target); !ok {
		r.group = loomcatalogue.Group{Name: target}
	}
	r.deadline = in.Deadline
	if route.Timeout > 0 {
		if end := in.Received.Add(route.Timeout); end.Before(r.deadline) {
			r.deadline = end
		}
	}
	return r, nil
}

// startupRetryAfter is approximately how long an instance takes to read the
// catalogue after it starts.
const startupRetryAfter = 300 * time.Millisecond

// newRand returns a generator for one goroutine, seeded from that of the gate.
func (g *Gate) newRand() *rand.Rand {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64()))
}

// usableUpstreams returns the upstreams of a group that may get work.
func (g *Gate) usableUpstreams(now time.Time, group string) []loommember.Upstream {
	return g.view.group(now, group)
}
