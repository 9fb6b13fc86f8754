package loomgate

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
)

// operationsSection returns a section of the operators' page.
func operationsSection(t *testing.T, title string) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), title)
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	return section
}

// TestOperationsPageNamesEvents checks that docs/OPERATIONS.md names each event
// that the code logs, and no other.
func TestOperationsPageNamesEvents(t *testing.T) {
	logged := make(map[string]bool)
	event := regexp.MustCompile(`log\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"`)
	for _, pattern := range []string{"*.go", "../platform/*.go"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, m := range event.FindAllStringSubmatch(string(data), -1) {
				logged[m[1]] = true
			}
		}
	}
	table := operationsSection(t, "## Events")
	named := make(map[string]bool)
	code := regexp.MustCompile("`([a-z_]+)`")
	for line := range strings.SplitSeq(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, m := range code.FindAllStringSubmatch(cells[1], -1) {
			named[m[1]] = true
		}
	}
	for name := range logged {
		assert.Check(t, named[name], "the page lacks %s", name)
	}
	for name := range named {
		assert.Check(t, logged[name], "the code never logs %s", name)
	}
}

// TestOperationsPageNamesMetrics checks that docs/OPERATIONS.md names each
// metric of the gate's page, and no other.
func TestOperationsPageNamesMetrics(t *testing.T) {
	data, err := os.ReadFile("metrics.go")
	assert.NilError(t, err)
	shown := make(map[string]bool)
	metric := regexp.MustCompile(`(?:Counter\(|Gauge\(|Histogram\(|histogramOf\(g, g\.\w+, )"([a-z_]+)"`)
	for _, m := range metric.FindAllStringSubmatch(string(data), -1) {
		shown["swiftloom_"+m[1]] = true
	}
	table := operationsSection(t, "## Metrics")
	named := make(map[string]bool)
	for _, m := range regexp.MustCompile("`(swiftloom_[a-z_]+)").FindAllStringSubmatch(table, -1) {
		named[m[1]] = true
	}
	assert.DeepEqual(t, named, shown)
}

// TestMetricsPage checks what the page shows of a gate with some work, and that
// any number of groups makes a page of bounded size.
func TestMetricsPage(t *testing.T) {
	g := rolloutGate(t, "a", newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}})
	g.metrics.answered("engines", loomcatalogue.Streaming, time.Second)
	g.metrics.failed("engines", loomerror.NoUpstream)
	g.metrics.failed("", loomerror.NotFound)
	g.showGauges(time.Now())
	assert.Assert(t, pageHas(g, `swiftloom_upstreams{upstream_group="engines"} 2`))
	assert.Assert(t, pageHas(g, `swiftloom_line_length{upstream_group="engines"} 0`))
	assert.Assert(t, pageHas(g, `swiftloom_errors_total{error_kind="no_upstream",upstream_group="engines"} 1`))
	assert.Assert(t, pageHas(g, `swiftloom_errors_total{error_kind="not_found",upstream_group="none"} 1`))
	for i := range 10 * maxGroupLabels {
		g.metrics.failed("group"+strconv.Itoa(i), loomerror.NoUpstream)
	}
	assert.Assert(t, len(g.metrics.groups) <= maxGroupLabels+2)
}

// pageHas waits until the page has a line; counters appear at the next report.
func pageHas(g *Gate, line string) bool {
	for range 50 {
		w := httptest.NewRecorder()
		g.Metrics().Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		if strings.Contains(w.Body.String(), line) {
			return true
		}
		time.Sleep(metricsInterval / 20)
	}
	return false
}
