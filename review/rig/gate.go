package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gate is a process of the project: the role entry of the deploy file.
type gate struct {
	name, ip     string
	front, ready string
	settings     string
	cmd          *exec.Cmd
	ended        chan struct{}
}

// defaultMemoryMB is limits.memory_mb at cumy-gdansk.
const defaultMemoryMB = 284

// lastIP is the last byte of the loopback address of the latest gate.
var lastIP = 9

// newGate writes the settings of a gate with a loopback address of its own.
func newGate(name string, memoryMB int, storeAddress string) *gate {
	lastIP++
	g := &gate{name: name, ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()>>8&63, os.Getpid()&255, lastIP)}
	g.front, g.ready = g.ip+":8580", g.ip+":8586"
	g.settings = filepath.Join(tempDir, name+".conf")
	text := fmt.Sprintf(`node=%s
role=entry
machine_class=front
serves=front
ip=%s
zone=%s
region=gdansk-zatoka
zones.%s=gdansk-zatoka
listen.front=%s
listen.ready=%s
port_range=7260,7275
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4200
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.apply_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=12000
bounds.version_all_ms=17000
platform.addr=%s
platform.form=table
`, g.name, g.ip, zoneName, zoneName, g.front, g.ready, memoryMB, storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		fail("write settings: %v", err)
	}
	return g
}

// start starts the process by the command of the deploy file.
func (g *gate) start() {
	log, err := os.OpenFile(filepath.Join(tempDir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open log: %v", err)
	}
	g.cmd = exec.CommandContext(context.Background(), "target/swiftloom", "gate")
	g.cmd.Env = append(os.Environ(), "SWIFTLOOM_NODE_FILE="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	// The processes end with the rig.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		fail("start gate: %v", err)
	}
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		record("gate %s ended: %s", g.name, cmd.ProcessState)
		close(ended)
	}(g.cmd, g.ended)
	gates = append(gates, g)
	record("gate %s started, process %d", g.name, g.cmd.Process.Pid)
}

// signal sends a signal to the process.
func (g *gate) signal(s syscall.Signal) {
	record("gate %s gets %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// readyTimeout is how long a gate may take to become ready.
const readyTimeout = 10 * time.Second

// awaitReady waits until the gate says that it is ready.
func (g *gate) awaitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", http.NoBody)
		if err != nil {
			fail("make readiness probe: %v", err)
		}
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_ = w.Body.Close()
		if w.StatusCode == http.StatusOK {
			return
		}
	}
	fail("gate %s is not ready within %s", g.name, readyTimeout)
}

// gates are the processes that were started.
var gates []*gate

// stopGates ends all processes that were started.
func stopGates() {
	for _, g := range gates {
		_ = g.cmd.Process.Kill()
	}
	for _, g := range gates {
		select {
		case <-g.ended:
		case <-time.After(2 * time.Second):
		}
	}
}

func readAll(r *http.Request) []byte {
	data, _ := io.ReadAll(r.Body)
	return data
}
