// Package loomtrial runs all stand-ins and several instances of a simulated site
// in one process, connected by TCP over the loopback interface. It generates
// load, injects faults, checks the guarantees given to callers and reports the
// measurements.
package loomtrial
