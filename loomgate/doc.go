// Package loomgate forwards opaque requests from callers to upstreams. It
// matches each request against the routing, selects an upstream, sends the
// request, retries failed attempts and relays the answer. It also maintains the
// instance's view of the catalogue and the upstreams.
//
// Each request runs on the goroutine of its caller's connection. Run starts and
// stops one goroutine each for the platform's feeds, the exchange with peers,
// the watches of KV cache stores, the rollout of weights and the gauges.
package loomgate
