package loomlog_test

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomlog"
)

// blockedWriter blocks forever, like a pipe that nobody reads.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) {
	select {}
}

func TestWriterNeverBlocks(t *testing.T) {
	w := loomlog.NewWriter(blockedWriter{})
	log := loomlog.New(w, 0)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			log.Info("dispatch", "request_id", "r")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing log lines blocked for 10 s")
	}
	assert.Assert(t, w.Dropped() > 0)
}

func TestWriterWritesInOrder(t *testing.T) {
	var b bytes.Buffer
	w := loomlog.NewWriter(&b)
	log := loomlog.New(w, 0)
	log.Info("first")
	log.Info("second", "cause", "two words")
	w.Close()
	assert.Assert(t, strings.Contains(b.String(), `msg=second cause="two words"`), b.String())
	assert.Assert(t, strings.Index(b.String(), "first") < strings.Index(b.String(), "second"))
	assert.Equal(t, w.Dropped(), int64(0))
}

const sampleLog = `time=2026-01-01T00:00:01Z level=INFO msg=upstream_listed upstream=e1 incarnation=1
time=2026-01-01T00:00:02Z level=INFO msg=upstream_listed upstream=e2 incarnation=1
  1.5 entry-2 time=2026-01-01T00:00:02Z level=INFO msg=catalogue_changed revision=4
time=2026-01-01T00:00:03Z level=INFO msg=dispatch request_id=r1 attempt=1 route=once upstream=e1
not a line
time=2026-01-01T00:00:04Z level=INFO msg=request_done request_id=r1 route=once outcome=outcome_unknown attempts=1 first_ms=-1 cause="send: read tcp 10.0.0.1:1: connection reset by peer"
time=2026-01-01T00:00:05Z level=INFO msg=request_done request_id=r2 route=once outcome=answered status=200 attempts=1 first_ms=3
time=2026-01-01T00:00:05Z level=INFO msg=request_refused request_id=r3 path=/x kind=not_found
`

func TestTimeline(t *testing.T) {
	lines, skipped, err := loomlog.ReadLines(strings.NewReader(sampleLog), "entry-1.log")
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	var events []string
	for _, l := range loomlog.Timeline(lines, "r1") {
		events = append(events, l.Event)
	}
	assert.DeepEqual(t, events, []string{"upstream_listed", "dispatch", "request_done"})
	assert.Equal(t, len(loomlog.Timeline(lines, "absent")), 0)
}

func TestCauses(t *testing.T) {
	lines, _, err := loomlog.ReadLines(strings.NewReader(sampleLog), "entry-1.log")
	assert.NilError(t, err)
	assert.DeepEqual(t, loomlog.Causes(lines), []loomlog.Cause{
		{Route: "/x", Outcome: "not_found", Reason: "refused before an upstream was chosen", Count: 1, Example: "r3"},
		{Route: "once", Outcome: "outcome_unknown", Reason: "the connection to the upstream broke", Count: 1, Example: "r1"},
	})
}

// TestLongValueIsCut guards against lines as long as what a server has sent.
func TestLongValueIsCut(t *testing.T) {
	tests := []struct {
		name  string
		value any
		want  string
	}{
		{"as long as the bound", strings.Repeat("a", 1024), strings.Repeat("a", 1024)},
		{"longer text", strings.Repeat("a", 1025), `"` + strings.Repeat("a", 1024) + `... (1025 bytes)"`},
		{"longer error", errors.New(strings.Repeat("a", 70_000)), `"` + strings.Repeat("a", 1024) + `... (70000 bytes)"`},
		{"rune at the bound", strings.Repeat("a", 1023) + "żó", `"` + strings.Repeat("a", 1023) + `... (1027 bytes)"`},
		{"number", 7, "7"},
		{"no error", error(nil), "<nil>"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b bytes.Buffer
			loomlog.New(&b, slog.LevelInfo).Info("m", "cause", tt.value)
			_, got, _ := strings.Cut(strings.TrimSuffix(b.String(), "\n"), "cause=")
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestQueueIsBoundedInBytes guards against long lines that fill the memory while nobody reads them.
func TestQueueIsBoundedInBytes(t *testing.T) {
	w := loomlog.NewWriter(blockedWriter{})
	const lines, lineBytes = 1000, 8 << 10
	for range lines {
		_, _ = w.Write(make([]byte, lineBytes))
	}
	assert.Assert(t, (lines-w.Dropped())*lineBytes <= 3<<20, "%d lines of %d bytes are queued", lines-w.Dropped(), lineBytes)
}
