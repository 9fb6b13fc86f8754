package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// site is a small deployment: the store, runners and instances of swiftloom.
type site struct {
	record  *record
	store   *store
	runners []*runner

	// isMorrison is set for the machines of morrison-dispatch; those of cumy-gdansk are the default.
	isMorrison  bool
	storeServer *http.Server
	folder      string
	gates       []*gate
}

// gate is an instance of swiftloom as a process.
type gate struct {
	name, callers, ready string
	command              *exec.Cmd
	log                  *os.File
	done                 chan struct{}
}

// routing is a manifest of the operator.
type routing struct {
	Version  uint64           `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// limits are the limits of all manifests.
func limits() map[string]any {
	return map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 30000}
}

// open starts the store with a manifest.
func (s *site) open(ctx context.Context, m routing) (string, error) {
	var err error
	if s.folder, err = os.MkdirTemp("", "swiftloom-review-"); err != nil {
		return "", err
	}
	if err := s.store.put("op", "config", m); err != nil {
		return "", err
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.storeServer = &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.storeServer.Serve(l) }()
	return l.Addr().String(), nil
}

// addRunner starts a runner.
func (s *site) addRunner(ctx context.Context, r *runner) error {
	r.store, r.record = s.store, s.record
	s.runners = append(s.runners, r)
	return r.start(ctx)
}

const settingsText = `node=%[1]s
role=entry
machine_class=front
serves=front
ip=%[2]s
zone=zone-1
region=region-1
zones.zone-1=region-1
listen.front=%[2]s:%[3]d
listen.ready=%[2]s:%[4]d
port_range=%[5]d,%[6]d
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%[8]d
limits.max_fds=%[9]d
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catchup_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.apply_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.recover_s=12
bounds.transit_ms=120
bounds.retry_after_s=20
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=12000
bounds.version_all_ms=17000
platform.addr=%[7]s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.txn_timeout_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.cross_partition=true
platform.retention_s=20
`

// The ports of an instance. The one for metrics is that of deploy/system.toml.
const (
	callersPort = 8580
	readyPort   = 8586
	peersPort   = 7260
	metricsPort = 9464
)

// freeIP returns a loopback address at which the ports of an instance are free.
func freeIP(ctx context.Context, number int) (string, error) {
	var config net.ListenConfig
	for i := range 256 {
		pid := os.Getpid() + i
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, number)
		isFree := true
		for _, port := range []int{callersPort, readyPort, peersPort, metricsPort} {
			l, err := config.Listen(ctx, "tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

// startGate starts an instance and waits until it is ready.
func (s *site) startGate(ctx context.Context, storeAddress string) (*gate, error) {
	number := len(s.gates) + 1
	ip, err := freeIP(ctx, number)
	if err != nil {
		return nil, err
	}
	g := &gate{name: fmt.Sprintf("entry-%d", number), callers: fmt.Sprintf("%s:%d", ip, callersPort), ready: fmt.Sprintf("%s:%d", ip, readyPort), done: make(chan struct{})}
	memoryMB, maxFDs := 284, 4200
	if s.isMorrison {
		memoryMB, maxFDs = 134, 4100
	}
	path := filepath.Join(s.folder, g.name+".conf")
	text := fmt.Sprintf(settingsText, g.name, ip, callersPort, readyPort, peersPort, peersPort+15, storeAddress, memoryMB, maxFDs)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(s.folder, g.name+".log")); err != nil {
		return nil, err
	}
	// The command of deploy/system.toml, from the root of the repository.
	g.command = exec.CommandContext(ctx, "target/swiftloom", "gate")
	g.command.Env = append(os.Environ(), "SWIFTLOOM_NODE_FILE="+path)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	s.gates = append(s.gates, g)
	go func() {
		_ = g.command.Wait()
		close(g.done)
	}()
	s.record.printf("%s: process %d at %s", g.name, g.command.Process.Pid, g.callers)
	return g, g.awaitReady(ctx)
}

// isReady reports whether the instance says that it is ready.
func (g *gate) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// awaitReady waits until the instance says that it is ready.
func (g *gate) awaitReady(ctx context.Context) error {
	for range 100 {
		if g.isReady(ctx) {
			return nil
		}
		select {
		case <-g.done:
			return errors.New("the instance has ended")
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return errors.New("the instance is not ready")
}

// hasEnded reports whether the process has ended.
func (g *gate) hasEnded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// stop ends everything that was started.
func (s *site) stop() {
	for _, g := range s.gates {
		if !g.hasEnded() {
			_ = g.command.Process.Signal(syscall.SIGKILL)
		}
		<-g.done
		_ = g.log.Close()
	}
	for _, r := range s.runners {
		r.crash()
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
