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
	claimCalls = 6000
	claimTime  = 3 * time.Second
	claimDelay = 10 * time.Millisecond
)

// ClaimsReport compares service calls with an idempotency key with calls without
// one, at the same rate, while each call to the platform takes a while.
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

// runClaims measures what claims cost.
func runClaims(ctx context.Context, o Options) (Report, error) {
	t, err := Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	t.platform.AddFaults(loomstandin.PlatformFaults{Delay: claimDelay}, 1)
	calls := claimCalls
	if o.Requests > 0 {
		calls = o.Requests
	}
	plain, _ := t.callMany(ctx, calls, false)
	keyed, answered := t.callMany(ctx, calls, true)
	c := ClaimsReport{
		CallsPerSecond:  float64(calls) / claimTime.Seconds(),
		Calls:           calls,
		Answered:        answered,
		PlatformDelayMS: float64(claimDelay.Milliseconds()),
		PlainP50:        milliseconds(plain, 50),
		KeyedP50:        milliseconds(keyed, 50),
		AddedP50:        milliseconds(keyed, 50) - milliseconds(plain, 50),
		PlainP95:        milliseconds(plain, 95),
		KeyedP95:        milliseconds(keyed, 95),
	}
	for _, r := range t.running() {
		stats := r.instance.Status(time.Now()).Claims
		c.Claims += stats.Claims
		c.ClaimWrites += stats.ClaimWrites
	}
	if c.ClaimWrites > 0 {
		c.ClaimsPerWrite = float64(c.Claims) / float64(c.ClaimWrites)
	}
	return Report{Site: o.Site.Name, Policy: o.Policy, Seed: o.Seed, Scenario: o.Scenario, Claims: &c}, ctx.Err()
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}

// callMany makes service calls, spread evenly over a while, and returns their
// latencies and the number that was answered.
func (t *Trial) callMany(ctx context.Context, calls int, keyed bool) (*hdrhistogram.Histogram, int) {
	single := loomload.NewSingle()
	defer single.Close()
	h := hdrhistogram.New(1, longestCall, 3)
	var mu sync.Mutex
	answered := 0
	addresses := t.Addresses()
	account := t.site.Mix.Accounts[0]
	started := time.Now()
	var wait sync.WaitGroup
	for i := range calls {
		if !pause(ctx, time.Until(started.Add(claimTime*time.Duration(i)/time.Duration(calls)))) {
			break
		}
		call := &loomload.Call{Job: fmt.Sprintf("claims-%t-%d", keyed, i)}
		if keyed {
			call.Key = call.Job
		}
		wait.Go(func() {
			d, err := single.Call(ctx, addresses[i%len(addresses)], account.Key, t.site.ServiceGroup, call)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
				_ = h.RecordValue(d.Microseconds())
			}
		})
	}
	wait.Wait()
	return h, answered
}
