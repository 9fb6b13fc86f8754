package loomgate

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcatalogue"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// receive looks at the head of an answer and relays the rest.
func (d *dispatch) receive(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	now := time.Now()
	d.gate.fleet.Heard(now, d.upstream.ID)
	if reply.Leaving {
		d.gate.log.Debug("upstream_closes", "upstream", d.upstream.ID, "request_id", d.req.RequestID)
	}
	if reply.NotRun {
		return d.refusedBy(ctx, now, reply)
	}
	d.life.Apply(now, loomstream.Delivered{Attempt: d.attempt})
	if reply.RequestID != d.req.RequestID || !reply.Stamped {
		d.cause = "the answer is not the upstream's to this request"
		d.gate.fleet.Broke(now, d.upstream.ID)
		return d.life.Apply(now, loomstream.Broken{Attempt: d.attempt})
	}
	d.noteVersion(now, reply.Version)
	if d.req.route.Kind == loomcatalogue.Streaming && succeeded(reply) {
		return d.relayStream(ctx, reply)
	}
	return d.relayWhole(ctx, reply)
}

func succeeded(r *loomupstream.Reply) bool {
	return r.Status >= 200 && r.Status < 300
}

// refusedBy takes in an upstream's word that it did not run the attempt.
func (d *dispatch) refusedBy(ctx context.Context, now time.Time, reply *loomupstream.Reply) loomstream.Action {
	d.cause = "refused with status " + strconv.Itoa(reply.Status)
	if reply.Status == statusMisdirected {
		d.misdirected(ctx, now, reply)
	}
	return d.life.Apply(now, loomstream.Refused{Attempt: d.attempt})
}

const statusMisdirected = 421

// misdirected learns from an answer that says that another upstream has the
// address, or that this one has other weights.
func (d *dispatch) misdirected(ctx context.Context, now time.Time, reply *loomupstream.Reply) {
	if reply.Answerer != d.upstream.ID {
		d.gate.beliefs.markLeaving(now, d.upstream.ID, d.upstream.Incarnation, "another upstream has its address")
		return
	}
	if reply.Version == 0 {
		d.gate.rollout.reportOf(ctx, d.upstream, d.req.Prompt.Model)
		return
	}
	d.gate.beliefs.sawVersion(now, d.upstream.ID, d.upstream.Incarnation, d.req.Prompt.Model, reply.Version)
}

func (d *dispatch) noteVersion(now time.Time, version uint64) {
	if d.req.HasPrompt && version > d.version {
		d.gate.beliefs.sawVersion(now, d.upstream.ID, d.upstream.Incarnation, d.req.Prompt.Model, version)
	}
}

// relayWhole reads an answer to its end before the first byte is passed on.
func (d *dispatch) relayWhole(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWholeAnswer+1))
	now := time.Now()
	if err == nil && (len(body) > maxWholeAnswer || (reply.Length >= 0 && int64(len(body)) != reply.Length && d.req.Method != "HEAD")) {
		err = errors.NotValidf("answer of %d bytes", len(body))
	}
	if err != nil {
		return d.broken(ctx, &loomupstream.SendError{Delivered: true, Cause: err})
	}
	d.first(now)
	if reply.Status >= 500 {
		d.gate.fleet.Broke(now, d.upstream.ID)
		if retry, ok := d.life.Apply(now, loomstream.Failed{Attempt: d.attempt}).(loomstream.Retry); ok {
			d.cause = "failed with status " + strconv.Itoa(reply.Status)
			return retry
		}
	} else {
		d.gate.fleet.Worked(d.upstream.ID)
	}
	d.started = true
	if err := d.w.Answer(reply, body); err != nil {
		d.cause = "the caller's connection broke: " + err.Error()
	}
	return loomstream.Complete{}
}

// first notes the first answer of an attempt.
func (d *dispatch) first(now time.Time) {
	if !d.firstAt.IsZero() {
		return
	}
	d.firstAt = now
	d.gate.fleet.Started(d.ticket)
	d.gate.queues.wake(d.req.group.Name)
	d.gate.metrics.first(d.req.group.Name, d.req.route.Kind, now.Sub(d.req.Received))
	d.gate.learnPace(d, now)
}

// relayStream passes on whole events as they come.
func (d *dispatch) relayStream(ctx context.Context, reply *loomupstream.Reply) loomstream.Action {
	events := loomstream.NewEventReader(reply.Body)
	for {
		event, err := events.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			return d.streamEnded(now)
		}
		if err != nil {
			return d.broken(ctx, &loomupstream.SendError{Delivered: true, Cause: err})
		}
		d.gate.fleet.Heard(now, d.upstream.ID)
		d.first(now)
		offset := d.life.Relayed()
		action := d.life.Apply(now, loomstream.Token{Attempt: d.attempt, Version: d.version, Offset: offset})
		if _, ok := action.(loomstream.Relay); !ok {
			return action
		}
		if !d.started {
			d.started = true
			d.w.Stream(reply)
		}
		if err := d.w.Event(event.Raw); err != nil {
			d.cause = "the caller's connection broke: " + err.Error()
			return d.givenUp(ctx, now)
		}
		if event.ID != "" {
			d.lastEvent = event.ID
		}
	}
}

// streamEnded takes in the end of a stream between two events.
func (d *dispatch) streamEnded(now time.Time) loomstream.Action {
	if d.life.Relayed() == 0 {
		d.cause = "the stream ended before its first event"
		return d.life.Apply(now, loomstream.Broken{Attempt: d.attempt})
	}
	d.gate.fleet.Worked(d.upstream.ID)
	return d.life.Apply(now, loomstream.Finished{Attempt: d.attempt, Tokens: d.life.Relayed()})
}
