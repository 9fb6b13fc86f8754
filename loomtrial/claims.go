package loomtrial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftloom/loomload"
	"swiftloom/loomstandin"
)

const (
	defaultClaimCalls  = 6000
	claimCallsDuration = 3 * time.Second
	claimPlatformDelay = 10 * time.Millisecond
)

// ClaimsReport compares service calls that carry an idempotency key with calls
// that carry none. Both are sent at the same rate, with PlatformDelayMS added to
// each call to the platform.
type ClaimsReport struct {
	CallsPerSecond  float64 `json:"calls_per_second"`
	Calls           int     `json:"calls"`
	Answered        int     `json:"answered"`
	Claims          uint64  `json:"claims"`
	ClaimWrites     uint64  `json:"claim_writes"`
	ClaimsPerWrite  float64 `json:"claims_per_write"`
	PlatformDelayMS float64 `json:"platform_delay_ms"`
	PlainP50        float64 `json:"plain_ms_p50"`
	KeyedP50        float64 `json:"keyed_ms_p50"`
	AddedP50        float64 `json:"added_ms_p50"`
	PlainP95        float64 `json:"plain_ms_p95"`
	KeyedP95        float64 `json:"keyed_ms_p95"`
}

// runClaims measures the latency and the writes that claims of idempotency keys
// add to service calls.
func runClaims(ctx context.Context, o Options) (Report, error) {
	t, err := Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	t.platform.AddFaults(loomstandin.PlatformFaults{Delay: claimPlatformDelay}, 1)
	calls := defaultClaimCalls
	if o.Requests > 0 {
		calls = o.Requests
	}
	plain, _ := t.makeServiceCalls(ctx, calls, false)
	keyed, answered := t.makeServiceCalls(ctx, calls, true)
	c := ClaimsReport{
		CallsPerSecond:  float64(calls) / claimCallsDuration.Seconds(),
		Calls:           calls,
		Answered:        answered,
		PlatformDelayMS: float64(claimPlatformDelay.Milliseconds()),
		PlainP50:        quantileMillis(plain, 50),
		KeyedP50:        quantileMillis(keyed, 50),
		AddedP50:        quantileMillis(keyed, 50) - quantileMillis(plain, 50),
		PlainP95:        quantileMillis(plain, 95),
		KeyedP95:        quantileMillis(keyed, 95),
	}
	for _, r := range t.runningInstances() {
		stats := r.instance.Status(time.Now()).Claims
		c.Claims += stats.Claims
		c.ClaimWrites += stats.ClaimWrites
	}
	if c.ClaimWrites > 0 {
		c.ClaimsPerWrite = float64(c.Claims) / float64(c.ClaimWrites)
	}
	return Report{Site: o.Site.Name, Policy: o.Policy, Seed: o.Seed, Scenario: o.Scenario, Claims: &c}, ctx.Err()
}

// quantileMillis returns a quantile, in percent, of a histogram of microseconds
// in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}

// makeServiceCalls makes service calls at a constant rate over
// claimCallsDuration, each with an idempotency key if keyed is set. It returns
// the latencies in microseconds and the number of calls that succeeded.
func (t *Trial) makeServiceCalls(ctx context.Context, calls int, keyed bool) (*hdrhistogram.Histogram, int) {
	prober := loomload.NewProber()
	defer prober.Close()
	h := hdrhistogram.New(1, maxCallMicros, 3)
	var mu sync.Mutex
	answered := 0
	addresses := t.Addresses()
	account := t.site.Workload.Accounts[0]
	start := time.Now()
	var wg sync.WaitGroup
	for i := range calls {
		if !pause(ctx, time.Until(start.Add(claimCallsDuration*time.Duration(i)/time.Duration(calls)))) {
			break
		}
		call := &loomload.Call{Job: fmt.Sprintf("claims-%t-%d", keyed, i)}
		if keyed {
			call.Key = call.Job
		}
		wg.Go(func() {
			d, err := prober.Call(ctx, addresses[i%len(addresses)], account.Key, t.site.ServiceGroup, call)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
				_ = h.RecordValue(d.Microseconds())
			}
		})
	}
	wg.Wait()
	return h, answered
}
