package loomgate

import (
	"slices"
	"time"

	"swiftloom/loommember"
	"swiftloom/loompb"
)

// hearLeaving applies the statement of an upstream, which an instance heard at a time, that
// it leaves. The source says where it comes from.
func (v *clusterView) hearLeaving(now, at time.Time, id string, incarnation uint64, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.directory.HearLeaving(now, at, id, incarnation) {
		return
	}
	v.publish(now)
	v.gate.log.Info("upstream_leaving", "upstream", id, "incarnation", incarnation, "cause", "said so", "source", source, "age_ms", now.Sub(at).Milliseconds())
}

// leavingReports returns the upstreams that have said that they leave, for a peer.
func (v *clusterView) leavingReports(now time.Time) []*loompb.LeavingStatement {
	v.mu.Lock()
	statements := v.directory.LeavingStatements()
	v.mu.Unlock()
	reports := make([]*loompb.LeavingStatement, 0, len(statements))
	for _, s := range statements {
		reports = append(reports, &loompb.LeavingStatement{UpstreamId: s.ID, Incarnation: s.Incarnation, AgeMs: ageMillis(now, s.At)})
	}
	return reports
}

// applyLeaving applies the statements that a peer has passed on.
func (v *clusterView) applyLeaving(now time.Time, peer string, reports []*loompb.LeavingStatement) {
	for _, r := range reports {
		v.hearLeaving(now, now.Add(-milliseconds(r.GetAgeMs())), r.GetUpstreamId(), r.GetIncarnation(), peer)
	}
}

// addLastResorts adds the upstreams that say that they leave to the groups that have no
// others, and returns their IDs. Those in evacuated failure domains are left out. The caller holds mu.
func (v *clusterView) addLastResorts(now time.Time, groups map[string][]loommember.Upstream) []string {
	upstreams, until := v.directory.LastResorts(now)
	upstreams = slices.DeleteFunc(upstreams, func(u loommember.Upstream) bool {
		return len(groups[u.Group]) > 0 || v.evacuations.IsEvacuated(u.FailureDomain)
	})
	v.lastResortsEnd = time.Time{}
	var ids []string
	for _, u := range upstreams {
		groups[u.Group] = append(groups[u.Group], u)
		ids = append(ids, u.ID)
		v.lastResortsEnd = until
	}
	return ids
}

// haveLastResortsEnded reports whether an upstream is published that may no longer get
// requests. The caller holds mu.
func (v *clusterView) haveLastResortsEnded(now time.Time) bool {
	return !v.lastResortsEnd.IsZero() && !now.Before(v.lastResortsEnd)
}
