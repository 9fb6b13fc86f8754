package loomgate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

// directClient calls another gate of the same process instead of a network. Calls
// fail while isDown is set or isCut returns true.
type directClient struct {
	service *peerService
	isDown  *atomic.Bool
	isCut   func() bool
}

func (c directClient) err() error {
	if (c.isDown != nil && c.isDown.Load()) || (c.isCut != nil && c.isCut()) {
		return errDown
	}
	return nil
}

// Exchange implements loompb.GatePeerClient.
func (c directClient) Exchange(ctx context.Context, r *loompb.ExchangeRequest, _ ...grpc.CallOption) (*loompb.ExchangeReply, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.service.Exchange(ctx, r)
}

// Rows implements loompb.GatePeerClient.
func (c directClient) Rows(ctx context.Context, r *loompb.RowsRequest, _ ...grpc.CallOption) (*loompb.RowsReply, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.service.Rows(ctx, r)
}

// Place implements loompb.GatePeerClient.
func (c directClient) Place(ctx context.Context, r *loompb.PlaceRequest, _ ...grpc.CallOption) (*loompb.PlaceReply, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.service.Place(ctx, r)
}

// connect makes gates peers of each other that exchange their state until ctx ends.
// It returns, for each gate, the switch that makes calls to it fail.
func connect(ctx context.Context, gates []*Gate) map[string]*atomic.Bool {
	return connectCut(ctx, gates, func(*Gate, *Gate) bool { return false })
}

// connectCut is like connect for gates that can be cut off from each other.
func connectCut(ctx context.Context, gates []*Gate, isCut func(from, to *Gate) bool) map[string]*atomic.Bool {
	isDown := make(map[string]*atomic.Bool)
	for _, g := range gates {
		isDown[g.settings.ID] = &atomic.Bool{}
	}
	for _, g := range gates {
		for _, other := range gates {
			if other == g {
				continue
			}
			s := other.settings
			g.peers.byID[s.ID] = &peer{
				id:     s.ID,
				row:    instanceRow{FailureDomain: s.FailureDomain, ProcessorCores: s.ProcessorCores},
				client: directClient{service: &peerService{gate: other}, isDown: isDown[s.ID], isCut: func() bool { return isCut(g, other) }},
			}
		}
	}
	for _, g := range gates {
		go g.peers.exchangeLoop(ctx)
	}
	return isDown
}

// TestRequestForPeerHasAllFields guards against a field of a round's request that is not
// passed on to the peers.
func TestRequestForPeerHasAllFields(t *testing.T) {
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	r := &loompb.ExchangeRequest{
		From: "a", Incarnation: 1, CatalogueVersion: 2, UpstreamsVersion: 3,
		Loads: []*loompb.UpstreamLoad{{UpstreamId: "e"}}, Placements: []*loompb.Placement{{UpstreamId: "e"}},
		Weights: []*loompb.WeightsSeen{{UpstreamId: "e"}}, Samples: []*loompb.PrefillSample{{UpstreamId: "e"}},
		Queued: []*loompb.QueuedWork{{Group: "g"}}, Limits: []*loompb.UpstreamLimit{{UpstreamId: "e"}},
		Leaving: []*loompb.LeavingStatement{{UpstreamId: "e"}}, ReachedIds: []string{"e"}, FailingIds: []string{"f"},
		Cold: []*loompb.ColdUpstream{{UpstreamId: "e"}},
	}
	sent := g.peers.requestFor(time.Now(), &peer{id: "b", evidenceSeen: 4, evidenceIncarnation: 5}, r)
	fields := r.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		isForPeer := field.Name() == "lease_requests" || field.Name() == "evidence"
		assert.Check(t, isForPeer || sent.ProtoReflect().Has(field), "field %s is missing", field.Name())
	}
}
