package loominstance

import (
	"time"

	"github.com/uber-go/tally/v4"

	"swiftloom/loomerror"
	"swiftloom/loomhttp"
	"swiftloom/loommetrics"
)

const metricsInterval = time.Second

// metrics holds the metrics page of an instance and the instruments that are
// updated on each request.
type metrics struct {
	page *loommetrics.Exporter

	requests          tally.Counter
	answered          tally.Counter
	promptTokens      tally.Counter
	recomputedTokens  tally.Counter
	importedTokens    tally.Counter
	failedImports     tally.Counter
	answerTokens      tally.Counter
	retries           tally.Counter
	resumes           tally.Counter
	exports           tally.Counter
	exportsSkipped    tally.Counter
	lookupFailures    tally.Counter
	claims            tally.Counter
	claimWrites       tally.Counter
	firstToken        tally.Histogram
	queueWait         tally.Histogram
	catalogueRevision tally.Gauge
}

func newMetrics() *metrics {
	page := loommetrics.NewExporter(metricsInterval)
	scope := page.Scope()
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &metrics{
		page:              page,
		requests:          scope.Counter("requests_total"),
		answered:          scope.Counter("answered_total"),
		promptTokens:      scope.Counter("prompt_tokens_total"),
		recomputedTokens:  scope.Counter("recomputed_tokens_total"),
		importedTokens:    scope.Counter("imported_tokens_total"),
		failedImports:     scope.Counter("failed_imports_total"),
		answerTokens:      scope.Counter("answer_tokens_total"),
		retries:           scope.Counter("retries_total"),
		resumes:           scope.Counter("resumes_total"),
		exports:           scope.Counter("exported_blocks_total"),
		exportsSkipped:    scope.Counter("skipped_exports_total"),
		lookupFailures:    scope.Counter("lookup_failures_total"),
		claims:            scope.Counter("claims_total"),
		claimWrites:       scope.Counter("claim_writes_total"),
		firstToken:        scope.Histogram("first_token_seconds", buckets),
		queueWait:         scope.Histogram("queue_wait_seconds", buckets),
		catalogueRevision: scope.Gauge("catalogue_revision"),
	}
}

// recordFailure counts a failed request by the kind of its error.
func (m *metrics) recordFailure(k loomerror.Kind) {
	m.page.Scope().Tagged(map[string]string{"kind": k.String()}).Counter("errors_total").Inc(1)
}

// updateMemory sets the gauges of what is held for callers, and adds what was rejected.
func (m *metrics) updateMemory(s loomhttp.MemoryStats) {
	scope := m.page.Scope()
	scope.Gauge("caller_memory_bytes").Update(float64(s.Held))
	scope.Gauge("caller_connections").Update(float64(s.Conns))
	for phase, n := range s.Shed {
		scope.Tagged(map[string]string{"phase": phase}).Counter("callers_shed_total").Inc(n)
	}
	for what, n := range s.Refused {
		scope.Tagged(map[string]string{"what": what}).Counter("callers_refused_total").Inc(n)
	}
}

func (m *metrics) close() {
	_ = m.page.Close()
}
