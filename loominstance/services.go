package loominstance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"swiftloom/gen/services"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loomhttp"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

const (
	serviceTimeout = 10 * time.Second
	// minFailureStatus is the lowest HTTP status that counts as a failure of
	// the service.
	minFailureStatus = http.StatusInternalServerError
)

// servicesAPI implements the generated service interface of package
// gen/services.
type servicesAPI struct {
	instance *Instance
}

// serviceResponse is the response of a service, as it is stored for repeated
// calls.
type serviceResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Call forwards a call to a service. The call is not repeated after a failure
// unless the caller allows it explicitly.
func (a *servicesAPI) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	n := a.instance
	n.metrics.requests.Inc(1)
	answer, err := n.callService(ctx, p, body)
	if err != nil {
		return nil, nil, n.recordFailure(err)
	}
	x := exchangeFrom(ctx)
	x.status = answer.Status
	result := &services.CallResult{ContentType: answer.ContentType, RequestID: x.requestID}
	return result, &rawBody{data: answer.Body}, nil
}

// rawBody is a response body that is written without encoding.
type rawBody struct {
	data []byte
}

// Read implements io.Reader. It returns io.EOF, since the body is written by
// WriteTo.
func (b *rawBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close implements io.Closer.
func (b *rawBody) Close() error {
	return nil
}

// WriteTo implements io.WriterTo.
func (b *rawBody) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, bytes.NewReader(b.data))
	return n, err
}

// callService validates a call and runs it. Calls without a deadline get
// serviceTimeout.
func (n *Instance) callService(ctx context.Context, p *services.CallPayload, body io.Reader) (*serviceResponse, error) {
	s := n.catalogue.Snapshot()
	account, err := authenticate(s, deref(p.Authorization))
	if err != nil {
		return nil, err
	}
	group, ok := s.UpstreamGroup(p.Name)
	if !ok || group.UpstreamKind != loommember.KindService {
		return nil, loomerror.New(loomerror.UnknownService, "the service %q is not in the catalogue", p.Name)
	}
	deadline, err := parseDeadline(time.Now(), p.DeadlineMs)
	if err != nil {
		return nil, err
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(serviceTimeout)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, loomerror.Wrap(loomerror.InvalidRequest, err, "reading the request body failed")
	}
	call := loomupstream.Call{
		RequestID:   exchangeFrom(ctx).requestID,
		Path:        p.Path,
		ContentType: deref(p.RequestContentType),
		Body:        data,
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	repeatable := p.NotRepeatable != nil && !*p.NotRepeatable
	return n.callWithClaim(ctx, account, group, deref(p.IdempotencyKey), repeatable, call)
}

// callWithClaim runs a call under its idempotency key, if it has one.
func (n *Instance) callWithClaim(ctx context.Context, account loomcatalogue.ClientAccount, group loomcatalogue.UpstreamGroup, key string, repeatable bool, call loomupstream.Call) (*serviceResponse, error) {
	digest := requestDigest([]byte(group.Name), []byte(call.Path), call.Body)
	claim, earlier, err := n.claims.acquire(ctx, account.Name, key, call.RequestID, digest)
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		var answer serviceResponse
		if err := json.Unmarshal(earlier, &answer); err != nil {
			return nil, loomerror.Wrap(loomerror.OutcomeUnknown, err, "decoding the stored answer of the earlier run failed")
		}
		return &answer, nil
	}
	guard := newCallGuard(n, account.Name, digest)
	answer, err := n.callWithRetries(ctx, group, repeatable && !claim.isHeld(), call, guard)
	if err != nil {
		n.claims.finish(ctx, claim, nil, err)
		return nil, err
	}
	stored, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	n.claims.finish(ctx, claim, stored, nil)
	n.metrics.answered.Inc(1)
	return answer, nil
}

