package loomhttp

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mib = 1 << 20

var (
	budgetStart = time.Unix(1000, 0)
	addressA    = netip.MustParseAddr("127.0.0.1")
	addressB    = netip.MustParseAddr("127.0.0.2")
)

// testBudget is a budget with time.
type testBudget struct {
	*MemoryBudget
	t   *testing.T
	now time.Time
}

func newTestBudget(t *testing.T, size int64, maxConns int) *testBudget {
	t.Helper()
	return &testBudget{MemoryBudget: NewMemoryBudget(budgetStart, size, maxConns), t: t, now: budgetStart}
}

// conn opens a connection in a phase that holds n bytes for a request.
func (b *testBudget) conn(address netip.Addr, p phase, n int64) *holder {
	b.t.Helper()
	h, shed := b.open(b.now, address, nil)
	assert.Assert(b.t, h != nil)
	assert.Equal(b.t, len(shed), 0)
	h.enter(b.now, p, progressGrace)
	ok, _, _ := b.grow(b.now, h, n, useSmall)
	assert.Assert(b.t, ok)
	return h
}

// ask asks for n bytes and returns whether they were given and which connections are shed.
func (b *testBudget) ask(h *holder, n int64, u use) (ok, mayWait bool, victims []*holder) {
	ok, shed, freed := b.grow(b.now, h, n, u)
	for _, s := range shed {
		victims = append(victims, s.holder)
	}
	return ok, freed != nil, victims
}

// TestNothingIsShedWhileThereIsRoom guards against a slow caller that is closed in calm.
func TestNothingIsShedWhileThereIsRoom(t *testing.T) {
	b := newTestBudget(t, 16*mib, 0)
	b.conn(addressA, phaseBody, 4*mib)
	other := b.conn(addressA, phaseBody, 0)
	b.now = b.now.Add(time.Minute)
	ok, _, victims := b.ask(other, 2*mib, useLarge)
	assert.Assert(t, ok)
	assert.Equal(t, len(victims), 0)
}

// TestSlowestAndLargestAreShedFirst guards against the closing of connections that make progress,
// that run, or that are small while larger ones stand still.
func TestSlowestAndLargestAreShedFirst(t *testing.T) {
	b := newTestBudget(t, 36*mib, 0)
	small := b.conn(addressA, phaseBody, 1*mib)
	large := b.conn(addressA, phaseBody, 4*mib)
	running := b.conn(addressA, phaseRun, 4*mib)
	active := b.conn(addressA, phaseBody, 4*mib)
	asking := b.conn(addressA, phaseBody, 0)
	b.now = b.now.Add(10 * time.Second)
	active.progress(b.now, 64<<10)
	ok, mayWait, victims := b.ask(asking, 4*mib, useLarge)
	assert.Assert(t, !ok && mayWait)
	assert.DeepEqual(t, phases(victims), phases([]*holder{large}))
	assert.Assert(t, victims[0] == large)
	// What is being shed is not asked for again.
	ok, mayWait, victims = b.ask(asking, 4*mib, useLarge)
	assert.Assert(t, !ok && mayWait && len(victims) == 0)
	b.close(large)
	ok, _, _ = b.ask(asking, 4*mib, useLarge)
	assert.Assert(t, ok)
	_, _, victims = b.ask(asking, 3*mib, useLarge)
	assert.Assert(t, len(victims) == 1 && victims[0] == small)
	b.close(small)
	ok, mayWait, victims = b.ask(asking, 8*mib, useLarge)
	assert.Assert(t, !ok && !mayWait && len(victims) == 0, "a large request waits for what can't be shed")
	for _, h := range []*holder{running, active, asking} {
		b.close(h)
	}
	ok, _, _ = b.ask(asking, mib, useAnswer)
	assert.Assert(t, ok)
	b.release(asking, partAnswers, mib)
	assert.Equal(t, b.Stats().Held, int64(0), "a closed connection holds memory")
	assert.Equal(t, len(b.byAddress), 0)
	assert.Equal(t, b.leaving.sum(), int64(0))
}

func phases(holders []*holder) []string {
	var names []string
	for _, h := range holders {
		names = append(names, phase(h.phase.Load()).String())
	}
	return names
}

