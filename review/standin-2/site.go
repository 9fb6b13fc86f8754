package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a small site, as its settings hold them.
const (
	applyTime = 2 * time.Second
	leaseTime = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the record's path is named by the user
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small site on loopback addresses.
type site struct {
	rec       *record
	dir       string
	net       string
	store     *metadataStore
	storeAddr string
	machines  int
	gates     []*gateProcess
	servers   []*http.Server
	done      chan struct{}
}

// newSite returns a site with a store. Each machine has a loopback address of its own.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "swiftloom-review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)), store: newMetadataStore(), done: make(chan struct{})}
	s.storeAddr, err = s.serve(s.store)
	return s, err
}

// newIP returns the address of another machine.
func (s *site) newIP() string {
	s.machines++
	return fmt.Sprintf("%s.%d", s.net, s.machines)
}

// serve serves h on a free port of a new machine.
func (s *site) serve(h http.Handler) (string, error) {
	l, err := listen(s.newIP())
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// homeZone is the zone of all runners, and of the instance of a site that has one.
const homeZone = "half-way-tree"

// addRunner starts a runner and its registration.
func (s *site) addRunner(id, service, model string) (*modelRunner, error) {
	m := newModelRunner(id, service, model, s.store, s.rec)
	address, err := s.serve(m)
	if err != nil {
		return nil, err
	}
	m.address = address
	m.register()
	go m.beatLoop(heartbeat, s.done)
	return m, nil
}

// gateProcess is an entry instance on a machine.
type gateProcess struct {
	node, ip       string
	callers, ready string
	settings, log  string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// listen listens on a free port of ip.
func listen(ip string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", ip+":0")
}

// freePort returns a port that is free on ip.
func freePort(ip string) (int, error) {
	l, err := listen(ip)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newGate prepares the settings of an instance.
func (s *site) newGate(node, zone string) (*gateProcess, error) {
	g := &gateProcess{node: node, ip: s.newIP()}
	var ports [4]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(g.ip); err != nil {
			return nil, err
		}
	}
	g.callers, g.ready = fmt.Sprintf("%s:%d", g.ip, ports[0]), fmt.Sprintf("%s:%d", g.ip, ports[1])
	g.settings, g.log = filepath.Join(s.dir, node+".conf"), filepath.Join(s.dir, node+".log")
	text := strings.NewReplacer("{node}", node, "{ip}", g.ip, "{zone}", zone, "{front}", g.callers, "{ready}", g.ready,
		"{control}", fmt.Sprintf("%s:%d", g.ip, ports[2]), "{inner}", fmt.Sprint(ports[3]), "{store}", s.storeAddr).Replace(settingsText)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil { //nolint:gosec // a file in the case's temporary folder
		return nil, err
	}
	s.gates = append(s.gates, g)
	return g, nil
}

const settingsText = `node={node}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region=kingston
zones.half-way-tree=kingston
zones.new-kingston=kingston
listen.front={front}
listen.ready={ready}
listen.control={control}
port_range={inner},{inner}
seeds=
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=134
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seed_lag_s=3
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
bounds.retry_slack=58
bounds.recover_s=12
bounds.transit_ms=120
bounds.retry_after_s=20
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=10000
bounds.version_all_ms=14000
platform.addr={store}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.txn_timeout_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.cross_partition=true
platform.retention_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_s=80.0
`

// start starts the instance with the command of the deploy file.
func (s *site) start(g *gateProcess) error {
	if g.exited != nil {
		// The whole system starts for the first time only once.
		text, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		text = bytes.Replace(text, []byte("bootstrap=true"), []byte("bootstrap=false"), 1)
		if err := os.WriteFile(g.settings, text, 0o600); err != nil { //nolint:gosec // a file in the case's temporary folder
			return err
		}
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(context.Background(), "target/swiftloom", "gate")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SWIFTLOOM_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.exited = cmd, make(chan struct{})
	s.rec.printf("instance %s started", g.node)
	go func() { _ = cmd.Wait(); close(g.exited) }()
	return nil
}

// stop asks an instance to end.
func (s *site) stop(g *gateProcess) {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	s.rec.printf("instance %s got SIGTERM", g.node)
}

// readyLimit bounds the wait until an instance is ready.
const readyLimit = 10 * time.Second

// startGate starts the instance of a site that has one, and waits until it is ready.
func (s *site) startGate() (*gateProcess, error) {
	g, err := s.newGate("front-half-way-tree-1", homeZone)
	if err != nil {
		return nil, err
	}
	if err := s.start(g); err != nil {
		return nil, err
	}
	return g, s.awaitReady(g)
}

// awaitReady waits until the instance says that it is ready.
func (s *site) awaitReady(g *gateProcess) error {
	until := time.Now().Add(readyLimit)
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for time.Now().Before(until) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+g.ready+"/readyz", nil) //nolint:gosec // a loopback address of the case's own instance
		if err != nil {
			return err
		}
		w, err := client.Do(r) //nolint:gosec // a loopback address of the case's own instance
		if err == nil {
			_ = w.Body.Close()
			if w.StatusCode == http.StatusOK {
				s.rec.printf("instance %s is ready", g.node)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("instance %s is not ready after %s", g.node, readyLimit)
}

// close ends everything that was started.
func (s *site) close() {
	close(s.done)
	for _, g := range s.gates {
		if g.cmd == nil {
			continue
		}
		select {
		case <-g.exited:
		default:
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.exited
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.dir) //nolint:gosec // the case's temporary folder
}

// answer is what a client has received.
type answer struct {
	status int
	body   string
	err    error
}

// errStatus is the failure of a whole answer with another status than 200.
var errStatus = errors.New("the status is not 200")

// failure returns why the answer is none to a request that was served.
func (a answer) failure() error {
	if a.err != nil {
		return a.err
	}
	return errStatus
}

// send sends a request to an instance.
func (s *site) send(g *gateProcess, method, path, id string, header map[string]string, body string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, strings.NewReader(body)) //nolint:gosec // a loopback address of the case's own instance
	if err != nil {
		return answer{err: err}
	}
	r.Host = "nylo40.example"
	r.Header.Set("Swiftloom-Request-Id", id)
	r.Header.Set("Swiftloom-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	s.rec.printf("request %s sent to %s: %s %s", id, g.node, method, path)
	w, err := http.DefaultClient.Do(r) //nolint:gosec // a loopback address of the case's own instance
	if err != nil {
		s.rec.printf("request %s: no answer: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(w.Body)
	s.rec.printf("request %s answered: status %d, %d bytes, error %v", id, w.StatusCode, len(data), err)
	return answer{status: w.StatusCode, body: string(data), err: err}
}
