package loomlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestColdBoundTotal(t *testing.T) {
	tests := []struct {
		name  string
		bound ColdBound
		since time.Duration
		want  int
	}{
		{"what the upstream sustains", ColdBound{PerSecond: 14, Over: 1.5, Slack: 5}, 0, 19},
		{"no more than may arrive in a second", ColdBound{PerSecond: 14, Over: 1}, 0, 14},
		{"less than one", ColdBound{PerSecond: 0.5, Over: 1}, 0, 0},
		{"half of the ramp", ColdBound{PerSecond: 14, Over: 1.5, Slack: 5}, ColdRamp / 2, 47},
		{"the end of the ramp", ColdBound{PerSecond: 14, Over: 1.5, Slack: 5}, ColdRamp, 76},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.bound.Total(tt.since), tt.want)
		})
	}
}

// TestColdSharesAddUp guards against shares that exceed the total when instances know of
// more holders than there are.
func TestColdSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		holders := rapid.IntRange(1, 90).Draw(t, "holders")
		sum, most := 0, 0
		for rank := range holders {
			// An instance may also count holders before and after it that are gone.
			before := rapid.IntRange(0, 3).Draw(t, "before")
			after := rapid.IntRange(0, 3).Draw(t, "after")
			sum += ColdShare(total, rank+before, holders+before+after)
			most += ColdShare(total, rank, holders)
		}
		if most != total || sum > total {
			t.Fatalf("shares of %d add up to %d, and %d at most", total, most, sum)
		}
	})
}

// coldSender is an instance in a coldFleet.
type coldSender struct {
	id        string
	holders   *ShareHolders
	allowance ColdAllowance
	startedAt time.Time
	isDown    bool
	isFrozen  bool
	// network is the part of the network that the instance reaches.
	network int
	// failingSince is when calls to each peer began to fail.
	failingSince map[string]time.Time
	// queued are the calls that a frozen instance handles once it goes on.
	queued []string
	// granted is when the request was counted that the instance has not sent yet, or zero.
	granted time.Time
}

// coldFleet plays instances that send as much as they may to one cold upstream.
type coldFleet struct {
	now      time.Time
	bound    ColdBound
	senders  []*coldSender
	arrivals []time.Time
	// isNaive is set if each instance applies the bound by itself.
	isNaive bool
}

const (
	coldStep     = 100 * time.Millisecond
	peerDeadTime = 8 * time.Second
)

func (f *coldFleet) start(s *coldSender) {
	s.holders = NewShareHolders(f.now, s.id)
	s.allowance = ColdAllowance{}
	s.startedAt = f.now
	s.isDown, s.isFrozen = false, false
	s.failingSince = make(map[string]time.Time)
	s.queued = nil
	s.granted = time.Time{}
}

// step lets all instances call each other and send.
func (f *coldFleet) step(t *rapid.T) {
	f.now = f.now.Add(coldStep)
	for _, s := range f.senders {
		if !s.isDown && !s.isFrozen {
			f.call(s)
		}
	}
	for _, s := range f.senders {
		if !s.isDown && !s.isFrozen {
			f.send(t, s)
		}
	}
}

func (f *coldFleet) call(s *coldSender) {
	for _, id := range s.queued {
		s.holders.Called(f.now, id)
	}
	s.queued = nil
	candidates := []string{s.id}
	for _, peer := range f.senders {
		if peer == s {
			continue
		}
		isReached := !peer.isDown && peer.network == s.network
		if isReached && peer.isFrozen {
			peer.queued = append(peer.queued, s.id)
		}
		switch {
		case isReached && !peer.isFrozen:
			delete(s.failingSince, peer.id)
			peer.holders.Called(f.now, s.id)
			s.holders.Answered(f.now, f.now, peer.id)
		case s.failingSince[peer.id].IsZero():
			s.failingSince[peer.id] = f.now
		}
		if since, isFailing := s.failingSince[peer.id]; !isFailing || f.now.Sub(since) < peerDeadTime {
			candidates = append(candidates, peer.id)
		}
	}
	s.holders.Update(f.now, candidates)
}

// share returns the number of requests that an instance may send in a ColdWindow.
func (f *coldFleet) share(s *coldSender) int {
	total := f.bound.Total(0)
	if f.isNaive {
		return total
	}
	ids, isUsable := s.holders.Holders(f.now)
	if !isUsable {
		return 0
	}
	slices.Sort(ids)
	return ColdShare(total, slices.Index(ids, s.id), len(ids))
}

// send sends what the instance may. A request that was counted before the instance was
// frozen is dropped if it would arrive too late.
func (f *coldFleet) send(t *rapid.T, s *coldSender) {
	if !s.granted.IsZero() && f.now.Sub(s.granted) < coldStep*2 {
		f.arrivals = append(f.arrivals, f.now)
	}
	s.granted = time.Time{}
	share := f.share(s)
	for s.allowance.Wait(f.now, share) == 0 {
		s.allowance.Add(f.now)
		if rapid.IntRange(0, 3).Draw(t, "held back") == 0 {
			s.granted = f.now
			return
		}
		f.arrivals = append(f.arrivals, f.now.Add(rapid.SampledFrom([]time.Duration{0, ColdTransit - coldStep, ColdTransit}).Draw(t, "transit")))
	}
}

// change draws a change of the fleet.
func (f *coldFleet) change(t *rapid.T) {
	s := rapid.SampledFrom(f.senders).Draw(t, "instance")
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		s.isDown = true
	case 1:
		f.start(s)
	case 2:
		s.isFrozen = true
	case 3:
		s.isFrozen = false
	case 4:
		s.network = rapid.IntRange(0, 2).Draw(t, "network")
	case 5:
		for _, s := range f.senders {
			s.network = rapid.IntRange(0, 1).Draw(t, "network")
		}
	}
}

