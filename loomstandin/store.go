package loomstandin

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"swiftloom/loomhome"
	"swiftloom/loompb"
)

const (
	defaultQuarantine = 2 * time.Second
	// diskRateDivisor is how many times slower the disk tier is than the link.
	diskRateDivisor = 4
)

// StoreOptions configures a Store. Capacities and rates are in nominal bytes: a
// block carries a digest instead of its contents, but occupies the space and the
// transfer time of its declared length.
type StoreOptions struct {
	ID            string
	Group         string
	FailureDomain string
	Address       string
	// MemoryBytes and DiskBytes are the capacities of the two tiers.
	MemoryBytes int64
	DiskBytes   int64
	// BytesPerSecond is the bandwidth of the network link. It must be at least 4,
	// as the disk tier has a quarter of it.
	BytesPerSecond int64
	// Quarantine is the time from freeing a block to the reuse of its space; zero
	// selects the default.
	Quarantine time.Duration
}

// StoreFaults describes injected faults. The zero value injects none.
type StoreFaults struct {
	// Corrupt makes every read return corrupted data.
	Corrupt bool
	// Full makes the store refuse every new block for lack of space.
	Full bool
}

type storedBlock struct {
	key        string
	root       []byte
	generation uint64
	checksum   uint64
	length     int
	// writtenChunks counts the writes to the block; it is complete with
	// chunksPerBlock of them.
	writtenChunks int
	data          []byte
	sealed        bool
	freed         bool
	// changeSequence is the sequence number of the latest change of the block.
	changeSequence uint64
	onDisk         bool
	salt           *loompb.Salt
	// element is the block's element in the LRU list of its tier.
	element *list.Element
}

// Store is a stand-in for one server of a KV cache store, with a memory tier and
// a disk tier. Its methods may be called concurrently.
type Store struct {
	loompb.UnimplementedStoreServer
	process

	options  StoreOptions
	link     *link
	diskLink *link

	mu     sync.Mutex
	faults StoreFaults
	blocks map[string]*storedBlock
	// memoryLRU and diskLRU hold the blocks of a tier, least recently used first.
	memoryLRU  *list.List
	diskLRU    *list.List
	memoryUsed int64
	diskUsed   int64
	// changes holds the changes of each shard in order of sequence number. A
	// block may occur several times; only its latest change is listed.
	changes    map[loomhome.Shard][]change
	sequence   uint64
	generation uint64
	freed      []freedSpace
}

// change is a block that was sealed or freed.
type change struct {
	sequence uint64
	block    *storedBlock
}

// freedSpace is space of a freed block that is in quarantine.
type freedSpace struct {
	at     time.Time
	bytes  int64
	onDisk bool
}

// NewStore starts an empty store. The caller must end it with Kill.
func NewStore(o StoreOptions) (*Store, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Quarantine == 0 {
		o.Quarantine = defaultQuarantine
	}
	s := &Store{
		options:  o,
		link:     newLink(o.BytesPerSecond),
		diskLink: newLink(o.BytesPerSecond / diskRateDivisor),
	}
	s.clear()
	s.register = func(g *grpc.Server) { loompb.RegisterStoreServer(g, s) }
	return s, s.start(o.Address)
}

// clear drops all blocks. The generation counter goes on.
func (s *Store) clear() {
	s.blocks = make(map[string]*storedBlock)
	s.memoryLRU = list.New()
	s.diskLRU = list.New()
	s.memoryUsed = 0
	s.diskUsed = 0
	s.changes = make(map[loomhome.Shard][]change)
	s.sequence = 0
	s.freed = nil
}

// Member returns the store's announcement, or nil while the store is down.
func (s *Store) Member() *loompb.Member {
	if !s.isUp() {
		return nil
	}
	address, incarnation := s.identity()
	return &loompb.Member{
		Id:            s.options.ID,
		Kind:          "store",
		Group:         s.options.Group,
		FailureDomain: s.options.FailureDomain,
		Address:       address,
		Incarnation:   incarnation,
		Liveness:      loompb.Liveness_LIVENESS_LIVE,
	}
}

// Announce announces the store to the platform at regular intervals until ctx is
// done.
func (s *Store) Announce(ctx context.Context, a Announcer) {
	announce(ctx, a, s.Member)
}

// Kill stops the store like a crash: it closes all connections and loses all
// blocks.
func (s *Store) Kill() {
	s.kill()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
}

