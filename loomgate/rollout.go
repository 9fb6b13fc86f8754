package loomgate

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftloom/loomfleet"
	"swiftloom/loomlease"
	"swiftloom/loommember"
	"swiftloom/loomupstream"
)

const (
	// rolloutInterval is the time between two reconciliations while some
	// engines lack their target version, and rolloutIdleInterval the time
	// otherwise.
	rolloutInterval     = 100 * time.Millisecond
	rolloutIdleInterval = time.Second
	// leaseTimeout bounds a call that reads or acquires the lease,
	// orderCallTimeout a call to an engine or a store.
	leaseTimeout = 900 * time.Millisecond
	// renewTimeout bounds a renewal. It is short, so that orders continue while
	// the platform is unavailable.
	renewTimeout     = 150 * time.Millisecond
	orderCallTimeout = 500 * time.Millisecond
	// leaseDuration is how long the lease lasts without renewal. It is longer
	// than a usual outage of the platform, during which the holder continues. A
	// restarted holder reclaims its own lease at once.
	leaseDuration = 10 * time.Second
	// orderMargin is added to MinOrderGap between the last order that a lease
	// allows and the first order of the next holder.
	orderMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 400 * time.Millisecond
	// candidacyStep is the additional delay per rank before an instance tries
	// to acquire the lease.
	candidacyStep = 300 * time.Millisecond
	// orderRetryDelay is how long after it was sent an order without visible
	// effect may be sent again, and after which an engine that did not report
	// its state is asked again.
	orderRetryDelay = 1500 * time.Millisecond
	// maxLoadingShare is the share of a group's engines that may have an order
	// in progress at once. A site can deliver weights at full speed to about a
	// sixth of the engines; the rest of the time of an order is spent waiting
	// for running requests to end.
	maxLoadingShare = 0.3
	// orderSpreadShare is the share of OldWeightsTTL over which the orders to a
	// group are spread, so that engines load one after another.
	orderSpreadShare = 0.6
	// weightsExpiryMargin is subtracted from OldWeightsTTL. It covers the time
	// for a request to reach an engine and for a caller's cancellation to do
	// so.
	weightsExpiryMargin = 300 * time.Millisecond
	// loadingTTL is how long a report that an engine is loading remains valid, and how long
	// peers are told that it has loaded.
	loadingTTL = 1500 * time.Millisecond
	// leaseReadInterval is the minimum time between two reads of a lease that
	// another instance holds.
	leaseReadInterval = 600 * time.Millisecond
	leaseKey          = "leases/rollout"
)

// rollout brings engines to their target versions while this instance holds the
// rollout lease.
type rollout struct {
	gate    *Gate
	wakeups chan struct{}

	// The fields from here to unreportedAt are used only by the goroutine of
	// run.
	lease  loomlease.Lease
	holder string
	// epoch is the newest epoch of the platform's table that the lease follows.
	epoch uint64
	// leaseReadAt is when the lease was last read; zero forces a read.
	leaseReadAt time.Time
	// renewalAttemptedAt is when a renewal was last attempted.
	renewalAttemptedAt time.Time
	// namedWrittenAt is when a row about named weights was last written, or the attempt
	// was made.
	namedWrittenAt time.Time
	// pendingSince is when engines first lacked a target version; zero if none
	// does.
	pendingSince time.Time
	orders       map[string]*engineOrder
	lastOrderAt  time.Time
	// unreportedAt is when an engine that was due for an order last did not report.
	unreportedAt map[string]time.Time

	// holdsLease is whether orders were allowed at the last reconciliation.
	// Other goroutines read it.
	holdsLease atomic.Bool

	mu sync.Mutex
	// loadingEngines holds the engines that are loading weights or have loaded them, as
	// observed here or reported by peers.
	loadingEngines map[string]loadingState
	// versionRequestedAt is when refreshVersion last queried each engine.
	versionRequestedAt map[string]time.Time
}

// engineOrder is an order that this instance sent to an engine, or found in
// progress there.
type engineOrder struct {
	upstream  loommember.Upstream
	model     string
	version   uint64
	sentAt    time.Time
	checkedAt time.Time
}

// loadingState is a report that an engine is loading weights, or that it has loaded them.
// isLocal is set if this instance made the observation itself.
type loadingState struct {
	reportedAt  time.Time
	incarnation uint64
	model       string
	version     uint64
	isLoaded    bool
	isLocal     bool
}