// most returns the largest number of requests that arrive within a second.
func (f *coldFleet) most() int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// playColdFleet plays a random history and returns the fleet.
func playColdFleet(t *rapid.T, isNaive bool) *coldFleet {
	f := &coldFleet{now: rateStart, isNaive: isNaive, bound: ColdBound{
		PerSecond: float64(rapid.IntRange(1, 20).Draw(t, "per second")),
		Over:      rapid.SampledFrom([]float64{1, 1.5}).Draw(t, "over"),
		Slack:     rapid.SampledFrom([]float64{0, 5}).Draw(t, "slack"),
	}}
	for i := range rapid.IntRange(1, 9).Draw(t, "instances") {
		s := &coldSender{id: fmt.Sprint("i", i)}
		f.senders = append(f.senders, s)
		f.start(s)
	}
	for range rapid.IntRange(1, 8).Draw(t, "changes") {
		for range rapid.IntRange(0, 3).Draw(t, "at once") {
			f.change(t)
		}
		seconds := rapid.SampledFrom([]int{1, 3, 9, 28, 40}).Draw(t, "seconds")
		for range seconds * int(time.Second/coldStep) {
			f.step(t)
		}
	}
	return f
}

// TestColdUpstreamGetsNoMoreThanItSustains guards against a cold upstream that gets more
// requests in any second than it states, of all instances together, whichever of these
// start, end, are frozen or are cut off from each other.
func TestColdUpstreamGetsNoMoreThanItSustains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := playColdFleet(t, false)
		if most, allowed := f.most(), f.bound.PerSecond*f.bound.Over+f.bound.Slack; float64(most) > allowed {
			t.Fatalf("%d requests arrived in a second, %.1f are allowed", most, allowed)
		}
	})
}

// TestPerInstanceBoundOverloadsColdUpstream checks that the histories of
// TestColdUpstreamGetsNoMoreThanItSustains show a bound that each instance applies by itself.
func TestPerInstanceBoundOverloadsColdUpstream(t *testing.T) {
	overloads := 0
	const histories = 20
	for seed := range histories {
		f := rapid.Custom(func(t *rapid.T) *coldFleet { return playColdFleet(t, true) }).Example(seed)
		if float64(f.most()) > f.bound.PerSecond*f.bound.Over+f.bound.Slack {
			overloads++
		}
	}
	assert.Assert(t, overloads > histories/2, "%d of %d histories overload the upstream", overloads, histories)
}

// TestColdShareIsUsed checks how much of the allowance a fleet uses: all of it once the
// instances know each other, that of a silent one again after ShareTTL, and none on the
// smaller side of a partition.
func TestColdShareIsUsed(t *testing.T) {
	const perSecond, instances = 14, 7
	tests := []struct {
		name   string
		change func(f *coldFleet)
		after  time.Duration
		want   int
	}{
		{"just started", func(*coldFleet) {}, shareSettle - coldStep, 0},
		{"all known", func(*coldFleet) {}, shareSettle + coldStep, perSecond},
		{"one has just ended", func(f *coldFleet) { f.senders[0].isDown = true }, ShareTTL / 2, perSecond * (instances - 1) / instances},
		{"one has ended long ago", func(f *coldFleet) { f.senders[0].isDown = true }, ShareTTL + 10*time.Second, perSecond},
		{"one has restarted", func(f *coldFleet) { f.start(f.senders[0]) }, shareSettle + coldStep, perSecond},
		{"three are cut off", func(f *coldFleet) {
			for _, s := range f.senders[:3] {
				s.network = 1
			}
		}, ShareTTL + 10*time.Second, perSecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &coldFleet{now: rateStart, bound: ColdBound{PerSecond: perSecond, Over: 1}}
			for i := range instances {
				s := &coldSender{id: fmt.Sprint("i", i)}
				f.senders = append(f.senders, s)
				f.start(s)
			}
			pass := func(d time.Duration) {
				for range d / coldStep {
					f.now = f.now.Add(coldStep)
					for _, s := range f.senders {
						if !s.isDown {
							f.call(s)
						}
					}
				}
			}
			if tt.after > shareSettle-coldStep {
				pass(2 * shareSettle)
			}
			tt.change(f)
			pass(tt.after)
			got := 0
			for _, s := range f.senders {
				if !s.isDown {
					got += f.share(s)
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestInstancesGoneBeforeAreForgotten guards against a fleet that never has shares since most of
// the instances that are listed ended before the others started.
func TestInstancesGoneBeforeAreForgotten(t *testing.T) {
	const perSecond, instances, gone = 14, 7, 4
	f := &coldFleet{now: rateStart, bound: ColdBound{PerSecond: perSecond, Over: 1}}
	for i := range instances {
		s := &coldSender{id: fmt.Sprint("i", i)}
		f.senders = append(f.senders, s)
		f.start(s)
		s.isDown = i < gone
	}
	used := func(after time.Duration) int {
		sum := 0
		for range after / coldStep {
			f.now = f.now.Add(coldStep)
			for _, s := range f.senders[gone:] {
				f.call(s)
			}
		}
		for _, s := range f.senders[gone:] {
			sum += f.share(s)
		}
		return sum
	}
	assert.Equal(t, used(time.Minute), 0, "those that are gone may be the larger part")
	assert.Equal(t, used(quorumTTL), perSecond)
}
