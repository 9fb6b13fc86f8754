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
		Usage:     "tells from logs what happened to a request, or why requests failed",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "ID of the request to tell of"},
			&cli.BoolFlag{Name: "summary", Usage: "group the requests that failed by their cause"},
			jsonFlag(),
		},
		OnUsageError:    usageError,
		HideHelpCommand: true,
		Action:          explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usagef("explain needs the files with the logs")
	}
	if (c.String("request") == "") == !c.Bool("summary") {
		return usagef("explain needs either --request ID or --summary")
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	if c.Bool("summary") {
		return printCauses(loomlog.Causes(lines), c.Bool("json"))
	}
	story := loomlog.Timeline(lines, c.String("request"))
	if len(story) == 0 {
		return errors.NotFoundf("request %q in %d lines", c.String("request"), len(lines))
	}
	if c.Bool("json") {
		return printJSON(story)
	}
	printStory(lines, story)
	return nil
}

func readLogs(paths []string) ([]loomlog.Line, error) {
	var all []loomlog.Line
	for _, path := range paths {
		lines, skipped, err := readLog(path)
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			fmt.Fprintf(os.Stderr, "%s: %d lines are not of an instance's log\n", path, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

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

func printStory(lines, story []loomlog.Line) {
	t := newTable(os.Stdout)
	start := story[0].Time
	for _, l := range story {
		var fields []string
		for _, f := range l.Fields {
			if f.Key != "level" && f.Key != "request_id" && f.Value != "" {
				fields = append(fields, f.Key+"="+f.Value)
			}
		}
		t.row(fmt.Sprintf("%+.3fs", l.Time.Sub(start).Round(time.Millisecond).Seconds()), l.Source, l.Event, strings.Join(fields, " "))
	}
	t.flush()
	last := story[len(story)-1]
	for _, l := range story {
		if l.Event == "request_done" {
			last = l
		}
	}
	if last.Event != "request_done" {
		return
	}
	fmt.Printf("conclusion: %s; %s\n", last.Get("outcome"), loomlog.Reason(last))
	fmt.Printf("time: %s\n", loomlog.TimeBreakdown(last))
	if around := loomlog.SiteEvents(lines, last); len(around) > 0 {
		fmt.Printf("around: %s\n", strings.Join(around, "; "))
	}
}
