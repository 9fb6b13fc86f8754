// Package loommetrics exports the counters, gauges and histograms of a process in
// the text format of Prometheus.
package loommetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// prefix is the common prefix of metric names.
const prefix = "swiftloom"

// Exporter is a root scope of metrics with the HTTP handler that exports them.
// It must be closed. Its methods may be called concurrently.
type Exporter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewExporter returns an Exporter without metrics. Counters are exported with a
// delay of at most interval.
func NewExporter(interval time.Duration) *Exporter {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Exporter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope of the exported metrics.
func (e *Exporter) Scope() tally.Scope {
	return e.scope
}

// Handler returns the handler that exports the metrics.
func (e *Exporter) Handler() http.Handler {
	return e.handler
}

// Close stops the periodic report of the scope.
func (e *Exporter) Close() error {
	return e.closer.Close()
}
