package loominstance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomfleet"
	"swiftloom/loomlease"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	reconcileInterval = 500 * time.Millisecond
	reconcileLease    = 3 * time.Second
	orderTimeout      = 500 * time.Millisecond
	defaultMaxOrder   = 10 * time.Second
)

// reconciler brings the engines of the own failure domain into line with the
// catalogue while it holds the lease of the domain.
type reconciler struct {
	instance *Instance

	mu    sync.Mutex
	lease loomlease.Lease
	// quietUntil is when the last order of an earlier holder has surely ended.
	quietUntil time.Time
	token      uint64
	// permits are the leases that bound the loads of the whole site; each is
	// bound to the engine that loads under it.
	permits map[string]*permit
}

type permit struct {
	lease  loomlease.Lease
	engine string
	since  time.Time
}

func newReconciler(n *Instance) *reconciler {
	return &reconciler{
		instance: n,
		lease:    loomlease.New("reconciler/"+n.FailureDomain(), n.holderName(), reconcileLease),
		permits:  make(map[string]*permit),
	}
}

// step takes or renews the lease, and sends the orders that are due. Only the
// instance that ranks first in its domain tries to take a free lease.
func (r *reconciler) step(ctx context.Context) {
	n := r.instance
	ids := n.view.Load().LiveIDs(loommember.KindInstance, n.FailureDomain())
	_, held := r.held(time.Now())
	if n.stopping.Load() {
		n.giveUpLease(ctx, &r.lease, &r.mu)
		return
	}
	if !held && firstRanked("reconciler", ids, n.ID()) != n.ID() {
		return
	}
	n.holdLease(ctx, &r.lease, &r.mu)
	now := time.Now()
	token, held := r.held(now)
	if !held {
		return
	}
	r.noteToken(now, token)
	r.endPermits(ctx, now)
	if now.Before(r.quietUntil) {
		return
	}
	for _, e := range n.keeper.Snapshot().Entries(loomcatalogue.KindModel) {
		if m, ok := e.(loomcatalogue.Model); ok {
			r.reconcile(ctx, m)
		}
	}
}

func (r *reconciler) held(now time.Time) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Held(now)
}

// noteToken starts the wait for an earlier holder's orders when the lease has
// changed hands and some engines ignore fencing tokens.
func (r *reconciler) noteToken(now time.Time, token uint64) {
	if token == r.token {
		return
	}
	r.token = token
	r.instance.log.Info("reconciler lease taken", "token", token)
	if token == 1 {
		return
	}
	for _, e := range r.instance.keeper.Snapshot().Entries(loomcatalogue.KindUpstreamGroup) {
		g, ok := e.(loomcatalogue.UpstreamGroup)
		if ok && g.UpstreamKind == loommember.KindEngine && !g.ChecksFencing {
			r.quietUntil = now.Add(orderTimeout + maxOrder(g))
		}
	}
}

func maxOrder(g loomcatalogue.UpstreamGroup) time.Duration {
	if g.MaxOrderSeconds == 0 {
		return defaultMaxOrder
	}
	return time.Duration(g.MaxOrderSeconds) * time.Second
}

func (r *reconciler) reconcile(ctx context.Context, m loomcatalogue.Model) {
	n := r.instance
	d, ok := n.keeper.Snapshot().Deployment(n.settings.Deployment.Name)
	if !ok {
		return
	}
	want := loomfleet.Want{Model: m.Name, Version: m.Version, LoadLimit: d.LoadLimit}
	engines := r.engines(m)
	if len(loomfleet.Plan(engines, want, 1)) == 0 {
		return
	}
	for i := range d.LoadLimit {
		p, ok := r.takePermit(ctx, fmt.Sprintf("load_permit/%d", i), m)
		if !ok {
			continue
		}
		orders := loomfleet.Plan(engines, want, 1)
		if len(orders) == 0 || !r.send(ctx, orders[0]) {
			r.freePermit(ctx, p)
			return
		}
		p.engine = orders[0].Engine
		p.since = time.Now()
		engines = withLoading(engines, orders[0])
	}
}

