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

// fault breaks something in a running trial and mends it again. It returns
// early when ctx ends, but mends what it broke.
type fault func(ctx context.Context, t *Trial, random *rand.Rand)

var faults loomkernel.Registry

func registerFault(name string, f fault) {
	faults.Register(name, f)
}

// AllFaults stands for every fault.
const AllFaults = "all"

// Faults returns the names of the faults in order.
func Faults() []string {
	return faults.Names()
}

// ExpandFaults checks names and replaces AllFaults by every fault.
func ExpandFaults(names []string) ([]string, error) {
	var all []string
	for _, name := range names {
		if name == AllFaults {
			return Faults(), nil
		}
		if !slices.Contains(Faults(), name) {
			return nil, fmt.Errorf("unknown fault %q (have %v and %s)", name, Faults(), AllFaults)
		}
		all = append(all, name)
	}
	return all, nil
}

const (
	faultTime   = 3 * time.Second
	restartTime = 1500 * time.Millisecond
	slowFactor  = 20
	slowDelay   = 300 * time.Millisecond
	lostReplies = 0.3
	// Faults start between these parts of the expected time of a run.
	earliestPart = 0.1
	latestPart   = 0.7
)

func init() {
	registerFault("engine_kill", killEngine)
	registerFault("engine_leave", leaveEngine)
	registerFault("service_kill", killService)
	registerFault("instance_kill", killInstance)
	registerFault("instance_drain", drainInstance)
	registerFault("platform_outage", platformFault(loomstandin.PlatformFaults{Outage: true}))
	registerFault("platform_slow", platformFault(loomstandin.PlatformFaults{Delay: slowDelay}))
	registerFault("reply_lost", platformFault(loomstandin.PlatformFaults{LoseReplies: lostReplies}))
	registerFault("store_restart", restartStore)
	registerFault("store_full", storeFault(loomstandin.StoreFaults{Full: true}))
	registerFault("store_corrupt", storeFault(loomstandin.StoreFaults{Corrupt: true}))
	registerFault("slow_link", slowLink)
	registerFault("event_loss", loseEvents)
	registerFault("version_swap", swapVersion)
	registerFault("operator_race", raceOperators)
	registerFault("domain_cut", cutDomain)
	registerFault("platform_link_cut", cutPlatformLink)
}

