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
	// readyTimeout is extended by the lag of the platform's list of members,
	// because instances discover upstreams through that list.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	engineReportLag   = 100 * time.Millisecond
	// upstreamRestartDelay is how long an upstream is down that has ended under a request.
	upstreamRestartDelay = time.Second
	serviceWorkTime      = 15 * time.Millisecond
	drainTimeout         = 10 * time.Second
)

// Trial is a running site: its instances and the stand-ins for the platform
// and all upstreams.
type Trial struct {
	site   Site
	seed   uint64
	policy string
	log    *slog.Logger

	network    *network
	platform   *loomstandin.Platform
	runCounter *loomstandin.RunCounter
	engines    []*loomstandin.Engine
	stores     []*loomstandin.Store
	services   []*loomstandin.Service
	balancer   *loomload.Balancer

	mu        sync.Mutex
	instances []*runningInstance
	// startedInstances counts the instances ever started, including replaced
	// ones. It numbers their IDs.
	startedInstances int
	// acceptTimes maps catalogue revisions to the time at which the platform
	// accepted them.
	acceptTimes map[uint64]time.Time

	cancel      context.CancelFunc
	background  sync.WaitGroup
	clientConns []*grpc.ClientConn
}

// runningInstance is an instance and the means to stop it. The done channel is
// closed when its Run method has returned.
type runningInstance struct {
	instance *loominstance.Instance
	node     *node
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start starts the stand-ins and instances of a site and waits until every
// instance is ready and sees all members as live. The caller must call Stop.
func Start(ctx context.Context, site Site, policy string, seed uint64, log *slog.Logger) (*Trial, error) {
	base, cancel := context.WithCancel(ctx)
	t := &Trial{
		site:        site,
		seed:        seed,
		policy:      policy,
		log:         log,
		network:     newNetwork(),
		runCounter:  loomstandin.NewRunCounter(),
		acceptTimes: make(map[uint64]time.Time),
		cancel:      cancel,
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
	t.network.register(t.platform.Address(), platformDomain, platformDomain)
	if err := t.applyCatalogue(ctx); err != nil {
		return err
	}
	if err := t.startUpstreams(ctx); err != nil {
		return err
	}
	for i := range t.site.Instances {
		if err := t.startInstance(ctx, t.failureDomain(i)); err != nil {
			return err
		}
	}
	t.balancer = loomload.NewBalancer(t.Addresses())
	t.background.Go(func() { t.balancer.Run(ctx) })
	return t.waitReady(ctx)
}

// platformDomain identifies the platform in the network. The platform belongs to
// none of the failure domains.
const platformDomain = "platform"

// failureDomain returns the failure domain of the i-th instance. Instances are
// distributed over the failure domains in turn.
func (t *Trial) failureDomain(i int) string {
	return t.site.FailureDomains[i%len(t.site.FailureDomains)]
}

func (t *Trial) applyCatalogue(ctx context.Context) error {
	changes, err := t.site.catalogue()
	if err != nil {
		return err
	}
	_, err = t.applyEdit(ctx, "install", changes)
	return err
}

// applyEdit applies changes to the catalogue through the platform, as an
// operator does, and returns the new revision.
func (t *Trial) applyEdit(ctx context.Context, id string, changes []loomcatalogue.Change) (uint64, error) {
	p, err := loomplatform.Open("grpc", loomplatform.Options{Addresses: []string{t.platform.Address()}})
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.Close() }()
	replica := loomcatalogue.NewReplica(p)
	if err := replica.Refresh(ctx, time.Now()); err != nil {
		return 0, err
	}
	revision, err := replica.ApplyEdit(ctx, time.Now(), loomcatalogue.Edit{
		ID:           id,
		Operator:     "trial",
		BaseRevision: replica.Snapshot().Revision(),
		Changes:      changes,
	})
	if err == nil {
		t.mu.Lock()
		t.acceptTimes[revision] = time.Now()
		t.mu.Unlock()
	}
	return revision, err
}

// newPlatformClients returns two clients of the platform that lose their
// connections when the failure domain is cut off. The caller closes the first
// one; Stop closes the second one.
func (t *Trial) newPlatformClients(domain string) (loomplatform.Platform, *grpc.ClientConn, error) {
	dialer := t.network.newNode(domain).dialer()
	p, err := loomplatform.Open("grpc", loomplatform.Options{Addresses: []string{t.platform.Address()}, Dialer: dialer})
	if err != nil {
		return nil, nil, err
	}
	conn, err := loomplatform.Dial(t.platform.Address(), dialer)
	if err != nil {
		return nil, nil, err
	}
	t.clientConns = append(t.clientConns, conn)
	return p, conn, nil
}

func (t *Trial) startUpstreams(ctx context.Context) error {
	for i, domain := range t.site.FailureDomains {
		platform, conn, err := t.newPlatformClients(domain)
		if err != nil {
			return err
		}
		if err := t.startDomainUpstreams(ctx, i, domain, platform, loompb.NewPlatformClient(conn)); err != nil {
			return err
		}
		t.background.Go(func() {
			<-ctx.Done()
			_ = platform.Close()
		})
	}
	return nil
}

// startDomainUpstreams starts the upstreams of the i-th failure domain: one store
// of each store group and every n-th engine and service, n being the number of
// failure domains.
func (t *Trial) startDomainUpstreams(ctx context.Context, i int, domain string, platform loomplatform.Platform, weightsClient loompb.PlatformClient) error {
	s := t.site
	n := len(s.FailureDomains)
	for _, group := range []string{s.StoreGroup, s.OtherStoreGroup} {
		if err := t.startStore(ctx, group, domain, platform); err != nil {
			return err
		}
	}
	for k := i; k < s.Runners; k += n {
		if err := t.startEngine(ctx, s.ModelGroup, s.Model, k, domain, platform, weightsClient); err != nil {
			return err
		}
	}
	for k := i; k < s.OtherRunners; k += n {
		if err := t.startEngine(ctx, s.OtherGroup, s.OtherModel, k, domain, platform, weightsClient); err != nil {
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
		MemoryBytes:    t.site.StoreMemoryBytes,
		DiskBytes:      t.site.StoreDiskBytes,
		BytesPerSecond: t.site.LinkBytesPerSecond,
	})
	if err != nil {
		return err
	}
	t.stores = append(t.stores, store)
	t.network.register(store.Member().GetAddress(), domain, loommember.KindStore)
	t.background.Go(func() { store.Announce(ctx, platform) })
	return nil
}

func (t *Trial) startEngine(ctx context.Context, group, model string, k int, domain string, platform loomplatform.Platform, weightsClient loompb.PlatformClient) error {
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
		ReportLag:       engineReportLag,
		IgnoreFencing:   group == t.site.OtherGroup,
		Weights:         weightsClient,
		EndsUnder:       t.site.EndsEngine,
		RestartDelay:    upstreamRestartDelay,
		TokensBeforeEnd: t.site.TokensBeforeEnd,
		Dialer:          t.network.newNode(domain).dialer(),
	})
	if err != nil {
		return err
	}
	t.engines = append(t.engines, engine)
	t.network.register(engine.Member().GetAddress(), domain, loommember.KindEngine)
	t.background.Go(func() { engine.Announce(ctx, platform) })
	return nil
}

