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

// maxParallelReads bounds the concurrent block reads of one request.
const maxParallelReads = 8

// storeClients caches one connection for each KV cache store address. The zero
// value is ready to use, and its methods may be called concurrently.
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

// importBlocks reads the blocks that a request names for import and that are not
// in the prefix cache. The tokens of a block that can't be read or fails its
// checksum are computed instead.
func (e *Engine) importBlocks(ctx context.Context, n *run) {
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
	imported, failed := e.readBlocks(ctx, missing, loompb.TrafficClass_TRAFFIC_CLASS_IMPORT)
	n.failedImports = failed
	for key, s := range imported {
		n.imported[key] = s
	}
}

// readBlocks reads blocks from their stores. It returns the states of the blocks
// that were found and match their checksums, and the number of the others.
func (e *Engine) readBlocks(ctx context.Context, refs []*loompb.BlockRef, class loompb.TrafficClass) (map[loomcache.Key]prefixState, int) {
	var mu sync.Mutex
	states := make(map[loomcache.Key]prefixState)
	failed := 0
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
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

func (e *Engine) readBlock(ctx context.Context, ref *loompb.BlockRef, class loompb.TrafficClass) (prefixState, bool) {
	store, err := e.stores.client(ref.GetStoreAddress())
	if err != nil {
		return prefixState{}, false
	}
	reply, err := store.Read(ctx, &loompb.ReadRequest{
		Key:          ref.GetKey(),
		Incarnation:  ref.GetStoreIncarnation(),
		Generation:   ref.GetGeneration(),
		TrafficClass: class,
	})
	if err != nil || !reply.GetFound() {
		return prefixState{}, false
	}
	data := reply.GetData()
	if len(data) != len(prefixState{}) || xxhash.Sum64(data) != ref.GetChecksum() {
		return prefixState{}, false
	}
	return prefixState(data), true
}

// Import implements loompb.EngineServer. It reads blocks into the prefix cache
// ahead of a request. The blocks are cached under the weight version in the
// request, which need not be the loaded one.
func (e *Engine) Import(ctx context.Context, r *loompb.ImportRequest) (*loompb.ImportReply, error) {
	states, failed := e.readBlocks(ctx, r.GetBlocks(), loompb.TrafficClass_TRAFFIC_CLASS_PREFETCH)
	for key, s := range states {
		e.cache.put(time.Now(), cachedBlock{key: key, salt: r.GetCacheSalt(), version: r.GetVersion(), state: s})
	}
	return &loompb.ImportReply{Imported: uint32(len(states)), Failed: uint32(failed)}, nil
}

// Export implements loompb.EngineServer. It copies cached blocks to a store,
// where each block is staged, written and then sealed. It stops at the first
// block for which the store has no room.
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

// writeBlock copies the i-th block of an export to a store. It returns the
// reference of the sealed block, or nil if the copy failed, and whether the store
// is full. A block that the store already holds is not written again.
func (e *Engine) writeBlock(ctx context.Context, store loompb.StoreClient, r *loompb.ExportRequest, i int, s prefixState) (*loompb.BlockRef, bool) {
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
		return newBlockRef(r, key, staged, staged.GetChecksum(), staged.GetLength()), false
	}
	chunkLen := len(s) / chunksPerBlock
	for chunk := range chunksPerBlock {
		_, err = store.Write(ctx, &loompb.WriteRequest{
			Key:          key,
			Generation:   staged.GetGeneration(),
			Offset:       uint32(chunk * chunkLen),
			Data:         s[chunk*chunkLen : (chunk+1)*chunkLen],
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
	return newBlockRef(r, key, staged, checksum, uint32(e.options.BlockBytes)), false
}

func newBlockRef(r *loompb.ExportRequest, key []byte, staged *loompb.StageReply, checksum uint64, length uint32) *loompb.BlockRef {
	return &loompb.BlockRef{
		Key:              key,
		StoreAddress:     r.GetStoreAddress(),
		StoreIncarnation: staged.GetIncarnation(),
		Generation:       staged.GetGeneration(),
		Checksum:         checksum,
		Length:           length,
	}
}