// inject starts each fault at a time drawn from the seed. The returned
// function waits for all of them to end.
func (t *Trial) inject(ctx context.Context, names []string, d time.Duration) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, name := range names {
		plugin, _ := faults.Lookup(name)
		f, ok := plugin.(fault)
		if !ok {
			continue
		}
		random := rand.New(rand.NewPCG(t.seed, uint64(i)+100))
		part := earliestPart + random.Float64()*(latestPart-earliestPart)
		wait.Go(func() {
			if !pause(ctx, time.Duration(part*float64(d))) {
				return
			}
			t.log.Info("fault starts", "fault", name)
			f(ctx, t, random)
			t.log.Info("fault ends", "fault", name)
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// pause waits for d and reports whether ctx lasted.
func pause(ctx context.Context, d time.Duration) bool {
	return loomkernel.Sleep(ctx, d) == nil
}

func killEngine(ctx context.Context, t *Trial, random *rand.Rand) {
	e := t.engines[random.IntN(len(t.engines))]
	e.Kill()
	pause(ctx, restartTime)
	if err := e.Restart(); err != nil {
		t.log.Error("engine does not restart", "error", err)
	}
}

func leaveEngine(ctx context.Context, t *Trial, random *rand.Rand) {
	e := t.engines[random.IntN(len(t.engines))]
	e.Leave()
	pause(ctx, faultTime)
	e.Kill()
	if err := e.Restart(); err != nil {
		t.log.Error("engine does not restart", "error", err)
	}
}

func killService(ctx context.Context, t *Trial, random *rand.Rand) {
	s := t.services[random.IntN(len(t.services))]
	s.Kill()
	pause(ctx, restartTime)
	if err := s.Restart(); err != nil {
		t.log.Error("service does not restart", "error", err)
	}
}

// drawInstance takes a running instance out of the trial.
func (t *Trial) drawInstance(random *rand.Rand) *runningInstance {
	all := t.running()
	r := all[random.IntN(len(all))]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = slices.DeleteFunc(t.instances, func(o *runningInstance) bool { return o == r })
	return r
}

func (t *Trial) replaceInstance(ctx context.Context, domain string) {
	if err := t.startInstance(context.WithoutCancel(ctx), domain); err != nil {
		t.log.Error("instance does not start", "error", err)
		return
	}
	t.balancer.SetAddresses(t.Addresses())
}

func killInstance(ctx context.Context, t *Trial, random *rand.Rand) {
	r := t.drawInstance(random)
	t.network.kill(r.node)
	r.instance.Kill()
	r.cancel()
	<-r.done
	pause(ctx, restartTime)
	t.replaceInstance(ctx, r.node.domain)
}

func drainInstance(ctx context.Context, t *Trial, random *rand.Rand) {
	r := t.drawInstance(random)
	r.cancel()
	<-r.done
	t.replaceInstance(ctx, r.node.domain)
}

func platformFault(f loomstandin.PlatformFaults) fault {
	return func(ctx context.Context, t *Trial, _ *rand.Rand) {
		t.platform.AddFaults(f, 1)
		pause(ctx, faultTime)
		t.platform.AddFaults(f, -1)
	}
}

// setOutage begins an outage of the platform, or with -1 ends one.
func (t *Trial) setOutage(sign int) {
	t.platform.AddFaults(loomstandin.PlatformFaults{Outage: true}, sign)
}

func restartStore(ctx context.Context, t *Trial, random *rand.Rand) {
	s := t.stores[random.IntN(len(t.stores))]
	s.Kill()
	pause(ctx, restartTime)
	if err := s.Restart(); err != nil {
		t.log.Error("store does not restart", "error", err)
	}
}

func storeFault(f loomstandin.StoreFaults) fault {
	return func(ctx context.Context, t *Trial, random *rand.Rand) {
		s := t.stores[random.IntN(len(t.stores))]
		s.SetFaults(f)
		pause(ctx, faultTime)
		s.SetFaults(loomstandin.StoreFaults{})
	}
}

func slowLink(ctx context.Context, t *Trial, random *rand.Rand) {
	s := t.stores[random.IntN(len(t.stores))]
	rate := s.Rate()
	s.SetRate(rate / slowFactor)
	pause(ctx, faultTime)
	s.SetRate(rate)
}

func loseEvents(ctx context.Context, t *Trial, _ *rand.Rand) {
	for _, e := range t.engines {
		e.SetEventLoss(1)
	}
	pause(ctx, faultTime)
	for _, e := range t.engines {
		e.SetEventLoss(0)
	}
}

// swapVersion asks for the next version of the model and waits a while for it.
func swapVersion(ctx context.Context, t *Trial, _ *rand.Rand) {
	t.editModel(ctx, "version-swap", func(m loomcatalogue.Model) loomcatalogue.Model {
		m.Version++
		return m
	})
	pause(ctx, faultTime)
}

// raceOperators makes two operators edit the same entry at once, repeatedly.
func raceOperators(ctx context.Context, t *Trial, _ *rand.Rand) {
	const rounds = 5
	for round := range rounds {
		var wait sync.WaitGroup
		for operator := range 2 {
			wait.Go(func() {
				t.editModel(ctx, fmt.Sprintf("race-%d-%d", round, operator), func(m loomcatalogue.Model) loomcatalogue.Model {
					m.MaxTokens = 1000 + round*2 + operator
					return m
				})
			})
		}
		wait.Wait()
		pause(ctx, faultTime/rounds)
	}
}

func (t *Trial) editModel(ctx context.Context, id string, change func(loomcatalogue.Model) loomcatalogue.Model) {
	for _, r := range t.running() {
		m, ok := r.instance.Catalogue().Model(t.site.Model)
		if !ok {
			continue
		}
		changes, err := changesOf([]loomcatalogue.Entry{change(m)})
		if err != nil {
			t.log.Error("edit not made", "error", err)
			return
		}
		revision, err := t.edit(ctx, id, changes)
		t.log.Info("trial edit", "edit", id, "revision", revision, "error", err)
		return
	}
}

func cutPlatformLink(ctx context.Context, t *Trial, random *rand.Rand) {
	domain := t.domain(random.IntN(len(t.site.FailureDomains)))
	t.network.setUnlinked(domain, true)
	pause(ctx, faultTime)
	t.network.setUnlinked(domain, false)
}

func cutDomain(ctx context.Context, t *Trial, random *rand.Rand) {
	domain := t.domain(random.IntN(len(t.site.FailureDomains)))
	t.network.setCut(domain, true)
	pause(ctx, faultTime)
	t.network.setCut(domain, false)
}
