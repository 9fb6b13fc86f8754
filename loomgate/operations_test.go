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

// readOperationsSection returns one section of docs/OPERATIONS.md.
func readOperationsSection(t *testing.T, title string) string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), title)
	assert.Assert(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	return section
}

// TestOperationsPageListsEvents checks that docs/OPERATIONS.md lists every
// event that the code logs, and no other.
func TestOperationsPageListsEvents(t *testing.T) {
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
	table := readOperationsSection(t, "## Events")
	listed := make(map[string]bool)
	code := regexp.MustCompile("`([a-z_]+)`")
	for line := range strings.SplitSeq(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for _, m := range code.FindAllStringSubmatch(cells[1], -1) {
			listed[m[1]] = true
		}
	}
	for name := range logged {
		assert.Check(t, listed[name], "the page does not list event %s", name)
	}
	for name := range listed {
		assert.Check(t, logged[name], "the code does not log event %s", name)
	}
}

// TestOperationsPageListsMetrics checks that docs/OPERATIONS.md lists every
// metric that the gate exports, and no other.
func TestOperationsPageListsMetrics(t *testing.T) {
	data, err := os.ReadFile("metrics.go")
	assert.NilError(t, err)
	exported := make(map[string]bool)
	metric := regexp.MustCompile(`(?:Counter\(|Gauge\(|Histogram\(|histogramOf\(g, g\.\w+, )"([a-z_]+)"`)
	for _, m := range metric.FindAllStringSubmatch(string(data), -1) {
		exported["swiftloom_"+m[1]] = true
	}
	table := readOperationsSection(t, "## Metrics")
	listed := make(map[string]bool)
	for _, m := range regexp.MustCompile("`(swiftloom_[a-z_]+)").FindAllStringSubmatch(table, -1) {
		listed[m[1]] = true
	}
	assert.DeepEqual(t, listed, exported)
}

// TestMetricsPage checks the metrics page of a gate with some traffic, and that
// the number of group labels stays bounded for any number of groups.
func TestMetricsPage(t *testing.T) {
	g := newRolloutGate(t, "a", newFakeSource(), &fakeRunner{versions: map[string]uint64{"e1": 1, "e2": 1}})
	g.metrics.answered("engines", loomcatalogue.Streaming, time.Second)
	g.metrics.failed("engines", loomerror.NoUpstream)
	g.metrics.failed("", loomerror.NotFound)
	g.metrics.streamEnded("engines", streamEndCut)
	g.updateGauges(time.Now())
	assert.Assert(t, pageHas(g, `swiftloom_upstreams{upstream_group="engines"} 2`))
	assert.Assert(t, pageHas(g, `swiftloom_line_length{upstream_group="engines"} 0`))
	assert.Assert(t, pageHas(g, `swiftloom_errors_total{error_kind="no_upstream",upstream_group="engines"} 1`))
	assert.Assert(t, pageHas(g, `swiftloom_errors_total{error_kind="not_found",upstream_group="none"} 1`))
	assert.Assert(t, pageHas(g, `swiftloom_stream_ends_total{stream_end="cut",upstream_group="engines"} 1`))
	for i := range 10 * maxGroupLabels {
		g.metrics.failed("group"+strconv.Itoa(i), loomerror.NoUpstream)
	}
	assert.Assert(t, len(g.metrics.groups) <= maxGroupLabels+2)
}

// pageHas reports whether the metrics page contains a line. It waits up to two
// and a half reporting intervals, because counters appear with the next report.
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
