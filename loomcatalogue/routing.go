package loomcatalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind is the execution semantics of the requests of a route.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests are executed at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They are executed
	// at most once unless the route is resumable.
	Streaming
)

// String returns the kind in snake case.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "streaming"
	}
}

// WeightedGroup is a target of a route: an upstream group and its weight.
type WeightedGroup struct {
	Group string
	// Weight is the group's share of the requests, relative to the weights of
	// the other targets. A group with weight zero gets no requests unless all
	// weights are zero; a negative weight counts as zero.
	Weight int
}

// Route describes how the requests for one host and path prefix are served. It
// is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the time after the arrival of a request at which the gate gives
	// it up, unless the caller's deadline is earlier. Zero means no timeout.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is on time, and
	// EventGapObjective the longest gap between two events of a stream that is
	// on time.
	LatencyObjective  time.Duration
	EventGapObjective time.Duration
	// Rank is the scheduling priority; requests with a lower rank go first,
	// starting with rank zero.
	Rank int
	// Targets has at least one element.
	Targets []WeightedGroup
	// MaxAttempts is the maximum number of upstreams that may execute one
	// request.
	MaxAttempts int
	// IsPublic reports whether requests need no API key. One that they carry counts all the same.
	IsPublic bool
	// IsResumable reports whether an interrupted stream may be executed again.
	IsResumable bool
	// HasPrompts reports whether the requests carry prompts whose parts recur in
	// later requests.
	HasPrompts bool
	// AllowedRegions are the regions that may serve the requests.
	AllowedRegions Regions
}

// IsRepeatable reports whether a request of the route may be executed more than
// once.
func (r Route) IsRepeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.IsResumable)
}

// Target maps draw, a uniformly distributed random number, to an upstream group
// in proportion to the weights. It returns the first group if all weights are
// zero.
func (r Route) Target(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Group
	}
	remaining := int(draw % uint64(total))
	for _, t := range r.Targets {
		remaining -= max(t.Weight, 0)
		if remaining < 0 {
			return t.Group
		}
	}
	return r.Targets[len(r.Targets)-1].Group
}

// RoutedAccount holds the settings of a client account that apply to its
// requests.
type RoutedAccount struct {
	Name string
	// Rank overrides the rank of the route if HasRank is true.
	Rank    int
	HasRank bool
	// IsIsolated reports whether the account shares no KV cache with others.
	IsIsolated bool
	// AllowedRegions are the regions that may serve the requests of the account, among those
	// that the route allows.
	AllowedRegions Regions
}

// Group is a set of interchangeable upstreams. It is immutable.
type Group struct {
	Name string
	// Engine describes the model engines, and is nil for other upstreams.
	Engine *EngineClass
	// MaxConnections is the maximum number of connections that one upstream
	// accepts from all callers together.
	MaxConnections int
	// HealthPath is the URL path of the upstreams' health check.
	HealthPath string
	// ColdDuration is how long an upstream is cold after a start.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the rate of requests from all callers together that an
	// upstream sustains while it is cold. Zero means that there is no bound.
	ColdRequestsPerSecond float64
}

// EngineClass describes the capacity of the model engines of a group.
type EngineClass struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// MemoryTokens is the memory for the KV cache of running and finished
	// requests, in tokens.
	MemoryTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	// LinkBitsPerSecond is the bandwidth of the link over which KV cache is
	// transferred.
	LinkBitsPerSecond float64
	// Models lists the names of the models that the engines serve.
	Models []string
}

// KVStore is a store for KV cache outside of the engines.
type KVStore struct {
	Name          string
	Address       string
	FailureDomain string
	// MemoryTokens is the capacity of the store in tokens.
	MemoryTokens int
	// LinkBitsPerSecond is the bandwidth of the store's network link.
	LinkBitsPerSecond float64
	// FirstByteLatency is the latency to the first byte of each transfer.
	FirstByteLatency time.Duration
	// IsManaged reports whether the store evicts nothing by itself, so that its
	// clients must delete what is no longer needed.
	IsManaged bool
	// MaxWatches is the maximum number of event watches that the store keeps
	// open at the same time.
	MaxWatches int
}

