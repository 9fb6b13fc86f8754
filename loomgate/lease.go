package loomgate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted as a time.Time. It
// includes the time in suspend, during which the runtime's monotonic clock
// stops and a lease would appear valid for too long.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// releaseLease releases the lease when the process ends, so that the next
// holder need not wait until it expires.
func (r *rollout) releaseLease(ctx context.Context) {
	request, err := r.lease.Release(bootTime())
	if err != nil || request == nil {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
	defer cancel()
	if _, err := r.gate.source.Transact(call, request); err != nil {
		r.gate.log.Warn("lease_unwritten", "lease", leaseKey, "cause", err.Error())
		return
	}
	r.gate.log.Info("lease_given_up", "lease", leaseKey)
}

// tokensPerEpoch is the distance between the fencing tokens of two epochs of the
// platform's table. A table that returns from an older copy may have lost the row with the
// latest token.
const tokensPerEpoch = 1 << 20

// followEpoch gives up the lease when the platform's table has returned from an older copy.
// The row of the lease may be lost, so another instance may take the lease at once and
// must not act while an earlier holder still may.
func (r *rollout) followEpoch(now time.Time) {
	first, epoch, ok := r.gate.view.epochs()
	if !ok || epoch <= r.epoch {
		return
	}
	r.epoch = epoch
	token, wasHeld := r.lease.Held(now)
	r.lease.Reset(epoch * tokensPerEpoch)
	r.leaseReadAt = time.Time{}
	if wasHeld {
		r.gate.log.Warn("lease_lost", "lease", leaseKey, "token", token)
		return
	}
	if epoch > first {
		r.delayOrders(now.Add(leaseDuration + orderMargin))
	}
}

// delayOrders forbids orders before a time, in addition to earlier delays.
func (r *rollout) delayOrders(until time.Time) {
	if until.After(r.noOrdersBefore) {
		r.noOrdersBefore = until
	}
}

// ensureLease acquires or renews the lease when due and reports whether orders
// may be sent now. An instance that is stopping does not acquire it, since each change
// of the holder delays the next order.
func (r *rollout) ensureLease(ctx context.Context, now time.Time) bool {
	_, held := r.lease.Held(now)
	if !held && (r.gate.IsStopping() || !r.readLease(ctx, now) || now.Sub(r.pendingSince) < r.candidacyDelay()) {
		return false
	}
	switch {
	case !held:
		r.writeLease(ctx, leaseTimeout)
	case now.Sub(r.renewedAt) > renewInterval && now.Sub(r.renewalAttemptedAt) > renewInterval/2:
		r.renewalAttemptedAt = now
		r.writeLease(ctx, renewTimeout)
	}
	return r.canOrder(bootTime())
}

// canOrder reports whether an order may be sent at now.
func (r *rollout) canOrder(now time.Time) bool {
	_, held := r.lease.Held(now)
	return held && now.Sub(r.renewedAt) < r.orderWindow() && !now.Before(r.noOrdersBefore)
}

// orderWindow is how long orders may be sent after the latest renewal was sent.
// The next holder acquires the lease no earlier than one full lease duration
// after that renewal, so its first order follows the last one of this holder by
// at least MinOrderGap.
func (r *rollout) orderWindow() time.Duration {
	return leaseDuration - r.gate.settings.MinOrderGap - orderMargin
}

// candidacyDelay is how long this instance waits before it tries to acquire the
// lease, in favour of live instances with a lower hash. The instance that ranks
// first, or that held the lease last, does not wait.
func (r *rollout) candidacyDelay() time.Duration {
	ids := r.gate.peers.liveInstances()
	rank := 0
	if all := r.gate.coordinators.all(); all != nil {
		// Coordinators know the upstreams best. The others follow them.
		ids = all
		if !slices.Contains(all, r.gate.settings.ID) {
			rank = len(all)
		}
	}
	own := hashString(leaseKey + r.gate.settings.ID)
	for _, id := range ids {
		if id != r.gate.settings.ID && hashString(leaseKey+id) < own {
			rank++
		}
	}
	if holder, _ := r.lease.Holder(); r.isSelf(holder) {
		rank = 0
	}
	return time.Duration(rank) * candidacyStep
}

// isSelf reports whether a holder is this instance, in its current or an
// earlier incarnation. An earlier incarnation has ended and sends no more
// orders.
func (r *rollout) isSelf(holder string) bool {
	return strings.HasPrefix(holder, r.gate.settings.ID+"/")
}

// canTakeLease reports whether the lease may be acquired: a write is due, or an
// earlier incarnation of this instance holds it.
func (r *rollout) canTakeLease(now time.Time) bool {
	holder, _ := r.lease.Holder()
	return r.lease.Due(now) || (holder != r.holder && r.isSelf(holder))
}

// readLease reads the lease, at most once in leaseReadInterval, and reports
// whether it may be acquired.
func (r *rollout) readLease(ctx context.Context, now time.Time) bool {
	if !r.leaseReadAt.IsZero() && now.Sub(r.leaseReadAt) < max(leaseReadInterval, r.candidacyDelay()) {
		return r.canTakeLease(now)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	reply, err := r.gate.source.ReadRows(ctx, r.lease.Read())
	if err != nil || len(reply.GetRows()) == 0 {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", fmt.Sprint(err))
		return false
	}
	now = bootTime()
	r.leaseReadAt = now
	if err := r.lease.RecordRead(now, reply.GetRows()[0]); err != nil {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", err.Error())
	}
	return r.canTakeLease(now)
}

// writeLease renews or acquires the lease.
func (r *rollout) writeLease(ctx context.Context, timeout time.Duration) {
	previous, _ := r.lease.Holder()
	sent := bootTime()
	_, wasHeld := r.lease.Held(sent)
	request, err := r.lease.Write(sent)
	if err != nil {
		r.gate.log.Error("lease_unwritten", "lease", leaseKey, "cause", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := r.gate.source.Transact(ctx, request)
	if err != nil {
		r.gate.log.Warn("lease_unwritten", "lease", leaseKey, "cause", err.Error())
		// The write may have taken effect, so the row must be read again.
		r.leaseReadAt = time.Time{}
		return
	}
	now := bootTime()
	if err := r.lease.RecordWrite(now, reply); err != nil {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", err.Error())
	}
	token, isHeld := r.lease.Held(now)
	if !isHeld {
		r.gate.log.Info("lease_lost", "lease", leaseKey, "token", token)
		return
	}
	r.renewedAt = sent
	if wasHeld {
		return
	}
	if previous == "" && token > 1 {
		// The previous holder released the lease and may have sent an order
		// just before that.
		r.delayOrders(now.Add(r.gate.settings.MinOrderGap + orderMargin))
	}
	r.gate.log.Info("lease_taken", "lease", leaseKey, "token", token, "before", previous)
}
