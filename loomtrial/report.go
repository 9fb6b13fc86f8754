package loomtrial

import (
	"context"
	"time"

	"swiftloom/loomload"
)

// Report holds the measurements of a trial.
type Report struct {
	Site             string   `json:"site"`
	Policy           string   `json:"policy"`
	Seed             uint64   `json:"seed"`
	Faults           []string `json:"faults"`
	Scenario         string   `json:"scenario,omitempty"`
	Requests         int      `json:"requests"`
	Answered         int      `json:"answered"`
	RefusedNotRun    int      `json:"refused_not_run"`
	Failed           int      `json:"failed"`
	WrongAnswers     int      `json:"wrong_answers"`
	DoubleRuns       int      `json:"double_runs"`
	Lost             int      `json:"lost"`
	FalseNotRun      int      `json:"false_not_run"`
	TTFTMillisP50    float64  `json:"ttft_ms_p50"`
	TTFTMillisP95    float64  `json:"ttft_ms_p95"`
	TTFTMillisP99    float64  `json:"ttft_ms_p99"`
	PromptTokens     int64    `json:"prompt_tokens"`
	RecomputedTokens int64    `json:"recomputed_tokens"`
	RecomputedShare  float64  `json:"recomputed_share"`
	CompulsoryShare  float64  `json:"compulsory_share"`
	LinkUseShare     float64  `json:"link_use_share"`
	WallSeconds      float64  `json:"wall_seconds"`
	PlatformReads    uint64   `json:"platform_reads"`
	PlatformWrites   uint64   `json:"platform_writes"`

	CatalogueSecondsP99 float64          `json:"catalogue_seconds_p99"`
	CatalogueReverts    int              `json:"catalogue_reverts"`
	StaleOrders         int              `json:"stale_orders"`
	MaxConcurrentLoads  int              `json:"most_loading"`
	ErrorKinds          []ErrorKindCount `json:"error_kinds,omitempty"`
	Notes               []string         `json:"notes,omitempty"`
	Fairness            *FairnessReport  `json:"fairness,omitempty"`
	Idle                *IdleReport      `json:"idle,omitempty"`
	Claims              *ClaimsReport    `json:"claims,omitempty"`
	Overhead            *OverheadReport  `json:"overhead,omitempty"`
}

// ErrorKindCount counts the requests that finally failed with one kind of error.
type ErrorKindCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// HasViolations reports whether a guarantee was violated: an answer was wrong or
// lost, work ran twice or ran although it was reported as not run, an instance
// went back to an older catalogue or stayed behind, or an engine accepted an
// order with an outdated fencing token.
func (r Report) HasViolations() bool {
	return r.WrongAnswers+r.DoubleRuns+r.Lost+r.FalseNotRun+r.CatalogueReverts+r.StaleOrders > 0
}

const microsPerMilli = 1000

// counterSnapshot holds the counters of the stand-ins at one point in time.
type counterSnapshot struct {
	trial          *Trial
	computedTokens uint64
	// linkBusy is the total time for which the links of the stores were busy.
	linkBusy time.Duration
	reads    uint64
	writes   uint64
	at       time.Time
}

func (t *Trial) snapshotCounters() counterSnapshot {
	usage := t.platform.TableStats()
	s := counterSnapshot{trial: t, reads: usage.Reads, writes: usage.Writes, at: time.Now()}
	for _, e := range t.engines {
		s.computedTokens += e.ComputedTokens()
	}
	for _, store := range t.stores {
		_, busy := store.LinkStats()
		s.linkBusy += busy
	}
	return s
}

// addTo adds to a report what the stand-ins have counted since the snapshot.
// MaxConcurrentLoads and StaleOrders cover the whole trial.
func (s counterSnapshot) addTo(r *Report) {
	after := s.trial.snapshotCounters()
	r.RecomputedTokens = int64(after.computedTokens - s.computedTokens)
	if r.PromptTokens > 0 {
		r.RecomputedShare = float64(r.RecomputedTokens) / float64(r.PromptTokens)
	}
	links := len(s.trial.site.FailureDomains)
	r.LinkUseShare = (after.linkBusy - s.linkBusy).Seconds() / after.at.Sub(s.at).Seconds() / float64(links)
	r.PlatformReads = after.reads - s.reads
	r.PlatformWrites = after.writes - s.writes
	r.MaxConcurrentLoads = s.trial.platform.MaxConcurrentLoads()
	for _, e := range s.trial.engines {
		for _, o := range e.Orders() {
			if o.Stale {
				r.StaleOrders++
			}
		}
	}
}