func newRollout(g *Gate) *rollout {
	holder := fmt.Sprintf("%s/%d", g.settings.ID, g.incarnation)
	return &rollout{
		gate:               g,
		wakeups:            make(chan struct{}, 1),
		holder:             holder,
		lease:              loomlease.New(leaseKey, holder, leaseDuration).WithGap(orderGap(g.settings)),
		orders:             make(map[string]*engineOrder),
		unreportedAt:       make(map[string]time.Time),
		loadingEngines:     make(map[string]loadingState),
		versionRequestedAt: make(map[string]time.Time),
	}
}

// wake triggers a reconciliation without waiting for the next interval.
func (r *rollout) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// run reconciles the engines until ctx ends and then releases the lease.
func (r *rollout) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := rolloutIdleInterval
		if r.reconcile(ctx) {
			wait = rolloutInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-r.wakeups:
		case <-timer.C:
		}
		timer.Stop()
	}
	r.releaseLease(ctx)
	return nil
}

// pendingUpdate is a model that some engines of a group do not yet run in its
// target version.
type pendingUpdate struct {
	model    string
	version  uint64
	engines  []loommember.Upstream
	outdated int
}

// reconcile sends the orders that are due and reports whether engines remain to
// be updated.
func (r *rollout) reconcile(ctx context.Context) bool {
	now := bootTime()
	r.followEpoch(now)
	updates := r.pendingUpdates(time.Now())
	r.dropObsoleteOrders(time.Now())
	if len(updates) == 0 {
		clear(r.unreportedAt)
		r.pendingSince = time.Time{}
		r.holdsLease.Store(false)
		return false
	}
	if r.pendingSince.IsZero() {
		r.pendingSince = now
	}
	held := r.ensureLease(ctx, now)
	r.holdsLease.Store(held)
	if !held {
		return true
	}
	r.writeNamed(ctx, now, updates)
	for _, update := range updates {
		r.sendOrders(ctx, update)
	}
	return true
}

// pendingUpdates returns the updates that are not complete, ordered by model.
func (r *rollout) pendingUpdates(now time.Time) []pendingUpdate {
	var updates []pendingUpdate
	for model, version := range r.gate.view.targetVersions() {
		for _, group := range r.gate.view.routing().Groups() {
			if group.Engine == nil || !slices.Contains(group.Engine.Models, model) {
				continue
			}
			update := pendingUpdate{model: model, version: version, engines: r.gate.usableUpstreams(now, group.Name)}
			for _, u := range update.engines {
				if u.Version(model) < version {
					update.outdated++
				}
			}
			if update.outdated > 0 {
				updates = append(updates, update)
			}
		}
	}
	slices.SortFunc(updates, func(a, b pendingUpdate) int { return cmp.Compare(a.model, b.model) })
	return updates
}

// sendOrders sends the orders that are due for one model. Its calls to engines run at the
// same time, so that the pace doesn't depend on how many there are.
func (r *rollout) sendOrders(ctx context.Context, update pendingUpdate) {
	r.checkOrders(ctx, update)
	engines := make([]loomfleet.Engine, 0, len(update.engines))
	byID := make(map[string]loommember.Upstream, len(update.engines))
	loading := 0
	for _, u := range update.engines {
		byID[u.ID] = u
		e := r.engineState(u, update)
		if e.Loading > 0 {
			loading++
		}
		engines = append(engines, e)
	}
	limit := max(int(float64(len(update.engines))*maxLoadingShare+0.99), 1)
	target := loomfleet.Target{Model: update.model, Version: update.version, LoadLimit: limit}
	now := bootTime()
	if !r.canOrder(now) {
		return
	}
	due := r.dueOrders(now, update, byID, loomfleet.Plan(engines, target, limit-loading))
	results := make([]orderResult, len(due))
	var calls sync.WaitGroup
	for i, d := range due {
		calls.Go(func() { results[i] = r.sendOrder(ctx, byID[d.order.Engine], d.order) })
	}
	calls.Wait()
	for i, result := range results {
		if !r.apply(result) {
			// Another engine may take its place.
			r.lastOrderAt = r.lastOrderAt.Add(-due[i].spacing)
		}
	}
}

