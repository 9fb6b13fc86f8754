package loomgate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomroute"
)

// BenchmarkPlace measures one choice of a coordinator among 192 engines, which 50 instances
// of its failure domain and 5 other coordinators use.
func BenchmarkPlace(b *testing.B) {
	const engines, peers, domains, model = 192, 55, 6, "m"
	now := time.Now()
	g := newTestGate(b, "a", newFakeSource(), &fakeRunner{})
	g.view.applyRouting(loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
		Revision: 1,
		Groups:   []loomcatalogue.Group{{Name: "engines", MaxConnections: 1900, Engine: &loomcatalogue.EngineClass{Models: []string{model}, MemoryTokens: 113710, BytesPerToken: 35136, LinkBitsPerSecond: 260e9}}},
		Routes:   []loomcatalogue.Route{{Name: "r", Targets: []loomcatalogue.WeightedGroup{{Group: "engines", Weight: 1}}, EventGapObjective: 400 * time.Millisecond}},
	}), 1)
	for i := range engines {
		u := loommember.Upstream{
			ID: fmt.Sprintf("engine-%03d", i), Group: "engines", FailureDomain: fmt.Sprint("d", i%domains), Address: fmt.Sprintf("10.0.0.%d:1", i),
			Incarnation: 1, Slots: 16, Weights: []loommember.Weights{{Model: model, Version: 1}},
		}
		g.view.applyUpstream(now, UpstreamListed{Upstream: u, Version: uint64(i + 1)})
	}
	g.view.publish(now)
	var loads []loomroute.PeerLoad
	for i := range engines {
		loads = append(loads, loomroute.PeerLoad{ID: fmt.Sprintf("engine-%03d", i), Outstanding: 1, Tokens: 100, Memory: 1000})
	}
	request := func(n int) *loompb.PlaceRequest {
		r := &loompb.PlaceRequest{From: "p", FailureDomain: "d0", Group: "engines", Route: "r", StartTimeoutMs: 3200, Prompt: &loompb.Prompt{Model: model, Tokens: 3000, ExpectedOutputTokens: 20}}
		for _, part := range []string{fmt.Sprint("shared", n%3), fmt.Sprint("session", n%500), strings.Repeat("own", 2) + fmt.Sprint(n)} {
			r.Prompt.Parts = append(r.Prompt.Parts, &loompb.PromptPart{Id: part, Tokens: 800})
		}
		return r
	}
	for n := range 5000 {
		_, _ = (&peerService{gate: g}).Place(b.Context(), request(n))
	}
	for p := range peers {
		g.fleet.SetPeerLoads(time.Now(), fmt.Sprint("peer", p), loads)
	}
	b.ResetTimer()
	for n := range b.N {
		if n%400 == 0 {
			for p := range peers {
				g.fleet.SetPeerLoads(time.Now(), fmt.Sprint("peer", p), loads)
			}
		}
		_, _ = (&peerService{gate: g}).Place(b.Context(), request(n))
	}
}
