package loominstance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"swiftloom/loomlease"
)

const leaseTimeout = 700 * time.Millisecond

// holderName names this process in leases; it differs between incarnations.
func (n *Instance) holderName() string {
	return fmt.Sprintf("%s/%d", n.ID(), n.incarnation)
}

// holdLease takes or renews a lease if that is due. The lease is guarded by
// mu, which is not held during calls.
func (n *Instance) holdLease(ctx context.Context, l *loomlease.Lease, mu *sync.Mutex) {
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
		if err != nil || !due {
			return
		}
	}
	n.writeLease(ctx, l, mu)
}

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
	again, err := n.platform.ReadRows(ctx, read)
	if err != nil || len(again.GetRows()) == 0 {
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = l.RecordRead(time.Now(), again.GetRows()[0])
}

// giveUpLease frees a lease if it is held. When the platform does not answer,
// the lease lapses by itself.
func (n *Instance) giveUpLease(ctx context.Context, l *loomlease.Lease, mu *sync.Mutex) {
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
