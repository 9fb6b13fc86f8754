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

// Page is a root scope of metrics with the HTTP handler that exports them. It must
// be closed. Its methods may be called concurrently.
type Page struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewPage returns a Page without metrics. Counters are exported with a delay of at
// most interval.
func NewPage(interval time.Duration) *Page {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Page{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope of the exported metrics.
func (p *Page) Scope() tally.Scope {
	return p.scope
}

// Handler returns the handler that exports the metrics.
func (p *Page) Handler() http.Handler {
	return p.handler
}

// Close stops the periodic report of the scope.
func (p *Page) Close() error {
	return p.closer.Close()
}
