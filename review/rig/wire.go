package main

import (
	"context"
	"net"
	"net/http"
	"time"
)

// The messages of the platform that the operator, the runners and the store write, as far as the
// cases need them. Names are those of the wire.

// model is a model with the version of its weights.
type model struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// modelOf returns the model of all cases with a version of its weights.
func modelOf(version uint64) []model {
	return []model{{Name: modelName, Version: version, Adapters: []string{}}}
}

// namedVersion names new weights.
type namedVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// entry is what a runner writes about itself.
type entry struct {
	Service  string  `json:"service"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft int     `json:"cold_left_ms"`
	Stage    string  `json:"stage"`
	Models   []model `json:"models"`
	Seq      int     `json:"seq"`
	Born     int64   `json:"born"`
}

// report is the state of a runner.
type report struct {
	Stage   string  `json:"stage"`
	Models  []model `json:"models"`
	Busy    bool    `json:"busy"`
	Seq     int64   `json:"seq"`
	Queued  int     `json:"queued"`
	Active  int     `json:"active"`
	KVUsed  int     `json:"kv_used"`
	KVTotal int     `json:"kv_total"`
	Handles int     `json:"handles"`
	Born    int64   `json:"born"`
}

// kvEvents is the answer to a poll for events of a runner that has none.
type kvEvents struct {
	Epoch  int64   `json:"epoch"`
	Next   int     `json:"next"`
	Lost   bool    `json:"lost"`
	Events [][]any `json:"events"`
	Born   int64   `json:"born"`
}

// manifest is the configuration that the operator writes.
type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeout_ms"`
	Goal      int    `json:"goal_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	GapTarget int    `json:"gap_target_ms,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots       int       `json:"slots"`
	KVTokens    int       `json:"kv_tokens"`
	KVBytes     int       `json:"kv_bytes"`
	LinkMbps    int       `json:"link_mbps"`
	Managed     bool      `json:"managed"`
	Stride      int       `json:"stride"`
	MaxInflight int       `json:"max_inflight"`
	Models      []modelID `json:"models"`
}

type modelID struct {
	Name string `json:"name"`
}

type limits struct {
	HeaderBytes   int `json:"header_bytes"`
	MaxBodyBytes  int `json:"max_body_bytes"`
	HeaderTimeout int `json:"header_timeout_ms"`
	IdleTimeout   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

const (
	hostName    = "cumy.example"
	healthPath  = "/healthz"
	zoneName    = "hala-nport"
	modelName   = "m0"
	modelGroup  = "llm-port"
	heartbeat   = 1200 * time.Millisecond
	stampPrefix = "3e1b."
)

// siteLimits are the limits of the manifests of the small sites.
var siteLimits = limits{HeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeout: 3000, IdleTimeout: 15000}

// The header fields that the cases use.
const (
	headerRequestID   = "Swiftloom-Request-Id"
	headerStamp       = "Swiftloom-Server-Stamp"
	headerTarget      = "Swiftloom-Target-Instance"
	headerInstance    = "Swiftloom-Instance-Id"
	headerWeights     = "Swiftloom-Weight-Versions"
	headerExpected    = "Swiftloom-Expect-Version"
	headerNotExecuted = "Swiftloom-Not-Executed"
)

// headTimeout bounds the reading of a request's head by a stand-in.
const headTimeout = 10 * time.Second

// listen listens on an address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// mustListen listens on a free loopback port.
func mustListen() net.Listener {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// dial connects to an address.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// serve answers the requests on l by h until the process ends.
func serve(l net.Listener, h http.Handler) {
	server := http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	_ = server.Serve(l)
}