func withLoading(engines []loomfleet.Engine, o loomfleet.Order) []loomfleet.Engine {
	next := make([]loomfleet.Engine, 0, len(engines))
	for _, e := range engines {
		if e.ID == o.Engine {
			e.Loading = o.Version
		}
		next = append(next, e)
	}
	return next
}

// engines returns what is known of the engines of this domain that serve or
// should serve a model.
func (r *reconciler) engines(m loomcatalogue.Model) []loomfleet.Engine {
	n := r.instance
	var found []loomfleet.Engine
	for _, b := range n.view.Load().Kind(loommember.KindEngine, m.UpstreamGroup) {
		if b.FailureDomain != n.FailureDomain() {
			continue
		}
		report, known := n.fleet.Latest(b.ID)
		loading := report.LoadingVersion
		if r.loads(b.ID, report.Version, m.Version) {
			loading = m.Version
		}
		found = append(found, loomfleet.Engine{
			ID:          b.ID,
			Address:     b.Address,
			Model:       report.Model,
			Version:     report.Version,
			Loading:     loading,
			Outstanding: report.Running + report.Queued,
			Usable:      known && b.Status == loommember.Live,
		})
	}
	return found
}

// loads reports whether an engine was ordered to load and has not yet told
// that it has.
func (r *reconciler) loads(engine string, version, want uint64) bool {
	for _, p := range r.permits {
		if p.engine == engine && version < want {
			return true
		}
	}
	return false
}

// takePermit takes one of the site's permits to load weights.
func (r *reconciler) takePermit(ctx context.Context, key string, m loomcatalogue.Model) (*permit, bool) {
	n := r.instance
	p, ok := r.permits[key]
	if ok && p.engine != "" {
		return nil, false
	}
	if !ok {
		g, _ := n.keeper.Snapshot().UpstreamGroup(m.UpstreamGroup)
		p = &permit{lease: loomlease.New(key, n.holderName(), maxOrder(g))}
		r.permits[key] = p
	}
	n.holdLease(ctx, &p.lease, &r.mu)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := p.lease.Held(time.Now())
	return p, held
}

func (r *reconciler) freePermit(ctx context.Context, p *permit) {
	p.engine = ""
	r.instance.giveUpLease(ctx, &p.lease, &r.mu)
}

// endPermits gives back the permits of engines that have loaded, or that have
// taken longer than an order may.
func (r *reconciler) endPermits(ctx context.Context, now time.Time) {
	for _, p := range r.permits {
		if p.engine == "" {
			continue
		}
		report, known := r.instance.fleet.Latest(p.engine)
		idle := known && report.LoadingVersion == 0 && report.MeasuredAt.After(p.since.Add(orderTimeout))
		_, held := r.permitHeld(p, now)
		if idle || !held {
			r.freePermit(ctx, p)
		}
	}
}

func (r *reconciler) permitHeld(p *permit, now time.Time) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.lease.Held(now)
}

// send gives one order and reports whether it may have been taken. The lease
// is checked at the moment of sending, and the call ends before the lease does.
func (r *reconciler) send(ctx context.Context, o loomfleet.Order) bool {
	n := r.instance
	client, err := n.engines.client(o.Address)
	if err != nil {
		return false
	}
	now := time.Now()
	token, held := r.held(now)
	if !held {
		return false
	}
	r.mu.Lock()
	until := r.lease.ValidUntil()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, min(orderTimeout, until.Sub(now)))
	defer cancel()
	reply, err := client.Order(call, &loompb.OrderRequest{
		FencingToken: token,
		Holder:       n.holderName(),
		Model:        o.Model,
		Version:      o.Version,
	})
	accepted := err != nil || reply.GetAccepted()
	n.log.Info("order sent", "engine", o.Engine, "model", o.Model, "version", o.Version, "token", token, "accepted", reply.GetAccepted(), "error", err)
	return accepted
}
