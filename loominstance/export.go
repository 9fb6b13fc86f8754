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
	// exportQueueSize bounds the number of queued exports. An export is written
	// in batches of exportBatchBlocks blocks.
	exportQueueSize     = 512
	exportWorkers       = 4
	exportBatchBlocks   = 8
	exportRetryInterval = 5 * time.Millisecond
	maxExportDelay      = 3 * time.Second
	exportTimeout       = 5 * time.Second
)

var errUnknownPeer = errors.New("peer not found among the members")

// exporter writes the cached blocks that the index selects from engines to
// stores. Its traffic has a lower priority on the link than imports, and its
// backlog is bounded.
type exporter struct {
	instance *Instance
	queue    chan export
}

// export is a queued export of blocks from an engine.
type export struct {
	spec          loomcache.Export
	engineAddress string
	queuedAt      time.Time
}

func newExporter(n *Instance) *exporter {
	return &exporter{instance: n, queue: make(chan export, exportQueueSize)}
}

// enqueue adds an export to the backlog, or skips it when the backlog is full.
func (x *exporter) enqueue(spec loomcache.Export, engineAddress string) {
	select {
	case x.queue <- export{spec: spec, engineAddress: engineAddress, queuedAt: time.Now()}:
	default:
		x.skip(spec)
	}
}

// skip counts the blocks as skipped and lets the index request them again at
// the next use.
func (x *exporter) skip(spec loomcache.Export) {
	x.instance.metrics.exportsSkipped.Inc(int64(len(spec.Keys)))
	x.instance.index.AbandonExport(spec)
}

// run processes the backlog with exportWorkers workers until ctx ends.
func (x *exporter) run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range exportWorkers {
		wg.Go(func() { x.runWorker(ctx) })
	}
	wg.Wait()
	return nil
}

func (x *exporter) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-x.queue:
			x.exportBlocks(ctx, e)
		}
	}
}

// exportBlocks writes the blocks of one export in batches, each when the link
// has room. If a batch fails, lacks blocks in the engine or fills the store, the
// blocks of this batch and of all later ones are skipped.
func (x *exporter) exportBlocks(ctx context.Context, e export) {
	n := x.instance
	st, ok := x.targetStore(e.spec)
	if !ok {
		x.skip(e.spec)
		return
	}
	client, err := n.engines.client(e.engineAddress)
	if err != nil {
		x.skip(e.spec)
		return
	}
	blockSize := n.blockBytes(e.spec.Salt.Model)
	for len(e.spec.Keys) > 0 {
		batch := e.spec
		batch.Keys = e.spec.Keys[:min(exportBatchBlocks, len(e.spec.Keys))]
		size := int64(len(batch.Keys)) * blockSize
		if !x.reserveLink(ctx, e, st, size) {
			x.skip(e.spec)
			return
		}
		more := x.writeBatch(ctx, client, st, batch)
		st.budget.End(loomlink.Export, size)
		if !more {
			x.skip(e.spec)
			return
		}
		e.spec.Keys = e.spec.Keys[len(batch.Keys):]
	}
}

// reserveLink waits until the link has room. It returns false when the export
// was queued more than maxExportDelay ago, since the engine has probably evicted
// the blocks by then.
func (x *exporter) reserveLink(ctx context.Context, e export, st *store, size int64) bool {
	for {
		now := time.Now()
		if st.budget.Begin(now, loomlink.Export, size) {
			return true
		}
		if now.Sub(e.queuedAt) > maxExportDelay {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(exportRetryInterval):
		}
	}
}

type blockExporter interface {
	Export(ctx context.Context, r *loompb.ExportRequest) (*loompb.ExportReply, error)
}

// writeBatch asks the engine to write one batch to the store and records the
// blocks that were written. It reports whether the next batch should follow.
func (x *exporter) writeBatch(ctx context.Context, engine blockExporter, st *store, batch loomcache.Export) bool {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	request := &loompb.ExportRequest{
		Keys:         keysToProto(batch.Keys),
		StoreAddress: st.member.Address,
		TrafficClass: loompb.TrafficClass_TRAFFIC_CLASS_EXPORT,
		Salt:         saltToProto(batch.Salt),
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

// targetStore returns the store for a prompt: the first in rendezvous order
// among the live stores of the group that the model's engines use.
func (x *exporter) targetStore(spec loomcache.Export) (*store, bool) {
	n := x.instance
	s := n.catalogue.Snapshot()
	model, ok := s.Model(spec.Salt.Model)
	if !ok {
		return nil, false
	}
	group, ok := s.UpstreamGroup(model.UpstreamGroup)
	if !ok || group.Stores == "" {
		return nil, false
	}
	var ids []string
	for _, member := range n.view.Load().Kind(loommember.KindStore, group.Stores) {
		if member.Status == loommember.Live {
			ids = append(ids, member.ID)
		}
	}
	first := loomhome.Rank(spec.Root[:], ids, 1)
	if len(first) == 0 {
		return nil, false
	}
	return n.stores.get(first[0])
}

// blockBytes returns the size of one block of a model.
func (n *Instance) blockBytes(model string) int64 {
	m, _ := n.catalogue.Snapshot().Model(model)
	return int64(max(m.BlockBytes, 1))
}
