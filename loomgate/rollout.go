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
	// rolloutInterval is the time between two looks at the engines while some
	// lack the named weights, and rolloutIdle otherwise.
	rolloutInterval = 100 * time.Millisecond
	rolloutIdle     = time.Second
	// leaseTimeout bounds a call for the lease; orderCallTimeout a call to an
	// engine.
	leaseTimeout = 900 * time.Millisecond
	// renewTimeout is short, so that orders go on while the platform is away.
	renewTimeout     = 150 * time.Millisecond
	orderCallTimeout = 500 * time.Millisecond
	// rolloutLease is how long the lease lasts without renewal. It is longer than
	// usual cuts from the platform, through which its holder goes on; a holder
	// whose process was started again takes its own lease over at once.
	rolloutLease = 10 * time.Second
	// orderMargin is kept between the last order that a lease allows and the
	// first of the next holder, besides the gap that must lie between them.
	orderMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 400 * time.Millisecond
	// candidacyStep is the time by which instances wait for each other before
	// they try to take the lease.
	candidacyStep = 300 * time.Millisecond
	// reorderAfter is when an order that shows no effect is given again.
	reorderAfter = 1500 * time.Millisecond
	// loadShare is the part of a group's engines that have an order under way at
	// once. A site's weights come at full speed to about a sixth; the rest of the
	// time of an order goes to runs that end first.
	loadShare = 0.3
	// rolloutShare is the part of the time for new weights over which the orders
	// to a group are spread, so that engines load one after the other.
	rolloutShare = 0.6
	// weightsMargin is kept before the time at which old weights may no longer
	// serve, for the way to an engine and for a caller's leaving to reach it.
	weightsMargin = 300 * time.Millisecond
	// toldMemory is how long what peers told of loading engines counts.
	toldMemory = 1500 * time.Millisecond
	// readInterval is the time between two reads of another's lease.
	readInterval = 600 * time.Millisecond
	leaseKey     = "leases/rollout"
)

// rollout brings engines to the versions that operators named, while this
// instance holds the lease for it.
type rollout struct {
	gate *Gate
	woke chan struct{}

	// The fields up to mu belong to the goroutine of run.
	lease  loomlease.Lease
	holder string
	readAt time.Time
	// renewedAt is when the write that last renewed the lease was sent.
	renewedAt  time.Time
	triedAt    time.Time
	quietUntil time.Time
	wantSince  time.Time
	orders     map[string]*engineOrder
	orderedAt  time.Time

	// holds tells others whether this instance held the lease at the last look.
	holds atomic.Bool

	mu sync.Mutex
	// loadingNow holds the engines that load weights, by own and peers' word.
	loadingNow map[string]loadingWord
	// askedAt is when each engine was last asked by reportOf.
	askedAt map[string]time.Time
}

// engineOrder is an order that this instance gave.
type engineOrder struct {
	upstream loommember.Upstream
	model    string
	version  uint64
	sentAt   time.Time
	lookedAt time.Time
}

type loadingWord struct {
	at          time.Time
	incarnation uint64
	version     uint64
	own         bool
}

func newRollout(g *Gate) *rollout {
	holder := fmt.Sprintf("%s/%d", g.settings.ID, g.incarnation)
	return &rollout{
		gate:       g,
		woke:       make(chan struct{}, 1),
		holder:     holder,
		lease:      loomlease.New(leaseKey, holder, rolloutLease),
		orders:     make(map[string]*engineOrder),
		loadingNow: make(map[string]loadingWord),
		askedAt:    make(map[string]time.Time),
	}
}

func (r *rollout) wake() {
	select {
	case r.woke <- struct{}{}:
	default:
	}
}

func (r *rollout) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := rolloutIdle
		if r.step(ctx) {
			wait = rolloutInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-r.woke:
		case <-timer.C:
		}
		timer.Stop()
	}
	r.giveUp(ctx)
	return nil
}

// wish is one model that some engines of a group lack in the named version.
type wish struct {
	model   string
	version uint64
	engines []loommember.Upstream
	stale   int
}

// step does what is due and reports whether work is left.
func (r *rollout) step(ctx context.Context) bool {
	now := bootNow()
	wishes := r.wishes(time.Now())
	r.forgetDone()
	if len(wishes) == 0 {
		r.wantSince = time.Time{}
		r.holds.Store(false)
		return false
	}
	if r.wantSince.IsZero() {
		r.wantSince = now
	}
	holds := r.hold(ctx, now)
	r.holds.Store(holds)
	if !holds {
		return true
	}
	for _, w := range wishes {
		r.order(ctx, w)
	}
	return true
}

// wishes returns what is left to do.
func (r *rollout) wishes(now time.Time) []wish {
	var left []wish
	for model, version := range r.gate.beliefs.wishes() {
		for _, group := range r.gate.beliefs.routing().Groups() {
			if group.Engine == nil || !slices.Contains(group.Engine.Models, model) {
				continue
			}
			w := wish{model: model, version: version, engines: r.gate.usable(now, group.Name)}
			for _, u := range w.engines {
				if u.Version(model) < version {
					w.stale++
				}
			}
			if w.stale > 0 {
				left = append(left, w)
			}
		}
	}
	slices.SortFunc(left, func(a, b wish) int { return cmp.Compare(a.model, b.model) })
	return left
}

