package loomgate

import (
	"slices"
	"time"

	"swiftloom/loommember"
	"swiftloom/loomplatform"
)

// EvacuationStarted reports that operators have evacuated a failure domain: its upstreams must
// get no requests.
type EvacuationStarted struct {
	FailureDomain string
}

// EvacuationEnded reports that operators have ended the evacuation of a failure domain.
type EvacuationEnded struct {
	FailureDomain string
}

func (EvacuationStarted) change() {}
func (EvacuationEnded) change()   {}

// evacuationState is what choices read of the evacuations. It is immutable.
type evacuationState struct {
	// domains are the evacuated failure domains, and endedAt holds when other ones ceased to
	// be evacuated.
	domains map[string]bool
	endedAt map[string]time.Time
	// ids and addresses are those of the listed upstreams in evacuated domains, and counts
	// the number of those that could get requests otherwise, by group.
	ids, addresses map[string]bool
	counts         map[string]int
}

// evacuated returns the current state, or nil if no evacuation has been seen yet.
func (v *clusterView) evacuated() *evacuationState {
	return v.evacuationSnapshot.Load()
}

// isEvacuated reports whether a failure domain is evacuated.
func (v *clusterView) isEvacuated(domain string) bool {
	state := v.evacuated()
	return state != nil && state.domains[domain]
}

// evacuatedCount returns the number of upstreams of a group that get no requests only since
// their failure domains are evacuated.
func (v *clusterView) evacuatedCount(group string) int {
	if state := v.evacuated(); state != nil {
		return state.counts[group]
	}
	return 0
}

// evacuatedDomains returns the evacuated failure domains. The caller must not change the map.
func (v *clusterView) evacuatedDomains() map[string]bool {
	if state := v.evacuated(); state != nil {
		return state.domains
	}
	return nil
}

// isGroupEvacuated reports whether every upstream of a group that could get requests is in an
// evacuated failure domain.
func (v *clusterView) isGroupEvacuated(now time.Time, group string) bool {
	state := v.evacuated()
	return state != nil && state.counts[group] > 0 && len(v.group(now, group)) == 0
}

// applyEvacuationRow applies a row about the evacuation of a failure domain and reports whether
// the set of usable upstreams changed. The caller holds mu.
func (v *clusterView) applyEvacuationRow(now time.Time, domain string, row Row) bool {
	if row.Deleted {
		delete(v.evacuationKeys, domain)
		return v.noteEvacuation(now, domain, row.Version, v.evacuations.End(now, domain, row.Version), "row deleted")
	}
	v.evacuationKeys[domain] = row.Key
	return v.noteEvacuation(now, domain, row.Version, v.evacuations.Start(domain, row.Version), "row")
}

// endMissingEvacuations applies the absence of rows about evacuations from a full snapshot of
// the catalogue, and reports whether the set of usable upstreams changed. A row from an earlier
// epoch than the page was kept by a peer, and the platform's table lacks it. The caller holds mu.
func (v *clusterView) endMissingEvacuations(now time.Time, page Page) bool {
	changed := false
	for _, domain := range v.evacuations.Evacuated() {
		if holdsRow(page, v.evacuationKeys[domain]) {
			continue
		}
		change := v.evacuations.Missing(now, domain, page.Version)
		changed = v.noteEvacuation(now, domain, page.Version, change, "row missing from the list") || changed
	}
	return changed
}

// holdsRow reports whether a page holds a row that the platform's table has in the epoch of the
// page.
func holdsRow(page Page, key string) bool {
	for _, row := range page.Rows {
		if row.Key == key && !row.Deleted && loomplatform.PositionEpoch(row.Version) == loomplatform.PositionEpoch(page.Version) {
			return true
		}
	}
	return false
}

// expireEvacuations ends the evacuations whose rows the platform's table has lost and that were
// not written again, and reports whether there were any. The caller holds mu.
func (v *clusterView) expireEvacuations(now time.Time) bool {
	version := v.catalogueVersion.Load()
	ended := v.evacuations.Expire(now, version)
	for _, domain := range ended {
		v.noteEvacuation(now, domain, version, loommember.EvacuationEnded, "row not written again")
	}
	return len(ended) > 0
}

