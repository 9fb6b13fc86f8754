package loominstance

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomhome"
	"swiftloom/loomlink"
	"swiftloom/loommember"
	"swiftloom/loompb"
	"swiftloom/loomplatform"
)

const (
	// storePollInterval is the time between two polls of a store's load. When
	// there are more than storePollThreshold stores, the interval is
	// storePollStep for each store beyond that, if that is longer.
	// storeListInterval is the time between two listings of a store's blocks.
	storePollInterval  = 500 * time.Millisecond
	storePollThreshold = 8
	storePollStep      = 200 * time.Millisecond
	storeListInterval  = 30 * time.Second
	storeTimeout       = 2 * time.Second
	cleanupInterval    = time.Second
	// highWatermark and lowWatermark are fractions of a store's capacity. Above
	// the first, homes free blocks until the use falls to the second.
	highWatermark = 0.90
	lowWatermark  = 0.80
	// idleRetention is how long after its latest use the index remembers a
	// prompt that no store holds, and quotas remembers an account.
	idleRetention = 10 * time.Minute
	// defaultLinkBytesPerSecond is assumed for a store that has not reported
	// its rate when the catalogue gives none.
	defaultLinkBytesPerSecond = 100 << 20
)

// store is the connection to one store and what the store reported last.
type store struct {
	member loommember.Member
	conn   *grpc.ClientConn
	client loompb.StoreClient
	budget *loomlink.Budget

	mu sync.Mutex
	// incarnation is that of the latest reply. listCursor is the sequence
	// number after which the next listing starts; zero asks for a complete
	// listing.
	incarnation uint64
	listCursor  uint64
	// isRequestCurrent is unset if the home table has changed since the latest
	// request, whose reply may then lack shards.
	isRequestCurrent bool
	listedAt         time.Time
	used             uint64
	capacity         uint64
}

// stores holds the stores that are in the view.
type stores struct {
	dialer loomplatform.Dialer

	mu   sync.Mutex
	byID map[string]*store
}

func newStores(d loomplatform.Dialer) *stores {
	return &stores{dialer: d, byID: make(map[string]*store)}
}

func (s *stores) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.byID {
		_ = st.conn.Close()
	}
}

func (s *stores) all() []*store {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*store, 0, len(s.byID))
	for _, st := range s.byID {
		all = append(all, st)
	}
	return all
}

func (s *stores) get(id string) (*store, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.byID[id]
	return st, ok
}

// budget returns the link budget of the store at an address.
func (s *stores) budget(address string) (*loomlink.Budget, bool) {
	for _, st := range s.all() {
		if st.member.Address == address {
			return st.budget, true
		}
	}
	return nil, false
}

// resetListings makes the next listing of each store a complete one. It is
// called when the home table has changed, since this instance may then be the
// home of other shards.
func (s *stores) resetListings() {
	for _, st := range s.all() {
		st.mu.Lock()
		st.listCursor = 0
		st.isRequestCurrent = false
		st.mu.Unlock()
	}
}

