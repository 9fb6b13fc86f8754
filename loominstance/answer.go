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
