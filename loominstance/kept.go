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
	storeInterval = 500 * time.Millisecond
	// readPerStore lengthens the interval for each store beyond fewStores, and
	// listInterval is the time between two listings of blocks.
	fewStores    = 8
	readPerStore = 200 * time.Millisecond
	listInterval = 30 * time.Second
	storeTimeout = 2 * time.Second
	trimInterval = time.Second
	// highWater and lowWater are the parts of a store's capacity at which
	// homes start and stop to drop prompts.
	highWater = 0.90
	lowWater  = 0.80
	// forgetIdle is how long an index remembers a prompt that no store keeps.
	forgetIdle = 10 * time.Minute
	// defaultLinkRate is assumed until a store has reported.
	defaultLinkRate = 100 << 20
)

// store is what an instance knows of one store.
type store struct {
	member loommember.Member
	conn   *grpc.ClientConn
	client loompb.StoreClient
	budget *loomlink.Budget

	mu sync.Mutex
	// incarnation and after are those of the latest listing.
	incarnation uint64
	after       uint64
	listedAt    time.Time
	used        uint64
	capacity    uint64
}

// stores holds the stores that live.
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

// budget returns the budget of the link to the store at an address.
func (s *stores) budget(address string) (*loomlink.Budget, bool) {
	for _, st := range s.all() {
		if st.member.Address == address {
			return st.budget, true
		}
	}
	return nil, false
}

// readAgain makes the next listing a whole one, since this instance has become
// the home of other shards.
func (s *stores) readAgain() {
	for _, st := range s.all() {
		st.mu.Lock()
		st.after = 0
		st.mu.Unlock()
	}
}

// update opens and closes connections so that they match the view. Until a
// store has reported, the link has the rate that the catalogue gives its group.
func (s *stores) update(v loommember.View, c loomcatalogue.Snapshot) (gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[string]bool)
	for _, b := range v.Kind(loommember.KindStore, "") {
		live[b.ID] = true
		if st, ok := s.byID[b.ID]; ok && st.member.Address == b.Address {
			continue
		}
		conn, err := loomplatform.Dial(b.Address, s.dialer)
		if err != nil {
			continue
		}
		s.byID[b.ID] = &store{
			member: b.Member,
			conn:   conn,
			client: loompb.NewStoreClient(conn),
			budget: loomlink.NewBudget(linkRate(c, b.Group)),
		}
	}
	for id, st := range s.byID {
		if !live[id] {
			_ = st.conn.Close()
			delete(s.byID, id)
			gone = append(gone, id)
		}
	}
	return gone
}

func linkRate(c loomcatalogue.Snapshot, group string) int64 {
	if g, ok := c.UpstreamGroup(group); ok && g.LinkBytesPerSecond > 0 {
		return g.LinkBytesPerSecond
	}
	return defaultLinkRate
}

// interval returns how often each store is asked for its load: less often when
// there are many.
func (s *stores) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(storeInterval, time.Duration(len(s.byID)-fewStores)*readPerStore)
}

// refresh returns the periodic task that asks the stores for their load, and
// now and then for their blocks.
func (s *stores) refresh(n *Instance) func(ctx context.Context) {
	return func(ctx context.Context) {
		for _, id := range s.update(*n.view.Load(), n.keeper.Snapshot()) {
			n.index.StoreLost(id, 0)
		}
		var wait sync.WaitGroup
		for _, st := range s.all() {
			wait.Go(func() { n.askStore(ctx, st) })
		}
		wait.Wait()
	}
}

// askStore asks one store for its load, and for blocks when a listing is due:
// when this instance has become the home of other shards, when the store has
// restarted, and from time to time, since an export's answer may be lost.
func (n *Instance) askStore(ctx context.Context, st *store) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := time.Now()
	request := st.request(now)
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
	n.takeListing(now, st, request, reply)
}

// request returns the next call to the store.
func (st *store) request(now time.Time) *loompb.ListRequest {
	st.mu.Lock()
	defer st.mu.Unlock()
	due := st.after == 0 || now.Sub(st.listedAt) > listInterval
	return &loompb.ListRequest{After: st.after, ShardCount: loomhome.ShardCount, LoadOnly: !due}
}

func (n *Instance) takeListing(now time.Time, st *store, request *loompb.ListRequest, reply *loompb.ListReply) {
	after := request.GetAfter()
	st.mu.Lock()
	restarted := st.incarnation != reply.GetIncarnation()
	st.incarnation = reply.GetIncarnation()
	st.used = reply.GetMemoryUsed() + reply.GetDiskUsed()
	st.capacity = reply.GetMemoryCapacity() + reply.GetDiskCapacity()
	switch {
	case restarted && after > 0:
		st.after = 0
	case st.after == after && !request.GetLoadOnly():
		st.after = max(reply.GetLast(), 1)
		st.listedAt = now
	}
	st.mu.Unlock()
	if restarted {
		n.index.StoreLost(st.member.ID, reply.GetIncarnation())
	}
	for _, b := range reply.GetBlocks() {
		n.takeBlock(now, st.member.ID, reply.GetIncarnation(), b)
	}
}

func (n *Instance) takeBlock(now time.Time, storeID string, incarnation uint64, b *loompb.StoredBlock) {
	key, ok := loomcache.KeyFrom(b.GetKey())
	root, rootOK := loomcache.KeyFrom(b.GetRoot())
	if !ok || !rootOK {
		return
	}
	if b.GetFreed() {
		n.index.Freed(root, key, storeID, b.GetGeneration())
		return
	}
	n.index.Sealed(now, root, key, saltOf(b.GetSalt()), loomcache.Stored{
		Store:       storeID,
		Incarnation: incarnation,
		Generation:  b.GetGeneration(),
		Checksum:    b.GetChecksum(),
		Length:      b.GetLength(),
	})
}

