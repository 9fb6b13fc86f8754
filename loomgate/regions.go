package loomgate

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loommember"
)

// maxRegionFaults bounds the logged faults of a revision.
const maxRegionFaults = 32

// regionFaults holds the faults of the revision in force that restrict requests to regions which
// can't serve them. It is guarded by the lock of clusterView.
type regionFaults struct {
	revision uint64
	logged   map[loggedFault]bool
	current  int
}

// loggedFault identifies a fault.
type loggedFault struct {
	route, account, group string
}

// checkRegions logs the faults of the routing in force, each once for each revision. It is called
// when the routing or the upstreams change. The caller holds mu.
func (v *clusterView) checkRegions(now time.Time) {
	routing := v.routing()
	rules := routing.RegionRules()
	f := &v.regionFaults
	if f.revision != routing.Revision() {
		*f = regionFaults{revision: routing.Revision()}
	}
	f.current = 0
	if len(rules) == 0 {
		return
	}
	for _, fault := range loomcatalogue.RegionFaults(rules, v.gate.regions, v.groupDomains(now, routing)) {
		f.current++
		id := loggedFault{route: fault.Rule.Route, account: fault.Rule.Account, group: fault.Group}
		if f.logged[id] || len(f.logged) >= maxRegionFaults {
			continue
		}
		if f.logged == nil {
			f.logged = make(map[loggedFault]bool)
		}
		f.logged[id] = true
		cause := "no region in common"
		if fault.Group != "" {
			cause = "no upstream in an allowed region"
		}
		v.gate.log.Error("region_fault", "revision", routing.Revision(), "route", id.route, "account", id.account, "group", id.group,
			"route_regions", fault.Rule.RouteRegions.String(), "account_regions", fault.Rule.AccountRegions.String(), "cause", cause)
	}
}

// groupDomains returns the failure domains of the usable upstreams of each group, evacuated ones
// included, or nil before the list of upstreams has been read. The caller holds mu.
func (v *clusterView) groupDomains(now time.Time, r loomcatalogue.Routing) map[string][]string {
	if !v.upstreamsLoaded.Load() {
		return nil
	}
	domains := make(map[string][]string)
	for _, group := range r.Groups() {
		domains[group.Name] = nil
	}
	for _, u := range v.directory.Usable(now) {
		if known, ok := domains[u.Group]; ok && !slices.Contains(known, u.FailureDomain) {
			domains[u.Group] = append(known, u.FailureDomain)
		}
	}
	return domains
}

// regionFaultCount returns the number of current faults.
func (v *clusterView) regionFaultCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regionFaults.current
}

// resolveRegions sets the regions that may serve a request, and returns the error with which it
// must be refused if there are none.
func (r *request) resolveRegions() *loomerror.Error {
	r.regions = r.route.AllowedRegions.Intersect(r.account.AllowedRegions)
	if !r.regions.IsEmpty() {
		return nil
	}
	return loomerror.New(loomerror.RegionUnavailable, "route %q (allowed regions %q) and account %q (allowed regions %q) have no region in common",
		r.route.Name, r.route.AllowedRegions, r.account.Name, r.account.AllowedRegions).WithRetryAfter(maxRetryAfter)
}

// allows reports whether an upstream or a store in a failure domain may serve the request.
func (q *placementQuery) allows(domain string) bool {
	return q.gate.regions.Allows(q.regions, domain)
}

// allowedUpstreams returns the usable upstreams that may serve the request. The caller must not
// change the slice.
func (q *placementQuery) allowedUpstreams(now time.Time) []loommember.Upstream {
	upstreams := q.gate.usableUpstreams(now, q.group.Name)
	if !q.regions.IsRestricted() {
		return upstreams
	}
	allowed := make([]loommember.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if q.allows(u.FailureDomain) {
			allowed = append(allowed, u)
		}
	}
	return allowed
}

// noUpstream returns the error of a request for which there is no candidate among a number of
// allowed upstreams.
func (q *placementQuery) noUpstream(allowed int) *loomerror.Error {
	if q.regions.IsRestricted() && allowed == 0 {
		return loomerror.New(loomerror.RegionUnavailable, "no live upstream in group %q in the allowed regions %q", q.group.Name, q.regions).
			WithRetryAfter(defaultRetryAfter)
	}
	return loomerror.New(loomerror.NoUpstream, "no live upstream in group %q", q.group.Name).WithRetryAfter(defaultRetryAfter)
}

// storeFilter returns the filter of the KV cache stores that may hold the request's prompt, or nil
// if all may.
func (q *placementQuery) storeFilter() loomcache.StoreFilter {
	if !q.regions.IsRestricted() {
		return nil
	}
	return func(c loomcache.StoreClass) bool { return q.allows(c.FailureDomain) }
}

// regionSalt returns the part of the cache salt that keeps the KV cache of restricted prompts
// apart. Engines elsewhere could otherwise fetch it for a prompt that shares parts with them.
func (q *placementQuery) regionSalt() string {
	if !q.regions.IsRestricted() {
		return ""
	}
	names := make([]string, 0, len(q.regions.Names()))
	for _, name := range q.regions.Names() {
		names = append(names, url.QueryEscape(name))
	}
	return "//" + strings.Join(names, ",")
}

// withinRegions returns the addresses of a plan for the KV cache without those that are not known
// to be in an allowed region. A coordinator may have made the plan.
func (d *dispatch) withinRegions(now time.Time, addresses []string) []string {
	if !d.regions.IsRestricted() || len(addresses) == 0 {
		return addresses
	}
	allowed := make(map[string]bool)
	for _, u := range d.allowedUpstreams(now) {
		allowed[u.Address] = true
	}
	for _, store := range d.gate.view.routing().Stores() {
		if d.allows(store.FailureDomain) {
			allowed[store.Address] = true
		}
	}
	kept := make([]string, len(addresses))
	for i, address := range addresses {
		if allowed[address] {
			kept[i] = address
		}
	}
	return kept
}

// queueKeySeparator separates the group from the regions in the key of a queue.
const queueKeySeparator = "\x00"

// groupOfQueue returns the group of the queue with a key.
func groupOfQueue(key string) string {
	group, _, _ := strings.Cut(key, queueKeySeparator)
	return group
}

// choicesIn returns the coordinators that this instance may ask for a request that is restricted
// to regions, the best first.
func (c *coordinators) choicesIn(r loomcatalogue.Regions) []string {
	ids := c.choices()
	if !r.IsRestricted() {
		return ids
	}
	var allowed []string
	for domain, members := range c.elected() {
		if c.gate.regions.Allows(r, domain) {
			allowed = append(allowed, members...)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return !slices.Contains(allowed, id) })
}
