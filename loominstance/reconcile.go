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
	// reconcileLease is the duration of the reconciler lease. orderTimeout
	// bounds one order call, and defaultOrderTimeLimit the time to carry out an
	// order when the catalogue gives none.
	reconcileLease        = 3 * time.Second
	orderTimeout          = 500 * time.Millisecond
	defaultOrderTimeLimit = 10 * time.Second
)

// reconciler makes the engines of this failure domain load the versions that
// the catalogue requires. It acts only while it holds the lease of the domain.
type reconciler struct {
	instance *Instance

	mu    sync.Mutex
	lease loomlease.Lease
	// holdOffUntil is the end of the hold-off time after the lease has changed
	// hands, during which an order of the earlier holder may still be carried
	// out. No orders are sent before then.
	holdOffUntil time.Time
	lastToken    uint64
	// permits holds the leases that limit the concurrent loads of the whole
	// site, by row key. Each belongs to the engine that loads under it.
	permits map[string]*permit
}

// permit is one permit to load weights. engine is empty while no engine loads
// under it.
type permit struct {
	lease     loomlease.Lease
	engine    string
	orderedAt time.Time
}

func newReconciler(n *Instance) *reconciler {
	return &reconciler{
		instance: n,
		lease:    loomlease.New("reconciler/"+n.FailureDomain(), n.holderName(), reconcileLease),
		permits:  make(map[string]*permit),
	}
}

// step maintains the lease and sends the orders that are due. Only the instance
// that ranks first in its failure domain tries to acquire a free lease. A
// stopping instance releases it.
func (r *reconciler) step(ctx context.Context) {
	n := r.instance
	ids := n.view.Load().LiveIDs(loommember.KindInstance, n.FailureDomain())
	_, held := r.fencingToken(time.Now())
	if n.stopping.Load() {
		n.releaseLease(ctx, &r.lease, &r.mu)
		return
	}
	if !held && firstRanked("reconciler", ids, n.ID()) != n.ID() {
		return
	}
	n.maintainLease(ctx, &r.lease, &r.mu)
	now := time.Now()
	token, held := r.fencingToken(now)
	if !held {
		return
	}
	r.updateToken(now, token)
	r.releaseFinishedPermits(ctx, now)
	if now.Before(r.holdOffUntil) {
		return
	}
	for _, e := range n.catalogue.Snapshot().Entries(loomcatalogue.KindModel) {
		if m, ok := e.(loomcatalogue.Model); ok {
			r.reconcileModel(ctx, m)
		}
	}
}

// fencingToken returns the fencing token of the lease, and whether the lease is
// held at now.
func (r *reconciler) fencingToken(now time.Time) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Held(now)
}

// updateToken starts the hold-off time when the lease has changed hands and
// some engines do not check fencing tokens, since those may still carry out
// orders of the earlier holder.
func (r *reconciler) updateToken(now time.Time, token uint64) {
	if token == r.lastToken {
		return
	}
	r.lastToken = token
	r.instance.log.Info("reconciler lease acquired", "token", token)
	if token == 1 {
		return
	}
	for _, e := range r.instance.catalogue.Snapshot().Entries(loomcatalogue.KindUpstreamGroup) {
		g, ok := e.(loomcatalogue.UpstreamGroup)
		if ok && g.UpstreamKind == loommember.KindEngine && !g.ChecksFencing {
			r.holdOffUntil = now.Add(orderTimeout + orderTimeLimit(g))
		}
	}
}

// orderTimeLimit returns the longest time that an engine of the group takes for
// an order.
func orderTimeLimit(g loomcatalogue.UpstreamGroup) time.Duration {
	if g.MaxOrderSeconds == 0 {
		return defaultOrderTimeLimit
	}
	return time.Duration(g.MaxOrderSeconds) * time.Second
}

