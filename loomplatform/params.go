package loomplatform

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

// Parameters of connections. The delays before reconnecting grow from
// reconnectBase by reconnectFactor up to reconnectMax, with a random deviation of
// reconnectJitter. connectTimeout is the minimum time given to one connection
// attempt. After keepalivePeriod without activity a connection is probed, and it
// is closed if there is no answer within keepaliveTimeout.
const (
	reconnectBase    = 50 * time.Millisecond
	reconnectMax     = time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
	connectTimeout   = time.Second
	keepalivePeriod  = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
)

// Bounds of what is read for one call, in both directions: the fields of a header, and
// one message.
const (
	maxHeaderListBytes = 64 << 10
	maxMessageBytes    = 4 << 20
)

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  reconnectBase,
			Multiplier: reconnectFactor,
			Jitter:     reconnectJitter,
			MaxDelay:   reconnectMax,
		},
		MinConnectTimeout: connectTimeout,
	}
}

func keepaliveParams() keepalive.ClientParameters {
	return keepalive.ClientParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}
}
