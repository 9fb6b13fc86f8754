// Package loomlease decides about leases that are rows of the platform's table.
//
// No clock is compared with another: a holder counts its time from before the
// write that made or renewed the lease was sent, and a challenger takes a lease
// only after it has seen the same row unchanged for longer than the holder may
// believe in it. Every change of hands raises the fencing token.
package loomlease

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"swiftloom/loompb"
)

const (
	// driftPart is the part of a duration that clocks may differ by.
	driftPart = 20
	// renewPart is the part of the duration after which the holder renews.
	renewPart = 3
)

// Row is a lease as it is stored.
type Row struct {
	Holder string `json:"holder"`
	// Token rises with each change of hands.
	Token uint64 `json:"token"`
	// Beat rises with each renewal.
	Beat     uint64        `json:"beat"`
	Duration time.Duration `json:"duration"`
}

// Lease is what one process knows of one lease. Its owner must guard it.
type Lease struct {
	key      string
	holder   string
	duration time.Duration

	// row and version are what was last read or written.
	row     Row
	version uint64
	// seenAt is when this version was first seen; zero before the first read.
	seenAt time.Time
	// validUntil is when the holder's own belief ends; zero when not held.
	validUntil time.Time
	// sent is the row of the write under way.
	sent   Row
	sentAt time.Time
}

// New returns a lease that is not held. The holder's name must be unique to
// the process and its incarnation.
func New(key, holder string, duration time.Duration) Lease {
	return Lease{key: key, holder: holder, duration: duration}
}

// Held reports whether the process holds the lease at now, and its token.
// The caller must ask at the moment of use.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	if l.row.Holder != l.holder || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.row.Token, true
}

// ValidUntil returns when the process stops believing in the lease.
func (l *Lease) ValidUntil() time.Time {
	return l.validUntil
}

// Holder returns the holder and token that were last read.
func (l *Lease) Holder() (string, uint64) {
	return l.row.Holder, l.row.Token
}

// Read returns the request that reads the row.
func (l *Lease) Read() *loompb.ReadRowsRequest {
	return &loompb.ReadRowsRequest{Keys: []string{l.key}}
}

// Seen takes in a row that was read.
func (l *Lease) Seen(now time.Time, row *loompb.Row) error {
	var r Row
	if row.GetVersion() > 0 {
		if err := json.Unmarshal(row.GetValue(), &r); err != nil {
			return errors.Annotate(err, "decode lease")
		}
	}
	if l.seenAt.IsZero() || row.GetVersion() != l.version {
		l.seenAt = now
	}
	l.row = r
	l.version = row.GetVersion()
	if r.Holder != l.holder {
		l.validUntil = time.Time{}
	}
	return nil
}

// Due reports whether a write should be sent: to renew the lease, or to take
// one that is free or has surely lapsed.
func (l *Lease) Due(now time.Time) bool {
	if l.seenAt.IsZero() {
		return false
	}
	if l.row.Holder == l.holder {
		return now.After(l.validUntil.Add(-l.duration + l.duration/renewPart))
	}
	if l.row.Holder == "" {
		return true
	}
	d := max(l.row.Duration, l.duration)
	return now.Sub(l.seenAt) > d+d/driftPart
}

// Write returns the request that renews or takes the lease. Its answer must be
// given to Written; without an answer the row must be read again.
func (l *Lease) Write(now time.Time) (*loompb.TransactRequest, error) {
	next := Row{Holder: l.holder, Token: l.row.Token, Beat: l.row.Beat + 1, Duration: l.duration}
	if _, held := l.Held(now); !held {
		next.Token++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Annotate(err, "encode lease")
	}
	l.sent = next
	l.sentAt = now
	return &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: l.key, Version: l.version}},
		Writes:     []*loompb.Write{{Key: l.key, Value: value}},
	}, nil
}

// Written takes in the answer to the latest write.
func (l *Lease) Written(now time.Time, reply *loompb.TransactReply) error {
	if !reply.GetApplied() {
		for _, row := range reply.GetRows() {
			return l.Seen(now, row)
		}
		return nil
	}
	l.row = l.sent
	l.version++
	if v := reply.GetVersion(); v > 0 {
		l.version = v
	}
	l.seenAt = now
	l.validUntil = l.sentAt.Add(l.duration - l.duration/driftPart)
	return nil
}

// GiveUp returns the request that frees the lease, or nil when it is not held.
func (l *Lease) GiveUp(now time.Time) (*loompb.TransactRequest, error) {
	if _, held := l.Held(now); !held {
		return nil, nil
	}
	value, err := json.Marshal(Row{Token: l.row.Token, Beat: l.row.Beat + 1, Duration: l.duration})
	if err != nil {
		return nil, errors.Annotate(err, "encode lease")
	}
	l.validUntil = time.Time{}
	return &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: l.key, Version: l.version}},
		Writes:     []*loompb.Write{{Key: l.key, Value: value}},
	}, nil
}
