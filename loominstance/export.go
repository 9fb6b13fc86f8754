package loominstance

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loomcache"
	"swiftloom/loomhome"
	"swiftloom/loomlink"
	"swiftloom/loommember"
	"swiftloom/loompb"
)

const (
	maxExports     = 512
	exportWorkers  = 4
	exportBatch    = 8
	exportPause    = 5 * time.Millisecond
	exportPatience = 3 * time.Second
	exportTimeout  = 5 * time.Second
)

var errUnknownPeer = errors.New("the peer is not known")

// exporter carries out the exports that the index asks for, at a low class of
// the link and with a bounded backlog.
type exporter struct {
	instance *Instance
	queue    chan export
}

type export struct {
	wanted  loomcache.Export
	address string
	at      time.Time
}

func newExporter(n *Instance) *exporter {
	return &exporter{instance: n, queue: make(chan export, maxExports)}
}

// add queues an export, or gives it up when the backlog is full.
func (x *exporter) add(wanted loomcache.Export, engineAddress string) {
	select {
	case x.queue <- export{wanted: wanted, address: engineAddress, at: time.Now()}:
	default:
		x.skip(wanted)
	}
}

func (x *exporter) skip(wanted loomcache.Export) {
	x.instance.metrics.exportsSkipped.Inc(int64(len(wanted.Keys)))
	x.instance.index.Postpone(wanted)
}

// run works on the queue until ctx ends.
func (x *exporter) run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range exportWorkers {
		wait.Go(func() { x.work(ctx) })
	}
	wait.Wait()
	return nil
}

func (x *exporter) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-x.queue:
			x.carry(ctx, e)
		}
	}
}

// carry writes the blocks of one export in batches, each when the link has
// room.
func (x *exporter) carry(ctx context.Context, e export) {
	n := x.instance
	st, ok := x.storeFor(e.wanted)
	if !ok {
		x.skip(e.wanted)
		return
	}
	client, err := n.engines.client(e.address)
	if err != nil {
		x.skip(e.wanted)
		return
	}
	bytes := n.blockBytes(e.wanted.Salt.Model)
	for len(e.wanted.Keys) > 0 {
		batch := e.wanted
		batch.Keys = e.wanted.Keys[:min(exportBatch, len(e.wanted.Keys))]
		size := int64(len(batch.Keys)) * bytes
		if !x.begin(ctx, e, st, size) {
			x.skip(e.wanted)
			return
		}
		more := x.write(ctx, client, st, batch)
		st.budget.End(loomlink.Export, size)
		if !more {
			x.skip(e.wanted)
			return
		}
		e.wanted.Keys = e.wanted.Keys[len(batch.Keys):]
	}
}

// begin waits until the link has room, and gives up when the blocks are likely
// to have been evicted meanwhile.
func (x *exporter) begin(ctx context.Context, e export, st *store, size int64) bool {
	for {
		now := time.Now()
		if st.budget.Begin(now, loomlink.Export, size) {
			return true
		}
		if now.Sub(e.at) > exportPatience {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(exportPause):
		}
	}
}

type exportTarget interface {
	Export(ctx context.Context, r *loompb.ExportRequest) (*loompb.ExportReply, error)
}

// write asks the engine for one batch and reports whether to go on.
func (x *exporter) write(ctx context.Context, engine exportTarget, st *store, batch loomcache.Export) bool {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	request := &loompb.ExportRequest{
		Keys:         rawKeys(batch.Keys),
		StoreAddress: st.member.Address,
		TrafficClass: loompb.TrafficClass_TRAFFIC_CLASS_EXPORT,
		Salt:         wireSalt(batch.Salt),
	}
	for range batch.Keys {
		request.Roots = append(request.Roots, batch.Root[:])
	}
	reply, err := engine.Export(ctx, request)
	if err != nil {
		return false
	}
	now := time.Now()
	for _, ref := range reply.GetSealed() {
		key, ok := loomcache.KeyFrom(ref.GetKey())
		if !ok {
			continue
		}
		x.instance.index.Sealed(now, batch.Root, key, batch.Salt, loomcache.Stored{
			Store:       st.member.ID,
			Incarnation: ref.GetStoreIncarnation(),
			Generation:  ref.GetGeneration(),
			Checksum:    ref.GetChecksum(),
			Length:      ref.GetLength(),
		})
	}
	x.instance.metrics.exports.Inc(int64(len(reply.GetSealed())))
	return reply.GetMissing() == 0 && !reply.GetStoreFull()
}

// storeFor returns the store that keeps a prompt: the highest in rendezvous
// order among the live ones of the group that the model's engines use.
func (x *exporter) storeFor(wanted loomcache.Export) (*store, bool) {
	n := x.instance
	s := n.keeper.Snapshot()
	model, ok := s.Model(wanted.Salt.Model)
	if !ok {
		return nil, false
	}
	group, ok := s.UpstreamGroup(model.UpstreamGroup)
	if !ok || group.Stores == "" {
		return nil, false
	}
	var ids []string
	for _, b := range n.view.Load().Kind(loommember.KindStore, group.Stores) {
		if b.Status == loommember.Live {
			ids = append(ids, b.ID)
		}
	}
	first := loomhome.Rank(wanted.Root[:], ids, 1)
	if len(first) == 0 {
		return nil, false
	}
	return n.stores.get(first[0])
}

func (n *Instance) blockBytes(model string) int64 {
	m, _ := n.keeper.Snapshot().Model(model)
	return int64(max(m.BlockBytes, 1))
}
