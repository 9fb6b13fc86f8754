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

	"swiftloom/gen/services"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loomkernel"
	"swiftloom/loommember"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

const (
	serviceTimeout = 10 * time.Second
	// leastFailure is the lowest status that says that a service failed.
	leastFailure = http.StatusInternalServerError
)

// servicesAPI implements the service of package gen/services.
type servicesAPI struct {
	instance *Instance
}

// serviceAnswer is the answer of a service as it is kept for repeated calls.
type serviceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Call passes a call to a service. Unless the caller says otherwise, it may
// not be repeated.
func (a *servicesAPI) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	n := a.instance
	n.metrics.requests.Inc(1)
	answer, err := n.callService(ctx, p, body)
	if err != nil {
		return nil, nil, n.failed(err)
	}
	x := exchangeOf(ctx)
	x.status = answer.Status
	result := &services.CallResult{ContentType: answer.ContentType, RequestID: x.requestID}
	return result, &rawBody{data: answer.Body}, nil
}

// rawBody is a body that is written as it is.
type rawBody struct {
	data []byte
}

// Read implements io.Reader; the body is written by WriteTo.
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

func (n *Instance) callService(ctx context.Context, p *services.CallPayload, body io.Reader) (*serviceAnswer, error) {
	s := n.keeper.Snapshot()
	account, err := authenticate(s, valueOf(p.Authorization))
	if err != nil {
		return nil, err
	}
	group, ok := s.UpstreamGroup(p.Name)
	if !ok || group.UpstreamKind != loommember.KindService {
		return nil, loomerror.New(loomerror.UnknownService, "the service %q is not in the catalogue", p.Name)
	}
	deadline, err := deadlineOf(time.Now(), p.DeadlineMs)
	if err != nil {
		return nil, err
	}
	if deadline.IsZero() {
		deadline = time.Now().Add(serviceTimeout)
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, loomerror.Wrap(loomerror.InvalidRequest, err, "the body can't be read")
	}
	call := loomupstream.Call{
		RequestID:   exchangeOf(ctx).requestID,
		Path:        p.Path,
		ContentType: valueOf(p.RequestContentType),
		Body:        data,
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	repeatable := p.NotRepeatable != nil && !*p.NotRepeatable
	return n.guardedCall(ctx, account, group, valueOf(p.IdempotencyKey), repeatable, call)
}

// guardedCall runs a call under its idempotency key.
func (n *Instance) guardedCall(ctx context.Context, account loomcatalogue.ClientAccount, group loomcatalogue.UpstreamGroup, key string, repeatable bool, call loomupstream.Call) (*serviceAnswer, error) {
	digest := digestOf([]byte(group.Name), []byte(call.Path), call.Body)
	g, earlier, err := n.claims.acquire(ctx, account.Name, key, call.RequestID, digest)
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		var answer serviceAnswer
		if err := json.Unmarshal(earlier, &answer); err != nil {
			return nil, loomerror.Wrap(loomerror.OutcomeUnknown, err, "the answer of the earlier run can't be read")
		}
		return &answer, nil
	}
	answer, err := n.runCall(ctx, group, repeatable && !g.claimed(), call)
	if err != nil {
		n.claims.finish(ctx, g, nil, err)
		return nil, err
	}
	kept, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	n.claims.finish(ctx, g, kept, nil)
	n.metrics.answered.Inc(1)
	return answer, nil
}

// runCall sends a call, and again only as its life allows.
func (n *Instance) runCall(ctx context.Context, group loomcatalogue.UpstreamGroup, repeatable bool, call loomupstream.Call) (*serviceAnswer, error) {
	life := loomstream.NewLifecycle(repeatable, n.retries, loomstream.NewBackoff(n.newRandom()))
	var tried []string
	for {
		m, err := n.chooseService(group.Name, call.RequestID, tried)
		if err != nil {
			return nil, loomerror.From(err).WithNotRun(life.NotRun())
		}
		tried = append(tried, m.ID)
		attempt := fmt.Sprintf("%s.%d", call.RequestID, len(tried))
		life.Apply(time.Now(), loomstream.Dispatched{Attempt: attempt})
		answer, action := n.attemptCall(ctx, life, attempt, m, call)
		if answer != nil {
			return answer, nil
		}
		switch a := action.(type) {
		case loomstream.Fail:
			return nil, a.Err
		case loomstream.Retry:
			n.metrics.retries.Inc(1)
			if err := loomkernel.Sleep(ctx, a.After); err != nil {
				return nil, loomerror.From(err).WithNotRun(life.NotRun())
			}
		}
	}
}

// attemptCall makes one attempt. It returns the answer, or what to do next.
func (n *Instance) attemptCall(ctx context.Context, life *loomstream.Lifecycle, attempt string, m loommember.Member, call loomupstream.Call) (*serviceAnswer, loomstream.Action) {
	ticket := n.fleet.RecordSent(time.Now(), m.ID, 1)
	defer n.fleet.Done(ticket)
	outcome, err := n.services.Do(ctx, m.Address, call)
	now := time.Now()
	if outcome.Delivered {
		life.Apply(now, loomstream.Delivered{Attempt: attempt})
	}
	if outcome.Refused {
		n.markLeaving(now, m)
		return nil, life.Apply(now, loomstream.Refused{Attempt: attempt})
	}
	if err != nil && ctx.Err() == nil {
		n.tracker.Apply(now, loommember.Unanswered{ID: m.ID})
	}
	if err != nil || outcome.Status >= leastFailure {
		return nil, life.Apply(now, loomstream.Broken{Attempt: attempt})
	}
	n.tracker.Apply(now, loommember.Alive{ID: m.ID, Incarnation: m.Incarnation})
	return &serviceAnswer{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, nil
}

// chooseService returns the less busy of two services drawn by the request,
// in the own failure domain when there is one, and not one that was tried.
func (n *Instance) chooseService(group, requestID string, tried []string) (loommember.Member, error) {
	var near, far []string
	byID := make(map[string]loommember.Member)
	for _, b := range n.view.Load().Kind(loommember.KindService, group) {
		if b.Status != loommember.Live || slices.Contains(tried, b.ID) {
			continue
		}
		byID[b.ID] = b.Member
		if b.FailureDomain == n.FailureDomain() && len(tried) == 0 {
			near = append(near, b.ID)
		} else {
			far = append(far, b.ID)
		}
	}
	if len(near) == 0 {
		near = far
	}
	drawn := loomhome.Rank([]byte(requestID), near, 2)
	if len(drawn) == 0 {
		return loommember.Member{}, loomerror.New(loomerror.NoUpstream, "no upstream of the service lives now").WithRetryAfter(time.Second)
	}
	best := drawn[0]
	for _, id := range drawn[1:] {
		now := time.Now()
		if n.fleet.Estimate(now, id, 0).Outstanding < n.fleet.Estimate(now, best, 0).Outstanding {
			best = id
		}
	}
	return byID[best], nil
}