// TestSmallRequestsAreServedLast guards against large requests that leave no room for small ones.
func TestSmallRequestsAreServedLast(t *testing.T) {
	b := newTestBudget(t, 16*mib, 0)
	var large []*holder
	for range 20 {
		h := b.conn(addressA, phaseBody, 0)
		if ok, _, _ := b.ask(h, 1*mib, useLarge); ok {
			large = append(large, h)
		}
	}
	assert.Assert(t, len(large) == 6, "%d large requests", len(large))
	h := b.conn(addressA, phaseHead, 0)
	for range 40 {
		ok, _, _ := b.ask(h, 64<<10, useSmall)
		assert.Assert(t, ok)
	}
	// Beyond the reserve, a large request that makes progress is shed for small ones.
	for _, l := range large {
		l.progress(b.now, 1<<20)
	}
	_, _, victims := b.ask(h, 3*mib, useSmall)
	assert.Assert(t, len(victims) > 0)
}

// TestFullAddressShutsOutNoOther guards against one address that takes what others need, and
// against a bound that applies while it is alone.
func TestFullAddressShutsOutNoOther(t *testing.T) {
	b := newTestBudget(t, 16*mib, 0)
	for range 6 {
		h := b.conn(addressA, phaseBody, 0)
		ok, _, _ := b.ask(h, 1*mib, useLarge)
		assert.Assert(t, ok, "an address that is alone is bounded")
	}
	other := b.conn(addressB, phaseBody, 0)
	_, mayWait, victims := b.ask(other, 2*mib, useLarge)
	assert.Assert(t, mayWait && len(victims) == 2, "%d connections of the other address are shed", len(victims))
	for _, v := range victims {
		assert.Equal(t, v.address, addressA)
		b.close(v)
	}
	ok, _, _ := b.ask(other, 2*mib, useLarge)
	assert.Assert(t, ok)
	// The address with more than its part can't take from the one with less.
	b.now = b.now.Add(5 * time.Second)
	h := b.conn(addressA, phaseBody, 0)
	_, _, victims = b.ask(h, 4*mib, useLarge)
	for _, v := range victims {
		assert.Equal(t, v.address, addressA)
	}
}

// TestSilentConnectionsMakeRoom guards against connections without a request that keep others from
// being accepted, and against the closing of those that are in use.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	b := newTestBudget(t, 16*mib, 4)
	running := b.conn(addressA, phaseRun, 4<<10)
	used := b.conn(addressA, phaseHead, 4<<10)
	first, _ := b.open(b.now, addressA, nil)
	b.now = b.now.Add(10 * time.Millisecond)
	_, _ = b.open(b.now, addressA, nil)
	h, shed := b.open(b.now, addressA, nil)
	assert.Assert(t, h != nil && len(shed) == 1 && shed[0].holder == first, "the oldest silent connection makes room")
	b.close(first)
	b.close(h)
	_ = b.conn(addressA, phaseRun, 4<<10)
	h, shed = b.open(b.now, addressA, nil)
	assert.Assert(t, h != nil && len(shed) == 1)
	assert.Assert(t, !running.isLeaving && !used.isLeaving)
}

// TestProgressIsARate guards against a caller that counts as active since it once sent much.
func TestProgressIsARate(t *testing.T) {
	b := newTestBudget(t, 16*mib, 0)
	h := b.conn(addressA, phaseBody, 4<<10)
	isSlow := func() bool {
		c, ok := h.victim(b.now, useLarge, false)
		return ok && c.slow > 0
	}
	h.progress(b.now, 4*mib)
	assert.Assert(t, !isSlow())
	b.now = b.now.Add(progressGrace + time.Millisecond)
	assert.Assert(t, isSlow())
	for range 100 {
		h.progress(b.now, minRate/9)
		b.now = b.now.Add(100 * time.Millisecond)
		assert.Assert(t, !isSlow(), "a caller at the least rate is slow")
	}
	for range 100 {
		h.progress(b.now, minRate/100)
		b.now = b.now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, isSlow(), "a caller below the least rate is not slow")
}
