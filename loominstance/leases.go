package loominstance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"swiftloom/loomlease"
)

// leaseTimeout bounds all calls of one step on a lease.
const leaseTimeout = 700 * time.Millisecond

// holderName identifies this process in leases. It includes the incarnation, so
// that a restarted instance is a different holder.
func (n *Instance) holderName() string {
	return fmt.Sprintf("%s/%d", n.ID(), n.incarnation)
}

// maintainLease acquires a lease that is free or has lapsed, and renews one
// that is due. mu guards the lease and is not held during calls.
func (n *Instance) maintainLease(ctx context.Context, l *loomlease.Lease, mu *sync.Mutex) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	mu.Lock()
	_, held := l.Held(time.Now())
	due := l.Due(time.Now())
	read := l.Read()
	mu.Unlock()
	if held && !due {
		return
	}
	if !held {
		reply, err := n.platform.ReadRows(ctx, read)
		if err != nil || len(reply.GetRows()) == 0 {
			return
		}
		mu.Lock()
		err = l.RecordRead(time.Now(), reply.GetRows()[0])
		due = l.Due(time.Now())
		mu.Unlock()
		if err != nil {
			n.log.Warn("the row holds no lease", "error", err)
		}
		if !due {
			return
		}
	}
	n.writeLease(ctx, l, mu)
}

// writeLease sends the write that acquires or renews a lease. After an error it
// reads the row, since the write may have been applied.
func (n *Instance) writeLease(ctx context.Context, l *loomlease.Lease, mu *sync.Mutex) {
	mu.Lock()
	request, err := l.Write(time.Now())
	read := l.Read()
	mu.Unlock()
	if err != nil {
		return
	}
	reply, err := n.platform.Transact(ctx, request)
	if err == nil {
		mu.Lock()
		_ = l.RecordWrite(time.Now(), reply)
		mu.Unlock()
		return
	}
	current, err := n.platform.ReadRows(ctx, read)
	if err != nil || len(current.GetRows()) == 0 {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = l.RecordRead(time.Now(), current.GetRows()[0])
}

// releaseLease frees a lease that this instance holds. If the platform does not
// answer, the lease expires by itself.
func (n *Instance) releaseLease(ctx context.Context, l *loomlease.Lease, mu *sync.Mutex) {
	mu.Lock()
	request, err := l.Release(time.Now())
	mu.Unlock()
	if err != nil || request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	_, _ = n.platform.Transact(ctx, request)
}
