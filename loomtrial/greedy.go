package loomtrial

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftloom/loomload"
)

const (
	// greedyTokensPerSecond is the rate limit of each account, and
	// greedyDemandFactor the multiple of it that the greedy account requests.
	greedyTokensPerSecond = 12_000
	greedyDemandFactor    = 10
	// modestDemandFraction is the fraction of its rate limit that each other
	// account requests.
	modestDemandFraction = 0.4
	greedyLoadDuration   = 25 * time.Second
	// meanRequestTokens is the expected cost of one request of the workload in
	// tokens.
	meanRequestTokens = 800
	rateWindow        = 10 * time.Second
	rateWindowStep    = 250 * time.Millisecond
)

// runGreedy measures how much one account that requests greedyDemandFactor times
// its rate limit affects the others. All accounts have equal limits. The load is
// run three times: without the greedy account, with it, and with it while no
// account is limited.
func runGreedy(ctx context.Context, o Options) (Report, error) {
	alone, err := playGreedy(ctx, o, false, greedyTokensPerSecond)
	if err != nil {
		return Report{}, err
	}
	limited, err := playGreedy(ctx, o, true, greedyTokensPerSecond)
	if err != nil {
		return Report{}, err
	}
	unlimited, err := playGreedy(ctx, o, true, unlimitedTokensPerSecond)
	if err != nil {
		return Report{}, err
	}
	greedy := o.Site.Workload.Accounts[0].Name
	r := limited.report
	r.Fairness = &FairnessReport{
		GreedyAccount:                  greedy,
		LimitTokensPerSecond:           greedyTokensPerSecond,
		RequestedTokensPerSecond:       greedyTokensPerSecond * greedyDemandFactor,
		GreedyTokensPerSecond:          meanTokenRate(limited.result, greedy),
		MaxTenSecondShare:              maxWindowRate(limited.result, greedy) / greedyTokensPerSecond,
		OthersP95Alone:                 othersTTFTP95(alone.result, greedy),
		OthersP95WithGreedy:            othersTTFTP95(limited.result, greedy),
		OthersP95WithoutLimits:         othersTTFTP95(unlimited.result, greedy),
		UnlimitedGreedyTokensPerSecond: meanTokenRate(unlimited.result, greedy),
	}
	if alone := r.Fairness.OthersP95Alone; alone > 0 {
		r.Fairness.OthersP95Ratio = r.Fairness.OthersP95WithGreedy / alone
		r.Fairness.OthersP95RatioWithoutLimits = r.Fairness.OthersP95WithoutLimits / alone
	}
	return r, nil
}

// greedyRun is the outcome of one of the three loads of runGreedy.
type greedyRun struct {
	report Report
	result loomload.Result
}

// playGreedy runs the load of all accounts with equal shares and the given rate
// limit in tokens per second. The first account sends nothing unless withGreedy
// is set.
func playGreedy(ctx context.Context, o Options, withGreedy bool, limit int) (greedyRun, error) {
	site := o.Site
	site.AccountTokensPerSecond = limit
	site.EqualShares = true
	workload := site.Workload
	workload.Accounts = append([]loomload.Account(nil), workload.Accounts...)
	total := 0.0
	for i := range workload.Accounts {
		workload.Accounts[i].Weight = modestDemandFraction
		if i == 0 {
			workload.Accounts[i].Weight = 0
		}
		if i == 0 && withGreedy {
			workload.Accounts[i].Weight = greedyDemandFactor
		}
		total += workload.Accounts[i].Weight
	}
	workload.RequestsPerSecond = total * greedyTokensPerSecond / meanRequestTokens
	workload.Requests = int(workload.RequestsPerSecond * greedyLoadDuration.Seconds())
	workload.ServiceShare = 0
	workload.FollowUps = 1
	workload.MaxAttempts = 1
	site.Workload = workload
	t, err := Start(ctx, site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return greedyRun{}, err
	}
	defer t.Stop()
	var run greedyRun
	run.report, run.result = t.play(ctx, PlayOptions{Faults: o.Faults, Scenario: o.Scenario, Progress: o.Progress})
	return run, ctx.Err()
}

// othersTTFTP95 returns the 95th percentile, in milliseconds, of the time to
// first token of all accounts but one.
func othersTTFTP95(r loomload.Result, excluded string) float64 {
	all := hdrhistogram.Import(r.FirstToken.Export())
	all.Reset()
	for _, a := range r.ByAccount {
		if a.Account != excluded {
			all.Merge(a.FirstToken)
		}
	}
	return float64(all.ValueAtQuantile(95)) / microsPerMilli
}

// meanTokenRate returns the tokens per second that an account used on average.
func meanTokenRate(r loomload.Result, account string) float64 {
	sum := 0.0
	for _, s := range accountCosts(r, account) {
		sum += float64(s.Tokens)
	}
	return sum / r.Wall.Seconds()
}

func accountCosts(r loomload.Result, account string) []loomload.AnswerCost {
	for _, a := range r.ByAccount {
		if a.Account == account {
			return a.Costs
		}
	}
	return nil
}

// maxWindowRate returns the highest rate of an account, in tokens per second,
// over windows of rateWindow that start rateWindowStep apart.
func maxWindowRate(r loomload.Result, account string) float64 {
	highest := 0.0
	costs := accountCosts(r, account)
	for from := time.Duration(0); from+rateWindow <= r.Wall; from += rateWindowStep {
		sum := 0.0
		for _, s := range costs {
			if s.At >= from && s.At < from+rateWindow {
				sum += float64(s.Tokens)
			}
		}
		highest = max(highest, sum/rateWindow.Seconds())
	}
	return highest
}
