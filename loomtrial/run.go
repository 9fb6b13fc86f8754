package loomtrial

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"swiftloom/loomroute"
)

// Options configures a trial.
type Options struct {
	Site   Site
	Policy string
	Seed   uint64
	// Requests overrides the number of requests of the site when it is positive.
	// The greedy_account, idle and overhead scenarios ignore it.
	Requests int
	// Instances overrides the number of instances of the site when it is
	// positive. Only the idle scenario and a run without a scenario use it.
	Instances int
	Faults    []string
	Scenario  string
	Log       *slog.Logger
	// Progress is called from time to time with the number of completed requests.
	Progress func(done, total int)
}

// Scenarios returns the names of all scenarios in alphabetical order.
func Scenarios() []string {
	return []string{scenarioClaims, scenarioGreedy, scenarioIdle, scenarioOverhead, scenarioPartition}
}

const (
	scenarioClaims    = "claims"
	scenarioGreedy    = "greedy_account"
	scenarioIdle      = "idle"
	scenarioOverhead  = "overhead"
	scenarioPartition = "partition"
)

// Run starts a site, runs the scenario of o, or the load of the site if there is
// none, and stops the site.
func Run(ctx context.Context, o Options) (Report, error) {
	switch o.Scenario {
	case scenarioGreedy:
		return runGreedy(ctx, o)
	case scenarioPartition:
		return runPartition(ctx, o)
	case scenarioClaims:
		return runClaims(ctx, o)
	case scenarioIdle:
		return runIdle(ctx, o)
	case scenarioOverhead:
		return runOverhead(ctx, o)
	default:
		return runLoad(ctx, o)
	}
}

func runLoad(ctx context.Context, o Options) (Report, error) {
	if o.Instances > 0 {
		o.Site.Instances = o.Instances
	}
	t, err := Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	r := t.Play(ctx, PlayOptions{Requests: o.Requests, Faults: o.Faults, Scenario: o.Scenario, Progress: o.Progress})
	return r, ctx.Err()
}

// Comparison holds the reports of all routing policies under the same load.
type Comparison struct {
	Policies []Report `json:"policies"`
	Ratios   []Ratio  `json:"ratios"`
}

// Ratio holds measurements of Policy divided by those of Against. A value is
// zero if its divisor is zero.
type Ratio struct {
	Policy           string  `json:"policy"`
	Against          string  `json:"against"`
	RecomputedTokens float64 `json:"recomputed_tokens"`
	TTFTP95          float64 `json:"ttft_p95"`
}

// Compare runs the same load once with each routing policy. The ratios compare
// the cost policy with each of the others.
func Compare(ctx context.Context, o Options, progress func(policy string) func(done, total int)) (Comparison, error) {
	var c Comparison
	for _, policy := range loomroute.Policies() {
		o.Policy = policy
		o.Progress = progress(policy)
		r, err := Run(ctx, o)
		if err != nil {
			return c, err
		}
		c.Policies = append(c.Policies, r)
	}
	costReport := c.Policies[0]
	for _, r := range c.Policies {
		if r.Policy == "cost" {
			costReport = r
		}
	}
	for _, r := range c.Policies {
		if r.Policy != costReport.Policy {
			c.Ratios = append(c.Ratios, compareReports(costReport, r))
		}
	}
	return c, nil
}

func compareReports(a, b Report) Ratio {
	r := Ratio{Policy: a.Policy, Against: b.Policy}
	if b.RecomputedTokens > 0 {
		r.RecomputedTokens = float64(a.RecomputedTokens) / float64(b.RecomputedTokens)
	}
	if b.TTFTMillisP95 > 0 {
		r.TTFTP95 = a.TTFTMillisP95 / b.TTFTMillisP95
	}
	return r
}

// Instructions returns instructions for calling a running trial: the addresses,
// the keys and some curl commands.
func (t *Trial) Instructions() string {
	var b strings.Builder
	account := t.site.Workload.Accounts[0]
	addresses := t.Addresses()
	fmt.Fprintf(&b, "site %s is running; press Ctrl-C to stop it\n\ninstances:\n", t.site.Name)
	for _, r := range t.runningInstances() {
		fmt.Fprintf(&b, "  %s in %s at %s\n", r.instance.ID(), r.instance.FailureDomain(), r.instance.HTTPAddress())
	}
	fmt.Fprintf(&b, "\noperator key: %s\nAPI keys of the client accounts:\n", operatorKey)
	for _, a := range t.site.Workload.Accounts {
		fmt.Fprintf(&b, "  %s: %s\n", a.Name, a.Key)
	}
	first := addresses[0]
	fmt.Fprintf(&b, "\ncurl -s http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"prompt\":\"which bollards are free\",\"max_tokens\":4}'\n", first, account.Key, t.site.Model)
	fmt.Fprintf(&b, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"which bollards are free\"}],\"max_tokens\":4,\"stream\":true}'\n", first, account.Key, t.site.Model)
	fmt.Fprintf(&b, "curl -s http://%s/v1/services/%s/jobs -H 'Authorization: Bearer %s' -H 'Idempotency-Key: release-1' -H 'Content-Type: application/json' -d '{\"job\":\"release lines of berth 4\"}'\n", first, t.site.ServiceGroup, account.Key)
	fmt.Fprintf(&b, "curl -s http://%s/v1/catalogue -H 'Authorization: Bearer %s'\n", first, operatorKey)
	fmt.Fprintf(&b, "curl -s http://%s/v1/status -H 'Authorization: Bearer %s'\n", first, operatorKey)
	fmt.Fprintf(&b, "curl -s http://%s/metrics\n", first)
	return b.String()
}