// reconcileModel sends the orders for one model that are due, one for each load
// permit that can be acquired.
func (r *reconciler) reconcileModel(ctx context.Context, m loomcatalogue.Model) {
	n := r.instance
	d, ok := n.catalogue.Snapshot().Deployment(n.settings.Deployment.Name)
	if !ok {
		return
	}
	target := loomfleet.Target{Model: m.Name, Version: m.Version, LoadLimit: d.LoadLimit}
	engines := r.engines(m)
	if len(loomfleet.Plan(engines, target, 1)) == 0 {
		return
	}
	for i := range d.LoadLimit {
		p, ok := r.acquirePermit(ctx, fmt.Sprintf("load_permit/%d", i), m)
		if !ok {
			continue
		}
		orders := loomfleet.Plan(engines, target, 1)
		if len(orders) == 0 || !r.sendOrder(ctx, orders[0]) {
			r.releasePermit(ctx, p)
			return
		}
		p.engine = orders[0].Engine
		p.orderedAt = time.Now()
		engines = withLoading(engines, orders[0])
	}
}

// withLoading returns a copy of engines in which the order is being carried
// out.
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

// engines returns the state of the engines in this failure domain that serve a
// model or should serve it.
func (r *reconciler) engines(m loomcatalogue.Model) []loomfleet.Engine {
	n := r.instance
	var found []loomfleet.Engine
	for _, member := range n.view.Load().Kind(loommember.KindEngine, m.UpstreamGroup) {
		if member.FailureDomain != n.FailureDomain() {
			continue
		}
		report, known := n.fleet.Latest(member.ID)
		loading := report.LoadingVersion
		if r.isLoading(member.ID, report.Version, m.Version) {
			loading = m.Version
		}
		found = append(found, loomfleet.Engine{
			ID:          member.ID,
			Address:     member.Address,
			Model:       report.Model,
			Version:     report.Version,
			Loading:     loading,
			Outstanding: report.Running + report.Queued,
			Usable:      known && member.Status == loommember.Live,
		})
	}
	return found
}

// isLoading reports whether an engine was ordered to load a version and does
// not report it yet.
func (r *reconciler) isLoading(engine string, version, target uint64) bool {
	for _, p := range r.permits {
		if p.engine == engine && version < target {
			return true
		}
	}
	return false
}

// acquirePermit acquires one of the site's permits to load weights.
func (r *reconciler) acquirePermit(ctx context.Context, key string, m loomcatalogue.Model) (*permit, bool) {
	n := r.instance
	p, ok := r.permits[key]
	if ok && p.engine != "" {
		return nil, false
	}
	if !ok {
		g, _ := n.catalogue.Snapshot().UpstreamGroup(m.UpstreamGroup)
		p = &permit{lease: loomlease.New(key, n.holderName(), orderTimeLimit(g))}
		r.permits[key] = p
	}
	n.maintainLease(ctx, &p.lease, &r.mu)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := p.lease.Held(time.Now())
	return p, held
}

func (r *reconciler) releasePermit(ctx context.Context, p *permit) {
	p.engine = ""
	r.instance.releaseLease(ctx, &p.lease, &r.mu)
}

// releaseFinishedPermits releases the permits of engines that have finished
// loading, and those that have expired. A permit is not renewed while an engine
// loads under it, so it expires when the load takes longer than an order may.
func (r *reconciler) releaseFinishedPermits(ctx context.Context, now time.Time) {
	for _, p := range r.permits {
		if p.engine == "" {
			continue
		}
		report, known := r.instance.fleet.Latest(p.engine)
		idle := known && report.LoadingVersion == 0 && report.MeasuredAt.After(p.orderedAt.Add(orderTimeout))
		_, held := r.permitToken(p, now)
		if idle || !held {
			r.releasePermit(ctx, p)
		}
	}
}

func (r *reconciler) permitToken(p *permit, now time.Time) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.lease.Held(now)
}

// sendOrder sends one order and reports whether the engine may have accepted
// it. The lease is checked immediately before sending, and the call times out
// before the lease expires.
func (r *reconciler) sendOrder(ctx context.Context, o loomfleet.Order) bool {
	n := r.instance
	client, err := n.engines.client(o.Address)
	if err != nil {
		return false
	}
	now := time.Now()
	token, held := r.fencingToken(now)
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
