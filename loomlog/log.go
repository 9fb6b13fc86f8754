// Package loomlog writes log lines without blocking the process, and explains
// requests from the lines that instances have written. A bounded queue holds the
// lines to write; lines that don't fit are dropped and counted.
package loomlog

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the capacity of the queue. A busy instance writes about a hundred
// lines a second.
const queueLines = 2048

// queueBytes bounds the lines in the queue. Callers choose texts in most lines.
const queueBytes = 2 << 20

// Writer writes lines from a queue in a goroutine of its own. Its methods may be
// called concurrently, except that Write must not be called after Close.
type Writer struct {
	queue chan []byte
	// queued is the total length of the lines in queue.
	queued  atomic.Int64
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer to w. Close ends its goroutine.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It drops the line if the queue is full; it never
// blocks and never fails.
func (l *Writer) Write(line []byte) (int, error) {
	n := int64(len(line))
	if l.queued.Add(n) > queueBytes {
		l.queued.Add(-n)
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.queued.Add(-n)
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost so far because the queue was full or the
// write failed.
func (l *Writer) Dropped() int64 {
	return l.dropped.Load()
}

// run writes the queued lines. When the queue has become empty, it reports the
// dropped lines in a line of its own.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	reported := int64(0)
	for line := range l.queue {
		l.queued.Add(-int64(len(line)))
		if _, err := w.Write(line); err != nil {
			l.dropped.Add(1)
		}
		if n := l.dropped.Load(); n > reported && len(l.queue) == 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=log_lines_dropped total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
			reported = n
		}
	}
}

// closeTimeout bounds the time to write the queued lines when a process ends.
const closeTimeout = 300 * time.Millisecond

// Close waits until the queued lines are written, at most for closeTimeout. Write
// must not be called afterwards.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.queue) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// New returns a logger that writes key=value lines to w. Values are cut to
// maxValueBytes.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: cutValue}))
}

// maxValueBytes bounds a text or an error in a line. Errors may quote what a server
// has sent.
const maxValueBytes = 1 << 10

// cutValue is the slog.HandlerOptions.ReplaceAttr function that bounds values.
func cutValue(_ []string, a slog.Attr) slog.Attr {
	var text string
	switch a.Value.Kind() {
	case slog.KindString:
		text = a.Value.String()
	case slog.KindAny:
		err, ok := a.Value.Any().(error)
		if !ok {
			return a
		}
		text = err.Error()
	default:
		return a
	}
	if len(text) <= maxValueBytes {
		return a
	}
	return slog.String(a.Key, fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxValueBytes], ""), len(text)))
}
