package loomtrial

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"swiftloom/loomcatalogue"
	"swiftloom/loominstance"
	"swiftloom/loomload"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
	"swiftloom/loomsettings"
	"swiftloom/loomstandin"
)

const (
	readyPatience = 20 * time.Second
	readyPoll     = 50 * time.Millisecond
	reportLag     = 100 * time.Millisecond
	serviceWork   = 15 * time.Millisecond
	trialDrain    = 10 * time.Second
)

// Trial is a running site.
type Trial struct {
	site   Site
	seed   uint64
	policy string
	log    *slog.Logger

	network  *network
	platform *loomstandin.Platform
	ledger   *loomstandin.Ledger
	engines  []*loomstandin.Engine
	stores   []*loomstandin.Store
	services []*loomstandin.Service
	balancer *loomload.Balancer

	mu        sync.Mutex
	instances []*runningInstance
	started   int
	// accepted holds when the platform accepted each revision.
	accepted map[uint64]time.Time

	cancel     context.CancelFunc
	background sync.WaitGroup
	clients    []*grpc.ClientConn
}

type runningInstance struct {
	instance *loominstance.Instance
	node     *node
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start starts the stand-ins and instances of a site and waits until they are
// ready. The caller must call Stop.
func Start(ctx context.Context, site Site, policy string, seed uint64, log *slog.Logger) (*Trial, error) {
	base, cancel := context.WithCancel(ctx)
	t := &Trial{
		site:     site,
		seed:     seed,
		policy:   policy,
		log:      log,
		network:  newNetwork(),
		ledger:   loomstandin.NewLedger(),
		accepted: make(map[uint64]time.Time),
		cancel:   cancel,
	}
	if err := t.start(base); err != nil {
		t.Stop()
		return nil, err
	}
	return t, nil
}

func (t *Trial) start(ctx context.Context) error {
	var err error
	t.platform, err = loomstandin.NewPlatform(loomstandin.PlatformOptions{Seed: t.seed, LoadLimit: t.site.LoadLimit, ListLag: t.site.ListLag})
	if err != nil {
		return err
	}
	t.network.place(t.platform.Address(), platformDomain, platformDomain)
	if err := t.applyCatalogue(ctx); err != nil {
		return err
	}
	if err := t.startUpstreams(ctx); err != nil {
		return err
	}
	for i := range t.site.Instances {
		if err := t.startInstance(ctx, t.domain(i)); err != nil {
			return err
		}
	}
	t.balancer = loomload.NewBalancer(t.Addresses())
	t.background.Go(func() { t.balancer.Run(ctx) })
	return t.waitReady(ctx)
}

// platformDomain is the place of the platform in the network: none of the
// failure domains.
const platformDomain = "platform"

func (t *Trial) domain(i int) string {
	return t.site.FailureDomains[i%len(t.site.FailureDomains)]
}

func (t *Trial) applyCatalogue(ctx context.Context) error {
	changes, err := t.site.catalogue()
	if err != nil {
		return err
	}
	_, err = t.edit(ctx, "install", changes)
	return err
}

// edit changes the catalogue as an operator would.
func (t *Trial) edit(ctx context.Context, id string, changes []loomcatalogue.Change) (uint64, error) {
	p, err := loomplatform.Open("grpc", loomplatform.Options{Addresses: []string{t.platform.Address()}})
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.Close() }()
	keeper := loomcatalogue.NewKeeper(p)
	if err := keeper.Refresh(ctx, time.Now()); err != nil {
		return 0, err
	}
	revision, err := keeper.Apply(ctx, time.Now(), loomcatalogue.Edit{
		ID:           id,
		Operator:     "trial",
		BaseRevision: keeper.Snapshot().Revision(),
		Changes:      changes,
	})
	if err == nil {
		t.mu.Lock()
		t.accepted[revision] = time.Now()
		t.mu.Unlock()
	}
	return revision, err
}

