package loominstance

import (
	"context"
	"encoding/binary"
	"strconv"
	"sync"
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
	// endCheckTimeout bounds the check whether an upstream has ended.
	endCheckTimeout = 500 * time.Millisecond
	// maxEvidenceChanges bounds the changes of evidence in one message.
	maxEvidenceChanges = 256
	// soundAge is the time after which an answer in progress is no reason for the end of its
	// upstream.
	soundAge = time.Second
	// quarantineRetryAfter is the retry delay given to a caller whose request is quarantined.
	quarantineRetryAfter = 30 * time.Second
	// quarantineJudgeInterval is the time between two judgements of the evidence.
	quarantineJudgeInterval = 50 * time.Millisecond
)

// quarantineGuard keeps a request away from upstreams if these end under it. It is not safe for
// concurrent use.
type quarantineGuard struct {
	instance *Instance
	// suspects returns what may be the reason if upstreams end under the request.
	suspects func() []loomquarantine.Suspect
	// isTrial is set if the request is sent to show whether it is sound although it is
	// quarantined.
	isTrial bool
}

// newPromptGuard returns the guard of a prompt, which is a suspect as a whole, with its account,
// model and adapter.
func newPromptGuard(n *Instance, p *prompt) *quarantineGuard {
	return &quarantineGuard{instance: n, suspects: sync.OnceValue(func() []loomquarantine.Suspect {
		h := xxhash.New()
		_, _ = h.WriteString(p.adapter.Name)
		buf := binary.BigEndian.AppendUint64(nil, uint64(p.maxTokens))
		for _, token := range p.tokens {
			buf = binary.BigEndian.AppendUint32(buf, token)
		}
		_, _ = h.Write(buf)
		return loomquarantine.NewSuspects(p.model.Name, nil, p.account.Name+"/"+strconv.FormatUint(h.Sum64(), 16))
	})}
}

// newCallGuard returns the guard of a call to a service, which has a digest among those of an
// account.
func newCallGuard(n *Instance, account string, digest uint64) *quarantineGuard {
	suspects := loomquarantine.NewSuspects("", nil, account+"/"+strconv.FormatUint(digest, 16))
	return &quarantineGuard{instance: n, suspects: func() []loomquarantine.Suspect { return suspects }}
}

// check returns the error with which the request is refused if it is quarantined, or nil.
// Version is that of the weights, or zero; isFirst is set before the first attempt.
func (q *quarantineGuard) check(now time.Time, version uint64, isFirst bool) *loomerror.Error {
	n := q.instance
	if n.quarantine.IsEmpty() || q.isTrial {
		return nil
	}
	suspects := q.suspects()
	found, ok := n.quarantine.Find(now, suspects)
	if !ok {
		return nil
	}
	q.isTrial = isFirst && n.triesQuarantine(found) && n.quarantine.Try(now, found, suspects, version)
	if q.isTrial {
		n.log.Info("quarantine tried", "digest", found.Request(), "version", version)
		return nil
	}
	return loomerror.New(loomerror.RequestQuarantined, "%d upstreams have ended under the same request", found.Ends).
		WithRetryAfter(quarantineRetryAfter)
}

// triesQuarantine reports whether this instance is the one that may try a quarantine.
func (n *Instance) triesQuarantine(q loomquarantine.Quarantine) bool {
	first := loomhome.Rank([]byte(q.Key()), n.homes.Load().Members(), 1)
	return len(first) > 0 && first[0] == n.ID()
}

// recordSound records that the answer is complete.
func (q *quarantineGuard) recordSound(now time.Time, version uint64) {
	q.instance.quarantine.RecordSound(now, q.suspects(), version)
}

// attemptEnd is the break of an attempt that had been delivered.
type attemptEnd struct {
	member  loommember.Member
	version uint64
	// sentAt is when the attempt was sent, and firstAt when its answer began, or zero.
	sentAt, firstAt time.Time
}

// recordBroken records what the request shows if its upstream has ended under it, and reports
// whether it may be the reason, so that another attempt could end another upstream. An answer
// that has been in progress for some time is none.
func (q *quarantineGuard) recordBroken(ctx context.Context, now time.Time, a attemptEnd) bool {
	n := q.instance
	if !a.firstAt.IsZero() && now.Sub(a.firstAt) > soundAge {
		return false
	}
	unsound := n.quarantine.Unsound(now, q.suspects(), a.version)
	if len(unsound) == 0 {
		return false
	}
	end := loomquarantine.End{Upstream: a.member.ID, Incarnation: a.member.Incarnation, At: now}
	for _, s := range unsound {
		end.Exposures = append(end.Exposures, loomquarantine.Exposure{Suspect: s, Version: a.version, HasBegun: !a.firstAt.IsZero(), Sent: now.Sub(a.sentAt)})
	}
	if !q.isTrial && !n.quarantine.IsExposed(unsound, 1) {
		n.background.Go(func() { n.recordEnd(context.WithoutCancel(ctx), a.member, end) })
		return false
	}
	const suspiciousEnds = 2
	return n.recordEnd(ctx, a.member, end) && (q.isTrial || n.quarantine.IsExposed(unsound, suspiciousEnds))
}

// recordEnd records the end of an upstream that has just closed a connection, if it has ended,
// and reports whether it has.
func (n *Instance) recordEnd(ctx context.Context, member loommember.Member, end loomquarantine.End) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	hasEnded, err := loomupstream.HasEnded(ctx, n.options.Dialer, member.Address)
	if err != nil || !hasEnded {
		return false
	}
	n.log.Info("upstream ended", "upstream", member.ID, "incarnation", member.Incarnation)
	n.quarantine.RecordEnd(end.At, end)
	return true
}

// judgeQuarantines decides by the evidence of all instances.
func (n *Instance) judgeQuarantines(context.Context) {
	for _, q := range n.quarantine.Judge(time.Now()) {
		n.log.Warn("request quarantined", "model", q.Model(), "digest", q.Request(), "version", q.Version, "ends", q.Ends)
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
