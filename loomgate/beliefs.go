package loomgate

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loomroute"
)

const (
	// catalogueWait is how long the platform holds a call for changes of the
	// catalogue; a change is answered at once.
	catalogueWait = 25 * time.Second
	// upstreamsInterval is the time between two calls for changes of the list.
	// Upstreams write more often than that, so a held call would return at once.
	upstreamsInterval = 800 * time.Millisecond
	// retryInterval is the time between two calls while the platform fails.
	retryInterval = 700 * time.Millisecond
)

// beliefs holds what the instance believes of catalogue and upstreams. Readers
// take the current snapshots without a lock.
type beliefs struct {
	gate *Gate

	currentRouting atomic.Pointer[loomcatalogue.Routing]
	currentGroups  atomic.Pointer[map[string][]loommember.Upstream]
	seen           atomic.Bool
	// catalogueVersion and upstreamsVersion are the newest versions of the
	// platform's rows that were taken in.
	catalogueVersion atomic.Uint64
	upstreamsVersion atomic.Uint64
	// upstreamsAt is when the list was last heard of, in nanoseconds.
	upstreamsAt atomic.Int64
	// poke wakes the catalogue feed when a peer knows more.
	poke chan struct{}

	mu        sync.Mutex
	directory loommember.Directory
	// named holds the version that operators named for each model; it only
	// rises.
	named map[string]uint64
	// namings holds for each model the versions that were named, in the order of
	// their numbers, with the time when each was first seen.
	namings map[string][]naming
	// rows holds the platform's rows for peers that can't reach it.
	rows map[Topic]map[string]Row
	// complained holds the versions of rows that could not be read, so that
	// each is told once.
	complained map[string]uint64
}

func newBeliefs(g *Gate) *beliefs {
	b := &beliefs{
		gate:       g,
		poke:       make(chan struct{}, 1),
		named:      make(map[string]uint64),
		namings:    make(map[string][]naming),
		rows:       map[Topic]map[string]Row{TopicCatalogue: {}, TopicUpstreams: {}},
		complained: make(map[string]uint64),
	}
	b.currentRouting.Store(&loomcatalogue.Routing{})
	b.currentGroups.Store(&map[string][]loommember.Upstream{})
	return b
}

func (b *beliefs) routing() loomcatalogue.Routing {
	return *b.currentRouting.Load()
}

func (b *beliefs) seenUpstreams() bool {
	return b.seen.Load()
}

func (b *beliefs) group(_ time.Time, name string) []loommember.Upstream {
	return (*b.currentGroups.Load())[name]
}

// age returns how old the list of upstreams is.
func (b *beliefs) age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, b.upstreamsAt.Load()))
}

// wanted returns the version that operators named for a model, or zero.
func (b *beliefs) wanted(model string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.named[model]
}

// expired reports whether weights of a version may no longer serve a request
// that begins within a delay of now.
func (b *beliefs) expired(now time.Time, delay time.Duration, model string, version uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.namings[model] {
		if n.version > version {
			return now.Add(delay).Sub(n.at) > b.gate.settings.WeightsTime-weightsMargin
		}
	}
	return false
}

// naming is a version that operators named.
type naming struct {
	version uint64
	at      time.Time
}

// wishes returns the version that operators named for each model.
func (b *beliefs) wishes() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.named)
}

func (b *beliefs) followCatalogue(ctx context.Context) error {
	b.follow(ctx, TopicCatalogue, catalogueWait, 0)
	return nil
}

func (b *beliefs) followUpstreams(ctx context.Context) error {
	b.follow(ctx, TopicUpstreams, 0, upstreamsInterval)
	return nil
}

// follow reads a topic whole and then its changes, for as long as ctx lasts.
func (b *beliefs) follow(ctx context.Context, t Topic, wait, interval time.Duration) {
	whole := true
	failing := false
	for ctx.Err() == nil {
		started := time.Now()
		err := b.step(ctx, t, whole, wait)
		if ctx.Err() != nil {
			return
		}
		pause := interval
		switch {
		case errors.Is(err, ErrHistoryLost):
			b.gate.log.Warn("history_lost", "topic", t.String(), "version", b.version(t).Load())
			whole = true
			pause = 0
		case err != nil:
			if !failing {
				b.gate.log.Warn("dependency_lost", "dependency", "platform", "topic", t.String(), "cause", err.Error())
			}
			failing = true
			b.outage(time.Now())
			pause = b.gate.jitter(retryInterval)
		default:
			if failing {
				b.gate.log.Info("dependency_regained", "dependency", "platform", "topic", t.String(), "version", b.version(t).Load())
			}
			failing = false
			whole = false
		}
		b.sleep(ctx, t, pause-time.Since(started)/2)
	}
}

// sleep waits; a poke ends the wait for the catalogue.
func (b *beliefs) sleep(ctx context.Context, t Topic, d time.Duration) {
	if d <= 0 {
		return
	}
	var poke chan struct{}
	if t == TopicCatalogue {
		poke = b.poke
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-poke:
	case <-timer.C:
	}
}

func (b *beliefs) version(t Topic) *atomic.Uint64 {
	if t == TopicCatalogue {
		return &b.catalogueVersion
	}
	return &b.upstreamsVersion
}

// step makes one call and takes in its answer.
func (b *beliefs) step(ctx context.Context, t Topic, whole bool, wait time.Duration) error {
	var page Page
	var err error
	if whole {
		page, err = b.gate.source.Snapshot(ctx, t)
	} else {
		page, err = b.gate.source.Feed(ctx, t, b.version(t).Load(), wait)
	}
	if err != nil {
		return err
	}
	b.apply(time.Now(), t, page, whole)
	return nil
}

// outage notes that the platform could not be reached.
func (b *beliefs) outage(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.directory.Outage(now)
}

