package loomkernel

import (
	"context"
	"time"
)

// Pause waits for d, or until ctx ends, whose error it then returns.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
