package loominstance

import (
	"time"

	"github.com/uber-go/tally/v4"

	"swiftloom/loomerror"
	"swiftloom/loommetrics"
)

const metricsInterval = time.Second

// metrics holds the page of an instance and the counters of hot paths.
type metrics struct {
	page *loommetrics.Exporter

	requests        tally.Counter
	answered        tally.Counter
	promptTokens    tally.Counter
	recomputed      tally.Counter
	imported        tally.Counter
	failedImports   tally.Counter
	answerTokens    tally.Counter
	retries         tally.Counter
	resumes         tally.Counter
	exports         tally.Counter
	exportsSkipped  tally.Counter
	lookupFailures  tally.Counter
	claims          tally.Counter
	claimWrites     tally.Counter
	firstToken      tally.Histogram
	queueWait       tally.Histogram
	catalogueNumber tally.Gauge
}

func newMetrics() *metrics {
	page := loommetrics.NewExporter(metricsInterval)
	scope := page.Scope()
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &metrics{
		page:            page,
		requests:        scope.Counter("requests_total"),
		answered:        scope.Counter("answered_total"),
		promptTokens:    scope.Counter("prompt_tokens_total"),
		recomputed:      scope.Counter("recomputed_tokens_total"),
		imported:        scope.Counter("imported_tokens_total"),
		failedImports:   scope.Counter("failed_imports_total"),
		answerTokens:    scope.Counter("answer_tokens_total"),
		retries:         scope.Counter("retries_total"),
		resumes:         scope.Counter("resumes_total"),
		exports:         scope.Counter("exported_blocks_total"),
		exportsSkipped:  scope.Counter("skipped_exports_total"),
		lookupFailures:  scope.Counter("lookup_failures_total"),
		claims:          scope.Counter("claims_total"),
		claimWrites:     scope.Counter("claim_writes_total"),
		firstToken:      scope.Histogram("first_token_seconds", buckets),
		queueWait:       scope.Histogram("queue_wait_seconds", buckets),
		catalogueNumber: scope.Gauge("catalogue_revision"),
	}
}

func (m *metrics) failed(k loomerror.Kind) {
	m.page.Scope().Tagged(map[string]string{"kind": k.String()}).Counter("errors_total").Inc(1)
}

func (m *metrics) close() {
	_ = m.page.Close()
}
