package loomgate

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loompb"
)

// FuzzPeerMessages guards against a message that ends each instance that receives it.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range []proto.Message{
		&loompb.ExchangeRequest{
			From: "b", Incarnation: 1, CatalogueVersion: 3, UpstreamsVersion: 2,
			Loads:         []*loompb.UpstreamLoad{{UpstreamId: "e1", Outstanding: 1, PendingTokens: 2, MemoryTokens: 3}},
			Placements:    []*loompb.Placement{{UpstreamId: "e1", Salt: "s", Part: "p", Tokens: 100}},
			Weights:       []*loompb.WeightsSeen{{UpstreamId: "e1", Version: 2, Loading: true, Model: "m"}},
			Samples:       []*loompb.PrefillSample{{Group: "engines", Tokens: 100, Micros: 1000, UpstreamId: "e1"}},
			Queued:        []*loompb.QueuedWork{{Group: "engines", Rank: 1, Micros: 5}},
			Limits:        []*loompb.UpstreamLimit{{UpstreamId: "e1", IsLimited: true, RequestsPerSecond: 2, AgeMs: 5, Sent: 7}},
			LeaseRequests: []*loompb.LimitLeaseRequest{{UpstreamId: "e1", Demand: 1, Held: 1, Lease: 1}},
			Leaving:       []*loompb.LeavingStatement{{UpstreamId: "e1", AgeMs: 4}},
			ReachedIds:    []string{"e1"}, FailingIds: []string{"e2"},
			Evidence: &loompb.Evidence{Next: 2, Incarnation: 1, Changes: []*loompb.EvidenceChange{
				{Change: &loompb.EvidenceChange_End{End: &loompb.UpstreamEnd{UpstreamId: "e1", Exposures: []*loompb.ExposedPart{{Model: "m", Part: "p"}}}}},
				{Change: &loompb.EvidenceChange_Sound{Sound: &loompb.SoundPart{Model: "m", Part: "q"}}},
				{Change: &loompb.EvidenceChange_Quarantine{Quarantine: &loompb.QuarantinedParts{Model: "m", Parts: []string{"p"}}}},
			}},
		},
		&loompb.PlaceRequest{
			From: "b", Group: "engines", Route: "r", Rank: 1, StartTimeoutMs: 100, TriedIds: []string{"e1"}, Held: []*loompb.HeldUpstream{{UpstreamId: "e2", WaitMs: 3}},
			Prompt: &loompb.Prompt{Model: "m", Tokens: 100, ExpectedOutputTokens: 5, Parts: []*loompb.PromptPart{{Id: "p", Tokens: 90}}},
		},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
		now := time.Now()
		g.view.apply(now, TopicCatalogue, page(2, row("c", "routing 1", 1), row("v", "weights 2", 2)), true)
		g.view.apply(now, TopicUpstreams, page(4, row("e1", "up 1", 3), row("e2", "up 2", 4)), true)
		routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{Revision: 1, Groups: []loomcatalogue.Group{
			{Name: "engines", MaxConnections: 10, Engine: &loomcatalogue.EngineClass{Models: []string{"m"}, MemoryTokens: 1000}},
		}})
		g.view.routingSnapshot.Store(&routing)
		service := &peerService{gate: g}
		var exchange loompb.ExchangeRequest
		if proto.Unmarshal(data, &exchange) == nil {
			_, err := service.Exchange(t.Context(), &exchange)
			assert.Check(t, err)
		}
		var place loompb.PlaceRequest
		if proto.Unmarshal(data, &place) == nil {
			_, err := service.Place(t.Context(), &place)
			assert.Check(t, err)
		}
		var reply loompb.ExchangeReply
		if proto.Unmarshal(data, &reply) == nil {
			peer := &peer{id: "b", client: directClient{service: service}}
			g.peers.applyEvidence(now, peer, &exchange, &reply)
			g.view.applyPeerNamed(now, reply.GetNamedWeights())
			g.limits.apply(now, "b", reply.GetLimits())
			g.limits.accept(now, "b", reply.GetLeases())
			g.view.applyLeaving(now, "b", reply.GetLeaving())
		}
		g.quarantine.judge(now.Add(time.Second))
	})
}

// FuzzInstanceRows guards against a row that ends each instance that reads it, also once it
// has started again.
func FuzzInstanceRows(f *testing.F) {
	f.Add("instances/b", []byte(`{"address":"127.0.0.1:1","failure_domain":"d","incarnation":1,"processor_cores":1}`))
	f.Add("weights/m", []byte(`{"versions":[{"version":2,"named_ms":100}]}`))
	f.Add("quarantine/x", []byte(`{"model":"m","parts":["p"],"weights":1,"ends":3,"trials":0,"is_certain":true}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
		now := time.Now()
		rows := page(2, Row{Key: key, Value: value, Version: 1})
		g.view.applyNamedRows(now, rows, true)
		g.quarantine.applyRows(now, rows, true)
		g.peers.applyPage(now, rows)
		g.quarantine.judge(now.Add(time.Second))
		for _, w := range g.quarantine.rowWrites(now.Add(time.Minute)) {
			assert.Check(t, g.quarantine.write(t.Context(), w))
		}
		g.peers.closeAll()
	})
}