// noteEvacuation logs a change of an evacuation and reports whether the set of usable upstreams
// changed. The caller holds mu.
func (v *clusterView) noteEvacuation(now time.Time, domain string, version uint64, change loommember.EvacuationChange, cause string) bool {
	fields := []any{"failure_domain", domain, "row_version", version, "upstreams", len(v.upstreamsIn(now, domain)), "cause", cause}
	switch change {
	case loommember.EvacuationStarted:
		v.gate.log.Warn("evacuation_started", fields...)
		return true
	case loommember.EvacuationEnded:
		if key, ok := v.evacuationKeys[domain]; ok {
			delete(v.rows[TopicCatalogue], key)
			delete(v.evacuationKeys, domain)
		}
		v.gate.log.Warn("evacuation_ended", fields...)
		v.gate.cold.markAll(now, v.upstreamsIn(now, domain), "evacuation")
		// Its engines may lack weights that were named meanwhile.
		v.gate.rollout.wake()
		return true
	case loommember.EvacuationLost:
		v.gate.log.Warn("evacuation_lost", fields...)
	case loommember.EvacuationConfirmed:
		v.gate.log.Info("evacuation_confirmed", fields...)
	default:
	}
	return false
}

// upstreamsIn returns the upstreams of a failure domain that could get requests if it is not
// evacuated. The caller holds mu.
func (v *clusterView) upstreamsIn(now time.Time, domain string) []loommember.Upstream {
	return slices.DeleteFunc(v.directory.Usable(now), func(u loommember.Upstream) bool { return u.FailureDomain != domain })
}

// publishEvacuations makes the current evacuations visible to readers, and wakes the requests
// that are left without upstreams, so that they are refused at once. The caller holds mu.
func (v *clusterView) publishEvacuations(now time.Time) {
	domains, ended := v.evacuations.Evacuated(), v.evacuations.Ended()
	if len(domains) == 0 && len(ended) == 0 {
		return
	}
	state := &evacuationState{
		domains: make(map[string]bool, len(domains)), endedAt: make(map[string]time.Time, len(ended)),
		ids: make(map[string]bool), addresses: make(map[string]bool), counts: make(map[string]int),
	}
	for _, domain := range domains {
		state.domains[domain] = true
	}
	for _, domain := range ended {
		state.endedAt[domain], _ = v.evacuations.EndedAt(domain)
	}
	for _, u := range v.directory.All() {
		if state.domains[u.FailureDomain] {
			state.ids[u.ID], state.addresses[u.Address] = true, true
		}
	}
	for _, u := range v.directory.Usable(now) {
		if state.domains[u.FailureDomain] {
			state.counts[u.Group]++
		}
	}
	v.evacuationSnapshot.Store(state)
	for group := range state.counts {
		go v.gate.queues.wakeStranded(now, group)
	}
}

// withoutEvacuated returns the addresses of a plan for the KV cache without those of engines and
// stores in evacuated failure domains. A plan may have been made from an older view.
func (d *dispatch) withoutEvacuated(addresses []string) []string {
	state := d.gate.view.evacuated()
	if state == nil || len(state.domains) == 0 {
		return addresses
	}
	kept := make([]string, len(addresses))
	dropped := 0
	for i, address := range addresses {
		if address != "" && d.gate.isAddressEvacuated(state, address) {
			dropped++
			continue
		}
		kept[i] = address
	}
	if dropped == 0 {
		return addresses
	}
	d.gate.log.Info("kv_addresses_dropped", "request_id", d.req.RequestID, "coordinator", d.coordinator, "dropped", dropped, "cause", "evacuated")
	return kept
}

// isAddressEvacuated reports whether an address is that of an engine or a store in an evacuated
// failure domain.
func (g *Gate) isAddressEvacuated(state *evacuationState, address string) bool {
	if state.addresses[address] {
		return true
	}
	for _, store := range g.view.routing().Stores() {
		if store.Address == address && state.domains[store.FailureDomain] {
			return true
		}
	}
	return false
}

// logDroppedChoice logs that a coordinator chose an upstream in an evacuated failure domain.
func (d *dispatch) logDroppedChoice(coordinator, upstream string) {
	state := d.gate.view.evacuated()
	if state == nil || !state.ids[upstream] {
		return
	}
	d.gate.log.Info("choice_dropped", "request_id", d.req.RequestID, "coordinator", coordinator, "upstream", upstream, "cause", "evacuated")
}

// returnDelay returns how long a request to an upstream with a number of requests in flight is
// held since the evacuation of its failure domain has ended only just now. An upstream whose group
// bounds what a cold one may get counts as cold instead.
func (q *placementQuery) returnDelay(now time.Time, u loommember.Upstream, inFlight int) limitDelay {
	state := q.gate.view.evacuated()
	if state == nil || q.gate.cold.bound(u.Group).IsBound() {
		return limitDelay{}
	}
	endedAt, ok := state.endedAt[u.FailureDomain]
	if !ok {
		return limitDelay{}
	}
	const bits = 53
	share := float64(hashString(q.gate.settings.ID+"/"+u.ID)>>(64-bits)) / (1 << bits)
	wait := loommember.ReturnWait(now, endedAt, share, inFlight)
	if wait <= 0 {
		return limitDelay{}
	}
	return limitDelay{wait: wait, interval: queueInterval}
}
