package loomcatalogue

// Kind names a type of entry.
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

// Kinds returns every kind of entry.
func Kinds() []Kind {
	return []Kind{KindDeployment, KindModel, KindAdapter, KindClientAccount, KindKeptPrompt, KindUpstreamGroup}
}

// ID names one entry.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind and name with a slash between them.
func (id ID) String() string {
	return string(id.Kind) + "/" + id.Name
}

// Header is what all entries have.
type Header struct {
	// Name is unique within the kind.
	Name string `json:"name" ini:"-"`
	// Owner is the council or team that answers for the entry.
	Owner string `json:"owner"`
	// Class orders entries by importance: gold, silver or bronze.
	Class string `json:"class"`
}

// Entry is one of the types of entries of this package.
type Entry interface {
	// ID returns the identity of the entry.
	ID() ID
	header() Header
}

// Rank returns the importance of the class: 2 for gold, 1 for silver, 0 else.
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

// Deployment holds what concerns a deployment as a whole.
type Deployment struct {
	Header `ini:",extends"`
	// LoadLimit is how many runners may load weights at once; at least one.
	LoadLimit int `json:"load_limit"`
	// RecomputeWeight multiplies the time to recompute tokens in the routing
	// score; zero weighs time to first token alone.
	RecomputeWeight float64 `json:"recompute_weight"`
	// MinDomainShare is the part of an account's limit, in percent, that each
	// failure domain keeps when it is cut off.
	MinDomainShare int `json:"min_domain_share"`
	// FailureDomains lists the domains of the deployment.
	FailureDomains []string `json:"failure_domains" delim:","`
}

// ID implements Entry.
func (e Deployment) ID() ID { return ID{KindDeployment, e.Name} }

// Model is a language model that upstreams of a group serve.
type Model struct {
	Header `ini:",extends"`
	// Version is the weight version that new requests use; it only rises.
	Version uint64 `json:"version"`
	// WindowTokens bounds prompt and answer together.
	WindowTokens int `json:"window_tokens"`
	// MaxTokens bounds an answer.
	MaxTokens int `json:"max_tokens"`
	// UpstreamGroup names the engines that serve the model.
	UpstreamGroup string `json:"upstream_group"`
	// PrefillTokensPerSecond is what one engine computes of prompts.
	PrefillTokensPerSecond int `json:"prefill_tokens_per_second"`
	// BlockBytes is the size of the kept state of one block of tokens.
	BlockBytes int `json:"block_bytes"`
}

// ID implements Entry.
func (e Model) ID() ID { return ID{KindModel, e.Name} }

// Adapter changes a model.
type Adapter struct {
	Header `ini:",extends"`
	Model  string `json:"model"`
	// Version only rises.
	Version uint64 `json:"version"`
}

// ID implements Entry.
func (e Adapter) ID() ID { return ID{KindAdapter, e.Name} }

// ClientAccount is a caller with a key, a share and limits.
type ClientAccount struct {
	Header `ini:",extends"`
	// KeySHA256 lists the SHA-256 digests, in hexadecimal, of the bearer keys.
	KeySHA256 []string `json:"key_sha256" delim:","`
	// Share is the weight of the account in a fair queue; at least one.
	Share int `json:"share"`
	// TokensPerSecond limits recomputed prompt tokens plus answer tokens.
	TokensPerSecond int `json:"tokens_per_second"`
	// BurstTokens is what may be spent at once.
	BurstTokens int `json:"burst_tokens"`
	// MaxQueued bounds the requests of the account that wait at an instance.
	MaxQueued int `json:"max_queued"`
	// KeptBytes bounds the kept state of the account in all stores together.
	KeptBytes int64 `json:"kept_bytes"`
	// Models lists the models that the account may use; empty means all.
	Models []string `json:"models" delim:","`
}

// ID implements Entry.
func (e ClientAccount) ID() ID { return ID{KindClientAccount, e.Name} }

// KeptPrompt asks that the kept state of prompts outlive its usual retention:
// of those that hold a certain block.
type KeptPrompt struct {
	Header        `ini:",extends"`
	ClientAccount string `json:"client_account"`
	Model         string `json:"model"`
	// BlockKey is the key of a block of the prompts, in hexadecimal.
	BlockKey string `json:"block_key"`
	// RetainSeconds is how long the state is kept after its last use.
	RetainSeconds int `json:"retain_seconds"`
}

// ID implements Entry.
func (e KeptPrompt) ID() ID { return ID{KindKeptPrompt, e.Name} }

// UpstreamGroup is a set of interchangeable upstreams.
type UpstreamGroup struct {
	Header `ini:",extends"`
	// UpstreamKind is engine, store or service.
	UpstreamKind string `json:"upstream_kind"`
	// ChecksFencing tells whether the upstreams refuse old fencing tokens.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxQueued bounds the requests that wait for the group at an instance.
	MaxQueued int `json:"max_queued"`
	// MaxOrderSeconds bounds the time that an order to an upstream takes.
	MaxOrderSeconds int `json:"max_order_seconds"`
	// LinkBytesPerSecond is the capacity of the link of each store.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// Stores names the group of stores that engines of this group use.
	Stores string `json:"stores"`
}

// ID implements Entry.
func (e UpstreamGroup) ID() ID { return ID{KindUpstreamGroup, e.Name} }
