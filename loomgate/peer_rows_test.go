package loomgate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/connectivity"
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

// TestPeerIsKeptBesideOddRow guards against a peer that can't be called any more after a row
// that no instance can have written.
func TestPeerIsKeptBesideOddRow(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"not JSON", "{"},
		{"null", "null"},
		{"nested", strings.Repeat("[", 20_000)},
		{"port out of range", `{"address":"127.0.0.1:99999","incarnation":1}`},
		{"port zero", `{"address":"127.0.0.1:0","incarnation":1}`},
		{"control character", `{"address":"\u0000","incarnation":1}`},
		{"escape", `{"address":"%zz","incarnation":1}`},
		{"no address", `{"incarnation":1}`},
		{"incarnation too large for its type", `{"address":"127.0.0.1:1","incarnation":123456789012345678901}`},
		{"largest incarnation", `{"address":"127.0.0.1:1","incarnation":18446744073709551615}`},
		{"capacity too large", `{"address":"127.0.0.1:1","incarnation":1,"processor_cores":1e400}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
			t.Cleanup(g.peers.closeAll)
			now := time.Now()
			g.peers.applyPage(now, page(1, row("instances/b", `{"address":"127.0.0.1:2","failure_domain":"d","incarnation":7}`, 1)))
			g.peers.applyPage(now, page(2, row("instances/b", tt.value, 2)))
			b := g.peers.byID["b"]
			assert.Equal(t, b.row, instanceRow{Address: "127.0.0.1:2", FailureDomain: "d", Incarnation: 7})
			assert.Check(t, b.conn.GetState() != connectivity.Shutdown)
		})
	}
}

// TestReplacedInstanceRowIsWrittenAgain guards against an instance that no other can find
// since another writer has replaced its row.
func TestReplacedInstanceRowIsWrittenAgain(t *testing.T) {
	s := newFakeSource()
	g := newTestGate(t, "a", s, &fakeRunner{})
	g.settings.PeerAddress = "127.0.0.1:3"
	read := func() Page {
		r := s.rows["instances/a"]
		return page(s.version, Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	replace := func(value string) {
		_, err := s.Transact(t.Context(), &loompb.TransactRequest{Writes: []*loompb.Write{{Key: "instances/a", Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	follow := func() string {
		g.peers.applyPage(time.Now(), read())
		g.peers.announceAgain(t.Context())
		return string(read().Rows[0].Value)
	}
	g.peers.announce(t.Context())
	own := string(read().Rows[0].Value)
	version := s.version
	for range 3 {
		assert.Equal(t, follow(), own)
	}
	assert.Equal(t, s.version, version, "a sound row is written again")
	for _, value := range []string{"{", "null", `{"address":"127.0.0.1:99999"}`, strings.Replace(own, ":3", ":4", 1), `{"address":"127.0.0.1:4","incarnation":1}`} {
		replace(value)
		assert.Check(t, follow() == own, "%s stays", value)
	}
	later := fmt.Sprintf(`{"address":"127.0.0.1:4","incarnation":%d}`, g.incarnation+1)
	replace(later)
	assert.Check(t, follow() == later, "the row of a later incarnation is replaced")
}
