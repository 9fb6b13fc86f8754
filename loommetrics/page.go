// Package loommetrics provides the page on which a process shows its counters,
// gauges and histograms as text.
package loommetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// prefix stands before the name of each metric.
const prefix = "swiftloom"

// Page is a scope of metrics and the page that shows them. It must be closed;
// its methods may be called concurrently.
type Page struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewPage returns an empty page on which counters appear within interval.
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

// Scope returns the scope whose metrics the page shows.
func (p *Page) Scope() tally.Scope {
	return p.scope
}

// Handler serves the page.
func (p *Page) Handler() http.Handler {
	return p.handler
}

// Close stops the reporting.
func (p *Page) Close() error {
	return p.closer.Close()
}