// apply takes in rows, from the platform or a peer. When whole is set, entries
// of upstreams that are not among the rows are gone.
func (b *beliefs) apply(now time.Time, t Topic, page Page, whole bool) {
	known := b.version(t)
	if page.Version < known.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	present := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = !row.Deleted
		if old, ok := b.rows[t][row.Key]; ok && row.Version < old.Version {
			continue
		}
		if row.Deleted {
			delete(b.rows[t], row.Key)
		} else {
			b.rows[t][row.Key] = row
		}
		changed = b.take(now, t, row) || changed
	}
	if whole && t == TopicUpstreams {
		changed = b.removeAbsent(now, present, page.Version) || changed
	}
	known.Store(max(known.Load(), page.Version))
	if t != TopicUpstreams {
		return
	}
	b.upstreamsAt.Store(now.UnixNano())
	changed = b.directory.Tidy(now) || changed
	if changed || !b.seen.Load() {
		b.publish(now)
	}
	b.seen.Store(true)
}

// removeAbsent removes the upstreams that a whole list lacks. The caller holds mu.
func (b *beliefs) removeAbsent(now time.Time, present map[string]bool, version uint64) bool {
	changed := false
	for _, id := range b.directory.Listed() {
		if !present[id] {
			changed = b.directory.Remove(now, id, version) || changed
			delete(b.rows[TopicUpstreams], id)
		}
	}
	return changed
}

// take takes in one row and reports whether the upstreams changed.
func (b *beliefs) take(now time.Time, t Topic, row Row) bool {
	change, err := b.gate.source.Decode(t, row)
	if err != nil {
		if b.complained[row.Key] == 0 {
			b.gate.log.Warn("row_unreadable", "topic", t.String(), "key", row.Key, "version", row.Version, "cause", err.Error())
			b.complained[row.Key] = row.Version
		}
		return false
	}
	switch c := change.(type) {
	case RoutingChanged:
		b.takeRouting(c.Routing, row.Version)
	case WeightsNamed:
		if c.Version > b.named[c.Model] {
			b.named[c.Model] = c.Version
			b.namings[c.Model] = append(b.namings[c.Model], naming{version: c.Version, at: now})
			b.gate.log.Info("weights_named", "model", c.Model, "version", c.Version)
			b.gate.rollout.wake()
		}
	case UpstreamListed:
		return b.takeUpstream(now, c)
	case UpstreamRemoved:
		if b.directory.Remove(now, c.ID, c.Version) {
			b.gate.log.Info("upstream_removed", "upstream", c.ID, "row_version", c.Version)
			return true
		}
	}
	return false
}

func (b *beliefs) takeRouting(r loomcatalogue.Routing, version uint64) {
	old := b.routing()
	if r.Revision() <= old.Revision() {
		return
	}
	b.currentRouting.Store(&r)
	b.gate.metrics.revision.Update(float64(r.Revision()))
	b.gate.log.Info("catalogue_changed", "revision", r.Revision(), "before", old.Revision(), "row_version", version)
}

func (b *beliefs) takeUpstream(now time.Time, c UpstreamListed) bool {
	before, known := b.directory.Get(now, c.Upstream.ID)
	if !b.directory.List(now, c.Upstream, c.Leaving, c.Version) {
		return false
	}
	if !known || before.Incarnation != c.Upstream.Incarnation {
		b.gate.residency.Forget(c.Upstream.ID)
	}
	b.gate.fleet.Report(now, c.Upstream.ID, loomroute.Report{BatchLimit: c.Upstream.Slots, MeasuredAt: now})
	b.gate.log.Info("upstream_listed", "upstream", c.Upstream.ID, "group", c.Upstream.Group, "address", c.Upstream.Address,
		"incarnation", c.Upstream.Incarnation, "leaving", c.Leaving, "row_version", c.Version)
	return true
}

// publish makes the current groups visible to readers. The caller holds mu.
func (b *beliefs) publish(now time.Time) {
	groups := make(map[string][]loommember.Upstream)
	var ids []string
	for _, u := range b.directory.Usable(now) {
		groups[u.Group] = append(groups[u.Group], u)
		ids = append(ids, u.ID)
	}
	b.currentGroups.Store(&groups)
	b.gate.fleet.Forget(ids)
	b.gate.residency.Keep(ids)
}

// markLeaving notes that an incarnation gets no new work.
func (b *beliefs) markLeaving(now time.Time, id string, incarnation uint64, cause string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.directory.Mark(now, id, incarnation) {
		return
	}
	b.publish(now)
	b.gate.log.Info("upstream_leaving", "upstream", id, "incarnation", incarnation, "cause", cause)
}

// sawVersion notes the weights that an upstream was seen to have.
func (b *beliefs) sawVersion(now time.Time, id string, incarnation uint64, model string, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.directory.SetVersion(id, incarnation, model, version) {
		return
	}
	b.publish(now)
	b.gate.log.Info("upstream_weights", "upstream", id, "model", model, "version", version)
}

// tidy drops upstreams whose time has come.
func (b *beliefs) tidy(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.directory.Tidy(now) {
		b.publish(now)
	}
}

// knownRows returns the rows of a topic for a peer.
func (b *beliefs) knownRows(t Topic) Page {
	b.mu.Lock()
	defer b.mu.Unlock()
	page := Page{Version: b.version(t).Load()}
	for _, row := range b.rows[t] {
		page.Rows = append(page.Rows, row)
	}
	return page
}

func hashOf(text string) uint64 {
	return xxhash.Sum64String(text)
}

// jitter returns a time between 0.8 and 1.2 times d.
func (g *Gate) jitter(d time.Duration) time.Duration {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return d*4/5 + time.Duration(g.random.Int64N(int64(d)*2/5+1))
}