// Restart starts the store again, empty, on its previous address. The store must
// not be running.
func (s *Store) Restart() error {
	return s.start(s.options.Address)
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetRate sets the bandwidth of the link in bytes per second, for transfers that
// start later. The disk tier keeps its rate.
func (s *Store) SetRate(bytesPerSecond int64) {
	s.link.setRate(bytesPerSecond)
}

// Rate returns the bandwidth of the link in bytes per second.
func (s *Store) Rate() int64 {
	return s.link.rate()
}

// LinkStats returns the nominal bytes that were transferred over the link and the
// time that the link was busy with them, including queued transfers.
func (s *Store) LinkStats() (moved int64, busy time.Duration) {
	return s.link.usage()
}

// Stage implements loompb.StoreServer. It reserves memory for a new generation of
// a block. If the block is already sealed, it returns that generation; a
// generation that is staged but not sealed is dropped.
func (s *Store) Stage(_ context.Context, r *loompb.StageRequest) (*loompb.StageReply, error) {
	_, incarnation := s.identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaim(time.Now())
	n := int64(r.GetLength())
	key := string(r.GetKey())
	if old, ok := s.blocks[key]; ok {
		if old.sealed {
			return &loompb.StageReply{
				Incarnation: incarnation,
				Generation:  old.generation,
				Sealed:      true,
				Checksum:    old.checksum,
				Length:      uint32(old.length),
			}, nil
		}
		s.remove(old, time.Now())
	}
	if s.faults.Full || !s.makeRoom(n) {
		return &loompb.StageReply{Incarnation: incarnation, Full: true}, nil
	}
	s.generation++
	b := &storedBlock{
		key:        key,
		root:       r.GetRoot(),
		generation: s.generation,
		length:     int(r.GetLength()),
		salt:       r.GetSalt(),
	}
	b.element = s.memoryLRU.PushBack(b)
	s.memoryUsed += n
	s.blocks[key] = b
	return &loompb.StageReply{Incarnation: incarnation, Generation: b.generation}, nil
}

// makeRoom moves the least recently used sealed blocks to disk until n bytes
// fit in memory, and reports whether they fit. The caller must hold s.mu.
func (s *Store) makeRoom(n int64) bool {
	for s.memoryUsed+n > s.options.MemoryBytes {
		b := s.oldestSealed()
		if b == nil || s.diskUsed+int64(b.length) > s.options.DiskBytes {
			return false
		}
		s.memoryLRU.Remove(b.element)
		s.memoryUsed -= int64(b.length)
		b.onDisk = true
		b.element = s.diskLRU.PushBack(b)
		s.diskUsed += int64(b.length)
	}
	return true
}

func (s *Store) oldestSealed() *storedBlock {
	for e := s.memoryLRU.Front(); e != nil; e = e.Next() {
		if b, ok := e.Value.(*storedBlock); ok && b.sealed {
			return b
		}
	}
	return nil
}

// findGeneration returns the block with the given key if it has the given
// generation. The caller must hold s.mu.
func (s *Store) findGeneration(key []byte, generation uint64) (*storedBlock, error) {
	b, ok := s.blocks[string(key)]
	if !ok || b.generation != generation {
		return nil, status.Errorf(codes.NotFound, "generation %d of block %x not found", generation, key)
	}
	return b, nil
}

// Write implements loompb.StoreServer. It appends a chunk to a staged block after
// the transfer over the link. Each chunk takes an equal share of the block's
// nominal length there, whatever the length of its data. The block is looked up
// again after the transfer, as it may have been freed or staged anew.
func (s *Store) Write(ctx context.Context, r *loompb.WriteRequest) (*loompb.WriteReply, error) {
	s.mu.Lock()
	b, err := s.findGeneration(r.GetKey(), r.GetGeneration())
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := s.link.transfer(ctx, b.length/chunksPerBlock); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, err = s.findGeneration(r.GetKey(), r.GetGeneration()); err != nil {
		return nil, err
	}
	if b.sealed || int(r.GetOffset()) != len(b.data) {
		return nil, status.Errorf(codes.FailedPrecondition, "write at offset %d, want %d in an unsealed block (sealed: %t)", r.GetOffset(), len(b.data), b.sealed)
	}
	b.data = append(b.data, r.GetData()...)
	b.writtenChunks++
	return &loompb.WriteReply{}, nil
}

// chunksPerBlock is the number of writes in which an engine sends a block.
const chunksPerBlock = 2

// Seal implements loompb.StoreServer. It makes a block readable if all its chunks
// have been written and their checksum matches that of the request.
func (s *Store) Seal(_ context.Context, r *loompb.SealRequest) (*loompb.SealReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := s.findGeneration(r.GetKey(), r.GetGeneration())
	if err != nil {
		return nil, err
	}
	if b.writtenChunks != chunksPerBlock || xxhash.Sum64(b.data) != r.GetChecksum() {
		return &loompb.SealReply{}, nil
	}
	b.sealed = true
	b.checksum = r.GetChecksum()
	s.recordChange(b)
	return &loompb.SealReply{Sealed: true}, nil
}

// Read implements loompb.StoreServer. It finds only a sealed block of the
// requested incarnation and generation, and not if the block is freed during the
// transfer.
func (s *Store) Read(ctx context.Context, r *loompb.ReadRequest) (*loompb.ReadReply, error) {
	b := s.findReadable(r)
	if b == nil {
		return &loompb.ReadReply{}, nil
	}
	if b.onDisk {
		if err := s.diskLink.transfer(ctx, b.length); err != nil {
			return nil, status.FromContextError(err).Err()
		}
	}
	if err := s.link.transfer(ctx, b.length); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.freed {
		return &loompb.ReadReply{}, nil
	}
	data := append([]byte(nil), b.data...)
	if s.faults.Corrupt {
		data[0] ^= 1
	}
	return &loompb.ReadReply{Found: true, Data: data}, nil
}

// findReadable returns the block of a read request and marks it as used, or
// returns nil.
func (s *Store) findReadable(r *loompb.ReadRequest) *storedBlock {
	_, incarnation := s.identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blocks[string(r.GetKey())]
	if !ok || !b.sealed || b.generation != r.GetGeneration() || incarnation != r.GetIncarnation() {
		return nil
	}
	if b.onDisk {
		s.diskLRU.MoveToBack(b.element)
	} else {
		s.memoryLRU.MoveToBack(b.element)
	}
	return b
}

// Free implements loompb.StoreServer. The blocks are unreadable immediately, also
// for reads in progress. Their space is reused only after the quarantine.
func (s *Store) Free(_ context.Context, r *loompb.FreeRequest) (*loompb.FreeReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n uint32
	for i, key := range r.GetKeys() {
		if i >= len(r.GetGenerations()) {
			break
		}
		b, ok := s.blocks[string(key)]
		if ok && b.generation == r.GetGenerations()[i] {
			s.remove(b, time.Now())
			n++
		}
	}
	return &loompb.FreeReply{Freed: n}, nil
}

// remove frees a block and puts its space into quarantine. The caller must hold
// s.mu.
func (s *Store) remove(b *storedBlock, now time.Time) {
	delete(s.blocks, b.key)
	b.freed = true
	if b.onDisk {
		s.diskLRU.Remove(b.element)
	} else {
		s.memoryLRU.Remove(b.element)
	}
	s.freed = append(s.freed, freedSpace{at: now, bytes: int64(b.length), onDisk: b.onDisk})
	s.recordChange(b)
}

// reclaim makes the space available whose quarantine is over. The caller must
// hold s.mu.
func (s *Store) reclaim(now time.Time) {
	n := 0
	for _, f := range s.freed {
		if now.Sub(f.at) < s.options.Quarantine {
			break
		}
		if f.onDisk {
			s.diskUsed -= f.bytes
		} else {
			s.memoryUsed -= f.bytes
		}
		n++
	}
	s.freed = s.freed[n:]
}

// recordChange gives a block the next sequence number and adds it to the changes
// of its shard. The caller must hold s.mu.
func (s *Store) recordChange(b *storedBlock) {
	s.sequence++
	b.changeSequence = s.sequence
	shard := loomhome.ShardOf(b.root)
	s.changes[shard] = append(s.changes[shard], change{sequence: s.sequence, block: b})
}

// List implements loompb.StoreServer. It returns the load of the store and the
// blocks of the requested shards that were sealed or freed after a sequence
// number. If the request names no shards, it covers all of them. If the sequence
// number is zero, the reply holds all sealed blocks and no freed ones.
func (s *Store) List(_ context.Context, r *loompb.ListRequest) (*loompb.ListReply, error) {
	_, incarnation := s.identity()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaim(time.Now())
	reply := &loompb.ListReply{
		Incarnation:        incarnation,
		Last:               s.sequence,
		MemoryUsed:         uint64(s.memoryUsed),
		MemoryCapacity:     uint64(s.options.MemoryBytes),
		DiskUsed:           uint64(s.diskUsed),
		DiskCapacity:       uint64(s.options.DiskBytes),
		LinkBacklogBytes:   uint64(s.link.backlog(time.Now())),
		LinkBytesPerSecond: uint64(s.link.rate()),
	}
	moved, _ := s.link.usage()
	reply.MovedBytes = uint64(moved)
	if r.GetLoadOnly() || r.GetAfter() >= s.sequence {
		return reply, nil
	}
	if len(r.GetShards()) == 0 {
		for shard := range s.changes {
			s.listShard(reply, shard, r.GetAfter())
		}
		return reply, nil
	}
	for _, shard := range r.GetShards() {
		s.listShard(reply, loomhome.Shard(shard), r.GetAfter())
	}
	return reply, nil
}

// listShard adds the changes of a shard to reply. The caller must hold s.mu.
func (s *Store) listShard(reply *loompb.ListReply, shard loomhome.Shard, after uint64) {
	for _, c := range s.changes[shard] {
		b := c.block
		if c.sequence <= after || c.sequence != b.changeSequence || (b.freed && after == 0) {
			continue
		}
		reply.Blocks = append(reply.Blocks, &loompb.StoredBlock{
			Key:        []byte(b.key),
			Root:       b.root,
			Generation: b.generation,
			Checksum:   b.checksum,
			Length:     uint32(b.length),
			Freed:      b.freed,
			OnDisk:     b.onDisk,
			Salt:       b.salt,
		})
	}
}
