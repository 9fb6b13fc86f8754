package loomgate

import (
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

	g.peers.syncRows(t.Context(), p, &loompb.ExchangeReply{CatalogueVersion: 4, UpstreamsVersion: 5})
	assert.Check(t, !g.view.hasUpstreamList(), "an empty upstream list at version %d counts as received", g.view.upstreamsVersion.Load())

	restarted.view.apply(time.Now(), TopicUpstreams, page(6, row("u", "up 1", 6)), true)
	g.peers.syncRows(t.Context(), p, &loompb.ExchangeReply{CatalogueVersion: 4, UpstreamsVersion: 6})
	assert.Check(t, len(g.view.group(time.Now(), "engines")) == 1)
}
