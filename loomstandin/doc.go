// Package loomstandin holds small stand-ins for the systems outside: the
// platform, stores of kept state, model engines and plain services. They
// answer at their interfaces over real sockets, count effects and have faults
// that can be switched on while they run. They are no cluster simulator.
package loomstandin
