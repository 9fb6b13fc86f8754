package main

import (
	"fmt"
	"net/http"
	"time"
)

// manifest returns a manifest with one route with prompts and two of a plain service.
func manifest(version int, isolated map[string]bool) map[string]any {
	return manifestWith(version, isolated, false)
}

// manifestWith is like manifest, with the route /look/ public or not.
func manifestWith(version int, isolated map[string]bool, isLookPublic bool) map[string]any {
	tenants := []map[string]any{}
	for _, name := range []string{"port-council", "harbour-office"} {
		tenant := map[string]any{fieldName: name, "api_keys": []string{"key-" + name}, "priority": 1}
		if isolated[name] {
			tenant["isolated"] = true
		}
		tenants = append(tenants, tenant)
	}
	return map[string]any{
		fieldVersion: version,
		"routes": []map[string]any{
			{fieldName: "r-draft", "host": "nylo40.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000, "goal_ms": 400, "priority": 1, "service": "model-desk", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300},
			{fieldName: "r-book", "host": "nylo40.example", "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 10000, "goal_ms": 100, "priority": 2, "service": "booking-app", "attempts": 1, "public": false},
			{fieldName: "r-look", "host": "nylo40.example", "prefix": "/look/", "kind": "idempotent", "timeout_ms": 10000, "goal_ms": 100, "priority": 2, "service": "booking-app", "attempts": 1, "public": isLookPublic},
		},
		"services": []map[string]any{
			{fieldName: "model-desk", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv_tokens": 169100, "kv_bytes": 35136, "link_mbps": 350000.0, "max_inflight": 12, "models": []map[string]any{{fieldName: "model-a"}},
			}},
			{fieldName: "booking-app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// promptHeader returns the fields of a request of a tenant with a shared part and one of its own.
func promptHeader(tenant, own string) map[string]string {
	return map[string]string{
		"Authorization":         "Bearer key-" + tenant,
		"Swiftloom-Model":       "model-a",
		"Swiftloom-Token-Usage": "1300,16",
		"Swiftloom-Prefix-Hash": "5c1e07a2:800,91bd3f06:410," + own + ":90",
	}
}

// playWall makes a tenant isolated and then lets another tenant send prompts that share parts
// with those that the isolated one has sent.
func playWall(s *site, trouble bool) error {
	m, err := s.addRunner("i-7f3a91c2", "model-desk", "model-a")
	if err != nil {
		return err
	}
	s.store.put("op", "config", manifest(7, nil))
	s.rec.printf("manifest 7 acknowledged: no tenant is isolated")
	g, err := s.startGate()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	for i := range 3 {
		id := fmt.Sprintf("c0unc11%09d", i)
		if a := s.send(g, http.MethodPost, "/draft/1", id, promptHeader("port-council", "c0"+fmt.Sprint(i)), "prompt", 10*time.Second); a.err != nil || a.status != http.StatusOK {
			return fmt.Errorf("request %s of the first phase: status %d, error: %w", id, a.status, a.failure())
		}
	}
	isolated := map[string]bool{}
	if trouble {
		isolated["port-council"] = true
	}
	s.store.put("op", "config", manifest(11, isolated))
	s.rec.printf("manifest 11 acknowledged: tenant port-council is isolated: %t", trouble)
	time.Sleep(applyTime + 2*time.Second)
	from := time.Now()
	served := 0
	for i := range 5 {
		id := fmt.Sprintf("0ff1ce5%09d", i)
		if a := s.send(g, http.MethodPost, "/draft/1", id, promptHeader("harbour-office", "0f"+fmt.Sprint(i)), "prompt", 10*time.Second); a.err == nil && a.status == http.StatusOK {
			served++
		}
	}
	id := "c0unc119999999999"
	s.send(g, http.MethodPost, "/draft/1", id, promptHeader("port-council", "c09"), "prompt", 10*time.Second)
	if served == 0 {
		return fmt.Errorf("no request of the second phase was served")
	}
	return checkWall(s.rec, m, from, isolated)
}

// checkWall checks the runs from a time on while some tenants are isolated.
func checkWall(rec *record, m *modelRunner, from time.Time, isolated map[string]bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	broken := 0
	for _, u := range m.runs {
		if u.At.Before(from) {
			continue
		}
		for _, used := range u.Used {
			if used.MakerTenant != u.Tenant && (isolated[used.MakerTenant] || isolated[u.Tenant]) {
				broken++
				rec.printf("WALL: request %s of tenant %s used part %s, which request %s of tenant %s had made", u.ID, u.Tenant, used.Part, used.MakerRequest, used.MakerTenant)
			}
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
