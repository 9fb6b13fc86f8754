package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomlog"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "reconstructs from logs what happened to a request, or why requests failed",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "ID of the request to explain"},
			&cli.BoolFlag{Name: "summary", Usage: "group failed requests by cause and print the number of requests of each cause"},
			jsonFlag(),
		},
		OnUsageError:    usageError,
		HideHelpCommand: true,
		Action:          explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageErrorf("explain needs the files with the logs as arguments")
	}
	if (c.String("request") == "") == !c.Bool("summary") {
		return usageErrorf("explain needs either --request ID or --summary")
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	if c.Bool("summary") {
		return printCauses(loomlog.Causes(lines), c.Bool("json"))
	}
	events := loomlog.Timeline(lines, c.String("request"))
	if len(events) == 0 {
		return errors.NotFoundf("request %q in %d lines", c.String("request"), len(lines))
	}
	if c.Bool("json") {
		return printJSON(events)
	}
	printRequest(lines, events)
	return nil
}

// readLogs returns the lines of all files, and reports on standard error how many
// lines of a file can't be parsed.
func readLogs(paths []string) ([]loomlog.Line, error) {
	var all []loomlog.Line
	for _, path := range paths {
		lines, skipped, err := readLog(path)
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines of an instance\n", path, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines of a file, with the base name of the file as their
// source, and the number of lines that can't be parsed.
func readLog(path string) ([]loomlog.Line, int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return loomlog.ReadLines(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}

func printCauses(causes []loomlog.Cause, asJSON bool) error {
	if asJSON {
		return printJSON(causes)
	}
	t := newTable(os.Stdout)
	t.row("COUNT", "ROUTE", "OUTCOME", "REASON", "EXAMPLE")
	for _, c := range causes {
		t.row(c.Count, c.Route, c.Outcome, c.Reason, c.Example)
	}
	t.flush()
	return nil
}

// printRequest prints the events of a request and, if the request has ended, its
// outcome, where its time went, and what else happened at the site. The argument
// lines holds the lines of all logs.
func printRequest(lines, events []loomlog.Line) {
	t := newTable(os.Stdout)
	start := events[0].Time
	for _, l := range events {
		var fields []string
		for _, f := range l.Fields {
			if f.Key != "level" && f.Key != "request_id" && f.Value != "" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		t.row(fmt.Sprintf("%+.3fs", l.Time.Sub(start).Round(time.Millisecond).Seconds()), l.Source, l.Event, strings.Join(fields, " "))
	}
	t.flush()
	last := events[len(events)-1]
	for _, l := range events {
		if l.Event == "request_done" {
			last = l
		}
	}
	if last.Event != "request_done" {
		return
	}
	fmt.Printf("conclusion: %s; %s\n", last.Get("outcome"), loomlog.Reason(last))
	fmt.Printf("time: %s\n", loomlog.TimeBreakdown(last))
	if siteEvents := loomlog.SiteEvents(lines, last); len(siteEvents) > 0 {
		fmt.Printf("around: %s\n", strings.Join(siteEvents, "; "))
	}
}
