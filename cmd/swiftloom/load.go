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
	return newSubcommand(&cli.Command{
		Name:  "load",
		Usage: "sends a reproducible load of recurring prompts and service calls to running instances",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Required: true, Usage: "IP:PORT of an instance; may be repeated"},
			&cli.StringSliceFlag{Name: "account", Required: true, Usage: "NAME=KEY of a client account; may be repeated"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "name of the model that answers the prompts"},
			&cli.StringFlag{Name: "service", Usage: "upstream group of a plain service (default: none, only prompts are sent)"},
			&cli.IntFlag{Name: "requests", Value: 500, Usage: "number of requests"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "mean number of requests per second"},
			&cli.IntFlag{Name: "prompt-tokens", Value: 1000, Usage: "mean length of a new prompt in tokens"},
			&cli.IntFlag{Name: "answer-tokens", Value: 16, Usage: "length of an answer in tokens"},
			&cli.DurationFlag{Name: "gap", Value: 3 * time.Second, Usage: "mean time between two prompts of a conversation"},
			&cli.FloatFlag{Name: "returns", Value: 3, Usage: "mean number of follow-up prompts of a conversation"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random numbers"},
			jsonFlag(),
		},
		Action: load,
	})
}

const (
	// loadServiceShare is the fraction of requests that are service calls, if a
	// service is given.
	loadServiceShare = 0.15
	// loadFollowUpTokens is the mean number of tokens that a follow-up prompt adds
	// to the prompt before.
	loadFollowUpTokens = 100
	// loadSharedTokens is the length, in tokens, of the prefix that prompts share.
	// For short prompts the prefix is half of their mean length.
	loadSharedTokens = 100
	// loadReadyTimeout is the maximum time to wait for a ready instance.
	loadReadyTimeout = 10 * time.Second
)

func load(ctx context.Context, c *cli.Command) error {
	workload := loomload.Workload{
		Seed:              c.Uint64("seed"),
		Requests:          c.Int("requests"),
		RequestsPerSecond: c.Float("rate"),
		FollowUps:         c.Float("returns"),
		FollowUpInterval:  c.Duration("gap"),
		FollowUpTokens:    loadFollowUpTokens,
		PromptTokens:      c.Int("prompt-tokens"),
		SharedTokens:      min(loadSharedTokens, c.Int("prompt-tokens")/2),
		AnswerTokens:      c.Int("answer-tokens"),
		Model:             c.String("model"),
		Service:           c.String("service"),
	}
	if workload.Service != "" {
		workload.ServiceShare = loadServiceShare
	}
	if workload.Requests <= 0 || workload.RequestsPerSecond <= 0 || workload.PromptTokens <= 1 || workload.AnswerTokens <= 0 || workload.FollowUpInterval <= 0 || workload.FollowUps < 0 {
		return usageErrorf("--requests, --rate, --answer-tokens and --gap must be above zero, --prompt-tokens above 1, and --returns not negative")
	}
	for _, text := range c.StringSlice("account") {
		name, key, ok := strings.Cut(text, "=")
		if !ok {
			return usageErrorf("--account: %q does not have the form NAME=KEY", text)
		}
		workload.Accounts = append(workload.Accounts, loomload.Account{Name: name, Key: key, Weight: 1})
	}
	for _, address := range c.StringSlice("instance") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return usageErrorf("--instance: %q is not an IP number with a port", address)
		}
	}
	return runLoad(ctx, c, workload)
}

// loadReport is the JSON output of the command. The latencies are times to first
// token.
type loadReport struct {
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	RefusedNotRun int     `json:"refused_not_run"`
	Failed        int     `json:"failed"`
	WrongAnswers  int     `json:"wrong_answers"`
	Lost          int     `json:"lost"`
	TTFTMillisP50 float64 `json:"ttft_ms_p50"`
	TTFTMillisP95 float64 `json:"ttft_ms_p95"`
	TTFTMillisP99 float64 `json:"ttft_ms_p99"`
	WallSeconds   float64 `json:"wall_seconds"`
}

// runLoad waits for a ready instance, sends the load and prints the report.
func runLoad(ctx context.Context, c *cli.Command, workload loomload.Workload) error {
	balancer := loomload.NewBalancer(c.StringSlice("instance"))
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	if !balancer.WaitReady(ctx, loadReadyTimeout) {
		return errors.Errorf("no instance became ready within %s", loadReadyTimeout)
	}
	go balancer.Run(background)
	runner := loomload.Runner{Workload: workload, Balancer: balancer, Progress: progress("load")}
	result := runner.Run(ctx)
	// The histogram counts microseconds.
	const microsPerMilli = 1000
	r := loadReport{
		Requests:      result.Requests,
		Answered:      result.Answered,
		RefusedNotRun: result.RefusedNotRun,
		Failed:        result.Failed,
		WrongAnswers:  result.WrongAnswers,
		Lost:          result.Lost,
		TTFTMillisP50: float64(result.FirstToken.ValueAtQuantile(50)) / microsPerMilli,
		TTFTMillisP95: float64(result.FirstToken.ValueAtQuantile(95)) / microsPerMilli,
		TTFTMillisP99: float64(result.FirstToken.ValueAtQuantile(99)) / microsPerMilli,
		WallSeconds:   result.Wall.Seconds(),
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
		return r.check()
	}
	t := newTable(os.Stdout)
	t.row("requests", r.Requests)
	t.row("answered", r.Answered)
	t.row("refused as not run", r.RefusedNotRun)
	t.row("failed", r.Failed)
	t.row("wrong answers", r.WrongAnswers)
	t.row("lost", r.Lost)
	t.row("ttft p50, p95, p99 (ms)", fmt.Sprintf("%.1f, %.1f, %.1f", r.TTFTMillisP50, r.TTFTMillisP95, r.TTFTMillisP99))
	t.row("wall (s)", fmt.Sprintf("%.1f", r.WallSeconds))
	t.flush()
	return r.check()
}

// check returns an error if requests were lost or answered wrongly.
func (r loadReport) check() error {
	if r.WrongAnswers+r.Lost > 0 {
		return errors.Errorf("got %d wrong answers and lost %d requests, expected none", r.WrongAnswers, r.Lost)
	}
	return nil
}
