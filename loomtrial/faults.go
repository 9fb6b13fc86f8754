package loomtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loomkernel"
	"swiftloom/loomstandin"
)

// fault injects a failure into a running trial, waits and repairs it. If ctx ends
// early, it repairs the failure at once. Edits of the catalogue are not undone.
type fault func(ctx context.Context, t *Trial, rng *rand.Rand)

var faults loomkernel.Registry

func registerFault(name string, f fault) {
	faults.Register(name, f)
}

// AllFaults is the name that ExpandFaults replaces by the names of all faults.
const AllFaults = "all"

// Faults returns the names of all faults in alphabetical order.
func Faults() []string {
	return faults.Names()
}

// ExpandFaults returns names unchanged if each of them is a known fault. If names
// contains AllFaults, it returns the names of all faults; names after AllFaults
// are not checked.
func ExpandFaults(names []string) ([]string, error) {
	var expanded []string
	for _, name := range names {
		if name == AllFaults {
			return Faults(), nil
		}
		if !slices.Contains(Faults(), name) {
			return nil, fmt.Errorf("unknown fault %q (have %v and %s)", name, Faults(), AllFaults)
		}
		expanded = append(expanded, name)
	}
	return expanded, nil
}

const (
	faultDuration = 3 * time.Second
	restartDelay  = 1500 * time.Millisecond
	linkSlowdown  = 20 // divides the rate of a link
	platformDelay = 300 * time.Millisecond
	replyLossRate = 0.3
	// Faults start at a random time between these fractions of the expected
	// duration of a run.
	earliestStartFraction = 0.1
	latestStartFraction   = 0.7
)

func init() {
	registerFault("engine_kill", killEngine)
	registerFault("engine_leave", leaveEngine)
	registerFault("service_kill", killService)
	registerFault("instance_kill", killInstance)
	registerFault("instance_drain", drainInstance)
	registerFault("platform_outage", platformFault(loomstandin.PlatformFaults{Outage: true}))
	registerFault("platform_slow", platformFault(loomstandin.PlatformFaults{Delay: platformDelay}))
	registerFault("reply_lost", platformFault(loomstandin.PlatformFaults{ReplyLossRate: replyLossRate}))
	registerFault("store_restart", restartStore)
	registerFault("store_full", storeFault(loomstandin.StoreFaults{Full: true}))
	registerFault("store_corrupt", storeFault(loomstandin.StoreFaults{Corrupt: true}))
	registerFault("slow_link", slowLink)
	registerFault("event_loss", dropCacheEvents)
	registerFault("version_swap", swapVersion)
	registerFault("operator_race", raceOperators)
	registerFault("domain_cut", cutDomain)
	registerFault("platform_link_cut", cutPlatformLink)
}

