package loommember

import (
	"slices"
	"time"

	"swiftloom/loomplatform"
)

// lostEvacuationTTL is how long an evacuation stays in force after the platform's table has
// returned from an older copy that lacks it. Operators write it again within that time.
const lostEvacuationTTL = 4 * time.Second

// EvacuationChange is what a row, or its absence, has changed about an evacuation.
type EvacuationChange int

// The changes of an evacuation.
const (
	EvacuationUnchanged EvacuationChange = iota
	EvacuationStarted
	// EvacuationLost means that the table has returned from an older copy without the row. The
	// evacuation stays in force for lostEvacuationTTL.
	EvacuationLost
	// EvacuationConfirmed means that a lost row was written again.
	EvacuationConfirmed
	EvacuationEnded
)

// Evacuations decides which failure domains are evacuated, from the rows that operators
// write, and from lists of all such rows. Versions are positions of the platform's table. The
// zero value knows of none. Evacuations is not safe for concurrent use.
type Evacuations struct {
	byDomain map[string]evacuation
}

// evacuation is what is known of the evacuation of one failure domain.
type evacuation struct {
	// version is that of the latest row, deletion or list that decided. It never decreases.
	version   uint64
	isInForce bool
	// lapsesAt is when an evacuation ends whose row was lost, or zero.
	lapsesAt time.Time
	// endedAt is when the latest evacuation ended, or zero.
	endedAt time.Time
}

// Start applies the row that evacuates a failure domain.
func (e *Evacuations) Start(domain string, version uint64) EvacuationChange {
	old, known := e.byDomain[domain]
	switch {
	case known && (version < old.version || (version == old.version && !old.isInForce)):
		return EvacuationUnchanged
	case !known || !old.isInForce:
		e.set(domain, evacuation{version: version, isInForce: true, endedAt: old.endedAt})
		return EvacuationStarted
	}
	wasLost := !old.lapsesAt.IsZero() && loomplatform.PositionEpoch(version) > loomplatform.PositionEpoch(old.version)
	old.version = version
	if wasLost {
		old.lapsesAt = time.Time{}
	}
	e.set(domain, old)
	if wasLost {
		return EvacuationConfirmed
	}
	return EvacuationUnchanged
}

// End applies the deletion of the row of a failure domain.
func (e *Evacuations) End(now time.Time, domain string, version uint64) EvacuationChange {
	old, known := e.byDomain[domain]
	if !known || version < old.version {
		return EvacuationUnchanged
	}
	return e.end(now, domain, version)
}

// Missing applies a list of all rows that lacks that of a failure domain, or has it only as it
// was before the platform's table returned from an older copy. The row has been deleted if it
// was written in the epoch of the list; otherwise it may have been lost.
func (e *Evacuations) Missing(now time.Time, domain string, listVersion uint64) EvacuationChange {
	old, known := e.byDomain[domain]
	if !known || !old.isInForce || listVersion < old.version {
		return EvacuationUnchanged
	}
	if loomplatform.PositionEpoch(listVersion) == loomplatform.PositionEpoch(old.version) {
		return e.end(now, domain, listVersion)
	}
	if !old.lapsesAt.IsZero() {
		return EvacuationUnchanged
	}
	old.lapsesAt = now.Add(lostEvacuationTTL)
	e.set(domain, old)
	return EvacuationLost
}

// Expire ends the evacuations whose rows were lost and have not been written again in time, and
// returns their failure domains, sorted. The list version is that of the newest list.
func (e *Evacuations) Expire(now time.Time, listVersion uint64) []string {
	var ended []string
	for domain, old := range e.byDomain {
		if old.isInForce && !old.lapsesAt.IsZero() && !now.Before(old.lapsesAt) {
			e.end(now, domain, max(listVersion, old.version))
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return ended
}

func (e *Evacuations) end(now time.Time, domain string, version uint64) EvacuationChange {
	old := e.byDomain[domain]
	if !old.isInForce {
		old.version = version
		e.set(domain, old)
		return EvacuationUnchanged
	}
	e.set(domain, evacuation{version: version, endedAt: now})
	return EvacuationEnded
}

func (e *Evacuations) set(domain string, next evacuation) {
	if e.byDomain == nil {
		e.byDomain = make(map[string]evacuation)
	}
	e.byDomain[domain] = next
}

// IsEvacuated reports whether a failure domain is evacuated.
func (e *Evacuations) IsEvacuated(domain string) bool {
	return e.byDomain[domain].isInForce
}

// EndedAt returns when the latest evacuation of a failure domain ended, as far as it is known
// here. It returns false if the domain is evacuated or has not been.
func (e *Evacuations) EndedAt(domain string) (time.Time, bool) {
	known := e.byDomain[domain]
	return known.endedAt, !known.isInForce && !known.endedAt.IsZero()
}

// Evacuated returns the sorted failure domains that are evacuated.
func (e *Evacuations) Evacuated() []string {
	return e.domains(func(known evacuation) bool { return known.isInForce })
}

// Ended returns the sorted failure domains for which EndedAt returns a time.
func (e *Evacuations) Ended() []string {
	return e.domains(func(known evacuation) bool { return !known.isInForce && !known.endedAt.IsZero() })
}

func (e *Evacuations) domains(matches func(evacuation) bool) []string {
	var domains []string
	for domain, known := range e.byDomain {
		if matches(known) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

const (
	// returnSpread is the time after the end of an evacuation over which the instances begin
	// to send requests to an upstream, and returnStep the time in which the number of requests
	// in flight that each allows there then grows by one. returnTime is the time after which
	// it is no longer bounded. All instances learn of the end at once, and would find the
	// upstreams idle.
	returnSpread = 500 * time.Millisecond
	returnStep   = 50 * time.Millisecond
	returnTime   = time.Second
)

// ReturnWait returns the time until an upstream whose evacuation ended at a time may get another
// request from an instance that knows of a number of requests in flight there, or zero if it
// may now. The share, from zero to one, spreads the instances.
func ReturnWait(now, endedAt time.Time, share float64, inFlight int) time.Duration {
	if !now.Before(endedAt.Add(returnTime)) {
		return 0
	}
	begin := endedAt.Add(time.Duration(share * float64(returnSpread)))
	return max(min(begin.Add(time.Duration(inFlight)*returnStep).Sub(now), endedAt.Add(returnTime).Sub(now)), 0)
}
