package loominstance

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"swiftloom/loomcache"
	"swiftloom/loompb"
)

const observeTimeout = 300 * time.Millisecond

// observe notifies the homes of a prompt that an engine now caches its blocks.
func (n *Instance) observe(ctx context.Context, pl plan, c candidate) {
	report, _ := n.fleet.Latest(c.member.ID)
	n.notifyHomes(ctx, pl.segments, &loompb.ObserveRequest{
		Salt:              saltToProto(pl.salt),
		EngineId:          c.member.ID,
		Event:             report.Event,
		EngineIncarnation: report.Incarnation,
		EngineAddress:     c.member.Address,
		RetainMs:          uint64(n.retention(pl.salt.ClientAccount, pl.keys).Milliseconds()),
	})
}

// notifyImportFailed notifies the homes of a prompt that its leading blocks
// could not be read from their stores.
func (n *Instance) notifyImportFailed(ctx context.Context, pl plan, blocks int) {
	n.notifyHomes(ctx, loomcache.Segments(pl.keys[:blocks]), &loompb.ObserveRequest{
		Salt:         saltToProto(pl.salt),
		ImportFailed: true,
	})
}

// notifyHomes sends an observation to the home of each segment in the
// background. Lost observations are not sent again: they only lead to a less
// suitable choice of engine later.
func (n *Instance) notifyHomes(ctx context.Context, segments [][]loomcache.Key, r *loompb.ObserveRequest) {
	ctx = context.WithoutCancel(ctx)
	for home, indices := range n.groupByHome(segments) {
		homeRequest, ok := proto.Clone(r).(*loompb.ObserveRequest)
		if !ok {
			continue
		}
		for _, i := range indices {
			homeRequest.Segments = append(homeRequest.Segments, &loompb.Segment{Keys: keysToProto(segments[i])})
		}
		n.background.Go(func() { n.notifyHome(ctx, home, homeRequest) })
	}
}

// notifyHome sends an observation to one home, or records it locally.
func (n *Instance) notifyHome(ctx context.Context, home string, r *loompb.ObserveRequest) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if home == n.ID() {
		_, _ = (&peerServer{instance: n}).Observe(ctx, r)
		return
	}
	if client, err := n.peerClient(home); err == nil {
		_, _ = client.Observe(ctx, r)
	}
}

// dropFailedBlocks removes blocks that could not be read from the index, and
// frees them in their stores in the background, so that they are written again.
func (n *Instance) dropFailedBlocks(account string, keys []loomcache.Key) {
	drops := n.index.Failed(account, keys)
	if len(drops) == 0 {
		return
	}
	n.background.Go(func() { n.freeBlocks(context.Background(), drops) })
}
