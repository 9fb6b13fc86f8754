package loominstance

import (
	"context"
	"time"

	"swiftloom/gen/health"
	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomclaim"
	"swiftloom/loomerror"
	"swiftloom/loommember"
)

// healthAPI implements the generated service interface of package gen/health.
type healthAPI struct {
	instance *Instance
}

// Live succeeds as long as the process serves HTTP.
func (a *healthAPI) Live(context.Context) (string, error) {
	return "live", nil
}

// Ready succeeds when the instance accepts requests. It fails while the
// instance drains, and after a start until the catalogue is known and the
// members have been stable for homesSettleTime.
func (a *healthAPI) Ready(context.Context) (string, error) {
	n := a.instance
	switch {
	case n.stopping.Load():
		return "", loomerror.New(loomerror.ShuttingDown, "the instance is draining")
	case n.catalogue.Snapshot().Revision() == 0:
		return "", loomerror.New(loomerror.PlatformUnavailable, "the catalogue has not been read yet").WithRetryAfter(time.Second)
	case !n.membersSettled.Load() && time.Since(n.homesChangedAt()) < homesSettleTime:
		return "", loomerror.New(loomerror.PlatformUnavailable, "the member list has not settled yet").WithRetryAfter(time.Second)
	}
	n.membersSettled.Store(true)
	return "ready", nil
}

// Status is the state of an instance, as operators see it.
type Status struct {
	Instance          string           `json:"instance"`
	FailureDomain     string           `json:"failure_domain"`
	Incarnation       uint64           `json:"incarnation"`
	Stopping          bool             `json:"stopping"`
	CatalogueRevision uint64           `json:"catalogue_revision"`
	CatalogueAge      float64          `json:"catalogue_changed_seconds_ago"`
	InFlight          int64            `json:"in_flight"`
	Queued            int              `json:"queued"`
	Members           []MemberStatus   `json:"members"`
	Links             []LinkStatus     `json:"links"`
	Quotas            []QuotaStatus    `json:"quotas"`
	Reconciler        ReconcilerStatus `json:"reconciler"`
	Kept              loomcache.Size   `json:"kept"`
	Claims            loomclaim.Stats  `json:"claims"`
}

// MemberStatus is the state of a member as the instance sees it, with the
// reason for it.
type MemberStatus struct {
	ID            string  `json:"id"`
	Kind          string  `json:"kind"`
	Group         string  `json:"group"`
	FailureDomain string  `json:"failure_domain"`
	State         string  `json:"state"`
	Reason        string  `json:"reason"`
	Version       uint64  `json:"version,omitempty"`
	Loading       uint64  `json:"loading,omitempty"`
	WaitMS        float64 `json:"wait_ms,omitempty"`
	Outstanding   int     `json:"outstanding"`
}

// LinkStatus is the state of a store and of the link to it.
type LinkStatus struct {
	Store    string  `json:"store"`
	WaitMS   float64 `json:"wait_ms"`
	Used     uint64  `json:"used_bytes"`
	Capacity uint64  `json:"capacity_bytes"`
}

// QuotaStatus is the rate of an account in this failure domain, as known at the
// account's home.
type QuotaStatus struct {
	ClientAccount string  `json:"client_account"`
	Demand        float64 `json:"demand_tokens_per_second"`
	Floor         float64 `json:"floor_tokens_per_second"`
	Borrowed      float64 `json:"borrowed_tokens_per_second"`
	Lender        string  `json:"lender"`
}

// ReconcilerStatus is the state of the failure domain's reconciler lease.
type ReconcilerStatus struct {
	Held   bool   `json:"held"`
	Token  uint64 `json:"token"`
	Holder string `json:"holder"`
}

// Status implements the operators' status method.
func (a *healthAPI) Status(_ context.Context, p *health.StatusPayload) (any, error) {
	if err := a.instance.authorizeOperator(p.Authorization); err != nil {
		return nil, err
	}
	return a.instance.Status(time.Now()), nil
}

// Status returns the state of the instance at now.
func (n *Instance) Status(now time.Time) Status {
	s := Status{
		Instance:          n.ID(),
		FailureDomain:     n.FailureDomain(),
		Incarnation:       n.incarnation,
		Stopping:          n.stopping.Load(),
		CatalogueRevision: n.catalogue.Snapshot().Revision(),
		CatalogueAge:      now.Sub(n.catalogue.ChangedAt()).Seconds(),
		InFlight:          n.activeRequests.Load(),
		Queued:            n.queues.length(),
		Links:             n.linkStatus(now),
		Quotas:            n.quotas.pools.status(now),
		Reconciler:        n.reconciler.status(now),
		Kept:              n.index.Size(),
		Claims:            n.claimBatcher.Stats(),
	}
	for _, member := range n.tracker.View(now).All() {
		s.Members = append(s.Members, n.memberStatus(now, member))
	}
	return s
}

func (n *Instance) memberStatus(now time.Time, member loommember.MemberState) MemberStatus {
	m := MemberStatus{
		ID:            member.ID,
		Kind:          member.Kind,
		Group:         member.Group,
		FailureDomain: member.FailureDomain,
		State:         member.Status.String(),
		Reason:        member.Reason(),
	}
	if r, ok := n.fleet.Latest(member.ID); ok {
		e := n.fleet.Estimate(now, member.ID, groupTokenTime(n.catalogue.Snapshot(), member.Group))
		m.Version = r.Version
		m.Loading = r.LoadingVersion
		m.WaitMS = float64(e.Wait.Microseconds()) / 1000
		m.Outstanding = e.Outstanding
	}
	return m
}

func (n *Instance) linkStatus(now time.Time) []LinkStatus {
	var links []LinkStatus
	for _, st := range n.stores.all() {
		st.mu.Lock()
		links = append(links, LinkStatus{
			Store:    st.member.ID,
			WaitMS:   float64(st.budget.Wait(now).Microseconds()) / 1000,
			Used:     st.used,
			Capacity: st.capacity,
		})
		st.mu.Unlock()
	}
	return links
}

func (r *reconciler) status(now time.Time) ReconcilerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	token, held := r.lease.Held(now)
	holder, _ := r.lease.Holder()
	return ReconcilerStatus{Held: held, Token: token, Holder: holder}
}

// Revision returns the catalogue revision that the instance uses.
func (n *Instance) Revision() uint64 {
	return n.catalogue.Snapshot().Revision()
}

// Catalogue returns the catalogue snapshot that the instance uses.
func (n *Instance) Catalogue() loomcatalogue.Snapshot {
	return n.catalogue.Snapshot()
}
