package loominstance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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

// completionRun is a prompt that runs for one caller.
type completionRun struct {
	ctx      context.Context
	cancel   context.CancelFunc
	dispatch *dispatch
	guard    guard
}

// next returns the next token of the answer; the result is false at its end.
func (r *completionRun) next() (uint32, bool, error) {
	return r.dispatch.next(r.ctx)
}

// end gives up what the run holds. answer is what a repeated request gets.
func (r *completionRun) end(err error, answer []byte) {
	r.dispatch.finish(err)
	r.dispatch.instance.claims.finish(r.ctx, r.guard, answer, err)
	r.cancel()
}

// completionObject is the body of a plain answer and, with a delta in place of
// the whole text, of each frame of a stream.
type completionObject struct {
	ID                string             `json:"id"`
	Object            string             `json:"object"`
	Model             string             `json:"model"`
	SystemFingerprint string             `json:"system_fingerprint"`
	Choices           []completionChoice `json:"choices"`
	Usage             *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason string             `json:"finish_reason,omitempty"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// answerWriter shapes the answer of one call.
type answerWriter struct {
	call      *completionCall
	requestID string
}

func newAnswerWriter(r *completionCall, requestID string) *answerWriter {
	return &answerWriter{call: r, requestID: requestID}
}

func (w *answerWriter) object(fingerprint string) completionObject {
	return completionObject{
		ID:                w.requestID,
		Object:            w.call.object,
		Model:             w.call.model,
		SystemFingerprint: fingerprint,
	}
}

// start waits for the first token, or for the whole answer when it is not to
// be streamed.
func (w *answerWriter) start(run *completionRun) (*answerBody, error) {
	token, more, err := run.next()
	if err != nil {
		return nil, err
	}
	if w.call.stream {
		return &answerBody{contentType: "text/event-stream", writer: w, run: run, first: token, more: more}, nil
	}
	var text strings.Builder
	for more {
		text.WriteString(wordOf(token))
		if token, more, err = run.next(); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(w.whole(text.String(), run))
	if err != nil {
		return nil, err
	}
	run.end(nil, data)
	return &answerBody{contentType: "application/json", data: data}, nil
}

func fingerprintOf(version uint64) string {
	return fmt.Sprintf("v%d", version)
}

func (w *answerWriter) whole(text string, run *completionRun) completionObject {
	o := w.object(fingerprintOf(run.dispatch.plan.version))
	choice := completionChoice{FinishReason: "length"}
	if w.call.object == "chat.completion" {
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	o.Choices = []completionChoice{choice}
	o.Usage = usageOf(run.dispatch.usage)
	return o
}

func usageOf(u usage) *completionUsage {
	return &completionUsage{
		PromptTokens:     u.promptTokens,
		CompletionTokens: u.answerTokens,
		TotalTokens:      u.promptTokens + u.answerTokens,
		CachedTokens:     u.cachedTokens,
	}
}

func wordOf(token uint32) string {
	return fmt.Sprintf("t%08x ", token)
}

// repeated returns the answer of an earlier run in the form that was asked for.
func (w *answerWriter) repeated(data []byte) (*answerBody, error) {
	if !w.call.stream {
		return &answerBody{contentType: "application/json", data: data}, nil
	}
	var o completionObject
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, loomerror.Wrap(loomerror.OutcomeUnknown, err, "the answer of the earlier run can't be read")
	}
	frames := append([]byte("data: "), data...)
	return &answerBody{contentType: "text/event-stream", data: append(frames, "\n\ndata: [DONE]\n\n"...)}, nil
}

// answerBody is the body of an answer. A stream is produced while it is
// written.
type answerBody struct {
	contentType string
	// data is the whole body, unless run is set.
	data   []byte
	writer *answerWriter
	run    *completionRun
	first  uint32
	more   bool
}

// Read implements io.Reader; bodies are written by WriteTo.
func (b *answerBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close ends a run whose body was not written.
func (b *answerBody) Close() error {
	if b.run != nil {
		b.run.end(context.Canceled, nil)
		b.run = nil
	}
	return nil
}

// WriteTo implements io.WriterTo: it writes one frame for each token as it
// comes, and last the usage. An error ends the stream with a frame of its own.
func (b *answerBody) WriteTo(w io.Writer) (int64, error) {
	if b.run == nil {
		n, err := w.Write(b.data)
		return int64(n), err
	}
	out := &frameWriter{w: w}
	run := b.run
	b.run = nil
	var text strings.Builder
	token, more := b.first, b.more
	var err error
	for more {
		text.WriteString(wordOf(token))
		out.frame(b.writer.delta(token, run))
		if token, more, err = run.next(); err != nil {
			run.dispatch.instance.metrics.failed(loomerror.From(err).Kind())
			run.end(err, nil)
			out.frame(streamError{Error: errorBodyOf(b.writer.requestID, loomerror.From(err))})
			return out.n, nil
		}
	}
	whole := b.writer.whole(text.String(), run)
	data, err := json.Marshal(whole)
	if err != nil {
		return out.n, err
	}
	run.end(nil, data)
	whole.Choices = []completionChoice{{FinishReason: "length"}}
	out.frame(whole)
	out.write([]byte("data: [DONE]\n\n"))
	return out.n, nil
}

func (w *answerWriter) delta(token uint32, run *completionRun) completionObject {
	o := w.object(fingerprintOf(run.dispatch.plan.version))
	choice := completionChoice{}
	if w.call.object == "chat.completion" {
		o.Object = "chat.completion.chunk"
		choice.Delta = &completionMessage{Content: wordOf(token)}
	} else {
		choice.Text = wordOf(token)
	}
	o.Choices = []completionChoice{choice}
	return o
}

type streamError struct {
	Error *errorBody `json:"error"`
}

// frameWriter writes server-sent events. After the first error it writes no
// more; the caller's connection tells the run that it is gone.
type frameWriter struct {
	w   io.Writer
	n   int64
	err error
}

func (f *frameWriter) frame(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		f.err = err
		return
	}
	f.write(append(append([]byte("data: "), data...), '\n', '\n'))
}

func (f *frameWriter) write(data []byte) {
	if f.err != nil {
		return
	}
	n, err := f.w.Write(data)
	f.n += int64(n)
	f.err = err
	if rw, ok := f.w.(http.ResponseWriter); ok && err == nil {
		f.err = http.NewResponseController(rw).Flush()
	}
}
