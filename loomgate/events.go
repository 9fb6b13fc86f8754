package loomgate

import (
	"strings"
	"time"

	"swiftloom/loomerror"
)

// logDispatch logs the choice of an upstream for an attempt.
func (g *Gate) logDispatch(d *dispatch, now time.Time) {
	r := d.req
	fields := []any{
		"request_id", r.RequestID,
		"attempt", d.attempts,
		"route", r.route.Name,
		"upstream", d.upstream.ID,
		"incarnation", d.upstream.Incarnation,
		"coordinator", d.coordinator,
		"wait_ms", d.wait.Milliseconds(),
		"held_ms", d.held.Milliseconds(),
		"held_upstreams", d.heldUpstreams,
		"cold", g.cold.isBound(now, d.upstream),
		"queue_error_ms", d.queueError(now).Milliseconds(),
		"expected_ms", d.choice.Expected.Milliseconds(),
		"recompute", d.choice.Recompute,
		"import", d.choice.Import,
		"weights", d.version,
		"outdated_ms", d.outdatedFor(now).Milliseconds(),
		"revision", r.revision,
		"upstreams_age_ms", g.view.upstreamsAge(now).Milliseconds(),
		"left_ms", r.deadline.Sub(now).Milliseconds(),
	}
	if d.regions.IsRestricted() {
		fields = append(fields, "regions", d.regions.String())
	}
	g.log.Info("dispatch", fields...)
}

// queueError returns how much later a request that waited starts than was expected when it
// arrived, or zero if it didn't wait.
func (d *dispatch) queueError(now time.Time) time.Duration {
	if d.expectedStart.IsZero() {
		return 0
	}
	return now.Sub(d.expectedStart)
}

// outdatedFor returns the time since the first target version that is newer than the weights
// of the attempt was named, or zero if there is none.
func (d *dispatch) outdatedFor(now time.Time) time.Duration {
	at, isOutdated := d.gate.view.outdatedSince(d.prompt.Model, d.version)
	if !d.hasPrompt || !isOutdated {
		return 0
	}
	return now.Sub(at)
}

// logAttemptEnded logs the end of an attempt that another one follows after a
// pause.
func (g *Gate) logAttemptEnded(d *dispatch, pause time.Duration) {
	g.log.Info("attempt_ended",
		"request_id", d.req.RequestID,
		"attempt", d.attempts,
		"upstream", d.upstream.ID,
		"status", d.status,
		"framing", d.framing.String(),
		"resumed_after", d.resumedAfter,
		"events", d.lifecycle.Relayed(),
		"pause_ms", pause.Milliseconds(),
		"cause", d.cause)
}

// logAttemptBroken logs what an attempt held whose connection ended before its answer was
// complete, so that the requests that were in progress when an upstream ended can be told.
func (g *Gate) logAttemptBroken(d *dispatch) {
	g.metrics.brokenAttempts.Inc(1)
	g.log.Info("attempt_broken",
		"request_id", d.req.RequestID,
		"attempt", d.attempts,
		"upstream", d.upstream.ID,
		"incarnation", d.upstream.Incarnation,
		"status", d.status,
		"attempt_events", d.lifecycle.Relayed()-d.relayedBefore,
		"sent_ms", time.Since(d.sentAt).Milliseconds(),
		"weights", d.version,
		"digest", d.req.digest(),
		"parts", partIDs(d.req.Prompt),
		"cause", d.cause)
}

// maxLoggedParts bounds the parts of a prompt in a line.
const maxLoggedParts = 16

// partIDs returns the IDs of the parts of a prompt for a line, separated by commas.
func partIDs(p Prompt) string {
	ids := make([]string, 0, min(len(p.Parts), maxLoggedParts))
	for _, part := range p.Parts[:min(len(p.Parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// logDone logs the end of a request and updates the metrics.
func (g *Gate) logDone(d *dispatch, failure *loomerror.Error) {
	r := d.req
	now := time.Now()
	outcome := "answered"
	notRun := ""
	if failure != nil {
		outcome = failure.Kind().String()
		notRun = failure.NotRun().String()
		g.metrics.failed(r.group.Name, failure.Kind())
	} else {
		g.metrics.answered(r.group.Name, r.route.Kind, now.Sub(r.Received))
		if r.HasPrompt && !d.firstAt.IsZero() && d.attempts == 1 {
			g.queues.forRequest(&d.placementQuery).observeOutput(r.Prompt.ExpectedOutputTokens, now.Sub(d.firstAt))
		}
	}
	first := int64(-1)
	if !d.firstAt.IsZero() {
		first = d.firstAt.Sub(r.Received).Milliseconds()
	}
	g.log.Info("request_done",
		"request_id", r.RequestID,
		"route", r.route.Name,
		"account", r.account.Name,
		"outcome", outcome,
		"status", d.status,
		"framing", d.framing.String(),
		"resumed_after", d.resumedAfter,
		"not_run", notRun,
		"attempts", d.attempts,
		"upstream", d.upstream.ID,
		"first_ms", first,
		"total_ms", now.Sub(r.Received).Milliseconds(),
		"events", d.lifecycle.Relayed(),
		"pause_ms", d.longestPause.Milliseconds(),
		"waited_ms", queueTime(d).Milliseconds(),
		"held_ms", (d.held + d.heldFor(now)).Milliseconds(),
		"message", messageOf(failure),
		"cause", d.cause)
}

// queueTime returns how long the request was held before its last attempt was
// sent, or until now if it was never sent.
func queueTime(d *dispatch) time.Duration {
	if d.sentAt.IsZero() {
		return time.Since(d.req.Received)
	}
	return d.sentAt.Sub(d.req.Received)
}

func messageOf(failure *loomerror.Error) string {
	if failure == nil {
		return ""
	}
	return failure.Message()
}
