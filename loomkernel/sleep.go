package loomkernel

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx if ctx ends
// first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
