// Package loomsettings reads and checks the INI settings of one instance.
package loomsettings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings holds everything that an instance is told at its start. It is
// immutable once Read has returned it.
type Settings struct {
	Instance   Instance
	Platform   Platform
	Deployment Deployment
	Routing    Routing
	Timing     Timing
}

// Instance says who and where the process is.
type Instance struct {
	// ID is unique among the instances of a deployment.
	ID string
	// FailureDomain and Region name the place of the instance.
	FailureDomain string
	Region        string
	// HTTPAddress and PeerAddress are IP numbers with a port.
	HTTPAddress netip.AddrPort
	PeerAddress netip.AddrPort
	// SeedPeers are peers that a newborn instance asks for members and
	// catalogue while it does not reach the platform; there may be none.
	SeedPeers []netip.AddrPort
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	LogLevel     slog.Level
}

// Platform says how the platform's service is reached.
type Platform struct {
	// Driver names a registered platform driver.
	Driver string
	// Addresses holds at least one address.
	Addresses []netip.AddrPort
}

// Deployment holds what all instances of a deployment share.
type Deployment struct {
	Name string
	// PeerKey is the secret that instances show each other.
	PeerKey string
	// OperatorKey is the secret of the operators' part of the API.
	OperatorKey string
}

// Routing chooses the routing policy.
type Routing struct {
	Policy string
}

// Timing holds intervals and limits of time.
type Timing struct {
	ReportInterval    time.Duration
	GossipInterval    time.Duration
	CatalogueInterval time.Duration
	MembersInterval   time.Duration
	PlatformTimeout   time.Duration
	LookupTimeout     time.Duration
	DrainDelay        time.Duration
	DrainTimeout      time.Duration
}

// Default returns the settings that apply where a file is silent.
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
