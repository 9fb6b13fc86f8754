package loomgate

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// newMembers returns n instances spread over a number of failure domains, of which
// the first large ones of each have more capacity.
func newMembers(n, domains, large int) []fleetMember {
	members := make([]fleetMember, 0, n)
	for i := range n {
		m := fleetMember{id: fmt.Sprintf("i%d", i), failureDomain: fmt.Sprintf("d%d", i%domains), capacity: 0.2, isAlive: true}
		if i/domains < large {
			m.capacity = 0.8
		}
		members = append(members, m)
	}
	return members
}

func TestElectCoordinators(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		domains   int
		large     int
		watches   int
		perDomain int
	}{
		{"as many as the load asks for", 83, 3, 2, 12, 2},
		{"no more than may watch an upstream", 1400, 7, 0, 12, 1},
		{"more watches", 1400, 7, 0, 200, 10},
		{"one watch for each domain at least", 30, 4, 0, 3, 1},
		{"two for a small domain", 24, 3, 0, 12, 2},
		{"all watches of a large fleet", 295, 6, 3, 12, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := newMembers(tt.instances, tt.domains, tt.large)
			elected := electCoordinators(members, tt.watches)
			assert.Equal(t, len(elected), tt.domains)
			for domain, ids := range elected {
				assert.Equal(t, len(ids), tt.perDomain, "coordinators of %s", domain)
				for _, id := range ids {
					i := slices.IndexFunc(members, func(m fleetMember) bool { return m.id == id })
					assert.Equal(t, members[i].failureDomain, domain)
					assert.Assert(t, tt.large == 0 || members[i].capacity > 0.5, "%s has little capacity", id)
				}
			}
		})
	}
}

// TestElectionSurvivesFailures checks that the next instance of the same failure
// domain replaces a coordinator that fails, and that nothing else changes.
func TestElectionSurvivesFailures(t *testing.T) {
	members := newMembers(83, 3, 2)
	before := electCoordinators(members, 12)
	failed := before["d1"][0]
	for i := range members {
		members[i].isAlive = members[i].id != failed
	}
	after := electCoordinators(members, 12)
	assert.DeepEqual(t, after["d0"], before["d0"])
	assert.DeepEqual(t, after["d2"], before["d2"])
	assert.Equal(t, len(after["d1"]), len(before["d1"]))
	assert.Equal(t, after["d1"][0], before["d1"][1])
	assert.Assert(t, !slices.Contains(after["d1"], failed))
}

// TestElectionWithoutLivingInstances checks that a failure domain of which all
// instances have failed has no coordinator.
func TestElectionWithoutLivingInstances(t *testing.T) {
	members := newMembers(30, 3, 0)
	for i := range members {
		members[i].isAlive = members[i].failureDomain != "d2"
	}
	assert.Equal(t, len(electCoordinators(members, 12)["d2"]), 0)
}
