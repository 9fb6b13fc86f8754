package loomgate

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"swiftloom/loomkernel"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

// ownRow is what the platform holds about this instance. It is immutable. The zero value
// stands for no row.
type ownRow struct {
	version     uint64
	incarnation uint64
	// mayBeLost is set after the platform's table has returned from an older copy, until
	// the row is known to be there.
	mayBeLost bool
}

// with returns a copy with the state in a row.
func (o ownRow) with(row Row) ownRow {
	o.version, o.incarnation = row.Version, 0
	var r instanceRow
	if !row.Deleted && json.Unmarshal(row.Value, &r) == nil {
		o.incarnation = r.Incarnation
	}
	return o
}

// announce writes the row of this instance once, so that others can find it.
func (p *peers) announce(ctx context.Context) {
	r, err := p.announcement()
	if err != nil {
		p.gate.log.Error("announce_failed", "cause", err.Error())
		return
	}
	for ctx.Err() == nil {
		if _, err = p.gate.source.Transact(ctx, r); err == nil {
			return
		}
		p.gate.log.Warn("announce_failed", "cause", err.Error())
		if loomkernel.Sleep(ctx, p.gate.jitter(platformRetryInterval)) != nil {
			return
		}
	}
}

// announcement returns the transaction that writes the row of this instance.
func (p *peers) announcement() (*loompb.TransactRequest, error) {
	s := p.gate.settings
	value, err := json.Marshal(instanceRow{Address: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: p.gate.incarnation, ProcessorCores: s.ProcessorCores})
	if err != nil {
		return nil, errors.Annotate(err, "encode instance row")
	}
	return &loompb.TransactRequest{Writes: []*loompb.Write{{Key: instancePrefix + s.ID, Value: value}}}, nil
}

// isNewEpoch reports whether a page is the first one that was read after the platform's
// table has returned from an older copy. Only watchInstances calls it.
func (p *peers) isNewEpoch(page Page) bool {
	return p.version > 0 && loomplatform.PositionEpoch(page.Version) != loomplatform.PositionEpoch(p.version)
}

// announceAgain writes the row of this instance again if the platform's table has lost it.
// It never replaces the row of a later incarnation.
func (p *peers) announceAgain(ctx context.Context) {
	if !p.own.mayBeLost {
		return
	}
	if p.own.incarnation >= p.gate.incarnation {
		p.own.mayBeLost = false
		return
	}
	r, err := p.announcement()
	if err != nil {
		p.gate.log.Error("announce_failed", "cause", err.Error())
		return
	}
	r.Conditions = []*loompb.Condition{{Key: r.GetWrites()[0].GetKey(), Version: p.own.version}}
	reply, err := p.gate.source.Transact(ctx, r)
	if err != nil || !reply.GetApplied() {
		p.gate.log.Warn("announce_failed", "cause", announceFailure(err))
		return
	}
	p.own = ownRow{version: reply.GetVersion(), incarnation: p.gate.incarnation}
	p.gate.log.Info("row_written_again", "topic", TopicInstances.String(), "epoch", p.gate.source.Epoch())
}

// announceFailure returns the text of an error, or that a condition did not hold if it is nil.
func announceFailure(err error) string {
	if err == nil {
		return "the row has changed"
	}
	return err.Error()
}
