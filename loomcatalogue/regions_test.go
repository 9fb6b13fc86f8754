package loomcatalogue_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomcatalogue"
)

// TestIntersectionOfRegions guards against a request that is served by a region which its route or
// its account doesn't allow.
func TestIntersectionOfRegions(t *testing.T) {
	names := []string{"", "a", "b", "c"}
	draw := rapid.SliceOfN(rapid.SampledFrom(names), 0, 4)
	rapid.Check(t, func(t *rapid.T) {
		route, account := loomcatalogue.NewRegions(draw.Draw(t, "route")), loomcatalogue.NewRegions(draw.Draw(t, "account"))
		both := route.Intersect(account)
		assert.Equal(t, both.String(), account.Intersect(route).String())
		isAllowed := false
		for _, name := range names {
			assert.Equal(t, both.Allows(name), route.Allows(name) && account.Allows(name), "region %q", name)
			isAllowed = isAllowed || both.Allows(name)
		}
		assert.Equal(t, both.IsEmpty(), !isAllowed)
		if !both.IsEmpty() {
			// The set that a coordinator is told is the same.
			assert.DeepEqual(t, loomcatalogue.NewRegions(both.Names()).Names(), both.Names())
			assert.Equal(t, loomcatalogue.NewRegions(both.Names()).IsRestricted(), both.IsRestricted())
		}
	})
}

func TestRegionOfFailureDomain(t *testing.T) {
	only := loomcatalogue.NewRegions([]string{"a"})
	tests := []struct {
		name    string
		regions loomcatalogue.RegionMap
		domain  string
		allowed bool
	}{
		{"named", loomcatalogue.NewRegionMap(map[string]string{"z2": "a"}, "z1", ""), "z2", true},
		{"in another region", loomcatalogue.NewRegionMap(map[string]string{"z2": "b"}, "z1", "a"), "z2", false},
		{"own", loomcatalogue.NewRegionMap(nil, "z1", "a"), "z1", true},
		{"own, with names", loomcatalogue.NewRegionMap(map[string]string{"z1": "a"}, "z1", ""), "z1", true},
		{"without a name", loomcatalogue.NewRegionMap(nil, "z1", "a"), "z2", false},
		{"no settings", loomcatalogue.RegionMap{}, "z1", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.regions.Allows(only, tt.domain), tt.allowed)
			assert.Assert(t, tt.regions.Allows(loomcatalogue.Regions{}, tt.domain))
		})
	}
}

func TestRegionFaults(t *testing.T) {
	regions := func(names ...string) loomcatalogue.Regions { return loomcatalogue.NewRegions(names) }
	target := []loomcatalogue.WeightedGroup{{Group: "g"}}
	routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: 1, RequiresKey: true,
		Routes: []loomcatalogue.Route{
			{Name: "free", Targets: target},
			{Name: "open", Targets: target, IsPublic: true, AllowedRegions: regions("a")},
			{Name: "shut", Targets: target, AllowedRegions: regions("a")},
		},
		Accounts: map[string]loomcatalogue.RoutedAccount{
			"k0": {Name: "any"}, "k1": {Name: "in b", AllowedRegions: regions("b")}, "k2": {Name: "also in b", AllowedRegions: regions("b")},
			"k3": {Name: "in c", AllowedRegions: regions("c", "a")},
		},
	})
	zones := loomcatalogue.NewRegionMap(map[string]string{"z1": "a", "z2": "b"}, "z1", "a")
	faults := func(domains map[string][]string) []string {
		var found []string
		for _, f := range loomcatalogue.RegionFaults(routing.RegionRules(), zones, domains) {
			found = append(found, f.Rule.Route+"/"+f.Rule.Account+"/"+f.Group)
		}
		return found
	}
	assert.DeepEqual(t, faults(map[string][]string{"g": {"z1", "z2"}}), []string{"shut/also in b/"})
	assert.DeepEqual(t, faults(map[string][]string{"g": {"z2", "z3"}}), []string{"free/in c/g", "open//g", "shut//g", "shut/also in b/", "shut/in c/g"})
	assert.DeepEqual(t, faults(nil), []string{"shut/also in b/"})
	free := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{Routes: []loomcatalogue.Route{{Name: "free", Targets: target}}})
	assert.Assert(t, free.RegionRules() == nil)
}