// addResult copies the result of a load into the report. Times are converted from
// microseconds to milliseconds.
func (r *Report) addResult(result loomload.Result) {
	r.Requests = result.Requests
	r.Answered = result.Answered
	r.RefusedNotRun = result.RefusedNotRun
	r.Failed = result.Failed
	r.WrongAnswers = result.WrongAnswers
	r.DoubleRuns = result.DoubleRuns
	r.Lost = result.Lost
	r.FalseNotRun = result.FalseNotRun
	r.TTFTMillisP50 = float64(result.FirstToken.ValueAtQuantile(50)) / microsPerMilli
	r.TTFTMillisP95 = float64(result.FirstToken.ValueAtQuantile(95)) / microsPerMilli
	r.TTFTMillisP99 = float64(result.FirstToken.ValueAtQuantile(99)) / microsPerMilli
	r.PromptTokens = result.PromptTokens
	r.WallSeconds = result.Wall.Seconds()
	if result.PromptTokens > 0 {
		r.CompulsoryShare = float64(result.CompulsoryTokens) / float64(result.PromptTokens)
	}
	for _, k := range result.FailedKinds {
		r.ErrorKinds = append(r.ErrorKinds, ErrorKindCount{Kind: k.Kind, Count: k.Count})
	}
	r.Notes = append(r.Notes, result.Notes...)
}

// Play runs the load of the site on a running trial, injects faults and returns
// the measurements.
func (t *Trial) Play(ctx context.Context, o PlayOptions) Report {
	r, _ := t.play(ctx, o)
	return r
}

func (t *Trial) play(ctx context.Context, o PlayOptions) (Report, loomload.Result) {
	workload := t.site.Workload
	workload.Seed = t.seed
	if o.Requests > 0 {
		workload.Requests = o.Requests
	}
	runner := loomload.Runner{Workload: workload, Balancer: t.balancer, RunCounts: t, Progress: o.Progress}
	before := t.snapshotCounters()
	watcher := t.watchRevisions(ctx)
	stopFaults := t.injectFaults(ctx, o.Faults, expectedDuration(workload))
	result := runner.Run(ctx)
	stopFaults()
	if o.AfterLoad != nil {
		o.AfterLoad()
	}
	r := Report{Site: t.site.Name, Policy: t.policy, Seed: t.seed, Faults: o.Faults, Scenario: o.Scenario}
	r.addResult(result)
	before.addTo(&r)
	watcher.stop(&r)
	return r, result
}

// PlayOptions configures a load.
type PlayOptions struct {
	// Requests overrides the number of requests of the site when it is positive.
	Requests int
	Faults   []string
	Scenario string
	Progress func(done, total int)
	// AfterLoad, if set, is called after the load has ended and before the counters
	// are read.
	AfterLoad func()
}

// expectedDuration returns how long the load takes if no request is delayed.
func expectedDuration(m loomload.Workload) time.Duration {
	return time.Duration(float64(m.Requests) / m.RequestsPerSecond * float64(time.Second))
}

// FairnessReport holds the measurements of the greedy_account scenario. Rates are
// in tokens per second and count recomputed and generated tokens.
type FairnessReport struct {
	GreedyAccount            string  `json:"greedy_account"`
	LimitTokensPerSecond     float64 `json:"limit_tokens_per_second"`
	RequestedTokensPerSecond float64 `json:"asked_tokens_per_second"`
	GreedyTokensPerSecond    float64 `json:"greedy_tokens_per_second"`
	MaxTenSecondShare        float64 `json:"worst_ten_seconds_share_of_limit"`

	OthersP95Alone                 float64 `json:"others_ttft_ms_p95_without_greedy"`
	OthersP95WithGreedy            float64 `json:"others_ttft_ms_p95_with_greedy"`
	OthersP95Ratio                 float64 `json:"others_ttft_p95_ratio"`
	OthersP95WithoutLimits         float64 `json:"others_ttft_ms_p95_without_limits"`
	OthersP95RatioWithoutLimits    float64 `json:"others_ttft_p95_ratio_without_limits"`
	UnlimitedGreedyTokensPerSecond float64 `json:"greedy_tokens_per_second_without_limits"`
}
