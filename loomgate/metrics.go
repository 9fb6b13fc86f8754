package loomgate

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
)

// metricsInterval is the time between two reports of counters to the page.
const metricsInterval = 2 * time.Second

// Metrics holds the counters and latency histograms of a gate.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	requests tally.Counter
	retries  tally.Counter
	revision tally.Gauge
	// firstOf and totalOf are keyed by route kind.
	firstOf map[loomcatalogue.RouteKind]tally.Histogram
	totalOf map[loomcatalogue.RouteKind]tally.Histogram
	// outcomes is keyed by error kind.
	outcomes map[loomerror.Kind]tally.Counter
	answered tally.Counter
}

func newMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "swiftloom",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	m := &Metrics{
		scope:    scope,
		closer:   closer,
		handler:  reporter.HTTPHandler(),
		requests: scope.Counter("requests_total"),
		retries:  scope.Counter("retries_total"),
		revision: scope.Gauge("catalogue_revision"),
		answered: scope.Counter("answered_total"),
		firstOf:  make(map[loomcatalogue.RouteKind]tally.Histogram),
		totalOf:  make(map[loomcatalogue.RouteKind]tally.Histogram),
		outcomes: make(map[loomerror.Kind]tally.Counter),
	}
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	for _, k := range []loomcatalogue.RouteKind{loomcatalogue.Idempotent, loomcatalogue.NonIdempotent, loomcatalogue.Streaming} {
		tagged := scope.Tagged(map[string]string{"route_kind": k.String()})
		m.firstOf[k] = tagged.Histogram("first_byte_seconds", buckets)
		m.totalOf[k] = tagged.Histogram("answer_seconds", buckets)
	}
	for _, k := range loomerror.Kinds() {
		m.outcomes[k] = scope.Tagged(map[string]string{"error_kind": k.String()}).Counter("errors_total")
	}
	return m
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close stops the reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

func (m *Metrics) refused(k loomerror.Kind) {
	m.outcomes[k].Inc(1)
}

func (m *Metrics) first(r loomcatalogue.Route, d time.Duration) {
	m.firstOf[r.Kind].RecordDuration(d)
}
