package loomtrial

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loomload"
	"swiftloom/loompb"
)

// Site describes the deployment of one user with all times scaled down. It is
// immutable.
type Site struct {
	Name           string
	FailureDomains []string
	Instances      int
	// ModelGroup is the group of engines that serves Model. It has Runners
	// engines and uses the stores of StoreGroup, one in each failure domain.
	// OtherGroup, OtherRunners, OtherStoreGroup and OtherModel describe a
	// second group, to which the load sends no requests.
	ModelGroup      string
	Runners         int
	StoreGroup      string
	OtherGroup      string
	OtherRunners    int
	OtherStoreGroup string
	ServiceGroup    string
	Services        int
	Model           string
	OtherModel      string
	// LoadLimit is how many runners may load weights at the same time.
	LoadLimit int
	// RecomputeWeight is the factor by which the routing cost multiplies the time
	// to recompute tokens.
	RecomputeWeight float64

	// PrefillPerToken is the time an engine takes to compute one prompt token, and
	// StepTime the time of one decoding step.
	PrefillPerToken time.Duration
	StepTime        time.Duration
	CacheBlocks     int
	BlockBytes      int
	// StoreMemoryBytes and StoreDiskBytes are the capacities of each store.
	StoreMemoryBytes int64
	StoreDiskBytes   int64
	// LinkBytesPerSecond is the capacity of the link of each store.
	LinkBytesPerSecond int64
	Workload           loomload.Workload
	// ListLag is the delay of the platform's list of members; zero means the
	// default of the stand-in.
	ListLag time.Duration
	// AccountTokensPerSecond is the rate limit of each account.
	AccountTokensPerSecond int
	// EqualShares gives all accounts the same weight in the fair queue.
	EqualShares bool
	// EndsEngine reports whether a request ends the process of each engine that gets it; nil
	// means that none does.
	EndsEngine func(r *loompb.GenerateRequest) bool
	// TokensBeforeEnd is the number of tokens of the answer to such a request that an engine
	// sends before it ends.
	TokensBeforeEnd int
	// EndsService reports whether a job ends the process of each service that runs it; nil
	// means that none does.
	EndsService func(job string) bool
}

const (
	operatorKey = "operator"
	peerKey     = "peers"
	mib         = 1 << 20
	// The first largeAccounts of the accountCount accounts have the weight
	// largeAccountWeight, all others 1, so that a few accounts send most of the
	// load.
	accountCount       = 10
	largeAccounts      = 3
	largeAccountWeight = 4
	// unlimitedTokensPerSecond is a rate limit that no load of a trial reaches.
	unlimitedTokensPerSecond = 1 << 20
)

var sites = map[string]Site{
	"port": {
		Name:               "port",
		FailureDomains:     []string{"zatoka-a", "zatoka-b", "zatoka-c", "zatoka-d"},
		Instances:          8,
		ModelGroup:         "llm-port",
		Runners:            12,
		StoreGroup:         "bufor-a",
		OtherGroup:         "dyspozytor",
		OtherRunners:       4,
		OtherStoreGroup:    "bufor-b",
		ServiceGroup:       "call-outs",
		Services:           4,
		Model:              "pilot-notes",
		OtherModel:         "dispatch",
		LoadLimit:          2,
		RecomputeWeight:    0.25,
		PrefillPerToken:    40 * time.Microsecond,
		StepTime:           4 * time.Millisecond,
		CacheBlocks:        256,
		BlockBytes:         128 << 10,
		StoreMemoryBytes:   1024 * mib,
		StoreDiskBytes:     2048 * mib,
		LinkBytesPerSecond: 256 * mib,
		Workload: loomload.Workload{
			Requests:          1500,
			RequestsPerSecond: 110,
			ServiceShare:      0.15,
			FollowUps:         3,
			FollowUpInterval:  5 * time.Second,
			FollowUpTokens:    100,
			PromptTokens:      1600,
			SharedTokens:      200,
			AnswerTokens:      20,
		},
	},
	"morrison": {
		Name:               "morrison",
		FailureDomains:     []string{"kingston-a", "kingston-b", "kingston-c", "kingston-d"},
		Instances:          8,
		ModelGroup:         "model-desk",
		Runners:            18,
		StoreGroup:         "prompt-store-a",
		OtherGroup:         "booking-desk",
		OtherRunners:       4,
		OtherStoreGroup:    "prompt-store-b",
		ServiceGroup:       "booking-app",
		Services:           4,
		Model:              "job-histories",
		OtherModel:         "bookings",
		LoadLimit:          3,
		RecomputeWeight:    1.5,
		PrefillPerToken:    40 * time.Microsecond,
		StepTime:           4 * time.Millisecond,
		CacheBlocks:        256,
		BlockBytes:         128 << 10,
		StoreMemoryBytes:   1024 * mib,
		StoreDiskBytes:     2048 * mib,
		LinkBytesPerSecond: 256 * mib,
		Workload: loomload.Workload{
			Requests:          1500,
			RequestsPerSecond: 100,
			ServiceShare:      0.15,
			FollowUps:         4,
			FollowUpInterval:  5 * time.Second,
			FollowUpTokens:    120,
			PromptTokens:      2400,
			SharedTokens:      200,
			AnswerTokens:      20,
		},
	},
}

