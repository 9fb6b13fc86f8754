package loomgate

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomerror"
	"swiftloom/loommember"
	"swiftloom/loomquarantine"
	"swiftloom/loomupstream"
)

const (
	// quarantineRetryAfter is the retry delay given to a caller whose request is quarantined.
	// It will be refused again until it is found sound, so a short delay would only bring
	// more requests.
	quarantineRetryAfter = 30 * time.Second
	// endCheckTTL is how long the result of a check whether an upstream has ended is used
	// again, since its end breaks many attempts at once.
	endCheckTTL = 500 * time.Millisecond
	// begunWindow is the time after the first event of an answer in which it counts as just
	// begun, and soundAge the time after which an answer in progress is no reason for the end
	// of its upstream.
	begunWindow = 250 * time.Millisecond
	soundAge    = time.Second
	// maxEvidenceChanges bounds the changes of evidence in one message.
	maxEvidenceChanges = 256
	// maxHeldParts bounds the parts of a request that are told with each of them.
	maxHeldParts = 8
	// maxSuspectParts bounds the parts of a request that are suspects, which are the leading
	// ones.
	maxSuspectParts = 64
)

// quarantine keeps requests away from upstreams that end these, or whose prompts hold a part
// that does.
type quarantine struct {
	gate   *Gate
	ledger *loomquarantine.Ledger

	mu     sync.Mutex
	checks map[endCheckKey]*endCheck
	// rows holds the platform's rows, by key, and dueAt when this instance is to write one.
	rows  map[string]quarantineRow
	dueAt map[string]time.Time
	// news holds a value once there is evidence of an end that peers lack.
	news chan struct{}
	// decided is closed and replaced when there is a new quarantine.
	decided chan struct{}
}

// endCheckKey identifies an incarnation of an upstream.
type endCheckKey struct {
	upstream    string
	incarnation uint64
}

// endCheck is a check whether an upstream has ended. done is closed once hasEnded is set.
type endCheck struct {
	at       time.Time
	done     chan struct{}
	hasEnded bool
}

func newQuarantine(g *Gate) (*quarantine, error) {
	ledger, err := loomquarantine.NewLedgerOf(g.settings.memoryShare(soundShare))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &quarantine{
		gate:    g,
		ledger:  ledger,
		checks:  make(map[endCheckKey]*endCheck),
		rows:    make(map[string]quarantineRow),
		dueAt:   make(map[string]time.Time),
		news:    make(chan struct{}, 1),
		decided: make(chan struct{}),
	}, nil
}

// hasEnded reports whether an upstream has ended that closed a connection at a time. Attempts
// that end together share a check. One that began before that time shows an end only if it
// has found one: the connection of another attempt may have been reset before.
func (q *quarantine) hasEnded(ctx context.Context, closedAt time.Time, u loommember.Upstream) bool {
	for {
		check := q.currentCheck(ctx, closedAt, u)
		select {
		case <-check.done:
		case <-ctx.Done():
			return false
		}
		if check.hasEnded || !check.at.Before(closedAt) {
			return check.hasEnded
		}
	}
}

// currentCheck returns a check of an upstream that is in progress, has found that the upstream
// has ended or began after a connection was closed. It begins one if there is none.
func (q *quarantine) currentCheck(ctx context.Context, closedAt time.Time, u loommember.Upstream) *endCheck {
	now := time.Now()
	key := endCheckKey{upstream: u.ID, incarnation: u.Incarnation}
	q.mu.Lock()
	defer q.mu.Unlock()
	for k, c := range q.checks {
		if now.Sub(c.at) > endCheckTTL {
			delete(q.checks, k)
		}
	}
	if check, ok := q.checks[key]; ok && check.isOf(closedAt) {
		return check
	}
	check := &endCheck{at: now, done: make(chan struct{})}
	q.checks[key] = check
	go q.check(context.WithoutCancel(ctx), check, u)
	return check
}

// isOf reports whether the check can tell of an end that closed a connection at a time.
func (c *endCheck) isOf(closedAt time.Time) bool {
	select {
	case <-c.done:
		return c.hasEnded || !c.at.Before(closedAt)
	default:
		return true
	}
}

