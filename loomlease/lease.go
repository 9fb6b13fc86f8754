// Package loomlease implements leases that are stored as rows of the platform's
// table.
//
// Clocks of different processes are never compared. The holder counts the
// duration of the lease from just before it sends the write that takes or renews
// it. A challenger takes the lease only after it has seen the row unchanged for
// longer than the holder may consider the lease valid. Each new holder gets a
// higher fencing token.
//
// A lease may also keep the actions of two machines apart by a gap, for receivers that
// don't check tokens. What a process needs for that beyond its own times stands in the row,
// since a kill takes its memory: whether the gap to the machine before has passed, and in
// which epoch of the table the row was written.
package loomlease

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"swiftloom/loompb"
)

const (
	// clockDriftDivisor sets the margin for clocks that run at different rates:
	// over a duration d, the holder counts d/clockDriftDivisor less, and a
	// challenger waits as much longer.
	clockDriftDivisor = 20
	// renewalDivisor sets the time of the renewal: the holder renews once
	// duration/renewalDivisor, less the drift margin, has passed.
	renewalDivisor = 3
	// maxDurationFactor bounds the duration in a row of another holder, in durations of
	// this process, and maxToken a fencing token.
	maxDurationFactor = 10
	maxToken          = 1 << 62
)

// Row is the stored form of a lease.
type Row struct {
	// Holder is empty when the lease is free.
	Holder string `json:"holder"`
	// Token is the fencing token. It increases whenever the lease is taken.
	Token uint64 `json:"token"`
	// Beat increases with each write of the row.
	Beat     uint64        `json:"beat"`
	Duration time.Duration `json:"duration"`
	// IsSettled is set once no other machine may have acted less than the gap before, also one
	// whose writes the table has lost.
	IsSettled bool `json:"settled,omitempty"`
	// Epoch is that of the table in which the row was written. A row of an earlier one comes
	// from an older copy: another machine may have held the lease since.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Lease is the state of one lease as one process knows it. It performs no I/O:
// the caller sends the requests that its methods return. It is not safe for
// concurrent use.
type Lease struct {
	key      string
	holder   string
	duration time.Duration

	// row and version are those last read or written.
	row     Row
	version uint64
	// isUnreadable is set if the row holds no lease. It then counts as held by another
	// process, and row is the zero value.
	isUnreadable bool
	// versionSeenAt is when this version was first seen; zero before the first
	// read.
	versionSeenAt time.Time
	// validUntil is when this process stops using the lease; zero when it does
	// not hold it.
	validUntil time.Time
	// sent is the row of the latest write, and sentAt when it was sent.
	sent   Row
	sentAt time.Time
	// lastToken is the highest token that this process knows to be in use.
	lastToken uint64

	// gap is the least time between the actions of two machines.
	gap time.Duration
	// renewedAt is when the latest write was sent that the table is known to have applied
	// while this process held the lease or took it, and actsFrom the time before which it
	// may not act.
	renewedAt, actsFrom time.Time
	// epoch is the newest known epoch of the table. If this process held the lease when it
	// rose, no other machine may act before heldUntil; if not, this one may not act before
	// quietUntil.
	epoch                 uint64
	heldUntil, quietUntil time.Time
	// epochSince is when this process learned of the epoch, or zero if that is the first one of
	// the table. Writes that the return of the table has undone are older.
	epochSince time.Time
	// isTaking is set if the latest write takes the lease, after which nextDelay must pass.
	isTaking  bool
	nextDelay time.Duration
}

// New returns a lease that is not held, stored under key. The holder's name must
// be unique to the process and its incarnation.
func New(key, holder string, duration time.Duration) Lease {
	return Lease{key: key, holder: holder, duration: duration}
}

// WithGap returns a copy of l that keeps the actions of two machines apart by a gap, which is less
// than the duration. The part of a holder's name before its last slash is that of its machine, on which
// a process begins only when the one before has ended.
func (l Lease) WithGap(gap time.Duration) Lease {
	l.gap = gap
	return l
}

// Reset forgets the row, for a table that has returned from an older copy: this process no
// longer holds the lease, and must read the row before it takes it. Tokens stay above
// those known so far, and above minToken.
func (l *Lease) Reset(minToken uint64) {
	last := max(l.lastToken, l.row.Token, l.sent.Token, minToken)
	next := New(l.key, l.holder, l.duration).WithGap(l.gap)
	next.lastToken, next.epoch, next.heldUntil, next.quietUntil, next.actsFrom, next.epochSince = last, l.epoch, l.heldUntil, l.quietUntil, l.actsFrom, l.epochSince
	*l = next
}

// Follow is like Reset for a table of an epoch after the first that is known now. HasRisen is set if this process
// has known an earlier one: unless it held the lease itself, another machine may still act, of
// which the table tells nothing any more.
func (l *Lease) Follow(now time.Time, epoch, minToken uint64, hasRisen bool) {
	// In an epoch in between, another machine may have taken the lease.
	if _, held := l.Held(now); held && epoch == l.epoch+1 {
		l.heldUntil = l.validUntil
	} else if hasRisen {
		l.heldUntil = time.Time{}
		l.quietUntil = now.Add(l.duration + l.duration/clockDriftDivisor)
	}
	l.epoch, l.epochSince = epoch, now
	l.Reset(minToken)
}

// CanAct reports whether this process holds the lease at now and its actions are apart from those
// of other machines. The next machine acts no sooner than a duration after the latest write that
// the table applied, so that this one stops a gap before that.
func (l *Lease) CanAct(now time.Time) bool {
	_, held := l.Held(now)
	return held && now.Sub(l.renewedAt) < l.duration-l.gap && !now.Before(l.actsFrom) && !now.Before(l.quietUntil)
}

// RenewedAt returns when the latest write was sent that is known to have been applied, or the zero
// time.
func (l *Lease) RenewedAt() time.Time {
	return l.renewedAt
}

// isOwn reports whether the holder in the row is a process of this machine.
func (l *Lease) isOwn() bool {
	return l.row.Holder == l.holder || (machineOf(l.holder) != "" && machineOf(l.row.Holder) == machineOf(l.holder))
}

// machineOf returns the part of a holder's name before its last slash, or an empty text.
func machineOf(holder string) string {
	return holder[:max(strings.LastIndexByte(holder, '/'), 0)]
}

// expiry returns the time for which the row must not change before another machine may take it.
func (l *Lease) expiry() time.Duration {
	d := max(l.row.Duration, l.duration)
	return d + d/clockDriftDivisor
}

// hasExpired reports whether the row has not changed for so long that its holder has stopped.
func (l *Lease) hasExpired(now time.Time) bool {
	return !l.versionSeenAt.IsZero() && now.Sub(l.versionSeenAt) > l.expiry()
}

// isCurrent reports whether the row tells who held the lease last.
func (l *Lease) isCurrent(now time.Time) bool {
	return l.version == 0 || l.row.Epoch == l.epoch || now.Before(l.heldUntil)
}

// delay returns how long after now this process may act at the earliest if it takes the lease now.
func (l *Lease) delay(now time.Time) time.Duration {
	switch {
	case l.gap == 0 || l.hasExpired(now):
		return 0
	case l.version == 0:
		return l.returnDelay(now)
	case !l.isCurrent(now):
		return l.expiry()
	case l.isOwn() && l.row.IsSettled:
		return 0
	case l.row.IsSettled:
		return l.gap
	default:
		return max(l.gap, l.returnDelay(now))
	}
}

// returnDelay is how long after now a machine may still act whose writes the table has lost when it returned
// from an older copy. A row that is absent, or that was written before that time had passed, tells
// nothing of such a machine.
func (l *Lease) returnDelay(now time.Time) time.Duration {
	if l.epochSince.IsZero() || now.Before(l.heldUntil) {
		return 0
	}
	return max(l.epochSince.Add(l.expiry()).Sub(now), 0)
}

// Held returns the fencing token and true when this process holds the lease at
// now. The result holds only for now; callers must not keep it.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	if l.row.Holder != l.holder || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.row.Token, true
}

