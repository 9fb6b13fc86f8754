// Package loominstance implements one entry instance: the sockets, timers and
// streams around the decision logic of the other packages.
//
// An instance serves callers over HTTP. It talks to its peers, engines, stores
// and the platform over gRPC, and to plain services over HTTP. It stores
// nothing durably: all of its state can be rebuilt from the others.
package loominstance
