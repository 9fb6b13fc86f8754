package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// unknownPrefix begins the IDs of requests with an unknown key.
const unknownPrefix = "n0b0dy"

// playTenant makes a route public. The clients of two tenants send their keys on it before and after,
// and a client sends a key that no manifest holds.
func playTenant(s *site, trouble bool) error {
	m, err := s.addRunner("i-02d9e6b4", "booking-app", "")
	if err != nil {
		return err
	}
	s.store.put("op", "config", manifestWith(7, nil, false))
	s.rec.printf("manifest 7 acknowledged: route r-look is not public")
	g, err := s.startGate()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	holders := make(map[string]string)
	sendAll := func(phase string) error {
		for i := range 10 {
			tenant := []string{"port-council", "harbour-office"}[i%2]
			id := fmt.Sprintf("%s%010d", phase, i)
			holders[id] = tenant
			a := s.send(g, http.MethodGet, "/look/1", id, map[string]string{"Authorization": "Bearer key-" + tenant}, "", 5*time.Second)
			if a.err != nil || a.status != http.StatusOK {
				return fmt.Errorf("request %s: status %d, error: %w", id, a.status, a.failure())
			}
		}
		return nil
	}
	if err := sendAll("bef0re"); err != nil {
		return err
	}
	s.store.put("op", "config", manifestWith(11, nil, trouble))
	s.rec.printf("manifest 11 acknowledged: route r-look is public: %t", trouble)
	time.Sleep(applyTime + 2*time.Second)
	if err := sendAll("af7e12"); err != nil {
		return err
	}
	for i := range 3 {
		s.send(g, http.MethodGet, "/look/1", fmt.Sprintf("%s%09d", unknownPrefix, i), map[string]string{"Authorization": "Bearer key-of-nobody"}, "", 5*time.Second)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	broken := 0
	for _, u := range m.runs {
		if strings.HasPrefix(u.ID, unknownPrefix) {
			broken++
			s.rec.printf("ROUTE: request %s ran, whose key no manifest ever held", u.ID)
			continue
		}
		if tenant := holders[u.ID]; u.Tenant != tenant {
			broken++
			s.rec.printf("UNASKED: request %s ran with Swiftloom-Tenant %q, its key is held by %s", u.ID, u.Tenant, tenant)
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