// update opens and closes connections to match the view and returns the IDs of
// the stores that were removed. A new store's link has the rate from the
// catalogue until the store reports its own.
func (s *stores) update(v loommember.View, c loomcatalogue.Snapshot) (removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[string]bool)
	for _, member := range v.Kind(loommember.KindStore, "") {
		live[member.ID] = true
		if st, ok := s.byID[member.ID]; ok && st.member.Address == member.Address {
			continue
		}
		conn, err := loomplatform.Dial(member.Address, s.dialer)
		if err != nil {
			continue
		}
		s.byID[member.ID] = &store{
			member: member.Member,
			conn:   conn,
			client: loompb.NewStoreClient(conn),
			budget: loomlink.NewBudget(linkBytesPerSecond(c, member.Group)),
		}
	}
	for id, st := range s.byID {
		if !live[id] {
			_ = st.conn.Close()
			delete(s.byID, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// linkBytesPerSecond returns the rate of a store's link according to the
// catalogue.
func linkBytesPerSecond(c loomcatalogue.Snapshot, group string) int64 {
	if g, ok := c.UpstreamGroup(group); ok && g.LinkBytesPerSecond > 0 {
		return g.LinkBytesPerSecond
	}
	return defaultLinkBytesPerSecond
}

// pollInterval returns the time between two polls of each store. It grows with
// the number of stores.
func (s *stores) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(storePollInterval, time.Duration(len(s.byID)-storePollThreshold)*storePollStep)
}

// refreshTask returns the periodic task that polls all stores for their load,
// and less often for their blocks.
func (s *stores) refreshTask(n *Instance) func(ctx context.Context) {
	return func(ctx context.Context) {
		for _, id := range s.update(*n.view.Load(), n.catalogue.Snapshot()) {
			n.index.StoreLost(id, 0)
		}
		var wg sync.WaitGroup
		for _, st := range s.all() {
			wg.Go(func() { n.pollStore(ctx, st) })
		}
		wg.Wait()
	}
}

// pollStore asks one store for its load. It also asks for its blocks when a
// listing is due: after this instance has become the home of other shards,
// after the store has restarted, and every storeListInterval, since the reply
// to an export may have been lost.
func (n *Instance) pollStore(ctx context.Context, st *store) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := time.Now()
	request := st.listRequest(now)
	if !request.GetLoadOnly() {
		for _, shard := range n.homes.Load().Shards(n.ID()) {
			request.Shards = append(request.Shards, uint32(shard))
		}
	}
	reply, err := st.client.List(ctx, request)
	now = time.Now()
	if err != nil {
		if ctx.Err() == nil || ctx.Err() == context.DeadlineExceeded {
			n.tracker.Apply(now, loommember.Unanswered{ID: st.member.ID})
		}
		return
	}
	n.tracker.Apply(now, loommember.Alive{ID: st.member.ID, Incarnation: reply.GetIncarnation()})
	st.budget.Report(now, int64(reply.GetLinkBacklogBytes()), int64(reply.GetLinkBytesPerSecond()))
	n.applyListing(now, st, request, reply)
}

// listRequest returns the next request to the store.
func (st *store) listRequest(now time.Time) *loompb.ListRequest {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.isRequestCurrent = true
	due := st.listCursor == 0 || now.Sub(st.listedAt) > storeListInterval
	return &loompb.ListRequest{After: st.listCursor, ShardCount: loomhome.ShardCount, LoadOnly: !due}
}

// applyListing records the load and blocks that a store reported. A restarted
// store has lost its blocks, and the next listing is a complete one unless this
// one was.
func (n *Instance) applyListing(now time.Time, st *store, request *loompb.ListRequest, reply *loompb.ListReply) {
	after := request.GetAfter()
	st.mu.Lock()
	restarted := st.incarnation != reply.GetIncarnation()
	st.incarnation = reply.GetIncarnation()
	st.used = reply.GetMemoryUsed() + reply.GetDiskUsed()
	st.capacity = reply.GetMemoryCapacity() + reply.GetDiskCapacity()
	switch {
	case restarted && after > 0:
		st.listCursor = 0
	case st.isRequestCurrent && !request.GetLoadOnly():
		st.listCursor = max(reply.GetLast(), 1)
		st.listedAt = now
	}
	st.mu.Unlock()
	if restarted {
		n.index.StoreLost(st.member.ID, reply.GetIncarnation())
	}
	for _, b := range reply.GetBlocks() {
		n.applyBlock(now, st.member.ID, reply.GetIncarnation(), b)
	}
}

// applyBlock records one listed block as stored or freed. Blocks with malformed
// keys are ignored.
func (n *Instance) applyBlock(now time.Time, storeID string, incarnation uint64, b *loompb.StoredBlock) {
	key, ok := loomcache.KeyFrom(b.GetKey())
	root, rootOK := loomcache.KeyFrom(b.GetRoot())
	if !ok || !rootOK {
		return
	}
	if b.GetFreed() {
		n.index.Freed(root, key, storeID, b.GetGeneration())
		return
	}
	n.index.Sealed(now, root, key, saltFromProto(b.GetSalt()), loomcache.Stored{
		Store:       storeID,
		Incarnation: incarnation,
		Generation:  b.GetGeneration(),
		Checksum:    b.GetChecksum(),
		Length:      b.GetLength(),
	})
}

// lookupLocally returns the cached and stored blocks of a segment whose home is
// this instance.
func (n *Instance) lookupLocally(now time.Time, account string, keys []loomcache.Key) *loompb.SegmentHolding {
	found := n.index.Lookup(now, account, keys)
	reply := &loompb.SegmentHolding{}
	for _, h := range found.Holders {
		reply.Engines = append(reply.Engines, &loompb.EngineHolding{
			EngineId:          h.Engine,
			EngineIncarnation: h.Incarnation,
			Blocks:            uint32(h.Blocks),
			Event:             h.Event,
		})
	}
	for i, s := range found.Stored {
		st, ok := n.stores.get(s.Store)
		if !ok {
			break
		}
		reply.Stored = append(reply.Stored, &loompb.BlockRef{
			Key:              keys[i][:],
			StoreAddress:     st.member.Address,
			StoreIncarnation: s.Incarnation,
			Generation:       s.Generation,
			Checksum:         s.Checksum,
			Length:           s.Length,
		})
	}
	return reply
}

// observeLocally records an observation about a segment whose home is this
// instance, and queues the exports that follow from it. It does nothing when
// the routing policy does not use the stored blocks of the KV cache.
func (n *Instance) observeLocally(now time.Time, o loomcache.Observation, engineAddress string) {
	if !n.policy.UsesKVCache() {
		return
	}
	for _, e := range n.index.Observe(now, o) {
		n.exporter.enqueue(e, engineAddress)
	}
}

// groupByHome maps each home instance to the indices of its segments.
func (n *Instance) groupByHome(segments [][]loomcache.Key) map[string][]int {
	homes := n.homes.Load()
	groups := make(map[string][]int)
	for i, s := range segments {
		h := homes.Home(s[0][:])
		groups[h] = append(groups[h], i)
	}
	return groups
}

// lookup asks the homes of a prompt's segments where the blocks are cached or
// stored. The result is nil for segments whose home does not answer within the
// lookup timeout; they are treated as not cached.
func (n *Instance) lookup(ctx context.Context, account string, segments [][]loomcache.Key) []*loompb.SegmentHolding {
	holdings := make([]*loompb.SegmentHolding, len(segments))
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.LookupTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for home, indices := range n.groupByHome(segments) {
		if home == n.ID() {
			for _, i := range indices {
				holdings[i] = n.lookupLocally(time.Now(), account, segments[i])
			}
			continue
		}
		wg.Go(func() { n.lookupRemote(ctx, home, account, segments, indices, holdings) })
	}
	wg.Wait()
	return holdings
}

// lookupRemote asks one home for the segments with the given indices and writes
// the results to holdings.
func (n *Instance) lookupRemote(ctx context.Context, home, account string, segments [][]loomcache.Key, indices []int, holdings []*loompb.SegmentHolding) {
	client, err := n.peerClient(home)
	if err != nil {
		n.metrics.lookupFailures.Inc(1)
		return
	}
	request := &loompb.LookupRequest{ClientAccount: account}
	for _, i := range indices {
		request.Segments = append(request.Segments, &loompb.Segment{Keys: keysToProto(segments[i])})
	}
	reply, err := client.Lookup(ctx, request)
	if err != nil || len(reply.GetSegments()) != len(indices) {
		n.metrics.lookupFailures.Inc(1)
		return
	}
	for k, i := range indices {
		holdings[i] = reply.GetSegments()[k]
	}
}

// peerClient returns the client of a peer in the view.
func (n *Instance) peerClient(id string) (loompb.PeerClient, error) {
	member, ok := n.findMember(id)
	if !ok {
		return nil, errUnknownPeer
	}
	return n.peers.client(member.Address)
}

// evictStored frees blocks that are no longer worth storing: those of retired
// model versions, those beyond the budgets of the accounts, and the least
// valuable ones of a store that is nearly full.
func (n *Instance) evictStored(ctx context.Context) {
	now := time.Now()
	s := n.catalogue.Snapshot()
	n.index.Expire(now, idleRetention)
	for _, e := range s.Entries(loomcatalogue.KindModel) {
		m, ok := e.(loomcatalogue.Model)
		if ok {
			n.freeBlocks(ctx, n.index.Retire(m.Name, n.versionsInUse(m)))
		}
	}
	budgets := n.storageBudgets(s)
	for _, st := range n.stores.all() {
		n.freeBlocks(ctx, n.index.TrimOverBudget(now, st.member.ID, budgets))
		n.freeBlocks(ctx, n.index.Trim(now, st.member.ID, n.bytesToFree(st), budgets))
	}
}

// versionsInUse returns a predicate for the versions of a model that are
// current, newer or still served by an engine.
func (n *Instance) versionsInUse(m loomcatalogue.Model) func(version uint64) bool {
	inUse := []uint64{m.Version}
	for _, member := range n.groupEngines(m.UpstreamGroup) {
		if r, ok := n.fleet.Latest(member.ID); ok {
			inUse = append(inUse, r.Version)
		}
	}
	return func(version uint64) bool {
		return version > m.Version || slices.Contains(inUse, version)
	}
}

// retention returns how long the catalogue requires a prompt to stay stored
// after this use, or zero.
func (n *Instance) retention(account string, keys []loomcache.Key) time.Duration {
	s := n.catalogue.Snapshot()
	if s.KeptPromptCount() == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, k := range keys {
		p, ok := s.KeptPromptByBlock(k.String())
		if ok && p.ClientAccount == account {
			longest = max(longest, time.Duration(p.RetainSeconds)*time.Second)
		}
	}
	return longest
}

// storageBudgets returns the storage budget of each account for one store at
// this home: the account's total, divided evenly among all homes and stores.
func (n *Instance) storageBudgets(s loomcatalogue.Snapshot) []loomcache.Budget {
	homes := max(len(n.homes.Load().Members()), 1)
	count := max(len(n.stores.all()), 1)
	var budgets []loomcache.Budget
	for _, e := range s.Entries(loomcatalogue.KindClientAccount) {
		a, ok := e.(loomcatalogue.ClientAccount)
		if ok && a.KeptBytes > 0 {
			budgets = append(budgets, loomcache.Budget{ClientAccount: a.Name, Bytes: a.KeptBytes / int64(homes*count)})
		}
	}
	return budgets
}

// bytesToFree returns this home's share of the bytes to free in a store that is
// above the high watermark, and zero for other stores.
func (n *Instance) bytesToFree(st *store) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.capacity == 0 || float64(st.used) < highWatermark*float64(st.capacity) {
		return 0
	}
	surplus := float64(st.used) - lowWatermark*float64(st.capacity)
	return int64(surplus) / int64(max(len(n.homes.Load().Members()), 1))
}

// freeBlocks asks stores to free blocks. Failures are only logged.
func (n *Instance) freeBlocks(ctx context.Context, drops []loomcache.Drop) {
	for _, d := range drops {
		st, ok := n.stores.get(d.Store)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := st.client.Free(call, &loompb.FreeRequest{Keys: keysToProto(d.Keys), Generations: d.Generations})
		cancel()
		if err != nil {
			n.log.Debug("freeing blocks failed", "store", d.Store, "blocks", len(d.Keys), "error", err)
		}
	}
}
