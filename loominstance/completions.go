package loominstance

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"swiftloom/gen/completions"
	"swiftloom/loomcache"
	"swiftloom/loomcatalogue"
	"swiftloom/loomerror"
)

// defaultMaxTokens is the length limit of an answer, in tokens, when the caller
// gives none.
const defaultMaxTokens = 16

// completionsAPI implements the generated service interface of package
// gen/completions.
type completionsAPI struct {
	instance *Instance
}

// Complete implements the text completion method.
func (a *completionsAPI) Complete(ctx context.Context, p *completions.CompletePayload) (*completions.CompleteResult, io.ReadCloser, error) {
	request := &completionRequest{
		object:         "text_completion",
		text:           p.Prompt,
		model:          p.Model,
		adapter:        deref(p.Adapter),
		authorization:  deref(p.Authorization),
		idempotencyKey: deref(p.IdempotencyKey),
		notRepeatable:  p.NotRepeatable != nil && *p.NotRepeatable,
		deadlineMS:     p.DeadlineMs,
		maxTokens:      p.MaxTokens,
		priority:       p.Priority,
		stream:         p.Stream != nil && *p.Stream,
	}
	body, err := a.instance.complete(ctx, request)
	if err != nil {
		return nil, nil, err
	}
	return &completions.CompleteResult{ContentType: body.contentType, RequestID: exchangeFrom(ctx).requestID}, body, nil
}

// Chat implements the chat completion method. The messages are joined into one
// prompt.
func (a *completionsAPI) Chat(ctx context.Context, p *completions.ChatPayload) (*completions.ChatResult, io.ReadCloser, error) {
	var text strings.Builder
	for _, m := range p.Messages {
		fmt.Fprintf(&text, "<%s> %s\n", m.Role, m.Content)
	}
	request := &completionRequest{
		object:         "chat.completion",
		text:           text.String(),
		model:          p.Model,
		adapter:        deref(p.Adapter),
		authorization:  deref(p.Authorization),
		idempotencyKey: deref(p.IdempotencyKey),
		notRepeatable:  p.NotRepeatable != nil && *p.NotRepeatable,
		deadlineMS:     p.DeadlineMs,
		maxTokens:      p.MaxTokens,
		priority:       p.Priority,
		stream:         p.Stream != nil && *p.Stream,
	}
	body, err := a.instance.complete(ctx, request)
	if err != nil {
		return nil, nil, err
	}
	return &completions.ChatResult{ContentType: body.contentType, RequestID: exchangeFrom(ctx).requestID}, body, nil
}

