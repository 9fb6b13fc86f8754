package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lossTime is how long the store loses answers.
	lossTime = 4500 * time.Millisecond
	// contactTime, applyTime and revokeTime are the bounds contact_ms, apply_ms and revoke_ms.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	revokeTime  = 5 * time.Second
	// withdrawnKey is a key that the second manifest no longer has.
	withdrawnKey = "68k7b2ex5wa5xwyhks8n"
	// watchTime is how long requests are sent after the second manifest.
	watchTime = 18 * time.Second
)

// lossyDoor loses the answers that tell of a new manifest: the poll has waited for it, and its
// channel delivers nothing any more.
type lossyDoor struct {
	machine string

	mu          sync.Mutex
	from, until time.Time
	answers     int
	lost        int
}

func (*lossyDoor) admit(*http.Request, []byte) (performed, answered bool) { return true, true }

func (d *lossyDoor) done(r *http.Request, _ []byte, _, rows int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Before(d.from) || !now.Before(d.until) {
		return true
	}
	d.answers++
	if r.URL.Path != "/rows-feed" || r.URL.Query().Get("table") != "op" || rows == 0 {
		return true
	}
	d.lost++
	record("store: the answer to the poll of machine %s for the operator's rows is lost", d.machine)
	return false
}

// lose begins a time in which answers are lost.
func (d *lossyDoor) lose(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.from, d.until = from, from.Add(lossTime)
}

// result is the answer to a request.
type result struct {
	sent    time.Time
	gate    string
	key     string
	status  int
	service string
}

// call sends a request and returns the answer.
func call(g *gate, id, key string) result {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+g.front+"/alarm/x", bytes.NewReader([]byte(strings.Repeat("x", 600))))
	if err != nil {
		fail("make request: %v", err)
	}
	r.Host = hostName
	r.Header.Set(headerRequestID, id)
	r.Header.Set("Swiftloom-Deadline-Ms", "600")
	r.Header.Set("Authorization", "Bearer "+key)
	res := result{sent: time.Now(), gate: g.name, key: key}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := client.Do(r)
	if err != nil {
		return res
	}
	defer func() { _ = w.Body.Close() }()
	body, _ := io.ReadAll(w.Body)
	res.status = w.StatusCode
	res.service, _, _ = strings.Cut(string(body), " ")
	return res
}

// The services of the manifests: oldService has the route at first, newService later.
const (
	oldService = "dysp-a"
	newService = "dysp-b"
)

// writePlainManifest writes a manifest with one route to a plain service.
func (s *site) writePlainManifest(version int, to string, keys ...string) {
	s.store.put("op", "config", manifest{
		Version: version,
		Routes:  []route{{Name: "r-1", Host: hostName, Prefix: "/alarm/", Kind: "non_idempotent", Timeout: 600, Goal: 100, Priority: 2, Service: to, Attempts: 1}},
		Services: []service{
			{Name: oldService, HealthPath: healthPath, MaxConns: 100, Protocol: "h1"},
			{Name: newService, HealthPath: healthPath, MaxConns: 100, Protocol: "h1"},
		},
		Limits:  siteLimits,
		Tenants: []tenant{{Name: "pulo", APIKeys: keys, Priority: 1}},
	})
	record("operator writes manifest %d: the route goes to %s, keys %s", version, to, strings.Join(keys, ", "))
}

// startPlainRunners starts two runners of each service.
func (s *site) startPlainRunners() {
	for i, to := range []string{oldService, oldService, newService, newService} {
		r := &runner{id: fmt.Sprintf("i-%02d", i+1), service: to, store: s.store, named: s.newest, saw: s.saw}
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			_ = readAll(q)
			time.Sleep(15 * time.Millisecond)
			w.Header().Set(headerRequestID, q.Header.Get(headerRequestID))
			w.Header().Set(headerStamp, stampPrefix+r.id)
			_, _ = io.WriteString(w, r.service+" has run it\n")
		}
		r.start()
	}
}

// feed: the store loses the answers to three polls, those by which the three gates would learn of
// a new manifest.
func feed() bool {
	s := newSite(0, defaultKVTokens)
	s.writePlainManifest(2, oldService, keptKey, withdrawnKey)
	s.startPlainRunners()
	var doors []*lossyDoor
	all := s.newGates(func(machine string) door {
		d := &lossyDoor{machine: machine}
		doors = append(doors, d)
		return d
	})
	startGates(all)
	time.Sleep(4 * time.Second)
	lossFrom := time.Now()
	if trouble {
		for _, d := range doors {
			d.lose(lossFrom)
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.writePlainManifest(3, newService, keptKey)
	acked := time.Now()
	results := callAll(all, acked)
	if trouble {
		for _, d := range doors {
			record("store: %d answers to machine %s in %s, %d lost", d.answers, d.machine, lossTime, d.lost)
		}
	}
	isBroken := false
	for _, g := range all {
		isBroken = judgeManifest(g, results, acked, lossFrom.Add(lossTime+contactTime)) || isBroken
	}
	return isBroken
}

// callAll sends requests with both keys to all gates for watchTime after a manifest was
// acknowledged, and returns the answers.
func callAll(all []*gate, acked time.Time) []result {
	var mu sync.Mutex
	var results []result
	var running sync.WaitGroup
	n := 0
	send := func(g *gate, key string) {
		n++
		id := fmt.Sprintf("c%015d", n)
		running.Go(func() {
			res := call(g, id, key)
			record("client: request %s, sent to %s %d ms after the ack with key %s, got status %d, run by %q", id, g.name, res.sent.Sub(acked).Milliseconds(), key, res.status, res.service)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
	}
	for time.Since(acked) < watchTime {
		for _, g := range all {
			send(g, keptKey)
			send(g, withdrawnKey)
		}
		time.Sleep(250 * time.Millisecond)
	}
	running.Wait()
	return results
}

// judgeManifest reports whether a gate has handled a request as only the older manifest allows.
// Requests count that were sent when the machine was in touch again.
func judgeManifest(g *gate, results []result, acked, inTouch time.Time) bool {
	all, old, withdrawn := 0, 0, 0
	for _, res := range results {
		if res.gate != g.name || !res.sent.After(inTouch) || !res.sent.After(acked.Add(applyTime)) {
			continue
		}
		all++
		if res.status != http.StatusOK {
			continue
		}
		if res.key == keptKey && res.service == oldService {
			old++
		}
		if res.key == withdrawnKey && res.sent.After(acked.Add(revokeTime)) {
			withdrawn++
		}
	}
	record("gate %s, requests sent from %d ms after the ack, when it is in touch, to %d ms: %d, of them run by the old service %d, run with the withdrawn key %d",
		g.name, inTouch.Sub(acked).Milliseconds(), watchTime.Milliseconds(), all, old, withdrawn)
	return old > 0 || withdrawn > 0
}
