package loomgate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loomhttp"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// handleReply checks the head of a response and relays its body.
func (d *dispatch) handleReply(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	now := time.Now()
	d.gate.fleet.RecordReceived(now, d.upstream.ID)
	if reply.Closes {
		d.gate.log.Debug("upstream_closes", "upstream", d.upstream.ID, "request_id", d.req.RequestID)
	}
	isOwn := reply.RequestID == d.req.RequestID
	d.hear(now, reply)
	if reply.NotRun && (isOwn || reply.RequestID == "") {
		return d.handleRefusal(ctx, now, reply)
	}
	d.lifecycle.Apply(now, loomstream.Delivered{Attempt: d.attemptID})
	if !isOwn || !reply.Stamped {
		d.cause = "answer lacks the upstream's stamp or the ID of this request"
		d.gate.fleet.RecordFailure(now, d.upstream.ID)
		return d.breakAttempt(now)
	}
	d.updateVersion(now, reply.Version)
	if d.streamStatus != 0 && reply.Status != d.streamStatus {
		return d.handleFailedContinuation(now, reply)
	}
	if d.req.route.Kind == loomcatalogue.Streaming && isSuccess(reply) && d.req.Method != http.MethodHead {
		return d.relayStream(ctx, reply)
	}
	return d.relayBuffered(ctx, reply)
}

// hear applies what a response to the current attempt says of the upstream, if the upstream
// itself has sent it for this request.
func (d *dispatch) hear(now time.Time, reply *loomupstream.Reply) {
	if reply.UpstreamID != "" && reply.UpstreamID != d.upstream.ID {
		return
	}
	isOwn := reply.RequestID == d.req.RequestID
	if isOwn && (reply.Stamped || reply.NotRun) {
		d.gate.limits.hear(now, d.upstream, reply)
	}
	if isOwn && reply.Stamped {
		d.gate.cold.hearAnswer(now, d.upstream)
	}
	if isOwn || (reply.NotRun && reply.RequestID == "") {
		d.gate.hear(now, d.upstream, reply.Said, "answer")
	}
}

// handleFailedContinuation handles a response to an attempt that was to continue a
// stream, but that has another status than the stream. Nothing of the response may
// reach the caller, who has received the head and some events of the stream.
func (d *dispatch) handleFailedContinuation(now time.Time, reply *loomupstream.Reply) loomstream.Action {
	d.cause = fmt.Sprintf("continuation of a stream with status %d was answered with status %d", d.streamStatus, reply.Status)
	d.gate.metrics.streamEnded(d.req.group.Name, streamEndOther)
	if reply.Status >= 500 {
		d.gate.fleet.RecordFailure(now, d.upstream.ID)
	}
	return d.lifecycle.Apply(now, loomstream.Failed{Attempt: d.attemptID})
}

func isSuccess(r *loomupstream.Reply) bool {
	return r.Status >= 200 && r.Status < 300
}

// handleRefusal handles a response that states that the upstream did not run the
// attempt.
func (d *dispatch) handleRefusal(ctx context.Context, now time.Time, reply *loomupstream.Reply) loomstream.Action {
	d.cause = "upstream refused with status " + strconv.Itoa(reply.Status)
	if reply.Status == statusMisdirected {
		d.handleMisdirected(ctx, now, reply)
	}
	return d.lifecycle.Apply(now, loomstream.Refused{Attempt: d.attemptID})
}

const statusMisdirected = 421

// handleMisdirected updates the view after a response that says that another
// upstream has the address, or that this upstream runs other weights.
func (d *dispatch) handleMisdirected(ctx context.Context, now time.Time, reply *loomupstream.Reply) {
	if reply.UpstreamID != d.upstream.ID {
		d.gate.view.markLeaving(now, d.upstream.ID, d.upstream.Incarnation, "address belongs to another upstream")
		return
	}
	if reply.Version == 0 {
		d.gate.rollout.refreshVersion(ctx, d.upstream, d.req.Prompt.Model)
		return
	}
	d.gate.view.recordVersion(now, d.upstream.ID, d.upstream.Incarnation, d.req.Prompt.Model, reply.Version)
}

// updateVersion records the version in a response if it is newer than the one that
// the request was sent for.
func (d *dispatch) updateVersion(now time.Time, version uint64) {
	if d.req.HasPrompt && version > d.version {
		d.gate.view.recordVersion(now, d.upstream.ID, d.upstream.Incarnation, d.req.Prompt.Model, version)
	}
}

// relayBuffered reads the complete answer before it passes on the first byte,
// so that a broken answer can still be retried.
func (d *dispatch) relayBuffered(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	d.start.stop()
	length := reply.Length
	if d.req.Method == http.MethodHead {
		length = -1
	}
	body, err := loomhttp.ReadAnswer(ctx, reply.Body, length, maxBufferedAnswer)
	now := time.Now()
	if err == nil && length >= 0 && int64(len(body)) != length {
		err = errors.NotValidf("answer of %d bytes with declared length %d", len(body), length)
	}
	if err != nil {
		return d.handleAttemptError(ctx, &loomupstream.SendError{Delivered: true, Cause: err})
	}
	d.recordFirstByte(now)
	d.recordSound(now, reply)
	if reply.Status >= 500 {
		d.gate.fleet.RecordFailure(now, d.upstream.ID)
		if retry, ok := d.lifecycle.Apply(now, loomstream.Failed{Attempt: d.attemptID}).(loomstream.Retry); ok {
			d.cause = "upstream failed with status " + strconv.Itoa(reply.Status)
			return retry
		}
	} else {
		d.gate.fleet.RecordSuccess(d.upstream.ID)
	}
	if err := d.w.WriteAnswer(reply, body); err != nil {
		d.cause = "the caller's connection broke: " + err.Error()
	}
	return loomstream.Complete{}
}