// ValidUntil returns when this process stops using the lease unless it is renewed,
// or the zero time when the process does not hold it.
func (l *Lease) ValidUntil() time.Time {
	return l.validUntil
}

// Holder returns the holder and the fencing token that were last read or written,
// whether or not the lease has expired.
func (l *Lease) Holder() (string, uint64) {
	return l.row.Holder, l.row.Token
}

// Read returns the request that reads the row of the lease. The caller must record
// the row that it returns.
func (l *Lease) Read() *loompb.ReadRowsRequest {
	return &loompb.ReadRowsRequest{Keys: []string{l.key}}
}

// RecordRead records a row that was read. A row of version zero is absent. A row that holds
// no lease counts as held by an unknown process, and can be taken over when it has not
// changed for as long as a lease lasts. The error says so, once for each version of the row.
func (l *Lease) RecordRead(now time.Time, row *loompb.Row) error {
	r, err := l.decode(row)
	isNew := l.versionSeenAt.IsZero() || row.GetVersion() != l.version
	if isNew {
		l.versionSeenAt = now
	}
	if err != nil {
		// Each token was taken by a write, so none is above the version of the row.
		l.lastToken = max(l.lastToken, l.row.Token, l.sent.Token, row.GetVersion())
	}
	l.row = r
	l.isUnreadable = err != nil
	l.version = row.GetVersion()
	if r.Holder != l.holder {
		l.validUntil = time.Time{}
	}
	if !isNew {
		return nil
	}
	return err
}