func deref(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// completionRequest is a request of either method before it has been validated.
type completionRequest struct {
	object         string
	text           string
	model          string
	adapter        string
	authorization  string
	idempotencyKey string
	notRepeatable  bool
	deadlineMS     *int64
	maxTokens      *uint32
	priority       *uint32
	stream         bool
}

// complete validates a request and runs it until its first token is ready. The
// rest is produced while the body is written.
func (n *Instance) complete(ctx context.Context, request *completionRequest) (*completionBody, error) {
	n.metrics.requests.Inc(1)
	p, err := n.resolveRequest(ctx, request)
	if err != nil {
		return nil, n.recordFailure(err)
	}
	writer := newCompletionWriter(request, exchangeFrom(ctx).requestID)
	digest := requestDigest([]byte(request.object), []byte(request.model), []byte(request.adapter), []byte(request.text), []byte(fmt.Sprint(p.maxTokens)))
	claim, earlier, err := n.claims.acquire(ctx, p.account.Name, request.idempotencyKey, p.requestID, digest)
	if err != nil {
		return nil, n.recordFailure(err)
	}
	if earlier != nil {
		return writer.replay(earlier)
	}
	runCtx, cancel := withDeadline(ctx, p.deadline)
	dispatched, err := n.startDispatch(runCtx, p)
	if err != nil {
		cancel()
		n.claims.finish(ctx, claim, nil, err)
		return nil, n.recordFailure(err)
	}
	run := &completionRun{ctx: runCtx, cancel: cancel, dispatch: dispatched, claim: claim}
	body, err := writer.start(run)
	if err != nil {
		run.finish(err, nil)
		return nil, n.recordFailure(err)
	}
	return body, nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (n *Instance) recordFailure(err error) error {
	n.metrics.recordFailure(loomerror.From(err).Kind())
	return err
}

// resolveRequest validates a request against the catalogue.
func (n *Instance) resolveRequest(ctx context.Context, request *completionRequest) (*prompt, error) {
	s := n.catalogue.Snapshot()
	account, err := authenticate(s, request.authorization)
	if err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(time.Now(), request.deadlineMS)
	if err != nil {
		return nil, err
	}
	m, ok := s.Model(request.model)
	if !ok {
		return nil, loomerror.New(loomerror.UnknownModel, "the model %q is not in the catalogue", request.model)
	}
	if !canUseModel(account, m.Name) {
		return nil, loomerror.New(loomerror.Forbidden, "the account may not use the model %q", m.Name)
	}
	p := &prompt{
		requestID:     exchangeFrom(ctx).requestID,
		account:       account,
		model:         m,
		tokens:        loomcache.Tokenize(request.text),
		maxTokens:     min(defaultMaxTokens, m.MaxTokens),
		notRepeatable: request.notRepeatable || request.idempotencyKey != "",
		deadline:      deadline,
	}
	if request.priority != nil {
		p.priority = *request.priority
	}
	if d, ok := s.Deployment(n.settings.Deployment.Name); ok {
		p.recomputeWeight = d.RecomputeWeight
	}
	if p.group, ok = s.UpstreamGroup(m.UpstreamGroup); !ok {
		return nil, loomerror.New(loomerror.NoUpstream, "the upstream group %q of the model %q is not in the catalogue", m.UpstreamGroup, m.Name)
	}
	if err := checkAdapter(s, request.adapter, p); err != nil {
		return nil, err
	}
	return p, checkTokens(request.maxTokens, p)
}

func checkAdapter(s loomcatalogue.Snapshot, name string, p *prompt) error {
	if name == "" {
		return nil
	}
	a, ok := s.Adapter(name)
	if !ok || a.Model != p.model.Name {
		return loomerror.New(loomerror.UnknownModel, "the model %q has no adapter %q", p.model.Name, name)
	}
	p.adapter = a
	return nil
}

func checkTokens(maxTokens *uint32, p *prompt) error {
	if len(p.tokens) == 0 {
		return loomerror.New(loomerror.InvalidRequest, "the prompt is empty")
	}
	if maxTokens != nil {
		if *maxTokens == 0 || int(*maxTokens) > p.model.MaxTokens {
			return loomerror.New(loomerror.InvalidRequest, "max_tokens must be from 1 to %d, but is %d", p.model.MaxTokens, *maxTokens)
		}
		p.maxTokens = int(*maxTokens)
	}
	if len(p.tokens)+p.maxTokens > p.model.WindowTokens {
		return loomerror.New(loomerror.PromptTooLong, "the prompt has %d tokens and the answer up to %d, but the window of the model is %d", len(p.tokens), p.maxTokens, p.model.WindowTokens)
	}
	return nil
}

// authenticate returns the client account that owns the bearer key in the
// Authorization header.
func authenticate(s loomcatalogue.Snapshot, authorization string) (loomcatalogue.ClientAccount, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return loomcatalogue.ClientAccount{}, loomerror.New(loomerror.Unauthorized, "a bearer key is required")
	}
	a, ok := s.AccountByKey(key)
	if !ok {
		return loomcatalogue.ClientAccount{}, loomerror.New(loomerror.Unauthorized, "the bearer key belongs to no client account")
	}
	return a, nil
}

// parseDeadline converts a relative deadline in milliseconds to a time. The
// zero time means no deadline.
func parseDeadline(now time.Time, ms *int64) (time.Time, error) {
	if ms == nil {
		return time.Time{}, nil
	}
	if *ms <= 0 {
		return time.Time{}, loomerror.New(loomerror.DeadlinePassed, "the deadline has passed: the request allows %d ms", *ms)
	}
	return now.Add(time.Duration(*ms) * time.Millisecond), nil
}
