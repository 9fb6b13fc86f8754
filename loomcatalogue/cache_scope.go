package loomcatalogue

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"net/url"
	"slices"
	"strings"
)

// cacheScopes holds which accounts share KV cache in one revision. It is immutable.
type cacheScopes struct {
	// isolated holds the names of the accounts that share none.
	isolated map[string]bool
	// shared is the scope of all other accounts. It is empty if isolated is.
	shared string
}

func newCacheScopes(s RoutingSpec) cacheScopes {
	isolated := make(map[string]bool)
	for _, name := range s.IsolatedAccounts {
		isolated[name] = true
	}
	for _, a := range s.Accounts {
		if a.IsIsolated {
			isolated[a.Name] = true
		}
	}
	return cacheScopes{isolated: isolated, shared: sharedScope(slices.Sorted(maps.Keys(isolated)))}
}

// ownScopeMark begins the scope of an isolated account, and sharedScopeMark that of the accounts that
// share KV cache.
const (
	ownScopeMark    = "@"
	sharedScopeMark = ":"
)

// sharedScope returns the scope of the accounts that share KV cache while others are isolated. It
// differs for each set of isolated accounts: KV cache that an account left behind before it was
// isolated can't be told from that of the accounts with which it shared.
func sharedScope(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	const digestBytes = 15 // a multiple of three, so that the text has no padding
	escaped := make([]string, 0, len(isolated))
	for _, name := range isolated {
		escaped = append(escaped, url.QueryEscape(name))
	}
	digest := sha256.Sum256([]byte(strings.Join(escaped, "/")))
	return sharedScopeMark + base64.RawURLEncoding.EncodeToString(digest[:digestBytes])
}

// IsIsolated reports whether a request of an account shares no KV cache with other accounts. One that
// was admitted while its account was isolated doesn't, whatever the revision says.
func (r Routing) IsIsolated(a RoutedAccount) bool {
	return a.IsIsolated || r.scopes.isolated[a.Name]
}

// CacheScope returns the scope of the KV cache that a request of an account may use and leaves
// behind. It contains no slash, and is empty if no account is isolated. It depends on the revision
// alone, so instances agree on it whatever revisions they have seen before.
func (r Routing) CacheScope(a RoutedAccount) string {
	if r.IsIsolated(a) {
		return ownScopeMark + url.QueryEscape(a.Name)
	}
	return r.scopes.shared
}