// order gives the orders that are due for one model.
func (r *rollout) order(ctx context.Context, w wish) {
	engines := make([]loomfleet.Engine, 0, len(w.engines))
	byID := make(map[string]loommember.Upstream, len(w.engines))
	for _, u := range w.engines {
		byID[u.ID] = u
		e := loomfleet.Engine{ID: u.ID, Address: u.Address, Model: w.model, Version: u.Version(w.model), Usable: true}
		e.Outstanding = r.gate.fleet.Estimate(time.Now(), u.ID, defaultTokenTime).Outstanding
		if o, ok := r.orders[u.ID]; ok && o.upstream.Incarnation == u.Incarnation && o.version == w.version && e.Version < w.version {
			e.Loading = w.version
			r.look(ctx, o)
		}
		engines = append(engines, e)
	}
	limit := max(int(float64(len(w.engines))*loadShare+0.99), 1)
	loading := 0
	for _, e := range engines {
		if e.Loading > 0 {
			loading++
		}
	}
	spacing := time.Duration(rolloutShare * float64(r.gate.settings.WeightsTime) / float64(max(len(w.engines), 1)))
	want := loomfleet.Want{Model: w.model, Version: w.version, LoadLimit: limit}
	for _, o := range loomfleet.Plan(engines, want, limit-loading) {
		now := bootNow()
		if !r.mayOrder(now) || now.Sub(r.orderedAt) < spacing {
			return
		}
		if r.send(ctx, byID[o.Engine], o) {
			r.orderedAt = now
		}
	}
}

// send gives one order and reports whether it may have been accepted. Its effect
// is seen by look.
func (r *rollout) send(ctx context.Context, u loommember.Upstream, o loomfleet.Order) bool {
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	state, err := r.gate.runner.Report(call, u.Address, u.ID)
	if err != nil {
		r.gate.log.Warn("engine_unreported", "upstream", u.ID, "cause", err.Error())
		return false
	}
	if v := state.Version(o.Model); v >= o.Version {
		r.gate.beliefs.sawVersion(time.Now(), u.ID, u.Incarnation, o.Model, v)
		return false
	}
	now := bootNow()
	token, held := r.lease.Held(now)
	if state.Busy {
		// An earlier order is under way, maybe for older weights.
		r.orders[u.ID] = &engineOrder{upstream: u, model: o.Model, version: o.Version, lookedAt: now}
		return false
	}
	if !held || !r.mayOrder(now) {
		return false
	}
	holder := r.gate.settings.ID
	outcome, err := r.gate.runner.Order(call, u.Address, loomupstream.Order{
		Upstream: u.ID, Model: o.Model, Version: o.Version, Holder: holder, Fence: token, ExpectedOrders: state.Orders,
	})
	r.gate.log.Info("order_sent", "upstream", u.ID, "model", o.Model, "version", o.Version, "fence", token,
		"expected_orders", state.Orders, "outcome", outcome.String(), "cause", fmt.Sprint(err))
	switch outcome {
	case loomupstream.OrderAccepted, loomupstream.OrderUnknown:
		r.orders[u.ID] = &engineOrder{upstream: u, model: o.Model, version: o.Version, sentAt: now, lookedAt: now}
		r.note(u.ID, u.Incarnation, o.Version, true)
		return true
	case loomupstream.OrderHolds:
		r.gate.beliefs.sawVersion(time.Now(), u.ID, u.Incarnation, o.Model, o.Version)
	default:
	}
	return false
}

// lookInterval is the time between two looks at an engine that loads.
const lookInterval = 300 * time.Millisecond

// look asks an engine whether it has loaded.
func (r *rollout) look(ctx context.Context, o *engineOrder) {
	now := bootNow()
	if now.Sub(o.lookedAt) < lookInterval {
		r.note(o.upstream.ID, o.upstream.Incarnation, o.version, true)
		return
	}
	o.lookedAt = now
	call, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	state, err := r.gate.runner.Report(call, o.upstream.Address, o.upstream.ID)
	switch {
	case err != nil:
		r.gate.log.Warn("engine_unreported", "upstream", o.upstream.ID, "cause", err.Error())
	case state.Version(o.model) >= o.version:
		r.note(o.upstream.ID, o.upstream.Incarnation, o.version, false)
		r.gate.beliefs.sawVersion(time.Now(), o.upstream.ID, o.upstream.Incarnation, o.model, o.version)
		delete(r.orders, o.upstream.ID)
		return
	case state.Busy:
		r.note(o.upstream.ID, o.upstream.Incarnation, o.version, true)
		return
	}
	if now.Sub(o.sentAt) > reorderAfter {
		delete(r.orders, o.upstream.ID)
	}
}

// forgetDone drops orders for versions that are no longer wanted.
func (r *rollout) forgetDone() {
	for id, o := range r.orders {
		if r.gate.beliefs.wanted(o.model) != o.version {
			delete(r.orders, id)
		}
	}
}
