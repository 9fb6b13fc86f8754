package loomtrial

import (
	"context"
	"time"

	"swiftloom/loomload"
)

// Report is what a trial measured.
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
	TTFTMSP50        float64  `json:"ttft_ms_p50"`
	TTFTMSP95        float64  `json:"ttft_ms_p95"`
	TTFTMSP99        float64  `json:"ttft_ms_p99"`
	PromptTokens     int64    `json:"prompt_tokens"`
	RecomputedTokens int64    `json:"recomputed_tokens"`
	RecomputedShare  float64  `json:"recomputed_share"`
	CompulsoryShare  float64  `json:"compulsory_share"`
	LinkUseShare     float64  `json:"link_use_share"`
	WallSeconds      float64  `json:"wall_seconds"`
	PlatformReads    uint64   `json:"platform_reads"`
	PlatformWrites   uint64   `json:"platform_writes"`

	CatalogueSecondsP99 float64         `json:"catalogue_seconds_p99"`
	CatalogueReverts    int             `json:"catalogue_reverts"`
	StaleOrders         int             `json:"stale_orders"`
	MostLoading         int             `json:"most_loading"`
	ErrorKinds          []KindReport    `json:"error_kinds,omitempty"`
	Notes               []string        `json:"notes,omitempty"`
	Fairness            *FairReport     `json:"fairness,omitempty"`
	Idle                *IdleReport     `json:"idle,omitempty"`
	Claims              *ClaimsReport   `json:"claims,omitempty"`
	Overhead            *OverheadReport `json:"overhead,omitempty"`
}

// KindReport counts the final errors of one kind.
type KindReport struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Broken reports whether a promise was broken.
func (r Report) Broken() bool {
	return r.WrongAnswers+r.DoubleRuns+r.Lost+r.FalseNotRun+r.CatalogueReverts+r.StaleOrders > 0
}

const microsPerMilli = 1000

// meter notes the counters of the stand-ins at the start of a run.
type meter struct {
	trial    *Trial
	computed uint64
	busy     time.Duration
	reads    uint64
	writes   uint64
	at       time.Time
}

func (t *Trial) meter() meter {
	use := t.platform.Use()
	m := meter{trial: t, reads: use.Reads, writes: use.Writes, at: time.Now()}
	for _, e := range t.engines {
		m.computed += e.Computed()
	}
	for _, s := range t.stores {
		_, busy := s.LinkUse()
		m.busy += busy
	}
	return m
}

// fill adds to a report what the stand-ins counted since the start.
func (m meter) fill(r *Report) {
	now := m.trial.meter()
	r.RecomputedTokens = int64(now.computed - m.computed)
	if r.PromptTokens > 0 {
		r.RecomputedShare = float64(r.RecomputedTokens) / float64(r.PromptTokens)
	}
	links := len(m.trial.site.FailureDomains)
	r.LinkUseShare = (now.busy - m.busy).Seconds() / now.at.Sub(m.at).Seconds() / float64(links)
	r.PlatformReads = now.reads - m.reads
	r.PlatformWrites = now.writes - m.writes
	r.MostLoading = m.trial.platform.MostLoading()
	for _, e := range m.trial.engines {
		for _, o := range e.Orders() {
			if o.Stale {
				r.StaleOrders++
			}
		}
	}
}

func (r *Report) take(result loomload.Result) {
	r.Requests = result.Requests
	r.Answered = result.Answered
	r.RefusedNotRun = result.RefusedNotRun
	r.Failed = result.Failed
	r.WrongAnswers = result.WrongAnswers
	r.DoubleRuns = result.DoubleRuns
	r.Lost = result.Lost
	r.FalseNotRun = result.FalseNotRun
	r.TTFTMSP50 = float64(result.FirstToken.ValueAtQuantile(50)) / microsPerMilli
	r.TTFTMSP95 = float64(result.FirstToken.ValueAtQuantile(95)) / microsPerMilli
	r.TTFTMSP99 = float64(result.FirstToken.ValueAtQuantile(99)) / microsPerMilli
	r.PromptTokens = result.PromptTokens
	r.WallSeconds = result.Wall.Seconds()
	if result.PromptTokens > 0 {
		r.CompulsoryShare = float64(result.CompulsoryTokens) / float64(result.PromptTokens)
	}
	for _, k := range result.FailedKinds {
		r.ErrorKinds = append(r.ErrorKinds, KindReport{Kind: k.Kind, Count: k.Count})
	}
	r.Notes = append(r.Notes, result.Notes...)
}

// Play plays the load of the site at a running trial, with faults.
func (t *Trial) Play(ctx context.Context, o PlayOptions) Report {
	r, _ := t.play(ctx, o)
	return r
}

func (t *Trial) play(ctx context.Context, o PlayOptions) (Report, loomload.Result) {
	mix := t.site.Mix
	mix.Seed = t.seed
	if o.Requests > 0 {
		mix.Requests = o.Requests
	}
	runner := loomload.Runner{Mix: mix, Balancer: t.balancer, Effects: t, Progress: o.Progress}
	m := t.meter()
	w := t.watch(ctx)
	stopFaults := t.inject(ctx, o.Faults, expectedTime(mix))
	result := runner.Run(ctx)
	stopFaults()
	if o.Before != nil {
		o.Before()
	}
	r := Report{Site: t.site.Name, Policy: t.policy, Seed: t.seed, Faults: o.Faults, Scenario: o.Scenario}
	r.take(result)
	m.fill(&r)
	w.stop(&r)
	return r, result
}

// PlayOptions says how to play a load.
type PlayOptions struct {
	// Requests replaces the number of the site when it is above zero.
	Requests int
	Faults   []string
	Scenario string
	Progress func(done, total int)
	// Before is called after the load and before the report, if it is set.
	Before func()
}

func expectedTime(m loomload.Mix) time.Duration {
	return time.Duration(float64(m.Requests) / m.RequestsPerSecond * float64(time.Second))
}

// FairReport is what the scenario of a greedy account measured. Rates are in
// tokens a second, recomputed and generated.
type FairReport struct {
	GreedyAccount   string  `json:"greedy_account"`
	LimitTokens     float64 `json:"limit_tokens_per_second"`
	AskedTokens     float64 `json:"asked_tokens_per_second"`
	GreedyTokens    float64 `json:"greedy_tokens_per_second"`
	WorstTenSeconds float64 `json:"worst_ten_seconds_share_of_limit"`

	OthersP95Alone              float64 `json:"others_ttft_ms_p95_without_greedy"`
	OthersP95WithGreedy         float64 `json:"others_ttft_ms_p95_with_greedy"`
	OthersP95Ratio              float64 `json:"others_ttft_p95_ratio"`
	OthersP95WithoutLimits      float64 `json:"others_ttft_ms_p95_without_limits"`
	OthersP95RatioWithoutLimits float64 `json:"others_ttft_p95_ratio_without_limits"`
	UnlimitedGreedyTokens       float64 `json:"greedy_tokens_per_second_without_limits"`
}
