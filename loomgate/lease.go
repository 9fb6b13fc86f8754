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
	r.lease.Follow(now, epoch, epoch*tokensPerEpoch, epoch > first)
	r.leaseReadAt = time.Time{}
	if wasHeld {
		r.gate.log.Warn("lease_lost", "lease", leaseKey, "token", token)
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
	case now.Sub(r.lease.RenewedAt()) > renewInterval && now.Sub(r.renewalAttemptedAt) > renewInterval/2:
		r.renewalAttemptedAt = now
		r.writeLease(ctx, renewTimeout)
	}
	return r.canOrder(bootTime())
}

// canOrder reports whether an order may be sent at now.
func (r *rollout) canOrder(now time.Time) bool {
	return r.lease.CanAct(now)
}

// orderWindow is how long orders may be sent after the latest renewal was sent.
func (r *rollout) orderWindow() time.Duration {
	return leaseDuration - orderGap(r.gate.settings)
}

// orderGap returns the time between the last order that a lease allows and the first order of the
// next holder.
func orderGap(s Settings) time.Duration {
	return s.MinOrderGap + orderMargin
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

// readLease reads the lease, at most once in leaseReadInterval, and reports
// whether it may be acquired.
func (r *rollout) readLease(ctx context.Context, now time.Time) bool {
	if !r.leaseReadAt.IsZero() && now.Sub(r.leaseReadAt) < max(leaseReadInterval, r.candidacyDelay()) {
		return r.lease.Due(now)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	reply, err := r.gate.source.ReadRows(ctx, r.lease.Read())
	if err != nil || len(reply.GetRows()) == 0 {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", fmt.Sprint(err))
		return false
	}
	now = bootTime()
	// The reply may be the first to show a new epoch.
	r.followEpoch(now)
	r.leaseReadAt = now
	if err := r.lease.RecordRead(now, reply.GetRows()[0]); err != nil {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", err.Error())
	}
	return r.lease.Due(now)
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
	if wasHeld {
		return
	}
	r.gate.log.Info("lease_taken", "lease", leaseKey, "token", token, "before", previous)
}
