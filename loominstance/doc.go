// Package loominstance is one entry instance: the thin shell of sockets,
// timers and streams around the deciders of the other packages.
//
// An instance takes requests of callers over HTTP, talks to its peers, to
// engines, stores and the platform by grpc and to plain services by HTTP, and
// keeps nothing: all that it holds can be learnt again.
package loominstance
