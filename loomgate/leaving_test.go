package loomgate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loommember"
)

const (
	// leavingLimit is the time from the acknowledged removal of an upstream until no
	// request may arrive there, and arrivalAllowance that from the choice of the
	// upstream until the request arrives.
	leavingLimit     = 2 * time.Second
	arrivalAllowance = 400 * time.Millisecond
	// contactTime is the time without disturbance after which the platform's
	// acknowledgements bind, and after which an instance counts as reachable.
	contactTime = 3 * time.Second
	// platformCallTimeout bounds a call to a platform that hangs.
	platformCallTimeout = 1500 * time.Millisecond
)

// platformState is what the platform does with calls.
type platformState int

const (
	platformAnswers platformState = iota
	platformRefuses
	platformHangs
)

// virtualPlatform is a platform's table in virtual time. Its rows are upstreams.
type virtualPlatform struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	state   platformState
	// disturbedAt is when the latest disturbance ended.
	disturbedAt time.Time
}

func (p *virtualPlatform) put(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[key] = Row{Key: key, Value: []byte(value), Version: p.version, Deleted: value == ""}
}

func (p *virtualPlatform) set(s platformState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	p.disturbedAt = time.Now()
}

// isStable reports whether the platform has been without disturbance for contactTime.
func (p *virtualPlatform) isStable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == platformAnswers && time.Since(p.disturbedAt) >= contactTime
}

// virtualSource is the platform as one instance reaches it.
type virtualSource struct {
	*fakeSource

	platform *virtualPlatform
	latency  time.Duration

	mu    sync.Mutex
	isCut bool
	// cutAt is when the instance was last cut off or reached again, and calls the number
	// of reads of the upstream list.
	cutAt time.Time
	calls int
}

func (s *virtualSource) setCut(isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut, s.cutAt = isCut, time.Now()
}

// isInTouch reports whether the instance has reached the platform for contactTime.
func (s *virtualSource) isInTouch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isCut && time.Since(s.cutAt) >= contactTime
}

