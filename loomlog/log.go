// Package loomlog writes log lines without ever holding up the process: lines
// wait in a bounded buffer, and those that find it full are dropped and counted.
package loomlog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// bufferLines bounds the lines that wait; a busy instance writes about a
// hundred a second.
const bufferLines = 2048

// Writer passes lines on from a goroutine of its own. Its methods may be called
// concurrently.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer onto w. Close ends its goroutine.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, bufferLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer. It never blocks and never fails.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (l *Writer) Dropped() int64 {
	return l.dropped.Load()
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	told := int64(0)
	for line := range l.lines {
		if _, err := w.Write(line); err != nil {
			l.dropped.Add(1)
		}
		if n := l.dropped.Load(); n > told && len(l.lines) == 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=log_lines_dropped total=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
			told = n
		}
	}
}

// closeTimeout bounds the wait for lines to leave at the end of a process.
const closeTimeout = 300 * time.Millisecond

// Close writes the lines that wait, for a bounded time. Write must not be called
// afterwards.
func (l *Writer) Close() {
	l.once.Do(func() { close(l.lines) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// New returns a logger of key=value lines onto w.
func New(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