// announcer returns a client of the platform that shares the fate of a domain.
func (t *Trial) announcer(domain string) (loomplatform.Platform, *grpc.ClientConn, error) {
	dialer := t.network.node(domain).dialer()
	p, err := loomplatform.Open("grpc", loomplatform.Options{Addresses: []string{t.platform.Address()}, Dialer: dialer})
	if err != nil {
		return nil, nil, err
	}
	conn, err := loomplatform.Dial(t.platform.Address(), dialer)
	if err != nil {
		return nil, nil, err
	}
	t.clients = append(t.clients, conn)
	return p, conn, nil
}

func (t *Trial) startUpstreams(ctx context.Context) error {
	for i, domain := range t.site.FailureDomains {
		platform, conn, err := t.announcer(domain)
		if err != nil {
			return err
		}
		if err := t.startDomain(ctx, i, domain, platform, loompb.NewPlatformClient(conn)); err != nil {
			return err
		}
		t.background.Go(func() {
			<-ctx.Done()
			_ = platform.Close()
		})
	}
	return nil
}

func (t *Trial) startDomain(ctx context.Context, i int, domain string, platform loomplatform.Platform, weights loompb.PlatformClient) error {
	s := t.site
	n := len(s.FailureDomains)
	for _, group := range []string{s.StoreGroup, s.OtherStores} {
		if err := t.startStore(ctx, group, domain, platform); err != nil {
			return err
		}
	}
	for k := i; k < s.Runners; k += n {
		if err := t.startEngine(ctx, s.ModelGroup, s.Model, k, domain, platform, weights); err != nil {
			return err
		}
	}
	for k := i; k < s.OtherRunners; k += n {
		if err := t.startEngine(ctx, s.OtherGroup, s.OtherModel, k, domain, platform, weights); err != nil {
			return err
		}
	}
	for k := i; k < s.Services; k += n {
		if err := t.startService(ctx, k, domain, platform); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) startStore(ctx context.Context, group, domain string, platform loomplatform.Platform) error {
	store, err := loomstandin.NewStore(loomstandin.StoreOptions{
		ID:             group + "-" + domain,
		Group:          group,
		FailureDomain:  domain,
		MemoryBytes:    t.site.StoreMemory,
		DiskBytes:      t.site.StoreDisk,
		BytesPerSecond: t.site.LinkRate,
	})
	if err != nil {
		return err
	}
	t.stores = append(t.stores, store)
	t.network.place(store.Member().GetAddress(), domain, loommember.KindStore)
	t.background.Go(func() { store.Announce(ctx, platform) })
	return nil
}

func (t *Trial) startEngine(ctx context.Context, group, model string, k int, domain string, platform loomplatform.Platform, weights loompb.PlatformClient) error {
	engine, err := loomstandin.NewEngine(loomstandin.EngineOptions{
		ID:              fmt.Sprintf("%s-%02d", group, k),
		Group:           group,
		FailureDomain:   domain,
		Model:           model,
		Version:         1,
		Seed:            t.seed*1000 + uint64(k),
		PrefillPerToken: t.site.PrefillPerToken,
		StepTime:        t.site.StepTime,
		CacheBlocks:     t.site.CacheBlocks,
		BlockBytes:      t.site.BlockBytes,
		ReportLag:       reportLag,
		IgnoresFencing:  group == t.site.OtherGroup,
		Weights:         weights,
		Dialer:          t.network.node(domain).dialer(),
	})
	if err != nil {
		return err
	}
	t.engines = append(t.engines, engine)
	t.network.place(engine.Member().GetAddress(), domain, loommember.KindEngine)
	t.background.Go(func() { engine.Announce(ctx, platform) })
	return nil
}

func (t *Trial) startService(ctx context.Context, k int, domain string, platform loomplatform.Platform) error {
	service, err := loomstandin.NewService(loomstandin.ServiceOptions{
		ID:            fmt.Sprintf("%s-%02d", t.site.ServiceGroup, k),
		Group:         t.site.ServiceGroup,
		FailureDomain: domain,
		WorkTime:      serviceWork,
	}, t.ledger)
	if err != nil {
		return err
	}
	t.services = append(t.services, service)
	t.network.place(service.Member().GetAddress(), domain, loommember.KindService)
	t.background.Go(func() { service.Announce(ctx, platform) })
	return nil
}

// startInstance starts one more instance in a failure domain.
func (t *Trial) startInstance(ctx context.Context, domain string) error {
	t.mu.Lock()
	number := t.started
	t.started++
	t.mu.Unlock()
	var config net.ListenConfig
	httpListener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	peerListener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	t.network.place(peerListener.Addr().String(), domain, loommember.KindInstance)
	p := t.network.node(domain)
	instance, err := loominstance.New(t.settings(number, domain), loominstance.Options{
		Log:          t.log,
		Dialer:       p.dialer(),
		Seed:         t.seed*100 + uint64(number),
		HTTPListener: httpListener,
		PeerListener: peerListener,
	})
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &runningInstance{instance: instance, node: p, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		if err := instance.Run(runCtx); err != nil {
			t.log.Error("instance failed", "instance", instance.ID(), "error", err)
		}
	}()
	t.mu.Lock()
	t.instances = append(t.instances, r)
	t.mu.Unlock()
	return nil
}

func (t *Trial) peerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, r := range t.running() {
		all = append(all, netip.MustParseAddrPort(r.instance.PeerAddress()))
	}
	return all
}