// Sites returns the names of all sites in alphabetical order.
func Sites() []string {
	var names []string
	for name := range sites {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// SiteByName returns the site with the given name, without rate limits. It
// returns a juju/errors NotFound error if there is no such site.
func SiteByName(name string) (Site, error) {
	s, ok := sites[name]
	if !ok {
		return Site{}, errors.NotFoundf("site %q (have %v)", name, Sites())
	}
	s.AccountTokensPerSecond = unlimitedTokensPerSecond
	s.Workload.Accounts = s.accounts()
	s.Workload.Model = s.Model
	s.Workload.Service = s.ServiceGroup
	return s, nil
}

func (s Site) accounts() []loomload.Account {
	var accounts []loomload.Account
	for i := range accountCount {
		a := loomload.Account{Name: fmt.Sprintf("%s-%02d", s.Name, i), Weight: 1}
		a.Key = "key-of-" + a.Name
		if i < largeAccounts {
			a.Weight = largeAccountWeight
		}
		accounts = append(accounts, a)
	}
	return accounts
}

func keySHA256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// catalogue returns the changes that create the initial catalogue of the site.
func (s Site) catalogue() ([]loomcatalogue.Change, error) {
	header := func(name, class string) loomcatalogue.Header {
		return loomcatalogue.Header{Name: name, Owner: s.Name, Class: class}
	}
	entries := []loomcatalogue.Entry{
		loomcatalogue.Deployment{
			Header:          header(s.Name, "gold"),
			LoadLimit:       s.LoadLimit,
			RecomputeWeight: s.RecomputeWeight,
			MinDomainShare:  15,
			FailureDomains:  s.FailureDomains,
		},
		loomcatalogue.UpstreamGroup{Header: header(s.StoreGroup, "gold"), UpstreamKind: "store", LinkBytesPerSecond: s.LinkBytesPerSecond},
		loomcatalogue.UpstreamGroup{Header: header(s.OtherStoreGroup, "silver"), UpstreamKind: "store", LinkBytesPerSecond: s.LinkBytesPerSecond},
		loomcatalogue.UpstreamGroup{
			Header:          header(s.ModelGroup, "gold"),
			UpstreamKind:    "engine",
			ChecksFencing:   true,
			MaxQueued:       2000,
			MaxOrderSeconds: 4,
			Stores:          s.StoreGroup,
		},
		loomcatalogue.UpstreamGroup{
			Header:          header(s.OtherGroup, "silver"),
			UpstreamKind:    "engine",
			MaxQueued:       2000,
			MaxOrderSeconds: 4,
			Stores:          s.OtherStoreGroup,
		},
		loomcatalogue.UpstreamGroup{Header: header(s.ServiceGroup, "gold"), UpstreamKind: "service", MaxQueued: 2000},
		s.modelEntry(s.ModelGroup, header(s.Model, "gold")),
		s.modelEntry(s.OtherGroup, header(s.OtherModel, "silver")),
	}
	for _, a := range s.accounts() {
		share := int(a.Weight)
		if s.EqualShares {
			share = 1
		}
		entries = append(entries, loomcatalogue.ClientAccount{
			Header:          header(a.Name, "silver"),
			KeySHA256:       []string{keySHA256Hex(a.Key)},
			Share:           share,
			TokensPerSecond: s.AccountTokensPerSecond,
			BurstTokens:     s.AccountTokensPerSecond / 2,
			MaxQueued:       500,
		})
	}
	return encodeChanges(entries)
}

func (s Site) modelEntry(group string, h loomcatalogue.Header) loomcatalogue.Model {
	return loomcatalogue.Model{
		Header:                 h,
		Version:                1,
		WindowTokens:           32768,
		MaxTokens:              1024,
		UpstreamGroup:          group,
		PrefillTokensPerSecond: int(time.Second / s.PrefillPerToken),
		BlockBytes:             s.BlockBytes,
	}
}

func encodeChanges(entries []loomcatalogue.Entry) ([]loomcatalogue.Change, error) {
	var changes []loomcatalogue.Change
	for _, e := range entries {
		spec, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Annotatef(err, "encode %s", e.ID())
		}
		changes = append(changes, loomcatalogue.Change{ID: e.ID(), Spec: spec})
	}
	return changes, nil
}