// check carries out a check.
func (q *quarantine) check(ctx context.Context, c *endCheck, u loommember.Upstream) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(ctx, endCheckTTL)
	defer cancel()
	hasEnded, err := q.gate.runner.HasEnded(ctx, u.Address)
	if c.hasEnded = err == nil && hasEnded; c.hasEnded {
		q.gate.metrics.upstreamEnds.Inc(1)
		q.gate.log.Info("upstream_ended", "upstream", u.ID, "incarnation", u.Incarnation)
	}
}

// sharedPartIDs returns the parts of the request's prompt that other requests may hold.
func (d *dispatch) sharedPartIDs() []string {
	parts := d.req.Prompt.Parts
	if n := len(parts); n > 0 && d.req.Prompt.UntrackedParts == 0 && !d.gate.partReuse.IsReused(d.req.route.Name) {
		parts = parts[:n-1]
	}
	parts = parts[:min(len(parts), maxSuspectParts)]
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// quarantineSuspects returns what may be the reason if upstreams end under the request: the
// parts of its prompt that other requests may hold, and the request as a whole.
func (d *dispatch) quarantineSuspects() []loomquarantine.Suspect {
	if d.quarantineSuspectList == nil {
		model := ""
		var parts []string
		if d.req.HasPrompt {
			model, parts = d.req.Prompt.Model, d.sharedPartIDs()
		}
		d.quarantineSuspectList = loomquarantine.NewSuspects(model, parts, d.req.digest())
	}
	return d.quarantineSuspectList
}

// checkQuarantine returns the error with which the request is refused if it is quarantined,
// or nil.
func (d *dispatch) checkQuarantine(now time.Time) *loomerror.Error {
	if d.gate.quarantine.ledger.IsEmpty() {
		return nil
	}
	suspects := d.quarantineSuspects()
	found, ok := d.gate.quarantine.ledger.Find(now, suspects)
	if !ok || d.isTrial {
		return nil
	}
	if d.isTrial = d.attempts == 0 && d.gate.quarantine.tries(now, found, suspects, d.oldestWeights(now)); d.isTrial {
		return nil
	}
	kind, what := loomerror.PromptQuarantined, "a part of the prompt"
	if found.Request() != "" {
		kind, what = loomerror.RequestQuarantined, "the same request"
	}
	d.cause = "quarantined " + strings.Join(append(found.Parts(), found.Request()), ",")
	return loomerror.New(kind, "%d upstreams have ended under %s", found.Ends, what).
		WithNotRun(d.lifecycle.NotRun()).WithRetryAfter(quarantineRetryAfter)
}

// tries reports whether a request is sent in spite of a quarantine, to show whether it is
// sound.
func (q *quarantine) tries(now time.Time, found loomquarantine.Quarantine, suspects []loomquarantine.Suspect, version uint64) bool {
	if q.writerRank(found) != 0 || !q.ledger.Try(now, found, suspects, version) {
		return false
	}
	q.gate.log.Info("quarantine_tried", "model", found.Model(), "parts", strings.Join(found.Parts(), ","), "digest", found.Request(), "weights", version)
	return true
}

// oldestWeights returns the oldest version of the weights at the upstreams that the request
// may be sent to.
func (d *dispatch) oldestWeights(now time.Time) uint64 {
	var oldest uint64
	for i, u := range d.gate.usableUpstreams(now, d.req.group.Name) {
		if version := u.Version(d.req.Prompt.Model); i == 0 || version < oldest {
			oldest = version
		}
	}
	return oldest
}

// recordSound records that the answer was complete. An upstream that answers with an error
// hasn't ended, but says nothing of the parts.
func (d *dispatch) recordSound(now time.Time, reply *loomupstream.Reply) {
	suspects := d.quarantineSuspects()
	if !isSuccess(reply) {
		suspects = slices.DeleteFunc(slices.Clone(suspects), func(s loomquarantine.Suspect) bool { return s.Kind == loomquarantine.Part })
	}
	d.gate.quarantine.ledger.RecordSound(now, suspects, max(d.version, reply.Version))
}

// recordUpstreamEnd records what the request shows if its upstream has ended under it, and
// reports whether it may be the reason, so that another attempt could end another upstream.
// An answer that has been in progress for some time is none.
func (d *dispatch) recordUpstreamEnd(ctx context.Context, now time.Time) bool {
	if !d.attemptFirstAt.IsZero() && now.Sub(d.attemptFirstAt) > soundAge {
		return false
	}
	q := d.gate.quarantine
	unsound := q.ledger.Unsound(now, d.quarantineSuspects(), d.version)
	if len(unsound) == 0 {
		return false
	}
	hasBegun := d.status != 0 && (d.attemptFirstAt.IsZero() || now.Sub(d.attemptFirstAt) < begunWindow)
	end := d.newEnd(now, unsound, hasBegun)
	isNewPart := hasBegun && slices.ContainsFunc(unsound, func(s loomquarantine.Suspect) bool { return s.Kind == loomquarantine.Part })
	if !isNewPart && !d.isTrial && !q.ledger.IsExposed(unsound, 1) {
		go q.recordEnd(context.WithoutCancel(ctx), d.upstream, end)
		return false
	}
	if !q.recordEnd(ctx, d.upstream, end) {
		return false
	}
	if d.isTrial {
		d.gate.log.Info("quarantine_confirmed", "upstream", d.upstream.ID, "request_id", d.req.RequestID)
	}
	const suspiciousEnds = 2
	return isNewPart || d.isTrial || q.ledger.IsExposed(unsound, suspiciousEnds)
}

// newEnd returns what the end of the current attempt's upstream shows.
func (d *dispatch) newEnd(now time.Time, unsound []loomquarantine.Suspect, hasBegun bool) loomquarantine.End {
	end := loomquarantine.End{Upstream: d.upstream.ID, Incarnation: d.upstream.Incarnation, At: now}
	var parts []string
	for _, s := range unsound {
		if s.Kind == loomquarantine.Part {
			parts = append(parts, s.ID)
		}
	}
	for _, s := range unsound {
		x := loomquarantine.Exposure{Suspect: s, Version: d.version, HasBegun: hasBegun, Sent: now.Sub(d.sentAt)}
		if s.Kind == loomquarantine.Request || len(parts) <= maxHeldParts {
			x.Parts = parts
		}
		end.Exposures = append(end.Exposures, x)
	}
	return end
}

// recordEnd records the end of an upstream that has just closed a connection, if it has ended,
// and reports whether it has.
func (q *quarantine) recordEnd(ctx context.Context, u loommember.Upstream, end loomquarantine.End) bool {
	if !q.hasEnded(ctx, end.At, u) {
		return false
	}
	if q.ledger.RecordEnd(end.At, end) {
		q.announceNews()
	}
	return true
}

// announceNews makes the next round of calls to peers begin soon.
func (q *quarantine) announceNews() {
	select {
	case q.news <- struct{}{}:
	default:
	}
}

// nextDecision returns a channel that is closed once there is a new quarantine.
func (q *quarantine) nextDecision() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.decided
}

// announceDecision lets requests that wait check whether they are to be refused.
func (q *quarantine) announceDecision() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.decided)
	q.decided = make(chan struct{})
}

// judge decides by the evidence of all instances.
func (q *quarantine) judge(now time.Time) {
	decided := q.ledger.Judge(now)
	for _, d := range decided {
		q.gate.metrics.quarantines.Inc(1)
		q.logDecision(d)
	}
	if len(decided) > 0 {
		q.announceDecision()
	}
}

// logDecision logs a new quarantine.
func (q *quarantine) logDecision(d loomquarantine.Quarantine) {
	attributes := []any{"model", d.Model(), "parts", strings.Join(d.Parts(), ","), "digest", d.Request(), "weights", d.Version, "ends", d.Ends}
	if d.Request() == "" {
		q.gate.log.Warn("prompt_part_quarantined", attributes...)
		return
	}
	q.gate.log.Warn("request_quarantined", attributes...)
}
