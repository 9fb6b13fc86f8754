package loomgate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomkernel"
	"swiftloom/loommetrics"
)

const (
	// metricsInterval is the time between two reports of counters to the page,
	// and between two looks at what the gauges show.
	metricsInterval = 2 * time.Second
	// maxGroupLabels bounds the groups of upstreams that the page keeps apart:
	// each takes some forty lines of it.
	maxGroupLabels = 64
	// noGroup labels requests that were refused before a route was found.
	noGroup = "none"
)

// Metrics holds the counters, gauges and latency histograms of a gate. Its
// methods may be called concurrently.
type Metrics struct {
	page   *loommetrics.Page
	labels *loommetrics.Labels

	requests tally.Counter
	retries  tally.Counter
	revision tally.Gauge

	mu sync.Mutex
	// groups is keyed by label, of which there are at most maxGroupLabels and
	// two more.
	groups map[string]*groupMetrics
}

// groupMetrics holds what is counted for one group of upstreams.
type groupMetrics struct {
	scope    tally.Scope
	answered tally.Counter
	// first and total are keyed by route kind, errors by error kind; they are
	// made when first used and guarded by the lock of Metrics.
	first  map[loomcatalogue.RouteKind]tally.Histogram
	total  map[loomcatalogue.RouteKind]tally.Histogram
	errors map[loomerror.Kind]tally.Counter
}

func newMetrics() *Metrics {
	page := loommetrics.NewPage(metricsInterval)
	scope := page.Scope()
	return &Metrics{
		page:     page,
		labels:   loommetrics.NewLabels(maxGroupLabels),
		requests: scope.Counter("requests_total"),
		retries:  scope.Counter("retries_total"),
		revision: scope.Gauge("catalogue_revision"),
		groups:   make(map[string]*groupMetrics),
	}
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return m.page.Handler()
}

// Close stops the reporting.
func (m *Metrics) Close() error {
	return m.page.Close()
}

// group returns the metrics of a group. The caller holds the lock.
func (m *Metrics) group(name string) *groupMetrics {
	label := noGroup
	if name != "" {
		label = m.labels.Of(name)
	}
	if g, ok := m.groups[label]; ok {
		return g
	}
	scope := m.page.Scope().Tagged(map[string]string{"upstream_group": label})
	g := &groupMetrics{
		scope:    scope,
		answered: scope.Counter("answered_total"),
		first:    make(map[loomcatalogue.RouteKind]tally.Histogram),
		total:    make(map[loomcatalogue.RouteKind]tally.Histogram),
		errors:   make(map[loomerror.Kind]tally.Counter),
	}
	m.groups[label] = g
	return g
}

// failed counts a request that was refused or failed. The group is empty for
// one that was refused before a route was found.
func (m *Metrics) failed(group string, k loomerror.Kind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	c, ok := g.errors[k]
	if !ok {
		c = g.scope.Tagged(map[string]string{"error_kind": k.String()}).Counter("errors_total")
		g.errors[k] = c
	}
	c.Inc(1)
}

// first records the time to the first byte of an answer.
func (m *Metrics) first(group string, k loomcatalogue.RouteKind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	histogramOf(g, g.first, "first_byte_seconds", k).RecordDuration(d)
}

// answered counts an answer and records the time to its end.
func (m *Metrics) answered(group string, k loomcatalogue.RouteKind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	g.answered.Inc(1)
	histogramOf(g, g.total, "answer_seconds", k).RecordDuration(d)
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func histogramOf(g *groupMetrics, known map[loomcatalogue.RouteKind]tally.Histogram, name string, k loomcatalogue.RouteKind) tally.Histogram {
	h, ok := known[k]
	if !ok {
		h = g.scope.Tagged(map[string]string{"route_kind": k.String()}).Histogram(name, latencyBuckets)
		known[k] = h
	}
	return h
}

// followGauges brings the gauges up to date until ctx ends.
func (g *Gate) followGauges(ctx context.Context) error {
	for loomkernel.Pause(ctx, metricsInterval) == nil {
		g.showGauges(time.Now())
	}
	return nil
}

// showGauges sets the gauges to what holds at now.
func (g *Gate) showGauges(now time.Time) {
	scope := g.metrics.page.Scope()
	scope.Gauge("requests_active").Update(float64(g.active.Load()))
	held := 0.0
	if g.rollout.holds.Load() {
		held = 1
	}
	scope.Gauge("lease_held").Update(held)
	scope.Gauge("upstreams_age_seconds").Update(g.beliefs.age(now).Seconds())
	scope.Gauge("peers").Update(float64(len(g.peers.live()) - 1))
	scope.Gauge("kept_parts").Update(float64(g.residency.Len()))
	stored, used := g.stores.index.Len()
	scope.Gauge("stored_parts").Update(float64(stored))
	scope.Gauge("stored_tokens").Update(float64(used))
	for _, group := range g.beliefs.routing().Groups() {
		g.showGroup(now, group.Name)
	}
}

// showGroup sets the gauges of one group.
func (g *Gate) showGroup(now time.Time, name string) {
	g.metrics.mu.Lock()
	scope := g.metrics.group(name).scope
	g.metrics.mu.Unlock()
	scope.Gauge("upstreams").Update(float64(len(g.usable(now, name))))
	scope.Gauge("line_length").Update(float64(g.queues.length(name)))
	scope.Gauge("retry_balance").Update(g.retries.of(name).Balance())
}
