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
	return &cli.BoolFlag{Name: "json", Usage: "print one JSON object for machines"}
}

func logFlag(level string) cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: level, Usage: "debug, info, warn or error"}
}

// newLog returns a logger that writes key=value lines to standard error.
func newLog(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, usagef("--log-level: %q is not one of debug, info, warn, error", level)
	}
	return logAt(l), nil
}

// logAt returns a logger that writes errors without their stack.
func logAt(level slog.Level) *slog.Logger {
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

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}

// table writes rows in columns.
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

// progress returns a function that shows how far long work has come, when
// standard error is a terminal.
func progress(what string) func(done, total int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func(int, int) {}
	}
	return func(done, total int) {
		fmt.Fprintf(os.Stderr, "\r%s: %d of %d", what, done, total)
		if done == total {
			fmt.Fprintln(os.Stderr)
		}
	}
}
