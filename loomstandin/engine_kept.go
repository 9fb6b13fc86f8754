package loomstandin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"swiftloom/loomcache"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

const parallelReads = 8

// storeClients holds one connection for each store. The zero value is ready
// to use.
type storeClients struct {
	dialer loomplatform.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (c *storeClients) client(address string) (loompb.StoreClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		var err error
		if conn, err = loomplatform.Dial(address, c.dialer); err != nil {
			return nil, err
		}
		if c.conns == nil {
			c.conns = make(map[string]*grpc.ClientConn)
		}
		c.conns[address] = conn
	}
	return loompb.NewStoreClient(conn), nil
}

func (c *storeClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// fetch imports the blocks that come with a request and are not cached. A
// block that can't be read or verified is computed again.
func (e *Engine) fetch(ctx context.Context, n *run) {
	var missing []*loompb.BlockRef
	for _, ref := range n.request.GetImports() {
		key, ok := loomcache.KeyFrom(ref.GetKey())
		if !ok {
			continue
		}
		if _, cached := e.cache.get(key, n.request.GetCacheSalt(), n.version); !cached {
			missing = append(missing, ref)
		}
	}
	imported, failed := e.read(ctx, missing, loompb.TrafficClass_TRAFFIC_CLASS_IMPORT)
	n.failed = failed
	for key, s := range imported {
		n.imported[key] = s
	}
}

// read returns the verified states of blocks and the number of failures.
func (e *Engine) read(ctx context.Context, refs []*loompb.BlockRef, class loompb.TrafficClass) (map[loomcache.Key]state, int) {
	var mu sync.Mutex
	states := make(map[loomcache.Key]state)
	failed := 0
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for _, ref := range refs {
		group.Go(func() error {
			s, ok := e.readBlock(ctx, ref, class)
			key, valid := loomcache.KeyFrom(ref.GetKey())
			mu.Lock()
			defer mu.Unlock()
			if ok && valid {
				states[key] = s
			} else {
				failed++
			}
			return nil
		})
	}
	_ = group.Wait()
	return states, failed
}

func (e *Engine) readBlock(ctx context.Context, ref *loompb.BlockRef, class loompb.TrafficClass) (state, bool) {
	store, err := e.stores.client(ref.GetStoreAddress())
	if err != nil {
		return state{}, false
	}
	reply, err := store.Read(ctx, &loompb.ReadRequest{
		Key:          ref.GetKey(),
		Incarnation:  ref.GetStoreIncarnation(),
		Generation:   ref.GetGeneration(),
		TrafficClass: class,
	})
	if err != nil || !reply.GetFound() {
		return state{}, false
	}
	data := reply.GetData()
	if len(data) != len(state{}) || xxhash.Sum64(data) != ref.GetChecksum() {
		return state{}, false
	}
	return state(data), true
}

// Import implements the engine: it fetches blocks ahead of a request. The
// blocks count for the weight version that the caller names.
func (e *Engine) Import(ctx context.Context, r *loompb.ImportRequest) (*loompb.ImportReply, error) {
	states, failed := e.read(ctx, r.GetBlocks(), loompb.TrafficClass_TRAFFIC_CLASS_PREFETCH)
	for key, s := range states {
		e.cache.put(time.Now(), cachedBlock{key: key, salt: r.GetCacheSalt(), version: r.GetVersion(), state: s})
	}
	return &loompb.ImportReply{Imported: uint32(len(states)), Failed: uint32(failed)}, nil
}

// Export implements the engine: it writes cached blocks to a store, staged
// first and sealed when whole.
func (e *Engine) Export(ctx context.Context, r *loompb.ExportRequest) (*loompb.ExportReply, error) {
	store, err := e.stores.client(r.GetStoreAddress())
	if err != nil {
		return nil, err
	}
	reply := &loompb.ExportReply{}
	for i, b := range r.GetKeys() {
		key, ok := loomcache.KeyFrom(b)
		if !ok {
			continue
		}
		s, ok := e.cache.get(key, "", r.GetSalt().GetVersion())
		if !ok {
			reply.Missing++
			continue
		}
		ref, full := e.writeBlock(ctx, store, r, i, s)
		if full {
			reply.StoreFull = true
			return reply, nil
		}
		if ref != nil {
			reply.Sealed = append(reply.Sealed, ref)
		}
	}
	return reply, nil
}

func (e *Engine) writeBlock(ctx context.Context, store loompb.StoreClient, r *loompb.ExportRequest, i int, s state) (*loompb.BlockRef, bool) {
	key := r.GetKeys()[i]
	staged, err := store.Stage(ctx, &loompb.StageRequest{
		Key:    key,
		Root:   r.GetRoots()[i],
		Length: uint32(e.options.BlockBytes),
		Salt:   r.GetSalt(),
	})
	if err != nil {
		return nil, false
	}
	if staged.GetFull() {
		return nil, true
	}
	if staged.GetSealed() {
		return sealedRef(r, key, staged, staged.GetChecksum(), staged.GetLength()), false
	}
	half := len(s) / writeChunks
	for chunk := range writeChunks {
		_, err = store.Write(ctx, &loompb.WriteRequest{
			Key:          key,
			Generation:   staged.GetGeneration(),
			Offset:       uint32(chunk * half),
			Data:         s[chunk*half : (chunk+1)*half],
			TrafficClass: r.GetTrafficClass(),
		})
		if err != nil {
			return nil, false
		}
	}
	checksum := xxhash.Sum64(s[:])
	sealed, err := store.Seal(ctx, &loompb.SealRequest{Key: key, Generation: staged.GetGeneration(), Checksum: checksum})
	if err != nil || !sealed.GetSealed() {
		return nil, false
	}
	return sealedRef(r, key, staged, checksum, uint32(e.options.BlockBytes)), false
}

func sealedRef(r *loompb.ExportRequest, key []byte, staged *loompb.StageReply, checksum uint64, length uint32) *loompb.BlockRef {
	return &loompb.BlockRef{
		Key:              key,
		StoreAddress:     r.GetStoreAddress(),
		StoreIncarnation: staged.GetIncarnation(),
		Generation:       staged.GetGeneration(),
		Checksum:         checksum,
		Length:           length,
	}
}
