package loomgate

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootNow returns the time since the machine started, which goes on while the
// machine is suspended; the steady clock of the runtime does not.
func bootNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// giveUp frees the lease at the end of the process, so that the next holder need
// not wait until it lapses.
func (r *rollout) giveUp(ctx context.Context) {
	request, err := r.lease.GiveUp(bootNow())
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

// hold takes or renews the lease and reports whether orders may be given now.
func (r *rollout) hold(ctx context.Context, now time.Time) bool {
	_, held := r.lease.Held(now)
	if !held && (!r.read(ctx, now) || now.Sub(r.wantSince) < r.candidacy()) {
		return false
	}
	switch {
	case !held:
		r.write(ctx, leaseTimeout)
	case now.Sub(r.renewedAt) > renewInterval && now.Sub(r.triedAt) > renewInterval/2:
		r.triedAt = now
		r.write(ctx, renewTimeout)
	}
	return r.mayOrder(bootNow())
}

// mayOrder reports whether an order may be sent at now.
func (r *rollout) mayOrder(now time.Time) bool {
	_, held := r.lease.Held(now)
	return held && now.Sub(r.renewedAt) < r.orderWindow() && !now.Before(r.quietUntil)
}

// orderWindow is how long after the sending of a renewal orders may be given.
// The next holder takes the lease a whole lease after that, so its first order
// comes at least the gap after the last one.
func (r *rollout) orderWindow() time.Duration {
	return rolloutLease - r.gate.settings.OrderGap - orderMargin
}

// candidacy is how long this instance leaves the lease to others: the instance
// that ranks first tries at once.
func (r *rollout) candidacy() time.Duration {
	ids := r.gate.peers.live()
	rank := 0
	own := hashOf(leaseKey + r.gate.settings.ID)
	for _, id := range ids {
		if id != r.gate.settings.ID && hashOf(leaseKey+id) < own {
			rank++
		}
	}
	if holder, _ := r.lease.Holder(); r.ownMachine(holder) {
		rank = 0
	}
	return time.Duration(rank) * candidacyStep
}

// ownMachine reports whether a holder is this instance, in this or an earlier
// incarnation. An earlier one has ended and gives no more orders.
func (r *rollout) ownMachine(holder string) bool {
	return strings.HasPrefix(holder, r.gate.settings.ID+"/")
}

// mayTake reports whether the lease may be taken or is held.
func (r *rollout) mayTake(now time.Time) bool {
	holder, _ := r.lease.Holder()
	return r.lease.Due(now) || (holder != r.holder && r.ownMachine(holder))
}

// read reads the lease and reports whether it may be taken.
func (r *rollout) read(ctx context.Context, now time.Time) bool {
	if !r.readAt.IsZero() && now.Sub(r.readAt) < readInterval {
		return r.mayTake(now)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	reply, err := r.gate.source.ReadRows(ctx, r.lease.Read())
	if err != nil || len(reply.GetRows()) == 0 {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", fmt.Sprint(err))
		return false
	}
	now = bootNow()
	r.readAt = now
	if err := r.lease.Seen(now, reply.GetRows()[0]); err != nil {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", err.Error())
		return false
	}
	return r.mayTake(now)
}

// write renews or takes the lease.
func (r *rollout) write(ctx context.Context, limit time.Duration) {
	before, _ := r.lease.Holder()
	sent := bootNow()
	_, held := r.lease.Held(sent)
	request, err := r.lease.Write(sent)
	if err != nil {
		r.gate.log.Error("lease_unwritten", "lease", leaseKey, "cause", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := r.gate.source.Transact(ctx, request)
	if err != nil {
		r.gate.log.Warn("lease_unwritten", "lease", leaseKey, "cause", err.Error())
		// The write may have taken effect, so the row must be read again.
		r.readAt = time.Time{}
		return
	}
	now := bootNow()
	if err := r.lease.Written(now, reply); err != nil {
		r.gate.log.Warn("lease_unread", "lease", leaseKey, "cause", err.Error())
	}
	token, won := r.lease.Held(now)
	if !won {
		r.gate.log.Info("lease_lost", "lease", leaseKey, "token", token)
		return
	}
	r.renewedAt = sent
	if held {
		return
	}
	if before == "" && token > 1 {
		// The holder before gave the lease up and may have given an order just
		// before that.
		r.quietUntil = now.Add(r.gate.settings.OrderGap + orderMargin)
	}
	r.gate.log.Info("lease_taken", "lease", leaseKey, "token", token, "before", before)
}