func (t *Trial) settings(number int, domain string) loomsettings.Settings {
	s := loomsettings.Default()
	s.Instance.ID = fmt.Sprintf("entry-%02d", number)
	s.Instance.FailureDomain = domain
	s.Platform.Addresses = []netip.AddrPort{netip.MustParseAddrPort(t.platform.Address())}
	s.Deployment = loomsettings.Deployment{Name: t.site.Name, PeerKey: peerKey, OperatorKey: operatorKey}
	s.Routing.Policy = t.policy
	s.Timing.DrainTimeout = trialDrain
	s.Instance.SeedPeers = t.peerAddresses()
	return s
}

// Addresses returns the addresses of the instances for callers.
func (t *Trial) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []string
	for _, r := range t.instances {
		all = append(all, r.instance.HTTPAddress())
	}
	return all
}

func (t *Trial) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyPatience + t.site.ListLag)
	time.Sleep(3 * readyPoll)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if t.balancer.Ready() == len(t.Addresses()) && t.settled() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("after %s, %d of %d instances are ready", readyPatience, t.balancer.Ready(), len(t.Addresses()))
}

// settled reports whether every instance knows all the others and the engines.
func (t *Trial) settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	want := t.site.Instances + len(t.engines) + len(t.stores) + len(t.services)
	for _, r := range t.instances {
		live := 0
		for _, m := range r.instance.Status(time.Now()).Members {
			if m.State == "live" {
				live++
			}
		}
		if live < want {
			return false
		}
	}
	return true
}

// Stop drains the instances and ends everything.
func (t *Trial) Stop() {
	t.mu.Lock()
	instances := t.instances
	t.mu.Unlock()
	for _, r := range instances {
		r.cancel()
	}
	for _, r := range instances {
		<-r.done
	}
	t.cancel()
	t.background.Wait()
	for _, e := range t.engines {
		e.Kill()
	}
	for _, s := range t.stores {
		s.Kill()
	}
	for _, s := range t.services {
		s.Kill()
	}
	for _, conn := range t.clients {
		_ = conn.Close()
	}
	if t.platform != nil {
		t.platform.Close()
	}
}

// JobRuns implements loomload.Effects.
func (t *Trial) JobRuns(job string) int {
	return t.ledger.JobRuns(job)
}

// RequestRuns implements loomload.Effects.
func (t *Trial) RequestRuns(requestID string) int {
	n := t.ledger.RequestRuns(requestID)
	for _, e := range t.engines {
		n += e.Runs(requestID)
	}
	return n
}
