package loomgate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomhttp"
	"swiftloom/loomkernel"
	"swiftloom/loommetrics"
)

const (
	// metricsInterval is the time between two reports of counters to the
	// metrics page, and between two updates of the gauges.
	metricsInterval = 2 * time.Second
	// maxGroupLabels bounds the upstream groups with labels of their own on the
	// metrics page. Each group adds about forty lines to the page.
	maxGroupLabels = 64
	// unroutedLabel is the group label of requests that were refused before a
	// route was found.
	unroutedLabel = "none"
)

// Metrics holds the counters, gauges and latency histograms of a gate. Its
// methods may be called concurrently.
type Metrics struct {
	exporter *loommetrics.Exporter
	labels   *loommetrics.LabelLimiter

	requests tally.Counter
	retries  tally.Counter
	// overduePolls counts the polls of the catalogue whose answers may be lost.
	overduePolls tally.Counter
	revision     tally.Gauge
	holdOffs     tally.Counter
	// brokenAttempts counts the attempts that had been sent and whose connections ended
	// before their answers were complete.
	brokenAttempts tally.Counter
	// upstreamEnds counts the upstreams that ended under requests with parts that are not
	// known to be sound, and quarantines the sets of parts that were quarantined.
	upstreamEnds, quarantines tally.Counter
	// colds counts the upstreams that were found to be cold, and lateGrants the choices of a
	// cold upstream that were too old to be used.
	colds, lateGrants tally.Counter

	mu sync.Mutex
	// groups is keyed by label. It has at most maxGroupLabels+2 entries: the
	// labels of groups, the label that further groups share, and unroutedLabel.
	groups map[string]*groupMetrics
}

// groupMetrics holds the metrics of one upstream group.
type groupMetrics struct {
	scope    tally.Scope
	answered tally.Counter
	held     tally.Counter
	// firstByte and total are keyed by route kind, errors by error kind.
	// Entries are created on first use and guarded by Metrics.mu.
	firstByte  map[loomcatalogue.RouteKind]tally.Histogram
	total      map[loomcatalogue.RouteKind]tally.Histogram
	errors     map[loomerror.Kind]tally.Counter
	streamEnds map[streamEnd]tally.Counter
	// waitErrors is keyed by whether requests started sooner or later than expected.
	waitErrors map[string]tally.Histogram
}

func newMetrics() *Metrics {
	exporter := loommetrics.NewExporter(metricsInterval)
	scope := exporter.Scope()
	return &Metrics{
		exporter: exporter,
		labels:   loommetrics.NewLabelLimiter(maxGroupLabels),
		requests: scope.Counter("requests_total"),
		retries:  scope.Counter("retries_total"),
		revision: scope.Gauge("catalogue_revision"),
		holdOffs: scope.Counter("upstream_hold_offs_total"),

		overduePolls: scope.Counter("catalogue_polls_overdue_total"),

		brokenAttempts: scope.Counter("attempts_broken_total"),
		upstreamEnds:   scope.Counter("upstream_ends_total"),
		quarantines:    scope.Counter("quarantines_total"),
		colds:          scope.Counter("upstream_colds_total"),
		lateGrants:     scope.Counter("late_grants_total"),

		groups: make(map[string]*groupMetrics),
	}
}

// Handler returns a handler that serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return m.exporter.Handler()
}

// Close stops the periodic reporting.
func (m *Metrics) Close() error {
	return m.exporter.Close()
}

// group returns the metrics of an upstream group. The caller holds mu.
func (m *Metrics) group(name string) *groupMetrics {
	label := unroutedLabel
	if name != "" {
		label = m.labels.Label(name)
	}
	if g, ok := m.groups[label]; ok {
		return g
	}
	scope := m.exporter.Scope().Tagged(map[string]string{"upstream_group": label})
	g := &groupMetrics{
		scope:      scope,
		answered:   scope.Counter("answered_total"),
		held:       scope.Counter("held_total"),
		firstByte:  make(map[loomcatalogue.RouteKind]tally.Histogram),
		total:      make(map[loomcatalogue.RouteKind]tally.Histogram),
		errors:     make(map[loomerror.Kind]tally.Counter),
		streamEnds: make(map[streamEnd]tally.Counter),
		waitErrors: make(map[string]tally.Histogram),
	}
	m.groups[label] = g
	return g
}

// failed counts a request that was refused or failed. The group is empty if the
// request was refused before a route was found.
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

// held counts a request that was held for the limits of all suitable upstreams.
func (m *Metrics) held(group string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.group(group).held.Inc(1)
}

// waited records how much later a request that waited started than was expected, which is
// negative if it started sooner.
func (m *Metrics) waited(group string, late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	direction := "later"
	if late < 0 {
		direction, late = "sooner", -late
	}
	h, ok := g.waitErrors[direction]
	if !ok {
		h = g.scope.Tagged(map[string]string{"direction": direction}).Histogram("wait_error_seconds", latencyBuckets)
		g.waitErrors[direction] = h
	}
	h.RecordDuration(late)
}

// streamEnded counts how an upstream's stream ended.
func (m *Metrics) streamEnded(group string, end streamEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	c, ok := g.streamEnds[end]
	if !ok {
		c = g.scope.Tagged(map[string]string{"stream_end": end.String()}).Counter("stream_ends_total")
		g.streamEnds[end] = c
	}
	c.Inc(1)
}