// lookupHere answers a lookup as the home of a segment.
func (n *Instance) lookupHere(now time.Time, account string, keys []loomcache.Key) *loompb.SegmentHolding {
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

// observeHere takes in an observation as the home of a segment.
func (n *Instance) observeHere(now time.Time, o loomcache.Observation, engineAddress string) {
	if !n.policy.UsesKVCache() {
		return
	}
	for _, e := range n.index.Observe(now, o) {
		n.exports.add(e, engineAddress)
	}
}

// byHome groups segments by the instance that is their home.
func (n *Instance) byHome(segments [][]loomcache.Key) map[string][]int {
	homes := n.homes.Load()
	groups := make(map[string][]int)
	for i, s := range segments {
		h := homes.Home(s[0][:])
		groups[h] = append(groups[h], i)
	}
	return groups
}

// lookup asks the homes of the segments of a prompt. Without an answer in time
// nothing is known of a segment.
func (n *Instance) lookup(ctx context.Context, account string, segments [][]loomcache.Key) []*loompb.SegmentHolding {
	found := make([]*loompb.SegmentHolding, len(segments))
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.LookupTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for home, numbers := range n.byHome(segments) {
		if home == n.ID() {
			for _, i := range numbers {
				found[i] = n.lookupHere(time.Now(), account, segments[i])
			}
			continue
		}
		wait.Go(func() { n.lookupAt(ctx, home, account, segments, numbers, found) })
	}
	wait.Wait()
	return found
}

// lookupAt asks one home for the numbered segments.
func (n *Instance) lookupAt(ctx context.Context, home, account string, segments [][]loomcache.Key, numbers []int, found []*loompb.SegmentHolding) {
	client, err := n.peerByID(home)
	if err != nil {
		n.metrics.lookupFailures.Inc(1)
		return
	}
	request := &loompb.LookupRequest{ClientAccount: account}
	for _, i := range numbers {
		request.Segments = append(request.Segments, &loompb.Segment{Keys: rawKeys(segments[i])})
	}
	reply, err := client.Lookup(ctx, request)
	if err != nil || len(reply.GetSegments()) != len(numbers) {
		n.metrics.lookupFailures.Inc(1)
		return
	}
	for k, i := range numbers {
		found[i] = reply.GetSegments()[k]
	}
}

func (n *Instance) peerByID(id string) (loompb.PeerClient, error) {
	b, ok := n.believed(id)
	if !ok {
		return nil, errUnknownPeer
	}
	return n.peers.client(b.Address)
}

// trim frees what homes no longer want: blocks of retired versions, what
// accounts keep beyond their budgets, and the least valuable prompts of a
// store that is nearly full.
func (n *Instance) trim(ctx context.Context) {
	now := time.Now()
	s := n.keeper.Snapshot()
	n.index.Expire(now, forgetIdle)
	for _, e := range s.Entries(loomcatalogue.KindModel) {
		m, ok := e.(loomcatalogue.Model)
		if ok {
			n.free(ctx, n.index.Retire(m.Name, n.versionInUse(m)))
		}
	}
	budgets := n.keptBudgets(s)
	for _, st := range n.stores.all() {
		n.free(ctx, n.index.TrimOverBudget(now, st.member.ID, budgets))
		n.free(ctx, n.index.Trim(now, st.member.ID, n.excess(st), budgets))
	}
}

// versionInUse returns which versions of a model are wanted or still served.
func (n *Instance) versionInUse(m loomcatalogue.Model) func(version uint64) bool {
	served := []uint64{m.Version}
	for _, b := range n.groupEngines(m.UpstreamGroup) {
		if r, ok := n.fleet.Latest(b.ID); ok {
			served = append(served, r.Version)
		}
	}
	return func(version uint64) bool {
		return version > m.Version || slices.Contains(served, version)
	}
}

// retention returns how long the catalogue asks to keep a prompt after this
// use, or zero.
func (n *Instance) retention(account string, keys []loomcache.Key) time.Duration {
	s := n.keeper.Snapshot()
	if s.KeptPrompts() == 0 {
		return 0
	}
	longest := time.Duration(0)
	for _, k := range keys {
		p, ok := s.KeptPrompt(k.String())
		if ok && p.ClientAccount == account {
			longest = max(longest, time.Duration(p.RetainSeconds)*time.Second)
		}
	}
	return longest
}

// keptBudgets returns the part of each account's kept state that falls to this
// home: the part of the shards that it owns, for each store.
func (n *Instance) keptBudgets(s loomcatalogue.Snapshot) []loomcache.Budget {
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

// excess returns how many bytes of a store this home should free.
func (n *Instance) excess(st *store) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.capacity == 0 || float64(st.used) < highWater*float64(st.capacity) {
		return 0
	}
	over := float64(st.used) - lowWater*float64(st.capacity)
	return int64(over) / int64(max(len(n.homes.Load().Members()), 1))
}

func (n *Instance) free(ctx context.Context, drops []loomcache.Drop) {
	for _, d := range drops {
		st, ok := n.stores.get(d.Store)
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := st.client.Free(call, &loompb.FreeRequest{Keys: rawKeys(d.Keys), Generations: d.Generations})
		cancel()
		if err != nil {
			n.log.Debug("blocks not freed", "store", d.Store, "blocks", len(d.Keys), "error", err)
		}
	}
}
