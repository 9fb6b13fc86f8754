package loominstance

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"swiftloom/loomcache"
	"swiftloom/loompb"
)

const observeTimeout = 300 * time.Millisecond

// observe tells the homes of a prompt where its blocks are cached now.
func (n *Instance) observe(ctx context.Context, pl plan, c candidate) {
	report, _ := n.fleet.Latest(c.member.ID)
	n.tellHomes(ctx, pl.segments, &loompb.ObserveRequest{
		Salt:              wireSalt(pl.salt),
		EngineId:          c.member.ID,
		Event:             report.Event,
		EngineIncarnation: report.Incarnation,
		EngineAddress:     c.member.Address,
		RetainMs:          uint64(n.retention(pl.salt.ClientAccount, pl.keys).Milliseconds()),
	})
}

// importFailed tells the homes of a prompt that its first blocks could not be
// read from their stores.
func (n *Instance) importFailed(ctx context.Context, pl plan, blocks int) {
	n.tellHomes(ctx, loomcache.Segments(pl.keys[:blocks]), &loompb.ObserveRequest{
		Salt:         wireSalt(pl.salt),
		ImportFailed: true,
	})
}

// tellHomes sends an observation to the home of each segment without waiting
// for it. A lost one costs a worse choice later and nothing else.
func (n *Instance) tellHomes(ctx context.Context, segments [][]loomcache.Key, r *loompb.ObserveRequest) {
	ctx = context.WithoutCancel(ctx)
	for home, numbers := range n.byHome(segments) {
		part, ok := proto.Clone(r).(*loompb.ObserveRequest)
		if !ok {
			continue
		}
		for _, i := range numbers {
			part.Segments = append(part.Segments, &loompb.Segment{Keys: rawKeys(segments[i])})
		}
		n.inFlight.Go(func() { n.tellHome(ctx, home, part) })
	}
}

func (n *Instance) tellHome(ctx context.Context, home string, r *loompb.ObserveRequest) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if home == n.ID() {
		_, _ = (&peerServer{instance: n}).Observe(ctx, r)
		return
	}
	if client, err := n.peerByID(home); err == nil {
		_, _ = client.Observe(ctx, r)
	}
}

func (n *Instance) importFailedHere(account string, keys []loomcache.Key) {
	drops := n.index.Failed(account, keys)
	if len(drops) == 0 {
		return
	}
	n.inFlight.Go(func() { n.free(context.Background(), drops) })
}
