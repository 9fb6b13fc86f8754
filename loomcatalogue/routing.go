package loomcatalogue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteKind tells how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events. They run at most
	// once unless the route is resumable.
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

// WeightedGroup is one target of a route.
type WeightedGroup struct {
	Group string
	// Weight is at least zero; a weight of zero gets no request.
	Weight int
}

// Route tells what is done with the requests of one host and path prefix. It is
// immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time, and
	// PauseObjective the longest pause between the events of a stream.
	Objective      time.Duration
	PauseObjective time.Duration
	// Rank orders routes; zero goes first.
	Rank int
	// Targets is not empty.
	Targets []WeightedGroup
	// Attempts is the most upstreams that may run one request.
	Attempts int
	// Public routes need no key.
	Public    bool
	Resumable bool
	// Prompted routes carry prompts with parts that return.
	Prompted bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Target returns the group for a draw, which is any number.
func (r Route) Target(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return r.Targets[0].Group
	}
	at := int(draw % uint64(total))
	for _, t := range r.Targets {
		at -= max(t.Weight, 0)
		if at < 0 {
			return t.Group
		}
	}
	return r.Targets[len(r.Targets)-1].Group
}

// RoutedAccount is a client account as requests meet it.
type RoutedAccount struct {
	Name string
	// Rank replaces the rank of the route when HasRank is true.
	Rank    int
	HasRank bool
	// Isolated accounts share no kept state with others.
	Isolated bool
}

// Group is a set of equal upstreams. It is immutable.
type Group struct {
	Name string
	// Engine is nil unless the upstreams run models.
	Engine *EngineClass
	// MaxConnections is how many connections one upstream takes from all
	// callers.
	MaxConnections int
	HealthPath     string
}

// EngineClass tells what the model engines of a group can do.
type EngineClass struct {
	Slots int
	// MemoryTokens is the memory for running and cached tokens.
	MemoryTokens  int
	BytesPerToken int
	// LinkBitsPerSecond is the rate of the link for kept state.
	LinkBitsPerSecond float64
	Models            []string
}

// KeptStateStore is a store for kept state.
type KeptStateStore struct {
	Name              string
	Address           string
	FailureDomain     string
	MemoryTokens      int
	LinkBitsPerSecond float64
	// FirstByte is added to each transfer.
	FirstByte time.Duration
	// Managed stores drop nothing by themselves.
	Managed bool
	// MaxWatches is how many watches of events the store holds open.
	MaxWatches int
}

// Limits bounds what a caller may send. A zero value means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one revision of what operators ask of routing: routes, groups,
// accounts and limits. It is immutable; the zero value knows nothing.
type Routing struct {
	revision uint64
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]Route
	groups map[string]Group
	stores []KeptStateStore
	// accounts is keyed by secret key.
	accounts map[string]RoutedAccount
	keyed    bool
	limits   Limits
}

// RoutingSource is what a Routing is made of.
type RoutingSource struct {
	Revision uint64
	Routes   []Route
	Groups   []Group
	Stores   []KeptStateStore
	// Accounts is keyed by secret key. Keyed tells that callers need a key.
	Accounts map[string]RoutedAccount
	Keyed    bool
	Limits   Limits
}

// NewRouting returns the routing of a source, whose maps it takes over.
func NewRouting(s RoutingSource) Routing {
	r := Routing{
		revision: s.Revision,
		byHost:   make(map[string][]Route),
		groups:   make(map[string]Group, len(s.Groups)),
		stores:   s.Stores,
		accounts: s.Accounts,
		keyed:    s.Keyed,
		limits:   s.Limits,
	}
	for _, route := range s.Routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
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

// Revision returns the revision; zero means that nothing is known.
func (r Routing) Revision() uint64 {
	return r.revision
}

// Match returns the route with the longest prefix of path at a host.
func (r Routing) Match(host, path string) (Route, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Account returns the client account that holds a key.
func (r Routing) Account(key string) (RoutedAccount, bool) {
	a, ok := r.accounts[key]
	return a, ok
}

// Keyed reports whether routes that are not public need a key.
func (r Routing) Keyed() bool {
	return r.keyed
}

// Group returns a group by name.
func (r Routing) Group(name string) (Group, bool) {
	g, ok := r.groups[name]
	return g, ok
}

// Groups returns all groups in the order of their names.
func (r Routing) Groups() []Group {
	groups := make([]Group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// Stores returns the stores for kept state; the caller must not change them.
func (r Routing) Stores() []KeptStateStore {
	return r.stores
}

// Limits returns the bounds on what callers send.
func (r Routing) Limits() Limits {
	return r.limits
}
