package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"
)

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
}

func logFlag(level string) cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: level, Usage: "lowest level of log lines that are written: debug, info, warn or error"}
}

// newLoggerFromFlag returns a logger for the level in the flag --log-level.
func newLoggerFromFlag(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, usageErrorf("--log-level: %q is not one of debug, info, warn, error", level)
	}
	return newLogger(l), nil
}

// newLogger returns a logger that writes key=value lines to standard error. It
// writes only the message of an error, because the text handler would format it
// with %+v, which adds the stack to errors of juju/errors.
func newLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{
		Level: level,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if err, ok := a.Value.Any().(error); ok {
				a.Value = slog.StringValue(err.Error())
			}
			return a
		},
	}))
}

// printJSON writes v to standard output as indented JSON.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}

// table writes rows of text in aligned columns. No output appears before flush.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) table {
	return table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (t table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) flush() {
	_ = t.w.Flush()
}

// progress returns a function that shows the progress of a task on standard
// error. It shows nothing if standard error is not a terminal.
func progress(task string) func(done, total int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func(int, int) {}
	}
	return func(done, total int) {
		fmt.Fprintf(os.Stderr, "\r%s: %d of %d", task, done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	}
}
