package loominstance

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomquarantine"
	"swiftloom/loomupstream"
)

const (
	// endCheckTimeout bounds the check whether an engine has ended.
	endCheckTimeout = 500 * time.Millisecond
	// maxEvidenceChanges bounds the changes of evidence in one message.
	maxEvidenceChanges = 256
	// quarantineRetryAfter is the retry delay given to a caller whose prompt is quarantined.
	quarantineRetryAfter = 30 * time.Second
	// quarantineJudgeInterval is the time between two judgements of the evidence.
	quarantineJudgeInterval = 50 * time.Millisecond
)

// suspects returns what may be the reason if engines end under the prompt: the prompt as a
// whole, with its account, model and adapter.
func (p *prompt) suspects() []loomquarantine.Suspect {
	h := xxhash.New()
	_, _ = h.WriteString(p.adapter.Name)
	buf := binary.BigEndian.AppendUint64(nil, uint64(p.maxTokens))
	for _, token := range p.tokens {
		buf = binary.BigEndian.AppendUint32(buf, token)
	}
	_, _ = h.Write(buf)
	return loomquarantine.NewSuspects(p.model.Name, nil, p.account.Name+"/"+strconv.FormatUint(h.Sum64(), 16))
}

// checkQuarantine returns the error with which the prompt is refused if it is quarantined,
// or nil.
func (d *dispatch) checkQuarantine(now time.Time) error {
	n := d.instance
	if n.quarantine.IsEmpty() || d.isTrial {
		return nil
	}
	suspects := d.prompt.suspects()
	found, ok := n.quarantine.Find(now, suspects)
	if !ok {
		return nil
	}
	isFirst := d.attempts == 0 && n.triesQuarantine(found)
	if d.isTrial = isFirst && n.quarantine.Try(now, found, suspects, d.plan.version); d.isTrial {
		n.log.Info("quarantine tried", "digest", found.Request(), "version", d.plan.version)
		return nil
	}
	return d.withNotRun(loomerror.New(loomerror.RequestQuarantined, "%d engines have ended under the same prompt", found.Ends).
		WithRetryAfter(quarantineRetryAfter))
}

// triesQuarantine reports whether this instance is the one that may try a quarantine.
func (n *Instance) triesQuarantine(q loomquarantine.Quarantine) bool {
	first := loomhome.Rank([]byte(q.Key()), n.homes.Load().Members(), 1)
	return len(first) > 0 && first[0] == n.ID()
}

// recordSound records that the answer is complete.
func (d *dispatch) recordSound(now time.Time) {
	d.instance.quarantine.RecordSound(now, d.prompt.suspects(), d.plan.version)
}

// recordEngineEnd records what the prompt shows if its engine has ended under it, and reports
// whether it may be the reason, so that another attempt could end another engine.
func (d *dispatch) recordEngineEnd(ctx context.Context, now time.Time) bool {
	n := d.instance
	unsound := n.quarantine.Unsound(now, d.prompt.suspects(), d.plan.version)
	if len(unsound) == 0 || d.lifecycle.Relayed() > 0 {
		return false
	}
	member := d.engine.member.Member
	end := loomquarantine.End{Upstream: member.ID, Incarnation: member.Incarnation, At: now}
	for _, s := range unsound {
		end.Exposures = append(end.Exposures, loomquarantine.Exposure{Suspect: s, Version: d.plan.version, Sent: now.Sub(d.sentAt)})
	}
	if !d.isTrial && !n.quarantine.IsExposed(unsound, 1) {
		n.background.Go(func() { n.recordEnd(context.WithoutCancel(ctx), member, end) })
		return false
	}
	const suspiciousEnds = 2
	return n.recordEnd(ctx, member, end) && (d.isTrial || n.quarantine.IsExposed(unsound, suspiciousEnds))
}

// recordEnd records the end of an engine that has just closed a connection, if it has ended,
// and reports whether it has.
func (n *Instance) recordEnd(ctx context.Context, member loommember.Member, end loomquarantine.End) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	hasEnded, err := loomupstream.HasEnded(ctx, n.options.Dialer, member.Address)
	if err != nil || !hasEnded {
		return false
	}
	n.log.Info("engine ended", "engine", member.ID, "incarnation", member.Incarnation)
	n.quarantine.RecordEnd(end.At, end)
	return true
}

// judgeQuarantines decides by the evidence of all instances.
func (n *Instance) judgeQuarantines(context.Context) {
	for _, q := range n.quarantine.Judge(time.Now()) {
		n.log.Warn("prompt quarantined", "model", q.Model(), "digest", q.Request(), "version", q.Version, "ends", q.Ends)
	}
}

// evidence returns the latest changes for a peer, and all quarantines.
func (n *Instance) evidence(now time.Time) []*loompb.EvidenceChange {
	changes := n.quarantine.Latest(maxEvidenceChanges)
	messages := make([]*loompb.EvidenceChange, 0, len(changes))
	for _, c := range changes {
		messages = append(messages, loomquarantine.Encode(now, c))
	}
	return messages
}

// applyEvidence merges the changes of a peer.
func (n *Instance) applyEvidence(now time.Time, messages []*loompb.EvidenceChange) {
	changes := make([]loomquarantine.Change, 0, len(messages))
	for _, m := range messages {
		if c, ok := loomquarantine.Decode(now, m); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		n.quarantine.Apply(now, changes)
	}
}