func (t *Trial) startService(ctx context.Context, k int, domain string, platform loomplatform.Platform) error {
	service, err := loomstandin.NewService(loomstandin.ServiceOptions{
		ID:            fmt.Sprintf("%s-%02d", t.site.ServiceGroup, k),
		Group:         t.site.ServiceGroup,
		FailureDomain: domain,
		WorkTime:      serviceWorkTime,
		EndsUnder:     t.site.EndsService,
		RestartDelay:  upstreamRestartDelay,
	}, t.runCounter)
	if err != nil {
		return err
	}
	t.services = append(t.services, service)
	t.network.register(service.Member().GetAddress(), domain, loommember.KindService)
	t.background.Go(func() { service.Announce(ctx, platform) })
	return nil
}

// startInstance starts an additional instance in a failure domain. The instance
// outlives ctx; it runs until its own cancel function is called.
func (t *Trial) startInstance(ctx context.Context, domain string) error {
	t.mu.Lock()
	number := t.startedInstances
	t.startedInstances++
	t.mu.Unlock()
	var lc net.ListenConfig
	httpListener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	peerListener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	t.network.register(peerListener.Addr().String(), domain, loommember.KindInstance)
	n := t.network.newNode(domain)
	instance, err := loominstance.New(t.instanceSettings(number, domain), loominstance.Options{
		Log:          t.log,
		Dialer:       n.dialer(),
		Seed:         t.seed*100 + uint64(number),
		HTTPListener: httpListener,
		PeerListener: peerListener,
	})
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &runningInstance{instance: instance, node: n, cancel: cancel, done: make(chan struct{})}
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
	var addresses []netip.AddrPort
	for _, r := range t.runningInstances() {
		addresses = append(addresses, netip.MustParseAddrPort(r.instance.PeerAddress()))
	}
	return addresses
}

func (t *Trial) instanceSettings(number int, domain string) loomsettings.Settings {
	s := loomsettings.Default()
	s.Instance.ID = fmt.Sprintf("entry-%02d", number)
	s.Instance.FailureDomain = domain
	s.Platform.Addresses = []netip.AddrPort{netip.MustParseAddrPort(t.platform.Address())}
	s.Deployment = loomsettings.Deployment{Name: t.site.Name, PeerKey: peerKey, OperatorKey: operatorKey}
	s.Routing.Policy = t.policy
	s.Timing.DrainTimeout = drainTimeout
	s.Instance.SeedPeers = t.peerAddresses()
	return s
}

// Addresses returns the HTTP addresses of the instances.
func (t *Trial) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for _, r := range t.instances {
		addresses = append(addresses, r.instance.HTTPAddress())
	}
	return addresses
}

func (t *Trial) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout + t.site.ListLag)
	time.Sleep(3 * readyPollInterval)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if t.balancer.Ready() == len(t.Addresses()) && t.allMembersLive() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("site not ready within %s: %d of %d instances are ready, and each must also see all members as live", readyTimeout, t.balancer.Ready(), len(t.Addresses()))
}

// allMembersLive reports whether every instance sees at least as many live members
// as the site has instances, engines, stores and services.
func (t *Trial) allMembersLive() bool {
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

// Stop drains all instances, waits for them to end and then stops the stand-ins.
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
	for _, conn := range t.clientConns {
		_ = conn.Close()
	}
	if t.platform != nil {
		t.platform.Close()
	}
}

// JobRuns implements loomload.RunCounts.
func (t *Trial) JobRuns(job string) int {
	return t.runCounter.JobRuns(job)
}

// RequestRuns implements loomload.RunCounts.
func (t *Trial) RequestRuns(requestID string) int {
	n := t.runCounter.RequestRuns(requestID)
	for _, e := range t.engines {
		n += e.RunCount(requestID)
	}
	return n
}
