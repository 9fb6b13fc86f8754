package loomgate

import (
	"context"
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
	// quarantineRetryAfter is the retry delay given to a caller whose prompt is quarantined.
	// It will be refused again until the part is found sound, so a short delay would only
	// bring more requests.
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
)

// quarantine keeps requests away from upstreams whose prompts hold a part that ends them.
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
	ledger, err := loomquarantine.NewLedger()
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

// hasEnded reports whether an upstream has ended that has just closed a connection. Attempts
// that end together share one check.
func (q *quarantine) hasEnded(ctx context.Context, now time.Time, u loommember.Upstream) bool {
	key := endCheckKey{upstream: u.ID, incarnation: u.Incarnation}
	q.mu.Lock()
	check, ok := q.checks[key]
	if !ok || now.Sub(check.at) > endCheckTTL {
		check = &endCheck{at: now, done: make(chan struct{})}
		q.checks[key] = check
		go q.check(context.WithoutCancel(ctx), check, u)
	}
	for k, c := range q.checks {
		if now.Sub(c.at) > endCheckTTL {
			delete(q.checks, k)
		}
	}
	q.mu.Unlock()
	select {
	case <-check.done:
		return check.hasEnded
	case <-ctx.Done():
		return false
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
	if n := len(parts); n > 0 && !d.gate.partReuse.IsReused(d.req.route.Name) {
		parts = parts[:n-1]
	}
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// checkQuarantine returns the error with which the request is refused if its prompt is
// quarantined, or nil.
func (d *dispatch) checkQuarantine(now time.Time) *loomerror.Error {
	if !d.req.HasPrompt || d.gate.quarantine.ledger.IsEmpty() {
		return nil
	}
	parts := d.sharedPartIDs()
	found, ok := d.gate.quarantine.ledger.Find(now, d.req.Prompt.Model, parts)
	if !ok || d.isTrial {
		return nil
	}
	if d.isTrial = d.attempts == 0 && d.gate.quarantine.tries(now, found, parts, d.oldestWeights(now)); d.isTrial {
		return nil
	}
	d.cause = "quarantined part " + strings.Join(found.Parts, ",")
	return loomerror.New(loomerror.PromptQuarantined, "%d engines have ended under a part of the prompt", found.Ends).
		WithNotRun(d.lifecycle.NotRun()).WithRetryAfter(quarantineRetryAfter)
}

// tries reports whether a request is sent in spite of a quarantine, to show whether its parts
// are sound.
func (q *quarantine) tries(now time.Time, found loomquarantine.Quarantine, parts []string, version uint64) bool {
	if q.writerRank(found) != 0 || !q.ledger.Try(now, found, parts, version) {
		return false
	}
	q.gate.log.Info("quarantine_tried", "model", found.Model, "parts", strings.Join(found.Parts, ","), "weights", version)
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

// recordSound records that the answer was complete.
func (d *dispatch) recordSound(now time.Time, reply *loomupstream.Reply) {
	if d.req.HasPrompt && isSuccess(reply) {
		d.gate.quarantine.ledger.RecordSound(now, d.req.Prompt.Model, d.sharedPartIDs(), max(d.version, reply.Version))
	}
}

// recordUpstreamEnd records what the request shows if its upstream has ended under it, and
// reports whether it may be the reason, so that another attempt could end another upstream.
// An answer that has been in progress for some time is none.
func (d *dispatch) recordUpstreamEnd(ctx context.Context, now time.Time) bool {
	if !d.req.HasPrompt || (!d.attemptFirstAt.IsZero() && now.Sub(d.attemptFirstAt) > soundAge) {
		return false
	}
	ledger := d.gate.quarantine.ledger
	unsound := ledger.Unsound(now, d.req.Prompt.Model, d.sharedPartIDs(), d.version)
	if len(unsound) == 0 || !d.gate.quarantine.hasEnded(ctx, now, d.upstream) {
		return false
	}
	if d.isTrial {
		d.gate.log.Info("quarantine_confirmed", "upstream", d.upstream.ID, "request_id", d.req.RequestID)
	}
	hasBegun := d.status != 0 && (d.attemptFirstAt.IsZero() || now.Sub(d.attemptFirstAt) < begunWindow)
	end := loomquarantine.End{Upstream: d.upstream.ID, Incarnation: d.upstream.Incarnation, At: now}
	for _, p := range unsound {
		end.Exposures = append(end.Exposures, loomquarantine.Exposure{Part: p, Version: d.version, HasBegun: hasBegun})
	}
	if ledger.RecordEnd(now, end) {
		d.gate.quarantine.announceNews()
	}
	const suspiciousEnds = 2
	return hasBegun || d.isTrial || ledger.IsExposed(unsound, suspiciousEnds)
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
		q.gate.log.Warn("prompt_part_quarantined", "model", d.Model, "parts", strings.Join(d.Parts, ","), "weights", d.Version, "ends", d.Ends)
	}
	if len(decided) > 0 {
		q.announceDecision()
	}
}
