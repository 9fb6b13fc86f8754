package main

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomroute"
	"swiftloom/loomtrial"
)

func tryCommand() *cli.Command {
	return newSubcommand(&cli.Command{
		Name:  "try",
		Usage: "runs several instances with stand-ins in one process and measures them under a load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "port", Usage: "site to simulate, which defines machines and load; one of " + strings.Join(loomtrial.Sites(), ", ")},
			&cli.StringFlag{Name: "policy", Value: "cost", Usage: "routing policy; one of " + strings.Join(loomroute.Policies(), ", ")},
			&cli.IntFlag{Name: "requests", Usage: "number of requests (default: defined by the site)"},
			&cli.IntFlag{Name: "instances", Usage: "number of instances (default: defined by the site)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random numbers"},
			&cli.StringSliceFlag{Name: "fault", Usage: "fault to inject; may be repeated; \"all\" injects every fault, \"list\" prints the names of the faults"},
			&cli.StringFlag{Name: "scenario", Usage: "scenario to run instead of a plain run; one of " + strings.Join(loomtrial.Scenarios(), ", ")},
			&cli.BoolFlag{Name: "compare", Usage: "run all policies with the same load and compare them"},
			&cli.BoolFlag{Name: "hold", Usage: "keep instances and stand-ins running and print how to call them"},
			jsonFlag(),
			logFlag("error"),
		},
		Action: try,
	})
}

func try(ctx context.Context, c *cli.Command) error {
	if slices.Equal(c.StringSlice("fault"), []string{"list"}) {
		fmt.Println(strings.Join(loomtrial.Faults(), "\n"))
		return nil
	}
	o, err := tryOptions(c)
	if err != nil {
		return err
	}
	switch {
	case c.Bool("hold"):
		return holdSite(ctx, o)
	case c.Bool("compare"):
		return compare(ctx, c, o)
	}
	o.Progress = progress("try")
	report, err := loomtrial.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(report)
	} else {
		printReport(report)
	}
	if err != nil {
		return err
	}
	return checkReports(report)
}

// tryOptions validates the flags and returns the options of the run.
func tryOptions(c *cli.Command) (loomtrial.Options, error) {
	o := loomtrial.Options{
		Policy:    c.String("policy"),
		Seed:      c.Uint64("seed"),
		Requests:  c.Int("requests"),
		Instances: c.Int("instances"),
		Scenario:  c.String("scenario"),
	}
	var err error
	if o.Site, err = loomtrial.SiteByName(c.String("site")); err != nil {
		return o, usageErrorf("--site: %s", err)
	}
	if o.Faults, err = loomtrial.ExpandFaults(c.StringSlice("fault")); err != nil {
		return o, usageErrorf("--fault: %s", err)
	}
	if _, err := loomroute.PolicyByName(o.Policy); err != nil {
		return o, usageErrorf("--policy: %s", err)
	}
	if o.Scenario != "" && !slices.Contains(loomtrial.Scenarios(), o.Scenario) {
		return o, usageErrorf("--scenario: unknown scenario %q (have %v)", o.Scenario, loomtrial.Scenarios())
	}
	if o.Requests < 0 || o.Instances < 0 {
		return o, usageErrorf("--requests and --instances must not be negative")
	}
	o.Log, err = newLoggerFromFlag(c.String("log-level"))
	return o, err
}

// checkReports returns an error if a run broke one of the guarantees that
// package loomtrial checks.
func checkReports(reports ...loomtrial.Report) error {
	for _, r := range reports {
		if r.HasViolations() {
			return errors.Errorf("a guarantee was broken: %s", strings.Join(r.Notes, "; "))
		}
	}
	return nil
}

// compare runs all policies with the same load and prints their reports.
func compare(ctx context.Context, c *cli.Command, o loomtrial.Options) error {
	comparison, err := loomtrial.Compare(ctx, o, func(policy string) func(done, total int) { return progress("try " + policy) })
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = printJSON(comparison)
	} else {
		printReports(comparison.Policies)
		for _, r := range comparison.Ratios {
			fmt.Printf("%s against %s: recomputed tokens x %.3f, ttft p95 x %.3f\n", r.Policy, r.Against, r.RecomputedTokens, r.TTFTP95)
		}
	}
	if err != nil {
		return err
	}
	return checkReports(comparison.Policies...)
}

