package loominstance

import (
	"context"
	"time"

	"swiftloom/gen/services"
	"swiftloom/loomclaim"
	"swiftloom/loomerror"
	"swiftloom/loompb"
)

const ticketTimeout = 300 * time.Millisecond

// Ticket gives out an idempotency key that this instance alone will grant.
func (a *servicesAPI) Ticket(_ context.Context, p *services.TicketPayload) (*services.TicketResult, error) {
	n := a.instance
	account, err := authenticate(n.keeper.Snapshot(), valueOf(p.Authorization))
	if err != nil {
		return nil, n.failed(err)
	}
	ticket := n.book.Issue(time.Now(), account.Name, n.ID(), n.incarnation)
	key, err := ticket.Sign(n.settings.Deployment.PeerKey)
	if err != nil {
		return nil, n.failed(err)
	}
	return &services.TicketResult{Ticket: key, ExpiresInSeconds: int(loomclaim.TicketLife.Seconds())}, nil
}

// ticketOf returns the ticket of a claim, which must be that of the account.
func (c *claims) ticketOf(account, key string) (loomclaim.Ticket, error) {
	t, err := loomclaim.ParseTicket(key, c.instance.settings.Deployment.PeerKey)
	if err != nil || t.ClientAccount != account {
		return t, loomerror.New(loomerror.InvalidRequest, "the idempotency key is not a ticket of the account")
	}
	return t, nil
}

// claimTicket asks the holder of a ticket. Without its answer the attempt must
// not run, and whether an earlier one did is not known.
func (c *claims) claimTicket(ctx context.Context, r *loompb.ClaimRequest) (*loompb.ClaimReply, error) {
	n := c.instance
	t, err := c.ticketOf(r.GetClientAccount(), r.GetKey())
	if err != nil {
		return nil, err
	}
	if t.Holder == n.ID() {
		return c.claimTicketHere(time.Now(), r), nil
	}
	doubt := &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT}
	client, err := n.peerByID(t.Holder)
	if err != nil {
		return doubt, nil //nolint:nilerr // a holder that is not known can't be asked
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
		return doubt, nil
	}
	return reply, nil
}

// claimTicketHere decides about a ticket of this instance.
func (c *claims) claimTicketHere(now time.Time, r *loompb.ClaimRequest) *loompb.ClaimReply {
	n := c.instance
	t, err := c.ticketOf(r.GetClientAccount(), r.GetKey())
	if err != nil || t.Holder != n.ID() || t.Incarnation != n.incarnation {
		return &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT}
	}
	d := n.book.Claim(now, t, loomclaim.Request{Attempt: r.GetAttemptId(), Digest: r.GetRequestDigest()})
	return &loompb.ClaimReply{Outcome: wireOutcome(d.Outcome), Answer: d.Answer}
}

// settleTicket tells the holder of a ticket how its attempt ended.
func (c *claims) settleTicket(ctx context.Context, r *loompb.SettleRequest) {
	t, err := c.ticketOf(r.GetClientAccount(), r.GetKey())
	if err != nil {
		return
	}
	if t.Holder == c.instance.ID() {
		c.settleTicketHere(r)
		return
	}
	client, err := c.instance.peerByID(t.Holder)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), ticketTimeout)
	defer cancel()
	_, _ = client.Settle(call, r)
}

func (c *claims) settleTicketHere(r *loompb.SettleRequest) {
	n := c.instance
	t, err := c.ticketOf(r.GetClientAccount(), r.GetKey())
	if err != nil || t.Holder != n.ID() || t.Incarnation != n.incarnation {
		return
	}
	if r.GetReleased() {
		n.book.Release(t, r.GetAttemptId())
		return
	}
	n.book.Settle(t, r.GetAttemptId(), r.GetAnswer())
}
