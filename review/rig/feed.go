package main

import (
	"bytes"
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
	// contactMs and applyMs are the bounds of the same names, and revokeMs that for keys.
	contactMs = 3 * time.Second
	applyMs   = 2 * time.Second
	revokeMs  = 5 * time.Second
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
	r, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/alarm/x", bytes.NewReader([]byte(strings.Repeat("x", 600))))
	if err != nil {
		fail("make request: %v", err)
	}
	r.Host = "cumy.example"
	r.Header.Set("Swiftloom-Request-Id", id)
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

// writePlainManifest writes a manifest with one route to a plain service.
func (s *site) writePlainManifest(version int, service string, keys ...string) {
	s.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "cumy.example", "prefix": "/alarm/", "kind": "non_idempotent", "timeout_ms": 600, "goal_ms": 100,
			"priority": 2, "service": service, "attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{
			{"name": "dysp-a", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			{"name": "dysp-b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "pulo", "api_keys": keys, "priority": 1}},
	})
	record("operator writes manifest %d: the route goes to %s, keys %s", version, service, strings.Join(keys, ", "))
}

// feed: the store loses the answers to three polls, those by which the three gates would learn of
// a new manifest.
func feed() bool {
	s := newSite(0, defaultKVTokens)
	s.writePlainManifest(2, "dysp-a", apiKey, withdrawnKey)
	for i, service := range []string{"dysp-a", "dysp-a", "dysp-b", "dysp-b"} {
		r := &runner{id: fmt.Sprintf("i-%02d", i+1), service: service, zone: "hala-nport", store: s.store, named: s.newest, saw: s.saw}
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			_ = readAll(q)
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("Swiftloom-Request-Id", q.Header.Get("Swiftloom-Request-Id"))
			w.Header().Set("Swiftloom-Server-Stamp", "3e1b."+r.id)
			_, _ = io.WriteString(w, r.service+" has run "+q.Header.Get("Swiftloom-Request-Id")+"\n")
		}
		r.start()
	}
	var all []*gate
	var doors []*lossyDoor
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		d := &lossyDoor{machine: name}
		doors = append(doors, d)
		all = append(all, newGate(name, "hala-nport", defaultMemoryMB, s.store.listen(d)))
	}
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	lossFrom := time.Now()
	if trouble {
		for _, d := range doors {
			d.lose(lossFrom)
		}
	}
	time.Sleep(500 * time.Millisecond)
	s.writePlainManifest(3, "dysp-b", apiKey)
	acked := time.Now()
	inTouch := lossFrom.Add(lossTime + contactMs)
	var mu sync.Mutex
	var results []result
	var running sync.WaitGroup
	n := 0
	for time.Since(acked) < watchTime {
		for _, g := range all {
			for _, key := range []string{apiKey, withdrawnKey} {
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
		}
		time.Sleep(250 * time.Millisecond)
	}
	running.Wait()
	if trouble {
		for _, d := range doors {
			record("store: %d answers to machine %s in %s, %d lost", d.answers, d.machine, lossTime, d.lost)
		}
	}
	isBroken := false
	for _, g := range all {
		counts := make(map[string]int)
		for _, res := range results {
			isLate := res.sent.After(inTouch) && res.sent.After(acked.Add(applyMs))
			if res.gate != g.name || !isLate {
				continue
			}
			counts["all"]++
			switch {
			case res.key == apiKey && res.status == http.StatusOK && res.service == "dysp-a":
				counts["old service"]++
				isBroken = true
			case res.key == withdrawnKey && res.status == http.StatusOK && res.sent.After(acked.Add(revokeMs)):
				counts["withdrawn key"]++
				isBroken = true
			}
		}
		record("gate %s, requests sent from %d ms after the ack, when it is in touch, to %d ms: %d, of them run by the old service %d, run with the withdrawn key %d",
			g.name, inTouch.Sub(acked).Milliseconds(), watchTime.Milliseconds(), counts["all"], counts["old service"], counts["withdrawn key"])
	}
	return isBroken
}