// callWithRetries runs a call and repeats it as far as its lifecycle allows.
func (n *Instance) callWithRetries(ctx context.Context, group loomcatalogue.UpstreamGroup, repeatable bool, call loomupstream.Call, guard *quarantineGuard) (*serviceResponse, error) {
	lifecycle := loomstream.NewLifecycle(repeatable, n.retryBudget, loomstream.NewBackoff(n.newRandom()))
	var tried []string
	for {
		if err := guard.check(time.Now(), 0, len(tried) == 0); err != nil {
			return nil, err.WithNotRun(lifecycle.NotRun())
		}
		m, err := n.chooseServiceMember(group.Name, call.RequestID, tried)
		if err != nil {
			return nil, loomerror.From(err).WithNotRun(lifecycle.NotRun())
		}
		tried = append(tried, m.ID)
		attempt := fmt.Sprintf("%s.%d", call.RequestID, len(tried))
		lifecycle.Apply(time.Now(), loomstream.Dispatched{Attempt: attempt})
		answer, action := n.attemptCall(ctx, lifecycle, attempt, m, call, guard)
		if answer != nil {
			return answer, nil
		}
		switch a := action.(type) {
		case loomstream.Fail:
			return nil, a.Err
		case loomstream.Retry:
			n.metrics.retries.Inc(1)
			if err := loomkernel.Sleep(ctx, a.After); err != nil {
				return nil, loomerror.From(err).WithNotRun(lifecycle.NotRun())
			}
		}
	}
}

// attemptCall makes one attempt. It returns the response, or nil and the action
// to take next.
func (n *Instance) attemptCall(ctx context.Context, lifecycle *loomstream.Lifecycle, attempt string, m loommember.Member, call loomupstream.Call, guard *quarantineGuard) (*serviceResponse, loomstream.Action) {
	sentAt := time.Now()
	ticket := n.fleet.RecordSent(sentAt, m.ID, 1)
	defer n.fleet.Done(ticket)
	outcome, err := n.services.Do(ctx, m.Address, call)
	now := time.Now()
	if outcome.Delivered {
		lifecycle.Apply(now, loomstream.Delivered{Attempt: attempt})
	}
	if outcome.Refused {
		n.markLeaving(now, m)
		return nil, lifecycle.Apply(now, loomstream.Refused{Attempt: attempt})
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, loomhttp.ErrTooLarge) {
		n.tracker.Apply(now, loommember.Unanswered{ID: m.ID})
	}
	if err == nil {
		guard.recordSound(now, 0)
	} else if outcome.Delivered && ctx.Err() == nil && guard.recordBroken(ctx, now, attemptEnd{member: m, sentAt: sentAt}) {
		return nil, lifecycle.Apply(now, loomstream.Broken{Attempt: attempt, Final: true})
	}
	if err != nil || outcome.Status >= minFailureStatus {
		return nil, lifecycle.Apply(now, loomstream.Broken{Attempt: attempt})
	}
	n.tracker.Apply(now, loommember.Alive{ID: m.ID, Incarnation: m.Incarnation})
	return &serviceResponse{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, nil
}

// chooseServiceMember returns the less busy of two live members that rendezvous
// hashing of the request ID selects. Members that were tried are left out. The
// first attempt prefers the instance's own failure domain.
func (n *Instance) chooseServiceMember(group, requestID string, tried []string) (loommember.Member, error) {
	var preferred, others []string
	byID := make(map[string]loommember.Member)
	for _, member := range n.view.Load().Kind(loommember.KindService, group) {
		if member.Status != loommember.Live || slices.Contains(tried, member.ID) {
			continue
		}
		byID[member.ID] = member.Member
		if member.FailureDomain == n.FailureDomain() && len(tried) == 0 {
			preferred = append(preferred, member.ID)
		} else {
			others = append(others, member.ID)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	sampled := loomhome.Rank([]byte(requestID), preferred, 2)
	if len(sampled) == 0 {
		return loommember.Member{}, loomerror.New(loomerror.NoUpstream, "no upstream of the service %q is live", group).WithRetryAfter(time.Second)
	}
	best := sampled[0]
	for _, id := range sampled[1:] {
		now := time.Now()
		if n.fleet.Estimate(now, id, 0).Outstanding < n.fleet.Estimate(now, best, 0).Outstanding {
			best = id
		}
	}
	return byID[best], nil
}
