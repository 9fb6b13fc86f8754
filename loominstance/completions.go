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

const defaultMaxTokens = 16

// completionsAPI implements the service of package gen/completions.
type completionsAPI struct {
	instance *Instance
}

// Complete answers a prompt.
func (a *completionsAPI) Complete(ctx context.Context, p *completions.CompletePayload) (*completions.CompleteResult, io.ReadCloser, error) {
	r := &completionCall{
		object:        "text_completion",
		text:          p.Prompt,
		model:         p.Model,
		adapter:       valueOf(p.Adapter),
		authorization: valueOf(p.Authorization),
		key:           valueOf(p.IdempotencyKey),
		notRepeatable: p.NotRepeatable != nil && *p.NotRepeatable,
		deadline:      p.DeadlineMs,
		maxTokens:     p.MaxTokens,
		priority:      p.Priority,
		stream:        p.Stream != nil && *p.Stream,
	}
	body, err := a.instance.complete(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	return &completions.CompleteResult{ContentType: body.contentType, RequestID: exchangeOf(ctx).requestID}, body, nil
}

// Chat answers the messages of a chat.
func (a *completionsAPI) Chat(ctx context.Context, p *completions.ChatPayload) (*completions.ChatResult, io.ReadCloser, error) {
	var text strings.Builder
	for _, m := range p.Messages {
		fmt.Fprintf(&text, "<%s> %s\n", m.Role, m.Content)
	}
	r := &completionCall{
		object:        "chat.completion",
		text:          text.String(),
		model:         p.Model,
		adapter:       valueOf(p.Adapter),
		authorization: valueOf(p.Authorization),
		key:           valueOf(p.IdempotencyKey),
		notRepeatable: p.NotRepeatable != nil && *p.NotRepeatable,
		deadline:      p.DeadlineMs,
		maxTokens:     p.MaxTokens,
		priority:      p.Priority,
		stream:        p.Stream != nil && *p.Stream,
	}
	body, err := a.instance.complete(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	return &completions.ChatResult{ContentType: body.contentType, RequestID: exchangeOf(ctx).requestID}, body, nil
}

func valueOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// completionCall is a call of either method, before it is checked.
type completionCall struct {
	object        string
	text          string
	model         string
	adapter       string
	authorization string
	key           string
	notRepeatable bool
	deadline      *int64
	maxTokens     *uint32
	priority      *uint32
	stream        bool
}

// complete checks a call and runs it until its first token. The rest is
// produced while the body is written.
func (n *Instance) complete(ctx context.Context, r *completionCall) (*answerBody, error) {
	n.metrics.requests.Inc(1)
	p, err := n.check(ctx, r)
	if err != nil {
		return nil, n.failed(err)
	}
	w := newAnswerWriter(r, exchangeOf(ctx).requestID)
	digest := digestOf([]byte(r.object), []byte(r.model), []byte(r.adapter), []byte(r.text), []byte(fmt.Sprint(p.maxTokens)))
	g, earlier, err := n.claims.acquire(ctx, p.account.Name, r.key, p.requestID, digest)
	if err != nil {
		return nil, n.failed(err)
	}
	if earlier != nil {
		return w.repeated(earlier)
	}
	runCtx, cancel := withDeadline(ctx, p.deadline)
	d, err := n.begin(runCtx, p)
	if err != nil {
		cancel()
		n.claims.finish(ctx, g, nil, err)
		return nil, n.failed(err)
	}
	run := &completionRun{ctx: runCtx, cancel: cancel, dispatch: d, guard: g}
	body, err := w.start(run)
	if err != nil {
		run.end(err, nil)
		return nil, n.failed(err)
	}
	return body, nil
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (n *Instance) failed(err error) error {
	n.metrics.failed(loomerror.From(err).Kind())
	return err
}

// check resolves a call against the catalogue.
func (n *Instance) check(ctx context.Context, r *completionCall) (*prompt, error) {
	s := n.keeper.Snapshot()
	account, err := authenticate(s, r.authorization)
	if err != nil {
		return nil, err
	}
	deadline, err := deadlineOf(time.Now(), r.deadline)
	if err != nil {
		return nil, err
	}
	m, ok := s.Model(r.model)
	if !ok {
		return nil, loomerror.New(loomerror.UnknownModel, "the model %q is not in the catalogue", r.model)
	}
	if !mayUse(account, m.Name) {
		return nil, loomerror.New(loomerror.Forbidden, "the account may not use the model %q", m.Name)
	}
	p := &prompt{
		requestID:     exchangeOf(ctx).requestID,
		account:       account,
		model:         m,
		tokens:        loomcache.Tokenize(r.text),
		maxTokens:     min(defaultMaxTokens, m.MaxTokens),
		notRepeatable: r.notRepeatable || r.key != "",
		deadline:      deadline,
	}
	if r.priority != nil {
		p.priority = *r.priority
	}
	if d, ok := s.Deployment(n.settings.Deployment.Name); ok {
		p.recomputeWeight = d.RecomputeWeight
	}
	if p.group, ok = s.UpstreamGroup(m.UpstreamGroup); !ok {
		return nil, loomerror.New(loomerror.NoUpstream, "the model has no upstream group")
	}
	if err := checkAdapter(s, r.adapter, p); err != nil {
		return nil, err
	}
	return p, checkTokens(r.maxTokens, p)
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
			return loomerror.New(loomerror.InvalidRequest, "max_tokens must be from 1 to %d", p.model.MaxTokens)
		}
		p.maxTokens = int(*maxTokens)
	}
	if len(p.tokens)+p.maxTokens > p.model.WindowTokens {
		return loomerror.New(loomerror.PromptTooLong, "the prompt has %d tokens and the answer up to %d, but the window of the model is %d", len(p.tokens), p.maxTokens, p.model.WindowTokens)
	}
	return nil
}

// authenticate returns the account whose bearer key is shown.
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

func deadlineOf(now time.Time, ms *int64) (time.Time, error) {
	if ms == nil {
		return time.Time{}, nil
	}
	if *ms <= 0 {
		return time.Time{}, loomerror.New(loomerror.DeadlinePassed, "the deadline has passed")
	}
	return now.Add(time.Duration(*ms) * time.Millisecond), nil
}
