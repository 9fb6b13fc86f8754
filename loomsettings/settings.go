// Package loomsettings reads and validates the INI settings file of an instance.
package loomsettings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings holds the settings of an instance. They are read once at the start; a
// value that Read has returned is immutable.
type Settings struct {
	Instance   Instance
	Platform   Platform
	Deployment Deployment
	Routing    Routing
	Timing     Timing
}

// Instance holds the identity, location and addresses of the process.
type Instance struct {
	// ID is unique among the instances of a deployment.
	ID string
	// FailureDomain and Region are the location of the instance.
	FailureDomain string
	Region        string
	// HTTPAddress and PeerAddress are the listen addresses for callers and for
	// peers.
	HTTPAddress netip.AddrPort
	PeerAddress netip.AddrPort
	// SeedPeers are asked for the members and the catalogue by an instance that
	// starts while the platform is unreachable. The list may be empty.
	SeedPeers []netip.AddrPort
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MemoryMB is the memory of the process in MiB. Zero means that the default bounds what is
	// held for callers and the heap is not bounded.
	MemoryMB int64
	LogLevel slog.Level
}

// Platform holds the driver and the addresses of the platform.
type Platform struct {
	// Driver is the name of a registered loomplatform driver.
	Driver string
	// Addresses is not empty.
	Addresses []netip.AddrPort
}

// Deployment holds the settings that all instances of a deployment share.
type Deployment struct {
	Name string
	// PeerKey is the secret with which instances authenticate to each other.
	PeerKey string
	// OperatorKey is the secret that authorizes the operators' part of the API.
	OperatorKey string
}

// Routing holds the name of the routing policy.
type Routing struct {
	Policy string
}

// Timing holds intervals and timeouts.
type Timing struct {
	// The intervals are the periods of the calls for engines' reports, gossip
	// between peers, and the refresh of the catalogue and of the members.
	ReportInterval    time.Duration
	GossipInterval    time.Duration
	CatalogueInterval time.Duration
	MembersInterval   time.Duration
	// PlatformTimeout bounds a call to the platform, and LookupTimeout the
	// lookup of cached prompt segments. Segments for which no answer has
	// arrived by then count as not cached.
	PlatformTimeout time.Duration
	LookupTimeout   time.Duration
	// DrainDelay is the time between the start of a drain and the shutdown of
	// the server, and DrainTimeout bounds the shutdown.
	DrainDelay   time.Duration
	DrainTimeout time.Duration
}

// Default returns the settings for keys that a file doesn't set.
func Default() Settings {
	return Settings{
		Instance: Instance{
			Region:       "default",
			MaxBodyBytes: 8 << 20,
			LogLevel:     slog.LevelInfo,
		},
		Platform: Platform{Driver: "grpc"},
		Routing:  Routing{Policy: "cost"},
		Timing: Timing{
			ReportInterval:    100 * time.Millisecond,
			GossipInterval:    250 * time.Millisecond,
			CatalogueInterval: 500 * time.Millisecond,
			MembersInterval:   500 * time.Millisecond,
			PlatformTimeout:   time.Second,
			LookupTimeout:     20 * time.Millisecond,
			DrainDelay:        500 * time.Millisecond,
			DrainTimeout:      60 * time.Second,
		},
	}
}
