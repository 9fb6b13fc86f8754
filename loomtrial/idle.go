package loomtrial

import (
	"context"
	"runtime"
	"time"

	"github.com/juju/errors"
)

const (
	idleSettleTime  = 5 * time.Second
	idleMeasureTime = 15 * time.Second
)

// IdleReport holds the cost of the control plane of a site without load. The
// figures are averages per instance, except the counts of instances and engines
// and the totals in the All fields. CPU time and heap include those of the
// stand-ins, which run in the same process.
type IdleReport struct {
	Instances              int     `json:"instances"`
	Engines                int     `json:"engines"`
	CorePercent            float64 `json:"core_percent"`
	HeapMiB                float64 `json:"heap_mib"`
	PeerBytesPerSecond     float64 `json:"peer_bytes_per_second"`
	PlatformBytesPerSecond float64 `json:"platform_bytes_per_second"`
	EngineBytesPerSecond   float64 `json:"engine_bytes_per_second"`
	StoreBytesPerSecond    float64 `json:"store_bytes_per_second"`
	PlatformReads          float64 `json:"platform_reads_per_second"`
	PlatformWrites         float64 `json:"platform_writes_per_second"`
	AllPlatformReads       float64 `json:"all_platform_reads_per_second"`
	AllPlatformWrites      float64 `json:"all_platform_writes_per_second"`
}

// runIdle measures the cost of the control plane without load, with as many
// instances as the options or the site specify.
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
	if !pause(ctx, idleSettleTime) {
		return Report{}, errors.Trace(ctx.Err())
	}
	idle := t.measureIdle(ctx)
	return Report{Site: site.Name, Policy: o.Policy, Seed: o.Seed, Scenario: o.Scenario, Idle: &idle}, ctx.Err()
}

func (t *Trial) measureIdle(ctx context.Context) IdleReport {
	before := t.trafficByKind()
	usageBefore := t.platform.TableStats()
	cpuBefore, start := cpuTime(), time.Now()
	pause(ctx, idleMeasureTime)
	seconds := time.Since(start).Seconds()
	n := float64(len(t.runningInstances()))
	after := t.trafficByKind()
	perInstance := func(kind string) float64 {
		return float64(after[kind]-before[kind]) / seconds / n
	}
	usageAfter := t.platform.TableStats()
	r := IdleReport{
		Instances:   len(t.runningInstances()),
		Engines:     len(t.engines),
		CorePercent: (cpuTime() - cpuBefore).Seconds() / seconds / n * percent,
		HeapMiB:     heapMiB() / n,
		// Each instance counts only connections that it opened. Doubling adds
		// the traffic on those that its peers opened.
		PeerBytesPerSecond:     2 * perInstance("instance"),
		PlatformBytesPerSecond: perInstance(platformDomain),
		EngineBytesPerSecond:   perInstance("engine"),
		StoreBytesPerSecond:    perInstance("store"),
		AllPlatformReads:       float64(usageAfter.Reads-usageBefore.Reads) / seconds,
		AllPlatformWrites:      float64(usageAfter.Writes-usageBefore.Writes) / seconds,
	}
	r.PlatformReads = r.AllPlatformReads / n
	r.PlatformWrites = r.AllPlatformWrites / n
	return r
}

const percent = 100

// trafficByKind returns the bytes sent and received on connections that the
// running instances opened, by the kind of the process at the other end.
func (t *Trial) trafficByKind() map[string]int64 {
	total := make(map[string]int64)
	for _, r := range t.runningInstances() {
		for kind, bytes := range r.node.bytesByKind {
			total[kind] += bytes.Load()
		}
	}
	return total
}

// heapMiB returns the size of the heap of this process after a garbage
// collection.
func heapMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / mib
}