// recordFirstByte records the first byte or event of the answer, once per
// request.
func (d *dispatch) recordFirstByte(now time.Time) {
	if !d.firstAt.IsZero() {
		return
	}
	d.firstAt = now
	d.gate.fleet.Started(d.ticket)
	if d.coordinator == "" {
		// A coordinator has more to go by than one upstream's progress.
		d.gate.queues.wakeFirst(d.req.group.Name)
	}
	d.gate.metrics.firstByte(d.req.group.Name, d.req.route.Kind, now.Sub(d.req.Received))
	d.gate.observePrefill(d, now)
}

// streamEnd is the way in which an upstream's stream ended.
type streamEnd int

// The ends of streams. streamEndUntilClose is a proper end of a body that ends with
// its connection. streamEndOther is a stream that the gate breaks off: a continuation
// with another status, or an event out of order.
const (
	streamEndFramed streamEnd = iota
	streamEndUntilClose
	streamEndCut
	streamEndOther
)

// String returns the name of the end in lower case.
func (e streamEnd) String() string {
	switch e {
	case streamEndFramed:
		return "framed"
	case streamEndUntilClose:
		return "until_close"
	case streamEndCut:
		return "cut"
	default:
		return "other_answer"
	}
}

// errorEvent is the type of events by which upstreams report that they failed. It may be
// part of an upstream's own stream, but doesn't continue that of another.
const errorEvent = "error"

// relayStream relays the events of a stream as they arrive, each only once it
// is complete.
func (d *dispatch) relayStream(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	isContinuation := d.streamStatus != 0
	relayedBefore := d.lifecycle.Relayed()
	if isContinuation {
		d.sequence.Resume()
	}
	memory := loomhttp.MemoryOf(ctx)
	events := loomstream.NewAccountedEventReader(reply.Body, memory.ReserveEvent, memory.ReleaseAnswer)
	defer events.Release()
	for {
		event, err := events.Next()
		now := time.Now()
		if isContinuation {
			// The caller is receiving the body of another upstream.
			event.Comments = nil
		}
		if errors.Is(err, io.EOF) {
			return d.handleStreamEnd(now, reply, d.lifecycle.Relayed()-relayedBefore, event.Comments)
		}
		if err != nil {
			d.gate.metrics.streamEnded(d.req.group.Name, streamEndCut)
			return d.handleAttemptError(ctx, &loomupstream.SendError{Delivered: true, Cause: err})
		}
		d.gate.fleet.RecordReceived(now, d.upstream.ID)
		err = d.sequence.Add(event.ID)
		if isContinuation && event.Type == errorEvent {
			err = errors.Errorf("continuation of a stream holds an event of type %q", event.Type)
		}
		if err != nil {
			d.cause = err.Error()
			d.gate.metrics.streamEnded(d.req.group.Name, streamEndOther)
			d.gate.fleet.RecordFailure(now, d.upstream.ID)
			return d.breakAttempt(now)
		}
		if action, ok := d.relayEvent(ctx, now, reply, event.Text()); !ok {
			return action
		}
	}
}

// relayEvent passes the text of an event on to the caller, after the head of the
// answer if it is the first one. It returns false with the next action if the attempt
// is over.
func (d *dispatch) relayEvent(ctx context.Context, now time.Time, reply *loomupstream.Reply, text []byte) (loomstream.Action, bool) {
	d.start.stop()
	d.recordFirstByte(now)
	if d.attemptFirstAt.IsZero() {
		d.attemptFirstAt = now
	}
	d.recordEvent(now)
	action := d.lifecycle.Apply(now, loomstream.Token{Attempt: d.attemptID, Version: d.version, Offset: d.lifecycle.Relayed()})
	if _, ok := action.(loomstream.Relay); !ok {
		return action, false
	}
	if d.streamStatus == 0 {
		d.streamStatus = reply.Status
		d.w.StartStream(reply)
	}
	if err := d.w.WriteEvent(text); err != nil {
		d.cause = "the caller's connection broke: " + err.Error()
		return d.abandon(ctx, now), false
	}
	return nil, true
}

// recordEvent records the pause before an event of a stream.
func (d *dispatch) recordEvent(now time.Time) {
	if !d.lastEventAt.IsZero() {
		d.longestPause = max(d.longestPause, now.Sub(d.lastEventAt))
	}
	d.lastEventAt = now
}

// handleStreamEnd handles a stream that ended after a complete event, or before the
// first one. An attempt that brought no event doesn't show that the stream is whole,
// even if it was to continue the stream. The comments are those after the last event.
func (d *dispatch) handleStreamEnd(now time.Time, reply *loomupstream.Reply, events int, comments []byte) loomstream.Action {
	end := streamEndFramed
	if reply.Framing == loomupstream.FramingUntilClose {
		end = streamEndUntilClose
	}
	d.gate.metrics.streamEnded(d.req.group.Name, end)
	if events == 0 {
		d.cause = "stream ended before its first event"
		return d.breakAttempt(now)
	}
	d.gate.fleet.RecordSuccess(d.upstream.ID)
	d.recordSound(now, reply)
	action := d.lifecycle.Apply(now, loomstream.Finished{Attempt: d.attemptID, Tokens: d.lifecycle.Relayed()})
	if _, ok := action.(loomstream.Complete); !ok {
		return action
	}
	if len(comments) > 0 {
		if err := d.w.WriteEvent(comments); err != nil {
			d.cause = "the caller's connection broke: " + err.Error()
		}
	}
	d.w.EndStream()
	return action
}
