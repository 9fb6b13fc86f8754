package loomtrial

import (
	"context"
	"runtime"
	"time"

	"github.com/juju/errors"
)

const (
	idleSettle = 5 * time.Second
	idleTime   = 15 * time.Second
)

// IdleReport is what the instances of a site spend without any load: control
// alone. Figures are for one instance. The processor time includes that of the
// stand-ins, which run in the same process.
type IdleReport struct {
	Instances         int     `json:"instances"`
	Engines           int     `json:"engines"`
	CorePercent       float64 `json:"core_percent"`
	HeapMiB           float64 `json:"heap_mib"`
	PeerBytes         float64 `json:"peer_bytes_per_second"`
	PlatformBytes     float64 `json:"platform_bytes_per_second"`
	EngineBytes       float64 `json:"engine_bytes_per_second"`
	StoreBytes        float64 `json:"store_bytes_per_second"`
	PlatformReads     float64 `json:"platform_reads_per_second"`
	PlatformWrites    float64 `json:"platform_writes_per_second"`
	AllPlatformReads  float64 `json:"all_platform_reads_per_second"`
	AllPlatformWrites float64 `json:"all_platform_writes_per_second"`
}

// runIdle measures what control costs at the size that the options name.
func runIdle(ctx context.Context, o Options) (Report, error) {
	site := o.Site
	if o.Instances > 0 {
		site.Instances = o.Instances
	}
	t, err := Start(ctx, site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	if !pause(ctx, idleSettle) {
		return Report{}, errors.Trace(ctx.Err())
	}
	idle := t.measureIdle(ctx)
	return Report{Site: site.Name, Policy: o.Policy, Seed: o.Seed, Scenario: o.Scenario, Idle: &idle}, ctx.Err()
}

func (t *Trial) measureIdle(ctx context.Context) IdleReport {
	before := t.traffic()
	use := t.platform.Use()
	busy, started := processorTime(), time.Now()
	pause(ctx, idleTime)
	seconds := time.Since(started).Seconds()
	n := float64(len(t.running()))
	after := t.traffic()
	perNode := func(kind string) float64 {
		return float64(after[kind]-before[kind]) / seconds / n
	}
	now := t.platform.Use()
	r := IdleReport{
		Instances:         len(t.running()),
		Engines:           len(t.engines),
		CorePercent:       (processorTime() - busy).Seconds() / seconds / n * allPercent,
		HeapMiB:           heapMiB() / n,
		PeerBytes:         2 * perNode("instance"),
		PlatformBytes:     perNode(platformDomain),
		EngineBytes:       perNode("engine"),
		StoreBytes:        perNode("store"),
		AllPlatformReads:  float64(now.Reads-use.Reads) / seconds,
		AllPlatformWrites: float64(now.Writes-use.Writes) / seconds,
	}
	r.PlatformReads = r.AllPlatformReads / n
	r.PlatformWrites = r.AllPlatformWrites / n
	return r
}

const allPercent = 100

func (t *Trial) traffic() map[string]int64 {
	sum := make(map[string]int64)
	for _, r := range t.running() {
		for kind, bytes := range r.node.traffic {
			sum[kind] += bytes.Load()
		}
	}
	return sum
}

func heapMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / mib
}
