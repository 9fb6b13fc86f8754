package loominstance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"swiftloom/loomerror"
)

// completionRun is one admitted completion request: its dispatch to an engine
// and its idempotency claim, if it has one.
type completionRun struct {
	ctx      context.Context
	cancel   context.CancelFunc
	dispatch *dispatch
	claim    heldClaim
}

// nextToken returns the next token of the completion. The second result is
// false at the end of the completion.
func (r *completionRun) nextToken() (uint32, bool, error) {
	return r.dispatch.nextToken(r.ctx)
}

// finish ends the dispatch and the idempotency claim. answer is the response body
// that is stored for repeated requests with the same idempotency key; it is nil
// if err is not.
func (r *completionRun) finish(err error, answer []byte) {
	r.dispatch.finish(err)
	r.dispatch.instance.claims.finish(r.ctx, r.claim, answer, err)
	r.cancel()
}

// completionObject is the JSON body of a completion. In a stream, each event
// carries one with a delta in place of the whole text.
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

// completionWriter formats the response to one request.
type completionWriter struct {
	request   *completionRequest
	requestID string
}

func newCompletionWriter(request *completionRequest, requestID string) *completionWriter {
	return &completionWriter{request: request, requestID: requestID}
}

func (w *completionWriter) newObject(fingerprint string) completionObject {
	return completionObject{
		ID:                w.requestID,
		Object:            w.request.object,
		Model:             w.request.model,
		SystemFingerprint: fingerprint,
	}
}

// start waits for the first token of a streamed response, or for the whole
// completion otherwise, so that an error up to that point still gets its own
// HTTP status.
func (w *completionWriter) start(run *completionRun) (*completionBody, error) {
	token, hasMore, err := run.nextToken()
	if err != nil {
		return nil, err
	}
	if w.request.stream {
		return &completionBody{contentType: "text/event-stream", writer: w, run: run, firstToken: token, hasMore: hasMore}, nil
	}
	var text strings.Builder
	for hasMore {
		text.WriteString(tokenText(token))
		if token, hasMore, err = run.nextToken(); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(w.completeObject(text.String(), run))
	if err != nil {
		return nil, err
	}
	run.finish(nil, data)
	return &completionBody{contentType: "application/json", data: data}, nil
}

// versionFingerprint returns the system fingerprint of a version of the
// weights.
func versionFingerprint(version uint64) string {
	return fmt.Sprintf("v%d", version)
}

// completeObject returns the object for the whole text.
func (w *completionWriter) completeObject(text string, run *completionRun) completionObject {
	o := w.newObject(versionFingerprint(run.dispatch.plan.version))
	choice := completionChoice{FinishReason: "length"}
	if w.request.object == "chat.completion" {
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	o.Choices = []completionChoice{choice}
	o.Usage = usageObject(run.dispatch.usage)
	return o
}

func usageObject(u usage) *completionUsage {
	return &completionUsage{
		PromptTokens:     u.promptTokens,
		CompletionTokens: u.answerTokens,
		TotalTokens:      u.promptTokens + u.answerTokens,
		CachedTokens:     u.cachedTokens,
	}
}

// tokenText returns the text of a token.
func tokenText(token uint32) string {
	return fmt.Sprintf("t%08x ", token)
}

// replay returns the stored response of an earlier run, as a stream of one
// event when the caller asked for a stream.
func (w *completionWriter) replay(data []byte) (*completionBody, error) {
	if !w.request.stream {
		return &completionBody{contentType: "application/json", data: data}, nil
	}
	var object completionObject
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, loomerror.Wrap(loomerror.OutcomeUnknown, err, "decoding the stored answer of the earlier run failed")
	}
	events := append([]byte("data: "), data...)
	return &completionBody{contentType: "text/event-stream", data: append(events, "\n\ndata: [DONE]\n\n"...)}, nil
}

// completionBody is the body of a response. A streamed body is produced while
// it is written.
type completionBody struct {
	contentType string
	// data is the whole body when run is nil.
	data       []byte
	writer     *completionWriter
	run        *completionRun
	firstToken uint32
	hasMore    bool
}

// Read implements io.Reader. It returns io.EOF, since bodies are written by
// WriteTo.
func (b *completionBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close cancels the run of a body that was never written.
func (b *completionBody) Close() error {
	if b.run != nil {
		b.run.finish(context.Canceled, nil)
		b.run = nil
	}
	return nil
}

// WriteTo implements io.WriterTo. A stream has one server-sent event for each
// token, followed by an event with the usage. An error is sent as the last
// event, because the HTTP status has been sent by then. It is also returned, so
// that the server breaks the connection and the response doesn't look complete.
func (b *completionBody) WriteTo(w io.Writer) (int64, error) {
	if b.run == nil {
		n, err := w.Write(b.data)
		return int64(n), err
	}
	events := &eventWriter{w: w}
	run := b.run
	b.run = nil
	var text strings.Builder
	token, hasMore := b.firstToken, b.hasMore
	var err error
	for hasMore {
		text.WriteString(tokenText(token))
		events.writeEvent(b.writer.deltaObject(token, run))
		if token, hasMore, err = run.nextToken(); err != nil {
			run.dispatch.instance.metrics.recordFailure(loomerror.From(err).Kind())
			run.finish(err, nil)
			events.writeEvent(streamError{Error: newErrorBody(b.writer.requestID, loomerror.From(err))})
			return events.n, err
		}
	}
	whole := b.writer.completeObject(text.String(), run)
	data, err := json.Marshal(whole)
	if err != nil {
		return events.n, err
	}
	run.finish(nil, data)
	whole.Choices = []completionChoice{{FinishReason: "length"}}
	events.writeEvent(whole)
	events.write([]byte("data: [DONE]\n\n"))
	return events.n, nil
}

// deltaObject returns the object for one token of a stream.
func (w *completionWriter) deltaObject(token uint32, run *completionRun) completionObject {
	o := w.newObject(versionFingerprint(run.dispatch.plan.version))
	choice := completionChoice{}
	if w.request.object == "chat.completion" {
		o.Object = "chat.completion.chunk"
		choice.Delta = &completionMessage{Content: tokenText(token)}
	} else {
		choice.Text = tokenText(token)
	}
	o.Choices = []completionChoice{choice}
	return o
}

// streamError is the last event of a failed stream.
type streamError struct {
	Error *errorBody `json:"error"`
}

// eventWriter writes server-sent events and flushes each one. It writes nothing
// after the first error; the run is then cancelled through the context of the
// request.
type eventWriter struct {
	w   io.Writer
	n   int64
	err error
}

func (e *eventWriter) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		e.err = err
		return
	}
	e.write(append(append([]byte("data: "), data...), '\n', '\n'))
}

func (e *eventWriter) write(data []byte) {
	if e.err != nil {
		return
	}
	n, err := e.w.Write(data)
	e.n += int64(n)
	e.err = err
	if rw, ok := e.w.(http.ResponseWriter); ok && err == nil {
		e.err = http.NewResponseController(rw).Flush()
	}
}
