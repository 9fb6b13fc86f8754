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
	version uint64
	// incarnation is that in the row, or zero if the instance did not write the row.
	incarnation uint64
	// isWritten is set once the row of this incarnation has been read.
	isWritten bool
	// mayBeLost is set after the platform's table has returned from an older copy, or
	// another writer has replaced the row, until the row is known to be there.
	mayBeLost bool
}

// with returns a copy with the state in a row. The instance has announced itself, or is about
// to, by the row announced.
func (o ownRow) with(row Row, announced instanceRow) ownRow {
	o.version, o.incarnation = row.Version, 0
	r, err := decodeInstanceRow(row)
	if !row.Deleted && err == nil && (r == announced || r.Incarnation != announced.Incarnation) {
		o.incarnation = r.Incarnation
	}
	if o.isWritten && !row.Deleted && o.incarnation < announced.Incarnation {
		o.mayBeLost = true
	}
	o.isWritten = o.isWritten || o.incarnation == announced.Incarnation
	return o
}

// ownRow returns the row that this instance writes about itself.
func (p *peers) ownRow() instanceRow {
	s := p.gate.settings
	return instanceRow{Address: s.PeerAddress, FailureDomain: s.FailureDomain, Incarnation: p.gate.incarnation, ProcessorCores: s.ProcessorCores}
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
	value, err := json.Marshal(p.ownRow())
	if err != nil {
		return nil, errors.Annotate(err, "encode instance row")
	}
	return &loompb.TransactRequest{Writes: []*loompb.Write{{Key: instancePrefix + p.gate.settings.ID, Value: value}}}, nil
}

// isNewEpoch reports whether a page is the first one that was read after the platform's
// table has returned from an older copy. Only watchInstances calls it.
func (p *peers) isNewEpoch(page Page) bool {
	return p.version > 0 && loomplatform.PositionEpoch(page.Version) != loomplatform.PositionEpoch(p.version)
}

// announceAgain writes the row of this instance again if the platform's table has lost it or
// another writer has replaced it.
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
	p.own = ownRow{version: reply.GetVersion(), incarnation: p.gate.incarnation, isWritten: true}
	p.gate.log.Info("row_written_again", "topic", TopicInstances.String(), "epoch", p.gate.source.Epoch())
}

// announceFailure returns the text of an error, or that a condition did not hold if it is nil.
func announceFailure(err error) string {
	if err == nil {
		return "the row has changed"
	}
	return err.Error()
}
