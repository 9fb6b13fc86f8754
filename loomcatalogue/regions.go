package loomcatalogue

import (
	"cmp"
	"slices"
	"strings"
)

// Regions is a set of regions that requests are restricted to. It is immutable. The zero value
// allows all.
type Regions struct {
	isRestricted bool
	// names are sorted and distinct.
	names []string
}

// NewRegions returns the set of the named regions, or the one that allows all if no names are
// given. An empty name stands for no region.
func NewRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	sorted := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
	slices.Sort(sorted)
	return Regions{isRestricted: true, names: slices.Compact(sorted)}
}

// IsRestricted reports whether r doesn't allow all regions.
func (r Regions) IsRestricted() bool {
	return r.isRestricted
}

// IsEmpty reports whether r allows no region.
func (r Regions) IsEmpty() bool {
	return r.isRestricted && len(r.names) == 0
}

// Allows reports whether r allows a region. An empty name, which stands for an unknown region, is
// allowed only if r allows all.
func (r Regions) Allows(region string) bool {
	return !r.isRestricted || slices.Contains(r.names, region)
}

// Names returns the sorted names of the allowed regions, or nil if all are. The caller must not
// modify the slice.
func (r Regions) Names() []string {
	return r.names
}

// String returns the names separated by commas, or "" if all regions are allowed.
func (r Regions) String() string {
	return strings.Join(r.names, ",")
}

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	if !r.isRestricted {
		return other
	}
	if !other.isRestricted {
		return r
	}
	both := Regions{isRestricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// RegionMap holds the regions of failure domains. It is immutable. The zero value knows of none.
type RegionMap struct {
	byDomain map[string]string
}

// NewRegionMap returns a map with the regions of failure domains, to which that of the own
// domain is added unless it is empty.
func NewRegionMap(byDomain map[string]string, ownDomain, ownRegion string) RegionMap {
	m := RegionMap{byDomain: make(map[string]string, len(byDomain)+1)}
	for domain, region := range byDomain {
		m.byDomain[domain] = region
	}
	if ownRegion != "" {
		m.byDomain[ownDomain] = ownRegion
	}
	return m
}

// RegionOf returns the region of a failure domain, or "" if it is not known.
func (m RegionMap) RegionOf(domain string) string {
	return m.byDomain[domain]
}

// Allows reports whether a failure domain is in an allowed region. One whose region is not known
// is outside of every restricted set.
func (m RegionMap) Allows(r Regions, domain string) bool {
	return !r.isRestricted || r.Allows(m.byDomain[domain])
}

// RegionRule is a restriction of the requests of a route by the route, by a client account or by
// both.
type RegionRule struct {
	Route string
	// Account is the first of the client accounts with the same allowed regions, or empty if
	// only the route restricts the requests.
	Account string
	// RouteRegions and AccountRegions are what route and account allow.
	RouteRegions, AccountRegions Regions
	// Groups are the upstream groups of the route.
	Groups []string
}

// regionRules returns the rules of routes and client accounts, ordered by route and account, or
// nil if nothing is restricted.
func regionRules(s RoutingSpec) []RegionRule {
	var rules []RegionRule
	accounts := accountsByRegions(s)
	for _, route := range s.Routes {
		rule := RegionRule{Route: route.Name, RouteRegions: route.AllowedRegions}
		for _, t := range route.Targets {
			rule.Groups = append(rule.Groups, t.Group)
		}
		if route.AllowedRegions.IsRestricted() {
			rules = append(rules, rule)
		}
		if route.IsPublic {
			continue
		}
		for _, a := range accounts {
			rule.Account, rule.AccountRegions = a.Name, a.AllowedRegions
			rules = append(rules, rule)
		}
	}
	slices.SortStableFunc(rules, func(a, b RegionRule) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
	})
	return rules
}

// accountsByRegions returns, for each restricted set of regions, the first of the client accounts
// that are restricted to it.
func accountsByRegions(s RoutingSpec) []RoutedAccount {
	if !s.RequiresKey {
		return nil
	}
	first := make(map[string]RoutedAccount)
	for _, a := range s.Accounts {
		if !a.AllowedRegions.IsRestricted() {
			continue
		}
		key := strings.Join(a.AllowedRegions.names, "\x00")
		if old, ok := first[key]; !ok || a.Name < old.Name {
			first[key] = a
		}
	}
	accounts := make([]RoutedAccount, 0, len(first))
	for _, a := range first {
		accounts = append(accounts, a)
	}
	slices.SortFunc(accounts, func(a, b RoutedAccount) int { return cmp.Compare(a.Name, b.Name) })
	return accounts
}

// RegionFault is a rule that requests can't be served by.
type RegionFault struct {
	Rule RegionRule
	// Group is the group without upstreams in an allowed region, or empty if route and account
	// have no region in common.
	Group string
}

// RegionFaults returns the faults of the rules, given the failure domains of the upstreams of each
// group. Groups that are not among them are left out: nothing is known of them.
func RegionFaults(rules []RegionRule, regions RegionMap, domains map[string][]string) []RegionFault {
	var faults []RegionFault
	for _, rule := range rules {
		allowed := rule.RouteRegions.Intersect(rule.AccountRegions)
		if allowed.IsEmpty() {
			faults = append(faults, RegionFault{Rule: rule})
			continue
		}
		for _, group := range rule.Groups {
			known, ok := domains[group]
			if ok && !slices.ContainsFunc(known, func(domain string) bool { return regions.Allows(allowed, domain) }) {
				faults = append(faults, RegionFault{Rule: rule, Group: group})
			}
		}
	}
	return faults
}
