// Package loomgate carries opaque requests from callers to upstreams: it matches
// them against the routing, chooses an upstream, sends, retries, relays the
// answer, and keeps what the instance believes of catalogue and upstreams.
//
// Each request has the goroutine of its caller's connection. Feeds of the
// platform, the exchange with peers and the rollout of weights have one
// goroutine each, which Run starts and ends.
package loomgate