// read returns the rows after a version as the platform answers a call.
func (s *virtualSource) read(ctx context.Context, t Topic, after uint64) (Page, error) {
	if sleep(ctx, s.latency) != nil {
		return Page{}, ctx.Err()
	}
	s.mu.Lock()
	isCut := s.isCut
	s.calls++
	s.mu.Unlock()
	p := s.platform
	p.mu.Lock()
	state := p.state
	page := Page{Version: max(p.version, 1)}
	for _, row := range p.rows {
		if t == TopicUpstreams && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	p.mu.Unlock()
	switch {
	case isCut || state == platformHangs:
		if err := sleep(ctx, platformCallTimeout); err != nil {
			return Page{}, err
		}
		return Page{}, errDown
	case state == platformRefuses:
		return Page{}, errDown
	}
	return page, sleep(ctx, s.latency)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Snapshot implements Source.
func (s *virtualSource) Snapshot(ctx context.Context, t Topic) (Page, error) {
	page, err := s.read(ctx, t, 0)
	var rows []Row
	for _, row := range page.Rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	page.Rows = rows
	return page, err
}

// Changes implements Source. A poll that waits is answered when it ends.
func (s *virtualSource) Changes(ctx context.Context, t Topic, after uint64, wait time.Duration) (Page, error) {
	if err := sleep(ctx, wait); err != nil {
		return Page{}, err
	}
	return s.read(ctx, t, after)
}

// Decode implements Source. Besides the values of fakeSource it accepts "leaving".
func (s *virtualSource) Decode(t Topic, r Row) (Change, error) {
	if string(r.Value) == "leaving" {
		return UpstreamListed{Version: r.Version, Leaving: true, Upstream: loommember.Upstream{ID: r.Key, Group: "engines", Address: r.Key}}, nil
	}
	return s.fakeSource.Decode(t, r)
}

// virtualFleet is a number of instances in virtual time.
type virtualFleet struct {
	platform *virtualPlatform
	gates    []*Gate
	sources  []*virtualSource
}

// newVirtualFleet starts instances of two failure domains that share a platform with two
// upstreams. It has coordinators if they are more than watches.
func newVirtualFleet(ctx context.Context, t *testing.T, instances, watches int, random *rand.Rand) *virtualFleet {
	f := &virtualFleet{platform: &virtualPlatform{rows: make(map[string]Row)}}
	f.platform.put("leaving", "up 1")
	f.platform.put("living", "up 1")
	for i := range instances {
		s := &virtualSource{fakeSource: newFakeSource(), platform: f.platform, latency: time.Duration(1+random.IntN(5)) * time.Millisecond}
		g := newTestGate(t, fmt.Sprint("i", i), newFakeSource(), &fakeRunner{})
		g.source = s
		g.random = rand.New(rand.NewPCG(random.Uint64(), 1))
		g.settings.FailureDomain = fmt.Sprint("d", i%2)
		routing := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{
			Revision: 1,
			Groups:   []loomcatalogue.Group{{Name: "engines"}},
			Stores:   []loomcatalogue.KVStore{{Name: "store", MaxWatches: watches}},
		})
		g.view.routingSnapshot.Store(&routing)
		f.gates, f.sources = append(f.gates, g), append(f.sources, s)
	}
	connect(ctx, f.gates)
	for _, g := range f.gates {
		go func() { _ = g.view.watchUpstreams(ctx) }()
		go func() { _ = g.view.watchCatalogue(ctx) }()
	}
	return f
}

// uses reports whether an instance would send a request to an upstream.
func (f *virtualFleet) uses(i int, id string) bool {
	for _, u := range f.gates[i].usableUpstreams(time.Now(), "engines") {
		if u.ID == id {
			return true
		}
	}
	return false
}

// leavingHistory is a sequence of disturbances around the removal of an upstream.
type leavingHistory struct {
	instances, watches int
	// away is for how long the platform is away, three seconds before the removal or
	// later than that, and state what it does meanwhile.
	away  time.Duration
	state platformState
	gap   time.Duration
	// expires is set if the entry of the upstream that stays expires meanwhile. It is
	// back within two seconds.
	expires bool
	// isMarked is set if the upstream marks its entry as leaving before it is removed.
	isMarked bool
	// cut is the instance that is cut off from the platform cutBefore before the
	// removal, or -1.
	cut       int
	cutBefore time.Duration
}

func newLeavingHistory(random *rand.Rand) leavingHistory {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	h := leavingHistory{
		instances: 3, watches: 12,
		away: upTo(6 * time.Second), state: platformRefuses + platformState(random.IntN(2)),
		gap:      contactTime + upTo(time.Second),
		isMarked: random.IntN(3) == 0,
		cut:      -1,
	}
	h.expires = h.away > 2*time.Second && random.IntN(2) == 0
	if random.IntN(2) == 0 {
		h.instances, h.watches = 6, 4
	}
	if random.IntN(2) == 0 {
		h.cut, h.cutBefore = random.IntN(h.instances), upTo(2*time.Second)
	}
	if random.IntN(4) == 0 {
		h.away, h.expires = 0, false
	}
	return h
}

// play plays a history and returns what breaks a bound, or "".
func (h leavingHistory) play(t *testing.T, random *rand.Rand) string {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newVirtualFleet(ctx, t, h.instances, h.watches, random)
	time.Sleep(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
	for i := range f.gates {
		if !f.uses(i, "leaving") {
			return fmt.Sprintf("i%d has no list", i)
		}
	}
	if h.away > 0 {
		f.platform.set(h.state)
		time.Sleep(h.away)
		if h.expires {
			f.platform.put("living", "")
		}
		f.platform.set(platformAnswers)
		if h.expires {
			back := time.Duration(random.Int64N(int64(2 * time.Second)))
			time.AfterFunc(back, func() { f.platform.put("living", "up 1") })
		}
	}
	time.Sleep(h.gap - h.cutBefore)
	if h.cut >= 0 {
		f.sources[h.cut].setCut(true)
	}
	time.Sleep(h.cutBefore)
	value := ""
	if h.isMarked {
		value = "leaving"
	}
	isStable := h.away == 0 || f.platform.isStable()
	f.platform.put("leaving", value)
	removedAt := time.Now()
	for time.Since(removedAt) < leavingLimit+2*time.Second {
		time.Sleep(10 * time.Millisecond)
		since := time.Since(removedAt)
		for i, s := range f.sources {
			if isStable && since > leavingLimit-arrivalAllowance && s.isInTouch() && f.uses(i, "leaving") {
				return fmt.Sprintf("i%d uses the upstream %s after its removal", i, since)
			}
			if !f.uses(i, "living") && !h.expires {
				return fmt.Sprintf("i%d doesn't use the other upstream", i)
			}
		}
	}
	return ""
}

// TestFleetStopsUsingRemovedUpstreams plays random disturbances in virtual time: no
// instance in touch uses an upstream whose requests would arrive later than the limit
// after its removal. SWIFTLOOM_HISTORIES sets their number, or FIRST-LAST.
func TestFleetStopsUsingRemovedUpstreams(t *testing.T) {
	first, last := historySeeds(t, 200)
	for seed := first; seed <= last; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		h := newLeavingHistory(random)
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = h.play(t, random) })
		assert.Check(t, failure == "", "seed %d, %+v: %s", seed, h, failure)
	}
}

// historySeeds returns the first and the last seed of the random histories to play: a number
// of them unless SWIFTLOOM_HISTORIES sets their number, or FIRST-LAST.
func historySeeds(t *testing.T, count int) (first, last int) {
	t.Helper()
	text := os.Getenv("SWIFTLOOM_HISTORIES")
	if text == "" {
		return 1, count
	}
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		from, to = "1", from
	}
	first, err := strconv.Atoi(from)
	assert.NilError(t, err)
	last, err = strconv.Atoi(to)
	assert.NilError(t, err)
	return first, last
}