// decode returns the lease in a row, or the zero value with an error.
func (l *Lease) decode(row *loompb.Row) (Row, error) {
	var r Row
	if row.GetVersion() == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.GetValue(), &r); err != nil {
		return Row{}, errors.Annotatef(err, "decode lease %q", l.key)
	}
	if r.Duration < 0 || r.Duration > maxDurationFactor*l.duration || r.Token > maxToken {
		return Row{}, errors.NotValidf("lease %q with duration %s and token %d (maximum %s and %d)", l.key, r.Duration, r.Token, maxDurationFactor*l.duration, uint64(maxToken))
	}
	return r, nil
}

// Due reports whether the lease should be written: to renew it, or to take it when
// it is free or has expired on the holder's clock even if that clock is slow.
func (l *Lease) Due(now time.Time) bool {
	if l.versionSeenAt.IsZero() {
		return false
	}
	if l.row.Holder == l.holder && (l.gap == 0 || l.isCurrent(now)) {
		return now.After(l.validUntil.Add(-l.duration + l.duration/renewalDivisor))
	}
	if l.row.Holder == "" && !l.isUnreadable {
		return true
	}
	if l.gap > 0 && l.isOwn() && l.isCurrent(now) {
		return true
	}
	return l.hasExpired(now)
}

// Write returns the request that renews or takes the lease, on condition that the
// row has not changed. The caller must record the reply. Without a reply the outcome
// is unknown, and the row must be read again.
func (l *Lease) Write(now time.Time) (*loompb.TransactRequest, error) {
	next := Row{Holder: l.holder, Token: l.row.Token, Beat: l.row.Beat + 1, Duration: l.duration}
	_, held := l.Held(now)
	if !held {
		next.Token = max(next.Token, l.lastToken) + 1
	}
	if l.gap > 0 {
		next.Epoch = l.epoch
		next.IsSettled = l.row.IsSettled || !now.Before(l.actsFrom) && !now.Before(l.quietUntil)
		if !held {
			l.nextDelay = l.delay(now)
			next.IsSettled = l.nextDelay == 0 && !now.Before(l.actsFrom) && !now.Before(l.quietUntil)
		}
	}
	l.isTaking = !held
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Annotatef(err, "encode lease %q", l.key)
	}
	l.sent = next
	l.sentAt = now
	return &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: l.key, Version: l.version}},
		Writes:     []*loompb.Write{{Key: l.key, Value: value}},
	}, nil
}

// RecordWrite records the reply to the latest write. When the write was not
// applied, the reply holds the row that another process has written.
func (l *Lease) RecordWrite(now time.Time, reply *loompb.TransactReply) error {
	if !reply.GetApplied() {
		for _, row := range reply.GetRows() {
			return l.RecordRead(now, row)
		}
		return nil
	}
	l.row = l.sent
	l.isUnreadable = false
	l.version++
	if v := reply.GetVersion(); v > 0 {
		l.version = v
	}
	l.versionSeenAt = now
	l.renewedAt = l.sentAt
	if from := now.Add(l.nextDelay); l.isTaking && from.After(l.actsFrom) {
		l.actsFrom = from
	}
	l.validUntil = l.sentAt.Add(l.duration - l.duration/clockDriftDivisor)
	return nil
}

// Release stops using the lease and returns the request that frees it, or nil
// when this process does not hold it. If the request is lost, the lease expires.
func (l *Lease) Release(now time.Time) (*loompb.TransactRequest, error) {
	if _, held := l.Held(now); !held {
		return nil, nil
	}
	value, err := json.Marshal(Row{Token: l.row.Token, Beat: l.row.Beat + 1, Duration: l.duration, Epoch: l.epoch, IsSettled: l.row.IsSettled})
	if err != nil {
		return nil, errors.Annotatef(err, "encode lease %q", l.key)
	}
	l.validUntil = time.Time{}
	return &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: l.key, Version: l.version}},
		Writes:     []*loompb.Write{{Key: l.key, Value: value}},
	}, nil
}
