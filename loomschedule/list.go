package loomschedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// starvedShare is the share of the work that is reserved for ranks which would otherwise get
	// less than that.
	starvedShare = 0.1
	// shareMemory is the time over which the shares of ranks and accounts are averaged.
	shareMemory = 10 * time.Second
	// flooding is how many times its equal share an account must use to lose precedence. Less is
	// within what differs by chance.
	flooding = 2
	// minAccountWork is the least averaged work with which an account counts as active.
	minAccountWork = time.Millisecond
)

// Capacity is what serves the requests of a List.
type Capacity struct {
	// Upstreams is the number of upstreams that do the work.
	Upstreams int
	// Waiting is the work that waits for them anywhere, or zero if only that of the list
	// does.
	Waiting time.Duration
}

// List holds the requests that wait for one group of upstreams, and what recent ones have got. It
// is not safe for concurrent use. The zero value is an empty list.
type List struct {
	waiting []Waiter
	// ranks and accounts hold the work that has started, averaged over shareMemory.
	ranks    map[int]*average
	accounts map[string]*average
	// reserve is the work that starved ranks may still start.
	reserve time.Duration
}

// average is an amount of work that decays over shareMemory.
type average struct {
	work time.Duration
	at   time.Time
}

func (a *average) value(now time.Time) time.Duration {
	if a == nil {
		return 0
	}
	return time.Duration(float64(a.work) * math.Exp(-now.Sub(a.at).Seconds()/shareMemory.Seconds()))
}

func (a *average) add(now time.Time, work time.Duration) {
	a.work, a.at = a.value(now)+work, now
}

// Push adds a request.
func (l *List) Push(w Waiter) {
	l.waiting = append(l.waiting, w)
}

// Len returns the number of waiting requests.
func (l *List) Len() int {
	return len(l.waiting)
}

// Remove removes a request that does not start and reports whether it was waiting.
func (l *List) Remove(id string) bool {
	_, ok := l.take(id)
	return ok
}

func (l *List) take(id string) (Waiter, bool) {
	i := slices.IndexFunc(l.waiting, func(w Waiter) bool { return w.ID == id })
	if i < 0 {
		return Waiter{}, false
	}
	w := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return w, true
}

// Start removes a request that starts.
func (l *List) Start(now time.Time, id string) {
	if w, ok := l.take(id); ok {
		l.RecordStart(now, w)
	}
}

// RecordStart records the start of a request that need not be in the list.
func (l *List) RecordStart(now time.Time, w Waiter) {
	if l.isStarved(now, w.Rank) {
		l.reserve = max(l.reserve-w.Work, 0)
	}
	if l.ranks == nil {
		l.ranks, l.accounts = make(map[int]*average), make(map[string]*average)
	}
	if l.ranks[w.Rank] == nil {
		l.ranks[w.Rank] = &average{}
	}
	l.ranks[w.Rank].add(now, w.Work)
	// A reserve for more than one of the waiting requests would start them in a row.
	l.reserve = min(l.reserve+time.Duration(starvedShare*float64(w.Work)), l.longest())
	if w.Account == "" {
		return
	}
	if l.accounts[w.Account] == nil {
		l.accounts[w.Account] = &average{}
	}
	l.accounts[w.Account].add(now, w.Work)
}

// longest returns the most work of a waiting request.
func (l *List) longest() time.Duration {
	longest := time.Duration(0)
	for _, w := range l.waiting {
		longest = max(longest, w.Work)
	}
	return longest
}

// isStarved reports whether a rank has recently got less than starvedShare of the work.
func (l *List) isStarved(now time.Time, rank int) bool {
	total := time.Duration(0)
	for _, a := range l.ranks {
		total += a.value(now)
	}
	return float64(l.ranks[rank].value(now)) < starvedShare*float64(total)
}

// TakeExpired removes and returns the requests whose Until has passed.
func (l *List) TakeExpired(now time.Time) []Waiter {
	var expired []Waiter
	l.waiting = slices.DeleteFunc(l.waiting, func(w Waiter) bool {
		isExpired := w.Until.Before(now)
		if isExpired {
			expired = append(expired, w)
		}
		return isExpired
	})
	return expired
}

// Work returns the total work of the waiting requests.
func (l *List) Work() time.Duration {
	work := time.Duration(0)
	for _, w := range l.waiting {
		work += w.Work
	}
	return work
}

// WorkByRank returns the total work of the waiting requests of each rank.
func (l *List) WorkByRank() map[int]time.Duration {
	work := make(map[int]time.Duration)
	for _, w := range l.waiting {
		work[w.Rank] += w.Work
	}
	return work
}