// Limits holds the limits on incoming requests and connections. Zero in a field
// means that the catalogue sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one revision of the routing configuration: routes, upstream groups,
// stores, client accounts and limits. It is immutable. The zero value is the
// empty configuration at revision zero.
type Routing struct {
	revision uint64
	// byHost maps a host to its routes, ordered by decreasing length of the
	// prefix.
	byHost map[string][]Route
	groups map[string]Group
	stores []KVStore
	// accounts is keyed by API key, which is secret.
	accounts    map[string]RoutedAccount
	requiresKey bool
	limits      Limits
	// pauseObjectives holds, by group, the shortest objective for the gap between
	// two events among the routes to the group.
	pauseObjectives map[string]time.Duration
	// urgencies holds, by group, the rank and objective of the last route with prompts to the
	// group, and differing the groups with routes of others.
	urgencies map[string]urgency
	differing map[string]bool
	// regionRules is nil if nothing is restricted to regions.
	regionRules []RegionRule
	scopes      cacheScopes
}

// urgency is what decides how long the requests of a route may wait.
type urgency struct {
	rank      int
	objective time.Duration
}

// RoutingSpec holds the contents of a Routing.
type RoutingSpec struct {
	Revision uint64
	Routes   []Route
	Groups   []Group
	Stores   []KVStore
	// Accounts is keyed by API key, which is secret.
	Accounts map[string]RoutedAccount
	// IsolatedAccounts are the names of accounts that share no KV cache with others. Those in
	// Accounts need not be listed.
	IsolatedAccounts []string
	// RequiresKey reports whether requests for routes that are not public need
	// an API key.
	RequiresKey bool
	Limits      Limits
}

// NewRouting returns the Routing with the contents of s. The caller must not
// modify the map and the slices in s afterwards.
func NewRouting(s RoutingSpec) Routing {
	r := Routing{
		revision:    s.Revision,
		byHost:      make(map[string][]Route),
		groups:      make(map[string]Group, len(s.Groups)),
		stores:      s.Stores,
		accounts:    s.Accounts,
		requiresKey: s.RequiresKey,
		limits:      s.Limits,

		pauseObjectives: make(map[string]time.Duration),
		urgencies:       make(map[string]urgency),
		differing:       make(map[string]bool),
		regionRules:     regionRules(s),
		scopes:          newCacheScopes(s),
	}
	for _, route := range s.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
		r.addPauseObjective(route)
		r.addUrgency(route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for _, g := range s.Groups {
		r.groups[g.Name] = g
	}
	return r
}

// addPauseObjective records the objective of a route for the gap between two
// events, if it has one.
func (r Routing) addPauseObjective(route Route) {
	if route.EventGapObjective <= 0 {
		return
	}
	for _, t := range route.Targets {
		if least, ok := r.pauseObjectives[t.Group]; !ok || route.EventGapObjective < least {
			r.pauseObjectives[t.Group] = route.EventGapObjective
		}
	}
}

// addUrgency records the rank and objective of a route.
func (r Routing) addUrgency(route Route) {
	if !route.HasPrompts {
		return
	}
	own := urgency{rank: route.Rank, objective: route.LatencyObjective}
	for _, t := range route.Targets {
		if first, ok := r.urgencies[t.Group]; ok && first != own {
			r.differing[t.Group] = true
		}
		r.urgencies[t.Group] = own
	}
}

// HasDifferentUrgency reports whether routes with prompts to a group differ in rank or objective.
func (r Routing) HasDifferentUrgency(group string) bool {
	return r.differing[group]
}

// Revision returns the revision, which is zero if no configuration has been
// received.
func (r Routing) Revision() uint64 {
	return r.revision
}

// Match returns the route of host with the longest prefix of path.
func (r Routing) Match(host, path string) (Route, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Account returns the client account to which an API key belongs.
func (r Routing) Account(key string) (RoutedAccount, bool) {
	a, ok := r.accounts[key]
	return a, ok
}

// RequiresKey reports whether requests for routes that are not public need an
// API key.
func (r Routing) RequiresKey() bool {
	return r.requiresKey
}

// Group returns the upstream group with the given name.
func (r Routing) Group(name string) (Group, bool) {
	g, ok := r.groups[name]
	return g, ok
}

// PauseObjective returns the shortest objective for the gap between two events of
// a stream among the routes to a group, or zero if there is none.
func (r Routing) PauseObjective(group string) time.Duration {
	return r.pauseObjectives[group]
}

// RegionRules returns the restrictions of routes and client accounts to regions, or nil if there
// are none. The caller must not modify the slice.
func (r Routing) RegionRules() []RegionRule {
	return r.regionRules
}

// Groups returns all upstream groups, ordered by name.
func (r Routing) Groups() []Group {
	groups := make([]Group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// Stores returns the KV cache stores. The caller must not modify the slice.
func (r Routing) Stores() []KVStore {
	return r.stores
}

// Limits returns the limits on incoming requests and connections.
func (r Routing) Limits() Limits {
	return r.limits
}
