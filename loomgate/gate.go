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

// Settings is what a gate is told of itself and its deployment. It is immutable.
type Settings struct {
	// ID is unique among the instances that live at one time.
	ID            string
	FailureDomain string
	// PeerAddress is where other instances reach this one.
	PeerAddress string
	// RetryRatio and RetryReserve bound the second sends of all
	// instances together.
	RetryRatio   float64
	RetryReserve float64
	// OrderGap is the least time between the orders of two instances to one
	// upstream.
	OrderGap time.Duration
	// WeightsTime is how long after new weights were named the old ones may
	// still serve.
	WeightsTime time.Duration
}

// Options holds what a gate works with.
type Options struct {
	Log    *slog.Logger
	Source Source
	Runner loomupstream.Runner
	Kept   loomupstream.KeptStores
	// Seed is the source of all random numbers.
	Seed uint64
}

// Gate is one entry instance for opaque requests. Create it with New and run it
// once; Serve may be called concurrently.
type Gate struct {
	settings    Settings
	log         *slog.Logger
	source      Source
	runner      loomupstream.Runner
	kept        loomupstream.KeptStores
	incarnation uint64
	metrics     *Metrics

	beliefs   *beliefs
	fleet     *loomroute.Fleet
	policy    loomroute.Policy
	residency *loomcache.Residency
	returns   loomcache.Returns
	retries   *retryBudgets
	peers     *peers
	rollout   *rollout
	stores    *stores
	queues    *queues
	pace      pace

	// stopping is set once and never unset.
	stopping atomic.Bool
	active   atomic.Int64

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a gate that knows nothing yet.
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
		kept:        o.Kept,
		incarnation: uint64(time.Now().UnixMilli()),
		metrics:     newMetrics(),
		fleet:       loomroute.NewFleet(),
		policy:      policy,
		residency:   loomcache.NewResidency(),
		retries:     newRetryBudgets(s),
		random:      rand.New(rand.NewPCG(o.Seed, uint64(len(s.ID)))),
	}
	g.pace.groups = make(map[string]time.Duration)
	g.beliefs = newBeliefs(g)
	g.peers = newPeers(g)
	g.rollout = newRollout(g)
	g.stores = newStores(g)
	g.queues = newQueues(g)
	return g, nil
}

// Run keeps the gate's beliefs up to date until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	var kernel loomkernel.Kernel
	kernel.Add("catalogue_feed", loomkernel.Func(g.beliefs.followCatalogue))
	kernel.Add("upstreams_feed", loomkernel.Func(g.beliefs.followUpstreams))
	kernel.Add("peers", loomkernel.Func(g.peers.run))
	kernel.Add("stores", loomkernel.Func(g.stores.run))
	kernel.Add("rollout", loomkernel.Func(g.rollout.run))
	kernel.Add("gauges", loomkernel.Func(g.followGauges))
	return kernel.Run(ctx)
}

// Ready reports whether the gate can take requests.
func (g *Gate) Ready() bool {
	return !g.stopping.Load() && g.beliefs.routing().Revision() > 0 && g.beliefs.seenUpstreams()
}

// Stop makes the gate tell that it is not ready. Requests are still served.
func (g *Gate) Stop() {
	g.stopping.Store(true)
	g.log.Info("stopping", "active", g.active.Load())
}

// Stopping reports whether Stop was called.
func (g *Gate) Stopping() bool {
	return g.stopping.Load()
}

// Active returns the number of requests in flight.
func (g *Gate) Active() int64 {
	return g.active.Load()
}

// Metrics returns the gate's metrics.
func (g *Gate) Metrics() *Metrics {
	return g.metrics
}

// defaultBodyLimit bounds bodies while no catalogue is known.
const defaultBodyLimit = 4 << 20

// BodyLimit returns the most bytes that a body may have.
func (g *Gate) BodyLimit() int64 {
	if n := g.beliefs.routing().Limits().BodyBytes; n > 0 {
		return n
	}
	return defaultBodyLimit
}

// Limits returns what operators allow callers to send.
func (g *Gate) Limits() loomcatalogue.Limits {
	return g.beliefs.routing().Limits()
}

// Check tells whether a request may be served, before its body is read.
func (g *Gate) Check(in Incoming) *loomerror.Error {
	_, err := g.admit(in)
	if err != nil {
		g.refused(in, err)
	}
	return err
}

// admit finds route, account and group of a request.
func (g *Gate) admit(in Incoming) (*request, *loomerror.Error) {
	routing := g.beliefs.routing()
	if routing.Revision() == 0 {
		return nil, loomerror.New(loomerror.PlatformUnavailable, "no catalogue is known yet").WithRetryAfter(startRetryAfter)
	}
	route, ok := routing.Match(in.Host, in.Path)
	if !ok {
		return nil, loomerror.New(loomerror.NotFound, "no route matches")
	}
	r := &request{Incoming: in, route: route, revision: routing.Revision()}
	if routing.Keyed() && !route.Public {
		if r.account, ok = routing.Account(in.Key); !ok {
			return nil, loomerror.New(loomerror.Unauthorized, "the key is not known")
		}
	}
	target := route.Target(hashOf(in.RequestID))
	if r.group, ok = routing.Group(target); !ok {
		r.group = loomcatalogue.Group{Name: target}
	}
	r.until = in.Deadline
	if route.Timeout > 0 {
		if end := in.Received.Add(route.Timeout); end.Before(r.until) {
			r.until = end
		}
	}
	return r, nil
}

// startRetryAfter is about how long an instance takes to read the catalogue
// after its start.
const startRetryAfter = 300 * time.Millisecond

func (g *Gate) newRandom() *rand.Rand {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64()))
}

// usable returns the upstreams of a group that may get work.
func (g *Gate) usable(now time.Time, group string) []loommember.Upstream {
	return g.beliefs.group(now, group)
}