// First returns up to n requests in the order in which they are to start.
func (l *List) First(now time.Time, n int, c Capacity) []Waiter {
	order := l.ordering(now, c)
	ranked := make([]rankedWaiter, 0, len(l.waiting))
	for _, w := range l.waiting {
		ranked = append(ranked, rankedWaiter{Waiter: w, cost: order.cost(w)})
	}
	slices.SortFunc(ranked, compareRanked)
	first := make([]Waiter, 0, min(n, len(ranked)))
	reserved, hasReserved := l.reservedFor(now)
	if hasReserved && n > 0 {
		first = append(first, reserved)
	}
	for _, w := range ranked {
		if len(first) >= n {
			break
		}
		if !hasReserved || w.ID != reserved.ID {
			first = append(first, w.Waiter)
		}
	}
	return first
}

// Ahead returns the work of the waiting requests that go before w, which need not be in the list.
func (l *List) Ahead(now time.Time, w Waiter, c Capacity) time.Duration {
	order := l.ordering(now, c)
	own := rankedWaiter{Waiter: w, cost: order.cost(w)}
	ahead := time.Duration(0)
	for _, other := range l.waiting {
		if other.ID != w.ID && compareRanked(rankedWaiter{Waiter: other, cost: order.cost(other)}, own) < 0 {
			ahead += other.Work
		}
	}
	return ahead
}

// rankedWaiter is a request with the logarithm of its cost of delay for each unit of work.
type rankedWaiter struct {
	Waiter
	cost float64
}

func compareRanked(a, b rankedWaiter) int {
	return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.Rank, b.Rank), a.Due.Compare(b.Due), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// reservedFor returns the request that starts next on account of the reserve: the one of a starved
// rank that has used up most of its time and at least half, unless one of a more urgent rank is
// late as well.
func (l *List) reservedFor(now time.Time) (Waiter, bool) {
	best, bestAge, mostUrgentLate := -1, 0.5, math.MaxInt
	for i, w := range l.waiting {
		if w.isLate(now) {
			mostUrgentLate = min(mostUrgentLate, w.Rank)
		}
		age := float64(now.Sub(w.Arrived)) / float64(max(w.Until.Sub(w.Arrived), time.Millisecond))
		if w.Work <= l.reserve && age >= bestAge && l.isStarved(now, w.Rank) {
			best, bestAge = i, age
		}
	}
	if best < 0 || mostUrgentLate < l.waiting[best].Rank {
		return Waiter{}, false
	}
	return l.waiting[best], true
}

// ordering is what the order depends on at one time.
type ordering struct {
	now      time.Time
	shortage shortage
	// meanWork is the mean logarithm of the work of the waiting requests, used the work that
	// recent requests of each account had, and fairWork the equal share of the active ones.
	meanWork float64
	used     map[string]time.Duration
	fairWork time.Duration
}

func (l *List) ordering(now time.Time, c Capacity) ordering {
	o := ordering{now: now}
	onTime, all := time.Duration(0), time.Duration(0)
	accounts := make(map[string]bool)
	for _, w := range l.waiting {
		o.meanWork += w.logWork() / float64(len(l.waiting))
		all += w.Work
		if !w.isLate(now) {
			onTime += w.Work
		}
		if w.Account != "" {
			accounts[w.Account] = true
		}
	}
	scale := max(float64(c.Waiting)/float64(max(all, 1)), 1) / float64(max(c.Upstreams, 1))
	o.shortage = shortage{onTime: time.Duration(float64(onTime) * scale), all: time.Duration(float64(all) * scale)}
	total := time.Duration(0)
	o.used = make(map[string]time.Duration, len(l.accounts))
	for name, a := range l.accounts {
		work := a.value(now)
		if work < minAccountWork {
			delete(l.accounts, name)
			continue
		}
		o.used[name] = work
		total += work
		accounts[name] = true
	}
	o.fairWork = total / time.Duration(max(len(accounts), 1))
	return o
}

// cost returns the logarithm of the cost of delay of a request for each unit of work.
func (o ordering) cost(w Waiter) float64 {
	preference := o.meanWork - w.logWork()
	if used := o.used[w.Account]; used > flooding*o.fairWork && o.fairWork > 0 {
		preference -= math.Log(float64(used) / float64(flooding*o.fairWork))
	}
	return rankWeight(w.Rank) + boundPreference(preference) + w.urgency(o.now, o.shortage)
}