// printReport prints the results of a scenario, and those of its requests if it
// sent any.
func printReport(r loomtrial.Report) {
	switch {
	case r.Fairness != nil:
		printFields(r.Fairness)
	case r.Claims != nil:
		printFields(r.Claims)
	case r.Overhead != nil:
		printFields(r.Overhead)
	case r.Idle != nil:
		printFields(r.Idle)
	}
	if r.Requests > 0 {
		printReports([]loomtrial.Report{r})
	}
}

// printFields prints the fields of a struct, one per line, with their JSON names.
// All fields must have a json tag that consists of the name only.
func printFields(v any) {
	t := newTable(os.Stdout)
	fields := reflect.Indirect(reflect.ValueOf(v))
	for i := range fields.NumField() {
		name := fields.Type().Field(i).Tag.Get("json")
		t.row(strings.ReplaceAll(name, "_", " "), fields.Field(i).Interface())
	}
	t.flush()
}

// printReports prints reports side by side, one per column.
func printReports(reports []loomtrial.Report) {
	t := newTable(os.Stdout)
	row := func(name string, value func(r loomtrial.Report) any) {
		cells := []any{name}
		for _, r := range reports {
			cells = append(cells, value(r))
		}
		t.row(cells...)
	}
	row("policy", func(r loomtrial.Report) any { return r.Policy })
	row("site", func(r loomtrial.Report) any { return r.Site })
	row("seed", func(r loomtrial.Report) any { return r.Seed })
	row("requests", func(r loomtrial.Report) any { return r.Requests })
	row("answered", func(r loomtrial.Report) any { return r.Answered })
	row("refused as not run", func(r loomtrial.Report) any { return r.RefusedNotRun })
	row("failed", func(r loomtrial.Report) any { return r.Failed })
	row("wrong answers", func(r loomtrial.Report) any { return r.WrongAnswers })
	row("double runs", func(r loomtrial.Report) any { return r.DoubleRuns })
	row("lost", func(r loomtrial.Report) any { return r.Lost })
	row("false not run", func(r loomtrial.Report) any { return r.FalseNotRun })
	row("ttft p50 (ms)", func(r loomtrial.Report) any { return fmt.Sprintf("%.1f", r.TTFTMillisP50) })
	row("ttft p95 (ms)", func(r loomtrial.Report) any { return fmt.Sprintf("%.1f", r.TTFTMillisP95) })
	row("ttft p99 (ms)", func(r loomtrial.Report) any { return fmt.Sprintf("%.1f", r.TTFTMillisP99) })
	row("prompt tokens", func(r loomtrial.Report) any { return r.PromptTokens })
	row("recomputed tokens", func(r loomtrial.Report) any { return r.RecomputedTokens })
	row("recomputed share", func(r loomtrial.Report) any { return fmt.Sprintf("%.3f", r.RecomputedShare) })
	row("compulsory share", func(r loomtrial.Report) any { return fmt.Sprintf("%.3f", r.CompulsoryShare) })
	row("link use", func(r loomtrial.Report) any { return fmt.Sprintf("%.3f", r.LinkUseShare) })
	row("wall (s)", func(r loomtrial.Report) any { return fmt.Sprintf("%.1f", r.WallSeconds) })
	t.flush()
	for _, r := range reports {
		for _, k := range r.ErrorKinds {
			fmt.Printf("%s: %d requests ended with %s\n", r.Policy, k.Count, k.Kind)
		}
		for _, n := range r.Notes {
			fmt.Printf("%s: %s\n", r.Policy, n)
		}
	}
}

// holdSite keeps the instances and stand-ins of a site running until ctx is done.
func holdSite(ctx context.Context, o loomtrial.Options) error {
	trial, err := loomtrial.Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return err
	}
	defer trial.Stop()
	fmt.Print(trial.Instructions())
	<-ctx.Done()
	return nil
}
