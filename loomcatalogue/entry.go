package loomcatalogue

// Kind identifies a type of entry.
type Kind string

// The kinds of entries.
const (
	KindDeployment    Kind = "deployment"
	KindModel         Kind = "model"
	KindAdapter       Kind = "adapter"
	KindClientAccount Kind = "client_account"
	KindKeptPrompt    Kind = "kept_prompt"
	KindUpstreamGroup Kind = "upstream_group"
)

// Kinds returns all kinds of entries.
func Kinds() []Kind {
	return []Kind{KindDeployment, KindModel, KindAdapter, KindClientAccount, KindKeptPrompt, KindUpstreamGroup}
}

// ID identifies an entry.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the ID as "kind/name".
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// Header holds the fields that all entries have.
type Header struct {
	// Name is unique among the entries of a kind.
	Name string `json:"name" ini:"-"`
	// Owner is the council or team that is responsible for the entry.
	Owner string `json:"owner"`
	// Class is the importance of the entry: gold, silver or bronze.
	Class string `json:"class"`
}

// Entry is a catalogue entry. Its unexported method restricts the
// implementations to the types of this package.
type Entry interface {
	// ID returns the identity of the entry.
	ID() ID
	header() Header
}

// Rank returns the importance of the class as a number, higher being more
// important: 2 for gold, 1 for silver, 0 for any other class.
func (h Header) Rank() uint32 {
	switch h.Class {
	case "gold":
		return 2
	case "silver":
		return 1
	default:
		return 0
	}
}

func (h Header) header() Header {
	return h
}

// Deployment holds the settings of a deployment as a whole.
type Deployment struct {
	Header `ini:",extends"`
	// LoadLimit is the number of engines that may load weights at the same
	// time. It is at least 1.
	LoadLimit int `json:"load_limit"`
	// RecomputeWeight is the factor by which the routing cost counts the time
	// spent on recomputing tokens, in addition to the time to first token. Zero
	// means that only the time to first token counts.
	RecomputeWeight float64 `json:"recompute_weight"`
	// MinDomainShare is the percentage of an account's limit that each failure
	// domain may use even when it is partitioned from the others.
	MinDomainShare int `json:"min_domain_share"`
	// FailureDomains lists the failure domains of the deployment.
	FailureDomains []string `json:"failure_domains" delim:","`
}

// ID implements Entry.
func (e Deployment) ID() ID { return ID{KindDeployment, e.Name} }

// Model is a language model that the upstreams of a group serve.
type Model struct {
	Header `ini:",extends"`
	// Version is the version of the weights that new requests use. An edit
	// can't lower it.
	Version uint64 `json:"version"`
	// WindowTokens is the maximum length of prompt and answer together.
	WindowTokens int `json:"window_tokens"`
	// MaxTokens is the maximum length of an answer.
	MaxTokens int `json:"max_tokens"`
	// UpstreamGroup is the name of the group of engines that serve the model.
	UpstreamGroup string `json:"upstream_group"`
	// PrefillTokensPerSecond is the rate at which one engine processes prompts.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_second"`
	// BlockBytes is the size of the KV cache of one block of tokens.
	BlockBytes int `json:"block_bytes"`
}

// ID implements Entry.
func (e Model) ID() ID { return ID{KindModel, e.Name} }

// Adapter is a set of weights that modifies a model.
type Adapter struct {
	Header `ini:",extends"`
	// Model is the name of the model that the adapter modifies.
	Model string `json:"model"`
	// Version is the version of the adapter. An edit can't lower it.
	Version uint64 `json:"version"`
}

// ID implements Entry.
func (e Adapter) ID() ID { return ID{KindAdapter, e.Name} }

// ClientAccount is a customer, with the bearer keys, the scheduling weight and
// the limits of its requests.
type ClientAccount struct {
	Header `ini:",extends"`
	// KeySHA256 lists the SHA-256 digests of the bearer keys, in hexadecimal.
	KeySHA256 []string `json:"key_sha256" delim:","`
	// Share is the weight of the account in weighted fair queueing. It is at
	// least 1.
	Share int `json:"share"`
	// TokensPerSecond is the rate limit on recomputed prompt tokens plus answer
	// tokens.
	TokensPerSecond int `json:"tokens_per_second"`
	// BurstTokens is the size of the token bucket of the rate limit. It is
	// divided evenly among the failure domains of the deployment.
	BurstTokens int `json:"burst_tokens"`
	// MaxQueued is the maximum number of requests of the account that are
	// queued for one upstream group at one instance.
	MaxQueued int `json:"max_queued"`
	// KeptBytes is the maximum size of the account's KV cache in all stores
	// together. Zero means no limit.
	KeptBytes int64 `json:"kept_bytes"`
	// Models lists the models that the account may use. An empty list allows
	// all of them.
	Models []string `json:"models" delim:","`
}

// ID implements Entry.
func (e ClientAccount) ID() ID { return ID{KindClientAccount, e.Name} }

// KeptPrompt extends the retention of the stored KV cache of prompts: it applies
// to the prompts of a client account that contain a given block.
type KeptPrompt struct {
	Header        `ini:",extends"`
	ClientAccount string `json:"client_account"`
	Model         string `json:"model"`
	// BlockKey is the key of the block that selects the prompts, in hexadecimal.
	BlockKey string `json:"block_key"`
	// RetainSeconds is how long the stored state is retained after its last use.
	RetainSeconds int `json:"retain_seconds"`
}

// ID implements Entry.
func (e KeptPrompt) ID() ID { return ID{KindKeptPrompt, e.Name} }

// UpstreamGroup is a set of interchangeable upstreams.
type UpstreamGroup struct {
	Header `ini:",extends"`
	// UpstreamKind is "engine", "store" or "service".
	UpstreamKind string `json:"upstream_kind"`
	// ChecksFencing reports whether the upstreams refuse orders with a fencing
	// token below the highest one that they have accepted.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxQueued is the maximum number of requests for the group that are queued
	// at one instance. Zero selects the default of the instance.
	MaxQueued int `json:"max_queued"`
	// MaxOrderSeconds is the maximum time that an order to an upstream takes to
	// complete. Zero selects the default of the instance.
	MaxOrderSeconds int `json:"max_order_seconds"`
	// LinkBytesPerSecond is the bandwidth of the network link of each store.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// Stores is the name of the group of stores that the engines of this group
	// use. It is empty for groups that use none.
	Stores string `json:"stores"`
}

// ID implements Entry.
func (e UpstreamGroup) ID() ID { return ID{KindUpstreamGroup, e.Name} }
