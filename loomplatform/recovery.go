package loomplatform

import (
	"context"
	"log/slog"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoverCall is a grpc.UnaryServerInterceptor that answers a call whose handler panics with
// an error. Otherwise the process would end, and a caller that repeats the call elsewhere
// would end one process after the other.
func recoverCall(ctx context.Context, r any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.ErrorContext(ctx, "call_panicked", "method", info.FullMethod, "cause", cause, "stack", string(debug.Stack()))
			err = status.Errorf(codes.Internal, "handler of %s panicked", info.FullMethod)
		}
	}()
	return handler(ctx, r)
}