// injectFaults starts each fault at a time that depends on the seed of the
// trial; d is the expected duration of the run. The returned function ends all
// faults early and waits until they are repaired.
func (t *Trial) injectFaults(ctx context.Context, names []string, d time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i, name := range names {
		plugin, _ := faults.Lookup(name)
		f, ok := plugin.(fault)
		if !ok {
			continue
		}
		rng := rand.New(rand.NewPCG(t.seed, uint64(i)+100))
		fraction := earliestStartFraction + rng.Float64()*(latestStartFraction-earliestStartFraction)
		wg.Go(func() {
			if !pause(ctx, time.Duration(fraction*float64(d))) {
				return
			}
			t.log.Info("fault starts", "fault", name)
			f(ctx, t, rng)
			t.log.Info("fault ends", "fault", name)
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// pause waits for d or until ctx ends. It reports whether it waited for all of d.
func pause(ctx context.Context, d time.Duration) bool {
	return loomkernel.Sleep(ctx, d) == nil
}

func killEngine(ctx context.Context, t *Trial, rng *rand.Rand) {
	e := t.engines[rng.IntN(len(t.engines))]
	e.Kill()
	pause(ctx, restartDelay)
	if err := e.Restart(); err != nil {
		t.log.Error("engine restart failed", "error", err)
	}
}

func leaveEngine(ctx context.Context, t *Trial, rng *rand.Rand) {
	e := t.engines[rng.IntN(len(t.engines))]
	e.Leave()
	pause(ctx, faultDuration)
	e.Kill()
	if err := e.Restart(); err != nil {
		t.log.Error("engine restart failed", "error", err)
	}
}

func killService(ctx context.Context, t *Trial, rng *rand.Rand) {
	s := t.services[rng.IntN(len(t.services))]
	s.Kill()
	pause(ctx, restartDelay)
	if err := s.Restart(); err != nil {
		t.log.Error("service restart failed", "error", err)
	}
}

// removeRandomInstance removes a running instance from the list of the trial
// and returns it. The instance itself keeps running.
func (t *Trial) removeRandomInstance(rng *rand.Rand) *runningInstance {
	running := t.runningInstances()
	r := running[rng.IntN(len(running))]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = slices.DeleteFunc(t.instances, func(o *runningInstance) bool { return o == r })
	return r
}

func (t *Trial) replaceInstance(ctx context.Context, domain string) {
	if err := t.startInstance(context.WithoutCancel(ctx), domain); err != nil {
		t.log.Error("instance start failed", "error", err)
		return
	}
	t.balancer.SetAddresses(t.Addresses())
}

func killInstance(ctx context.Context, t *Trial, rng *rand.Rand) {
	r := t.removeRandomInstance(rng)
	t.network.kill(r.node)
	r.instance.Kill()
	r.cancel()
	<-r.done
	pause(ctx, restartDelay)
	t.replaceInstance(ctx, r.node.domain)
}

func drainInstance(ctx context.Context, t *Trial, rng *rand.Rand) {
	r := t.removeRandomInstance(rng)
	r.cancel()
	<-r.done
	t.replaceInstance(ctx, r.node.domain)
}

func platformFault(f loomstandin.PlatformFaults) fault {
	return func(ctx context.Context, t *Trial, _ *rand.Rand) {
		t.platform.AddFaults(f, 1)
		pause(ctx, faultDuration)
		t.platform.AddFaults(f, -1)
	}
}

// addOutage starts an outage of the platform if sign is 1, and ends one if it is
// -1. Outages may overlap; the platform answers again when all have ended.
func (t *Trial) addOutage(sign int) {
	t.platform.AddFaults(loomstandin.PlatformFaults{Outage: true}, sign)
}

func restartStore(ctx context.Context, t *Trial, rng *rand.Rand) {
	s := t.stores[rng.IntN(len(t.stores))]
	s.Kill()
	pause(ctx, restartDelay)
	if err := s.Restart(); err != nil {
		t.log.Error("store restart failed", "error", err)
	}
}

func storeFault(f loomstandin.StoreFaults) fault {
	return func(ctx context.Context, t *Trial, rng *rand.Rand) {
		s := t.stores[rng.IntN(len(t.stores))]
		s.SetFaults(f)
		pause(ctx, faultDuration)
		s.SetFaults(loomstandin.StoreFaults{})
	}
}

func slowLink(ctx context.Context, t *Trial, rng *rand.Rand) {
	s := t.stores[rng.IntN(len(t.stores))]
	rate := s.Rate()
	s.SetRate(rate / linkSlowdown)
	pause(ctx, faultDuration)
	s.SetRate(rate)
}

func dropCacheEvents(ctx context.Context, t *Trial, _ *rand.Rand) {
	for _, e := range t.engines {
		e.SetEventLossRate(1)
	}
	pause(ctx, faultDuration)
	for _, e := range t.engines {
		e.SetEventLossRate(0)
	}
}

// swapVersion sets the target version of the model to the next one. It waits for
// faultDuration, but does not check that the new version is served.
func swapVersion(ctx context.Context, t *Trial, _ *rand.Rand) {
	t.editModel(ctx, "version-swap", func(m loomcatalogue.Model) loomcatalogue.Model {
		m.Version++
		return m
	})
	pause(ctx, faultDuration)
}

// raceOperators makes two operators edit the same entry concurrently, several
// times in a row.
func raceOperators(ctx context.Context, t *Trial, _ *rand.Rand) {
	const rounds = 5
	for round := range rounds {
		var wg sync.WaitGroup
		for operator := range 2 {
			wg.Go(func() {
				t.editModel(ctx, fmt.Sprintf("race-%d-%d", round, operator), func(m loomcatalogue.Model) loomcatalogue.Model {
					m.MaxTokens = 1000 + round*2 + operator
					return m
				})
			})
		}
		wg.Wait()
		pause(ctx, faultDuration/rounds)
	}
}

// editModel applies an edit of the model entry as one instance knows it. A
// rejected edit is only logged, because concurrent edits are expected to conflict.
func (t *Trial) editModel(ctx context.Context, id string, change func(loomcatalogue.Model) loomcatalogue.Model) {
	for _, r := range t.runningInstances() {
		m, ok := r.instance.Catalogue().Model(t.site.Model)
		if !ok {
			continue
		}
		changes, err := encodeChanges([]loomcatalogue.Entry{change(m)})
		if err != nil {
			t.log.Error("catalogue edit not encoded", "error", err)
			return
		}
		revision, err := t.applyEdit(ctx, id, changes)
		t.log.Info("catalogue edit", "edit", id, "revision", revision, "error", err)
		return
	}
}

func cutPlatformLink(ctx context.Context, t *Trial, rng *rand.Rand) {
	domain := t.failureDomain(rng.IntN(len(t.site.FailureDomains)))
	t.network.setPlatformCut(domain, true)
	pause(ctx, faultDuration)
	t.network.setPlatformCut(domain, false)
}

func cutDomain(ctx context.Context, t *Trial, rng *rand.Rand) {
	domain := t.failureDomain(rng.IntN(len(t.site.FailureDomains)))
	t.network.setPartitioned(domain, true)
	pause(ctx, faultDuration)
	t.network.setPartitioned(domain, false)
}
