package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"swiftloom/loomload"
)

func loadCommand() *cli.Command {
	return command(&cli.Command{
		Name:  "load",
		Usage: "plays a seeded mix of returning prompts and service calls at running instances",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Required: true, Usage: "IP:PORT of an instance; may be repeated"},
			&cli.StringSliceFlag{Name: "account", Required: true, Usage: "NAME=KEY of a client account; may be repeated"},
			&cli.StringFlag{Name: "model", Required: true},
			&cli.StringFlag{Name: "service", Usage: "group of a plain service; without one only prompts are sent"},
			&cli.IntFlag{Name: "requests", Value: 500},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "requests a second"},
			&cli.IntFlag{Name: "prompt-tokens", Value: 1000},
			&cli.IntFlag{Name: "answer-tokens", Value: 16},
			&cli.DurationFlag{Name: "gap", Value: 3 * time.Second, Usage: "mean time until a prompt returns"},
			&cli.FloatFlag{Name: "returns", Value: 3, Usage: "mean number of returns of a prompt"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			jsonFlag(),
		},
		Action: load,
	})
}

const (
	loadServiceShare = 0.15
	loadGrowth       = 100
	loadShared       = 100
	loadPatience     = 10 * time.Second
)

func load(ctx context.Context, c *cli.Command) error {
	mix := loomload.Mix{
		Seed:              c.Uint64("seed"),
		Requests:          c.Int("requests"),
		RequestsPerSecond: c.Float("rate"),
		Returns:           c.Float("returns"),
		Gap:               c.Duration("gap"),
		Growth:            loadGrowth,
		PromptTokens:      c.Int("prompt-tokens"),
		SharedTokens:      min(loadShared, c.Int("prompt-tokens")/2),
		AnswerTokens:      c.Int("answer-tokens"),
		Model:             c.String("model"),
		Service:           c.String("service"),
	}
	if mix.Service != "" {
		mix.ServiceShare = loadServiceShare
	}
	if mix.Requests <= 0 || mix.RequestsPerSecond <= 0 || mix.PromptTokens <= 1 || mix.AnswerTokens <= 0 || mix.Gap <= 0 || mix.Returns < 0 {
		return usagef("--requests, --rate, --prompt-tokens, --answer-tokens and --gap must be above zero")
	}
	for _, text := range c.StringSlice("account") {
		name, key, ok := strings.Cut(text, "=")
		if !ok {
			return usagef("--account: %q is not NAME=KEY", text)
		}
		mix.Accounts = append(mix.Accounts, loomload.Account{Name: name, Key: key, Weight: 1})
	}
	for _, address := range c.StringSlice("instance") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return usagef("--instance: %q is not an IP number with a port", address)
		}
	}
	return playLoad(ctx, c, mix)
}

type loadReport struct {
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	RefusedNotRun int     `json:"refused_not_run"`
	Failed        int     `json:"failed"`
	WrongAnswers  int     `json:"wrong_answers"`
	Lost          int     `json:"lost"`
	TTFTMSP50     float64 `json:"ttft_ms_p50"`
	TTFTMSP95     float64 `json:"ttft_ms_p95"`
	TTFTMSP99     float64 `json:"ttft_ms_p99"`
	WallSeconds   float64 `json:"wall_seconds"`
}

func playLoad(ctx context.Context, c *cli.Command, mix loomload.Mix) error {
	balancer := loomload.NewBalancer(c.StringSlice("instance"))
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	if !balancer.WaitReady(ctx, loadPatience) {
		return errors.Errorf("no instance takes requests after %s", loadPatience)
	}
	go balancer.Run(background)
	runner := loomload.Runner{Mix: mix, Balancer: balancer, Progress: progress("load")}
	result := runner.Run(ctx)
	const milli = 1000
	r := loadReport{
		Requests:      result.Requests,
		Answered:      result.Answered,
		RefusedNotRun: result.RefusedNotRun,
		Failed:        result.Failed,
		WrongAnswers:  result.WrongAnswers,
		Lost:          result.Lost,
		TTFTMSP50:     float64(result.FirstToken.ValueAtQuantile(50)) / milli,
		TTFTMSP95:     float64(result.FirstToken.ValueAtQuantile(95)) / milli,
		TTFTMSP99:     float64(result.FirstToken.ValueAtQuantile(99)) / milli,
		WallSeconds:   result.Wall.Seconds(),
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
		return r.broken()
	}
	t := newTable(os.Stdout)
	t.row("requests", r.Requests)
	t.row("answered", r.Answered)
	t.row("refused as not run", r.RefusedNotRun)
	t.row("failed", r.Failed)
	t.row("wrong answers", r.WrongAnswers)
	t.row("lost", r.Lost)
	t.row("ttft p50, p95, p99 (ms)", fmt.Sprintf("%.1f, %.1f, %.1f", r.TTFTMSP50, r.TTFTMSP95, r.TTFTMSP99))
	t.row("wall (s)", fmt.Sprintf("%.1f", r.WallSeconds))
	t.flush()
	return r.broken()
}

func (r loadReport) broken() error {
	if r.WrongAnswers+r.Lost > 0 {
		return errors.Errorf("%d wrong answers and %d lost", r.WrongAnswers, r.Lost)
	}
	return nil
}
