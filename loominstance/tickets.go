package loominstance

import (
	"context"
	"time"

	"swiftloom/gen/services"
	"swiftloom/loomclaim"
	"swiftloom/loomerror"
	"swiftloom/loompb"
)

// ticketTimeout bounds one call to the holder of a ticket.
const ticketTimeout = 300 * time.Millisecond

// Ticket issues an idempotency key whose claims only this instance can grant.
func (a *servicesAPI) Ticket(_ context.Context, p *services.TicketPayload) (*services.TicketResult, error) {
	n := a.instance
	account, err := authenticate(n.catalogue.Snapshot(), deref(p.Authorization))
	if err != nil {
		return nil, n.recordFailure(err)
	}
	ticket := n.tickets.Issue(time.Now(), account.Name, n.ID(), n.incarnation)
	key, err := ticket.Sign(n.settings.Deployment.PeerKey)
	if err != nil {
		return nil, n.recordFailure(err)
	}
	return &services.TicketResult{Ticket: key, ExpiresInSeconds: int(loomclaim.TicketLifetime.Seconds())}, nil
}

// parseTicket verifies the signature of a ticket and that it belongs to the
// account.
func (c *claims) parseTicket(account, key string) (loomclaim.Ticket, error) {
	t, err := loomclaim.ParseTicket(key, c.instance.settings.Deployment.PeerKey)
	if err != nil || t.ClientAccount != account {
		return t, loomerror.New(loomerror.InvalidRequest, "the idempotency key is not a valid ticket of the account")
	}
	return t, nil
}

// claimTicket asks the holder of a ticket for the claim. Without an answer, the
// attempt must not run, and the outcome is in doubt, since an earlier attempt
// may have run.
func (c *claims) claimTicket(ctx context.Context, r *loompb.ClaimRequest) (*loompb.ClaimReply, error) {
	n := c.instance
	t, err := c.parseTicket(r.GetClientAccount(), r.GetKey())
	if err != nil {
		return nil, err
	}
	if t.Holder == n.ID() {
		return c.claimTicketLocally(time.Now(), r), nil
	}
	inDoubt := &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT}
	client, err := n.peerClient(t.Holder)
	if err != nil {
		return inDoubt, nil //nolint:nilerr // a holder that is not known can't be asked
	}
	call, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	reply, err := client.Claim(call, r)
	if err != nil {
		c.settleTicket(ctx, &loompb.SettleRequest{
			ClientAccount: r.GetClientAccount(),
			Key:           r.GetKey(),
			AttemptId:     r.GetAttemptId(),
			Released:      true,
		})
		return inDoubt, nil
	}
	return reply, nil
}

// claimTicketLocally decides the claim of a ticket that this instance issued. A
// ticket of another incarnation is in doubt, since tickets are kept in memory
// only.
func (c *claims) claimTicketLocally(now time.Time, r *loompb.ClaimRequest) *loompb.ClaimReply {
	n := c.instance
	t, err := c.parseTicket(r.GetClientAccount(), r.GetKey())
	if err != nil || t.Holder != n.ID() || t.Incarnation != n.incarnation {
		return &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT}
	}
	d := n.tickets.Claim(now, t, loomclaim.Request{Attempt: r.GetAttemptId(), Digest: r.GetRequestDigest()})
	return &loompb.ClaimReply{Outcome: outcomeToProto(d.Outcome), Answer: d.Answer}
}

// settleTicket reports the outcome of an attempt to the holder of its ticket.
func (c *claims) settleTicket(ctx context.Context, r *loompb.SettleRequest) {
	t, err := c.parseTicket(r.GetClientAccount(), r.GetKey())
	if err != nil {
		return
	}
	if t.Holder == c.instance.ID() {
		c.settleTicketLocally(r)
		return
	}
	client, err := c.instance.peerClient(t.Holder)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), ticketTimeout)
	defer cancel()
	_, _ = client.Settle(call, r)
}

// settleTicketLocally records the outcome of an attempt under a ticket of this
// instance.
func (c *claims) settleTicketLocally(r *loompb.SettleRequest) {
	n := c.instance
	t, err := c.parseTicket(r.GetClientAccount(), r.GetKey())
	if err != nil || t.Holder != n.ID() || t.Incarnation != n.incarnation {
		return
	}
	if r.GetReleased() {
		n.tickets.Release(t, r.GetAttemptId())
		return
	}
	n.tickets.Settle(t, r.GetAttemptId(), r.GetAnswer())
}