// firstByte records the time to the first byte of an answer.
func (m *Metrics) firstByte(group string, k loomcatalogue.RouteKind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	histogramOf(g, g.firstByte, "first_byte_seconds", k).RecordDuration(d)
}

// answered counts a complete answer and records the time until it ended.
func (m *Metrics) answered(group string, k loomcatalogue.RouteKind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(group)
	g.answered.Inc(1)
	histogramOf(g, g.total, "answer_seconds", k).RecordDuration(d)
}

// latencyBuckets are the upper bounds of the histograms: 1 ms to about 16 s,
// doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// histogramOf returns the histogram of a route kind and creates it on first use.
// The caller holds Metrics.mu.
func histogramOf(g *groupMetrics, known map[loomcatalogue.RouteKind]tally.Histogram, name string, k loomcatalogue.RouteKind) tally.Histogram {
	h, ok := known[k]
	if !ok {
		h = g.scope.Tagged(map[string]string{"route_kind": k.String()}).Histogram(name, latencyBuckets)
		known[k] = h
	}
	return h
}

// runGauges updates the gauges periodically until ctx ends.
func (g *Gate) runGauges(ctx context.Context) error {
	for loomkernel.Sleep(ctx, metricsInterval) == nil {
		g.updateGauges(time.Now())
	}
	return nil
}

// updateGauges sets the gauges to their values at now.
func (g *Gate) updateGauges(now time.Time) {
	scope := g.metrics.exporter.Scope()
	scope.Gauge("requests_active").Update(float64(g.active.Load()))
	held := 0.0
	if g.rollout.holdsLease.Load() {
		held = 1
	}
	scope.Gauge("lease_held").Update(held)
	_, epoch, _ := g.view.epochs()
	scope.Gauge("store_epoch").Update(float64(epoch))
	scope.Gauge("upstreams_age_seconds").Update(g.view.upstreamsAge(now).Seconds())
	scope.Gauge("peers").Update(float64(len(g.peers.liveInstances()) - 1))
	coordinates := 0.0
	if g.coordinators.elected() != nil && g.coordinators.isCoordinator() {
		coordinates = 1
	}
	scope.Gauge("coordinates").Update(coordinates)
	scope.Gauge("region_faults").Update(float64(g.view.regionFaultCount()))
	scope.Gauge("evacuated_domains").Update(float64(len(g.view.evacuatedDomains())))
	scope.Gauge("kept_parts").Update(float64(g.residency.Len()))
	stored, used := g.stores.index.Len()
	scope.Gauge("stored_parts").Update(float64(stored))
	scope.Gauge("stored_tokens").Update(float64(used))
	for structure, n := range g.retainedBytes() {
		scope.Tagged(map[string]string{"structure": structure}).Gauge("retained_bytes").Update(float64(n))
	}
	for _, group := range g.view.routing().Groups() {
		g.updateGroupGauges(now, group.Name)
	}
}

// updateGroupGauges sets the gauges of one upstream group.
func (g *Gate) updateGroupGauges(now time.Time, name string) {
	g.metrics.mu.Lock()
	scope := g.metrics.group(name).scope
	g.metrics.mu.Unlock()
	scope.Gauge("upstreams").Update(float64(len(g.usableUpstreams(now, name))))
	scope.Gauge("evacuated_upstreams").Update(float64(g.view.evacuatedCount(name)))
	scope.Gauge("prompt_token_seconds").Update(g.prefill.forGroup(name).TokenTime().Seconds())
	scope.Gauge("prompt_fixed_seconds").Update(g.prefill.forGroup(name).FixedTime().Seconds())
	limits := g.limits.summary(now, name)
	scope.Gauge("limited_upstreams").Update(float64(limits.upstreams))
	scope.Gauge("limit_per_second").Update(limits.perSecond)
	scope.Gauge("limit_part_per_second").Update(limits.part)
	scope.Gauge("limited_sent_per_second").Update(limits.sent)
	cold := g.cold.summary(now, name)
	scope.Gauge("cold_upstreams").Update(float64(cold.upstreams))
	scope.Gauge("cold_allowance").Update(float64(cold.total))
	scope.Gauge("cold_share").Update(float64(cold.share))
	scope.Gauge("line_length").Update(float64(g.queues.length(name)))
	scope.Gauge("wait_list_length").Update(float64(g.waitLists.length(name)))
	scope.Gauge("retry_balance").Update(g.retries.forGroup(name).Balance())
}

// UpdateCallerMemory sets the gauges of the memory that is held for callers, and for the callers
// of the readiness and metrics addresses, and adds what was rejected.
func (m *Metrics) UpdateCallerMemory(callers, probes loomhttp.MemoryStats) {
	m.updateMemory("callers", callers)
	m.updateMemory("probes", probes)
}

func (m *Metrics) updateMemory(address string, s loomhttp.MemoryStats) {
	scope := m.exporter.Scope().Tagged(map[string]string{"address": address})
	scope.Gauge("caller_memory_budget_bytes").Update(float64(s.Size))
	scope.Gauge("caller_memory_bytes").Update(float64(s.Held))
	scope.Gauge("caller_memory_peak_bytes").Update(float64(s.Peak))
	scope.Gauge("caller_connections").Update(float64(s.Conns))
	for phase, n := range s.Shed {
		scope.Tagged(map[string]string{"phase": phase}).Counter("callers_shed_total").Inc(n)
	}
	for what, n := range s.Refused {
		scope.Tagged(map[string]string{"what": what}).Counter("callers_refused_total").Inc(n)
	}
}