// engineState returns an engine as the planner of a rollout sees it.
func (r *rollout) engineState(u loommember.Upstream, update pendingUpdate) loomfleet.Engine {
	now := time.Now()
	e := loomfleet.Engine{ID: u.ID, Address: u.Address, Model: update.model, Version: u.Version(update.model)}
	e.Usable = bootTime().Sub(r.unreportedAt[u.ID]) >= orderRetryDelay && r.gate.holdOffs.wait(now, u) == 0
	e.Outstanding = r.gate.fleet.Estimate(now, u.ID, 0).Outstanding
	if o, ok := r.orderTo(u, update); ok {
		e.Loading = o.version
	}
	return e
}

// orderTo returns the order that an engine may be carrying out, or false if there is none. It
// may be an order for weights that were replaced meanwhile: the engine loads them to the end.
func (r *rollout) orderTo(u loommember.Upstream, update pendingUpdate) (*engineOrder, bool) {
	o, ok := r.orders[u.ID]
	return o, ok && o.upstream.Incarnation == u.Incarnation && o.model == update.model && u.Version(update.model) < o.version
}

// maxOrderBacklog is the time for which orders that were not sent are made up for at once.
const maxOrderBacklog = 500 * time.Millisecond

// dueOrder is an order that is due, and the time until the next one.
type dueOrder struct {
	order   loomfleet.Order
	spacing time.Duration
}

// dueOrders returns those of the planned orders that are due. They are spread evenly over the
// time for an update, but engines whose weights are about to expire serve no requests, so
// they load weights at once.
func (r *rollout) dueOrders(now time.Time, update pendingUpdate, byID map[string]loommember.Upstream, planned []loomfleet.Order) []dueOrder {
	spacing := orderSpacing(r.gate.settings.OldWeightsTTL, len(update.engines))
	if earliest := now.Add(-max(maxOrderBacklog, spacing)); r.lastOrderAt.Before(earliest) {
		r.lastOrderAt = earliest
	}
	var due []dueOrder
	for _, o := range planned {
		u := byID[o.Engine]
		if r.gate.view.weightsExpired(time.Now(), minAbandonTime, update.model, u.Version(update.model)) {
			due = append(due, dueOrder{order: o})
			continue
		}
		if now.Sub(r.lastOrderAt) >= spacing {
			r.lastOrderAt = r.lastOrderAt.Add(spacing)
			due = append(due, dueOrder{order: o, spacing: spacing})
		}
	}
	return due
}

// orderSpacing returns the time between two orders to a number of engines that spreads them
// over the time in which all must have new weights.
func orderSpacing(oldWeightsTTL time.Duration, engines int) time.Duration {
	return time.Duration(orderSpreadShare * float64(oldWeightsTTL) / float64(max(engines, 1)))
}

// orderResult is what the calls for an order have shown. It is one of orderSent,
// orderUnneeded and engineUnreported.
type orderResult interface {
	orderResult()
}

// orderSent holds an order that the engine may have accepted, or one that was in progress.
type orderSent struct {
	order engineOrder
}

// orderUnneeded reports that there was nothing to order, or that the order was refused.
type orderUnneeded struct {
	upstream string
}

// engineUnreported reports that the engine did not report its state at a time.
type engineUnreported struct {
	upstream string
	at       time.Time
}

func (orderSent) orderResult()        {}
func (orderUnneeded) orderResult()    {}
func (engineUnreported) orderResult() {}

// apply records the result of an order, and reports whether the engine may have got it.
func (r *rollout) apply(result orderResult) (mayHaveOrder bool) {
	switch result := result.(type) {
	case orderSent:
		delete(r.unreportedAt, result.order.upstream.ID)
		r.orders[result.order.upstream.ID] = &result.order
		return !result.order.sentAt.IsZero()
	case orderUnneeded:
		delete(r.unreportedAt, result.upstream)
	case engineUnreported:
		r.unreportedAt[result.upstream] = result.at
	}
	return false
}

