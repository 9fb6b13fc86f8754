package loomgate

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

// TestRowsOfARestartedPeerAreNoList guards against the rows of a peer that has
// restarted since it announced its versions and has read no list itself.
func TestRowsOfARestartedPeerAreNoList(t *testing.T) {
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	restarted := newTestGate(t, "b", newFakeSource(), &fakeRunner{})
	p := &peer{id: "b", client: directClient{service: &peerService{gate: restarted}}}

	g.peers.syncRows(t.Context(), p, time.Now(), &loompb.ExchangeReply{CatalogueVersion: 4, UpstreamsVersion: 5})
	assert.Check(t, !g.view.hasUpstreamList(), "an empty upstream list at version %d counts as received", g.view.upstreamsVersion.Load())

	restarted.view.apply(time.Now(), TopicUpstreams, page(6, row("u", "up 1", 6)), true)
	g.peers.syncRows(t.Context(), p, time.Now(), &loompb.ExchangeReply{CatalogueVersion: 4, UpstreamsVersion: 6})
	assert.Check(t, len(g.view.group(time.Now(), "engines")) == 1)
}

// TestRowsOfPeerKeepTheirAge guards against an old upstream list that counts as new
// because it comes from a peer.
func TestRowsOfPeerKeepTheirAge(t *testing.T) {
	const age = 1500 * time.Millisecond
	now := time.Now()
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	other := newTestGate(t, "b", newFakeSource(), &fakeRunner{})
	other.view.apply(now.Add(-age), TopicUpstreams, page(6, row("u", "up 1", 6)), true)
	p := &peer{id: "b", client: directClient{service: &peerService{gate: other}}}
	g.peers.syncRows(t.Context(), p, time.Now(), &loompb.ExchangeReply{UpstreamsVersion: 6})
	assert.Equal(t, len(g.view.group(now, "engines")), 1)
	got := g.view.upstreamsAge(time.Now())
	assert.Check(t, got >= age, "the list is %s old, the peer's was %s old", got, age)
}

// slowSource is a fakeSource whose reads take some time.
type slowSource struct {
	*fakeSource

	delay time.Duration
}

// Snapshot implements Source.
func (s slowSource) Snapshot(context.Context, Topic) (Page, error) {
	time.Sleep(s.delay)
	return page(6, row("u", "up 1", 6)), nil
}

// TestListAgeIncludesTheCall guards against a list that counts as current when its
// response is handled, although an upstream may have left while the call was under way.
func TestListAgeIncludesTheCall(t *testing.T) {
	const delay = 200 * time.Millisecond
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.source = slowSource{fakeSource: newFakeSource(), delay: delay}
	assert.NilError(t, g.view.poll(t.Context(), TopicUpstreams, true, 0))
	got := g.view.upstreamsAge(time.Now())
	assert.Check(t, got >= delay, "the list is %s old, the call took %s", got, delay)
}

// TestRowsPassedOnKeepThePlatformsReturn guards against a peer that has the list from
// another peer, and for which the platform counts as back only since that list.
func TestRowsPassedOnKeepThePlatformsReturn(t *testing.T) {
	now := time.Now()
	a := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	b := newTestGate(t, "b", newFakeSource(), &fakeRunner{})
	c := newTestGate(t, "c", newFakeSource(), &fakeRunner{})
	for _, g := range []*Gate{a, b, c} {
		g.view.apply(now.Add(-10*time.Second), TopicUpstreams, page(5, row("u", "up 1", 5)), true)
	}
	read := page(6)
	read.AsOf, read.AnswersSince = now, now.Add(-3*time.Second)
	a.view.recordAnswer(read.AnswersSince, read.AnswersSince)
	a.view.apply(now, TopicUpstreams, read, true)
	b.peers.fetchRows(t.Context(), &peer{id: "a", client: directClient{service: &peerService{gate: a}}}, TopicUpstreams)
	c.peers.fetchRows(t.Context(), &peer{id: "b", client: directClient{service: &peerService{gate: b}}}, TopicUpstreams)
	assert.Equal(t, len(b.view.group(now, "engines")), 0)
	assert.Check(t, len(c.view.group(now, "engines")) == 0, "an upstream that was removed in 3 s without an outage is used")
}

// TestExchangeTellsNoAgeOfALaterList guards against an instance that tells the age of the
// list that it has just read with the version of the one before.
func TestExchangeTellsNoAgeOfALaterList(t *testing.T) {
	const step = 20 * time.Millisecond
	start := time.Now().Add(-24 * time.Hour)
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	g.view.apply(start, TopicUpstreams, page(1), true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(2); version < 2_000_000; version++ {
			g.view.apply(start.Add(time.Duration(version)*step), TopicUpstreams, page(version), true)
		}
	}()
	service := &peerService{gate: g}
	for isDone := false; !isDone; {
		asked := time.Now()
		reply, err := service.Exchange(t.Context(), &loompb.ExchangeRequest{From: "b"})
		assert.NilError(t, err)
		asOf := asked.Add(-milliseconds(reply.GetUpstreamsAgeMs()))
		latest := start.Add(time.Duration(reply.GetUpstreamsVersion())*step + step/10)
		assert.Assert(t, asOf.Before(latest), "version %d is told with the age of a list from %s later", reply.GetUpstreamsVersion(), asOf.Sub(latest))
		select {
		case <-done:
			isDone = true
		default:
		}
	}
}
