// Package loomstandin implements stand-ins for the external systems that an
// instance talks to: the platform, KV cache stores, model engines and plain
// HTTP services.
//
// Each stand-in serves the interface of its system on a real socket and counts
// the work that it does, so that a caller can check for lost or repeated work.
// Faults can be injected while a stand-in runs. The package does not simulate a
// cluster: scheduling, placement and the network between hosts are not modelled.
package loomstandin
