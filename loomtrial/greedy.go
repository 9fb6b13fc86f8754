package loomtrial

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftloom/loomload"
)

const (
	// greedyLimit is the limit of each account in tokens a second, and
	// greedyFactor how many times its limit the greedy account asks for.
	greedyLimit  = 12_000
	greedyFactor = 10
	modestPart   = 0.4
	greedyTime   = 25 * time.Second
	// meanCost is the expected cost of one request of the mix in tokens.
	meanCost   = 800
	fairWindow = 10 * time.Second
	fairStep   = 250 * time.Millisecond
)

// runGreedy plays ten accounts with equal limits, once without and once with
// one of them asking for ten times its limit.
func runGreedy(ctx context.Context, o Options) (Report, error) {
	alone, err := playGreedy(ctx, o, false, greedyLimit)
	if err != nil {
		return Report{}, err
	}
	limited, err := playGreedy(ctx, o, true, greedyLimit)
	if err != nil {
		return Report{}, err
	}
	unlimited, err := playGreedy(ctx, o, true, maxRateTokens)
	if err != nil {
		return Report{}, err
	}
	greedy := o.Site.Mix.Accounts[0].Name
	r := limited.report
	r.Fairness = &FairReport{
		GreedyAccount:          greedy,
		LimitTokens:            greedyLimit,
		AskedTokens:            greedyLimit * greedyFactor,
		GreedyTokens:           rateOf(limited.result, greedy),
		WorstTenSeconds:        worstWindow(limited.result, greedy) / greedyLimit,
		OthersP95Alone:         othersP95(alone.result, greedy),
		OthersP95WithGreedy:    othersP95(limited.result, greedy),
		OthersP95WithoutLimits: othersP95(unlimited.result, greedy),
		UnlimitedGreedyTokens:  rateOf(unlimited.result, greedy),
	}
	if alone := r.Fairness.OthersP95Alone; alone > 0 {
		r.Fairness.OthersP95Ratio = r.Fairness.OthersP95WithGreedy / alone
		r.Fairness.OthersP95RatioWithoutLimits = r.Fairness.OthersP95WithoutLimits / alone
	}
	return r, nil
}

type greedyRun struct {
	report Report
	result loomload.Result
}

func playGreedy(ctx context.Context, o Options, greedy bool, limit int) (greedyRun, error) {
	site := o.Site
	site.AccountLimit = limit
	site.EqualShares = true
	mix := site.Mix
	mix.Accounts = append([]loomload.Account(nil), mix.Accounts...)
	total := 0.0
	for i := range mix.Accounts {
		mix.Accounts[i].Weight = modestPart
		if i == 0 {
			mix.Accounts[i].Weight = 0
		}
		if i == 0 && greedy {
			mix.Accounts[i].Weight = greedyFactor
		}
		total += mix.Accounts[i].Weight
	}
	mix.RequestsPerSecond = total * greedyLimit / meanCost
	mix.Requests = int(mix.RequestsPerSecond * greedyTime.Seconds())
	mix.ServiceShare = 0
	mix.Returns = 1
	mix.Tries = 1
	site.Mix = mix
	t, err := Start(ctx, site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return greedyRun{}, err
	}
	defer t.Stop()
	var run greedyRun
	run.report, run.result = t.play(ctx, PlayOptions{Faults: o.Faults, Scenario: o.Scenario, Progress: o.Progress})
	return run, ctx.Err()
}

// othersP95 returns the time to first token of all accounts but one.
func othersP95(r loomload.Result, except string) float64 {
	all := hdrhistogram.Import(r.FirstToken.Export())
	all.Reset()
	for _, a := range r.ByAccount {
		if a.Account != except {
			all.Merge(a.FirstToken)
		}
	}
	return float64(all.ValueAtQuantile(95)) / microsPerMilli
}

// rateOf returns the tokens that an account used in a second.
func rateOf(r loomload.Result, account string) float64 {
	sum := 0.0
	for _, s := range spendingOf(r, account) {
		sum += float64(s.Tokens)
	}
	return sum / r.Wall.Seconds()
}

func spendingOf(r loomload.Result, account string) []loomload.Spending {
	for _, a := range r.ByAccount {
		if a.Account == account {
			return a.Spending
		}
	}
	return nil
}

// worstWindow returns the highest rate of an account over any ten seconds.
func worstWindow(r loomload.Result, account string) float64 {
	worst := 0.0
	spending := spendingOf(r, account)
	for from := time.Duration(0); from+fairWindow <= r.Wall; from += fairStep {
		sum := 0.0
		for _, s := range spending {
			if s.At >= from && s.At < from+fairWindow {
				sum += float64(s.Tokens)
			}
		}
		worst = max(worst, sum/fairWindow.Seconds())
	}
	return worst
}