// sendOrder sends one order. checkOrder observes its effect. It changes no state of r that
// other calls read.
func (r *rollout) sendOrder(ctx context.Context, u loommember.Upstream, o loomfleet.Order) orderResult {
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	state, err := r.report(call, u)
	if err != nil {
		r.gate.log.Warn("engine_unreported", "upstream", u.ID, "cause", err.Error())
		return engineUnreported{upstream: u.ID, at: bootTime()}
	}
	if v := state.Version(o.Model); v > u.Version(o.Model) {
		// The order was planned for older weights than the engine has.
		r.recordLoaded(time.Now(), u, o.Model, v)
		return orderUnneeded{upstream: u.ID}
	}
	if r.gate.view.targetVersion(o.Model) > o.Version {
		return orderUnneeded{upstream: u.ID}
	}
	now := bootTime()
	token, held := r.lease.Held(now)
	if state.Busy {
		// An earlier order is in progress, possibly for older weights.
		return orderSent{order: engineOrder{upstream: u, model: o.Model, version: o.Version, checkedAt: now}}
	}
	if !held || !r.canOrder(now) || r.gate.view.isEvacuated(u.FailureDomain) {
		return orderUnneeded{upstream: u.ID}
	}
	holder := r.gate.settings.ID
	reply, err := r.gate.runner.Order(call, u.Address, loomupstream.Order{
		Upstream: u.ID, Model: o.Model, Version: o.Version, Holder: holder, Fence: token, ExpectedOrders: state.Orders,
	})
	r.gate.hear(time.Now(), u, reply.Said, "order")
	r.gate.log.Info("order_sent", "upstream", u.ID, "model", o.Model, "version", o.Version, "fence", token,
		"expected_orders", state.Orders, "outcome", reply.Outcome.String(), "cause", fmt.Sprint(err))
	switch reply.Outcome {
	case loomupstream.OrderAccepted, loomupstream.OrderUnknown:
		r.recordLoading(time.Now(), u, o.Model, o.Version)
		return orderSent{order: engineOrder{upstream: u, model: o.Model, version: o.Version, sentAt: now, checkedAt: now}}
	case loomupstream.OrderUnchanged:
		r.recordLoaded(time.Now(), u, o.Model, o.Version)
	default:
	}
	return orderUnneeded{upstream: u.ID}
}

// report fetches the state of an engine and applies what the engine says of itself.
func (r *rollout) report(ctx context.Context, u loommember.Upstream) (loomupstream.EngineState, error) {
	state, err := r.gate.runner.Report(ctx, u.Address, u.ID)
	r.gate.hear(time.Now(), u, state.Said, "report")
	return state, err
}

// engineCheckInterval is the minimum time between two queries to one engine for
// its weights.
const engineCheckInterval = 300 * time.Millisecond

// checkOrders observes the effect of the orders that an update waits for.
func (r *rollout) checkOrders(ctx context.Context, update pendingUpdate) {
	var ended []string
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, u := range update.engines {
		o, ok := r.orderTo(u, update)
		if !ok || r.gate.holdOffs.wait(time.Now(), u) > 0 {
			continue
		}
		calls.Go(func() {
			if r.checkOrder(ctx, o) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, o.upstream.ID)
		})
	}
	calls.Wait()
	for _, id := range ended {
		delete(r.orders, id)
	}
}

// checkOrder queries an engine whether it has carried out an order. It returns false if the
// order is complete, or if it shows no effect within orderRetryDelay.
func (r *rollout) checkOrder(ctx context.Context, o *engineOrder) (isPending bool) {
	now := bootTime()
	if now.Sub(o.checkedAt) < engineCheckInterval {
		r.recordLoading(time.Now(), o.upstream, o.model, o.version)
		return true
	}
	o.checkedAt = now
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	state, err := r.report(call, o.upstream)
	switch {
	case err != nil:
		r.gate.log.Warn("engine_unreported", "upstream", o.upstream.ID, "cause", err.Error())
	case state.Version(o.model) >= o.version:
		r.recordLoaded(time.Now(), o.upstream, o.model, state.Version(o.model))
		return false
	case state.Busy:
		r.recordLoading(time.Now(), o.upstream, o.model, o.version)
		return true
	case state.Version(o.model) > o.upstream.Version(o.model):
		// The order that was found in progress was for older weights than o.version.
		r.recordLoaded(time.Now(), o.upstream, o.model, state.Version(o.model))
		return false
	}
	return now.Sub(o.sentAt) <= orderRetryDelay
}

// dropObsoleteOrders drops orders that are known to be complete, those to engines that were
// started again, and those for replaced weights to engines that are gone.
func (r *rollout) dropObsoleteOrders(now time.Time) {
	for id, o := range r.orders {
		u, ok := r.gate.view.upstream(id)
		switch {
		case !ok && r.gate.view.targetVersion(o.model) == o.version:
			continue
		case ok && u.Incarnation == o.upstream.Incarnation && u.Version(o.model) < o.version:
			continue
		case ok && u.Incarnation == o.upstream.Incarnation:
			r.recordLoaded(now, u, o.model, u.Version(o.model))
		}
		delete(r.orders, id)
	}
}
