package loominstance

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	goahttp "goa.design/goa/v3/http"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"swiftloom/gen/completions"
	completionshttp "swiftloom/gen/http/completions/server"
	"swiftloom/loompb"
	"swiftloom/loomquarantine"
	"swiftloom/loomroute"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// foreign is a text that an engine sends and no caller may get.
const foreign = "foreign bytes"

// startScripted returns a server that answers completions, whose engine gives the answers.
func startScripted(t *testing.T, isStream bool, answers []*scriptedAnswer) *httptest.Server {
	t.Helper()
	engine := &scriptedEngine{answers: answers}
	ledger, err := loomquarantine.NewLedger()
	assert.NilError(t, err)
	n := &Instance{
		quarantine: ledger,
		options: Options{Dialer: func(context.Context, string) (net.Conn, error) {
			return nil, errors.New("no connection in this test")
		}},
		log:     slog.New(slog.DiscardHandler),
		metrics: newMetrics(),
		fleet:   loomroute.NewFleet(),
		engines: &engines{conns: map[string]loomupstream.Engine{"": engine}},
	}
	t.Cleanup(n.metrics.close)
	n.claims, n.queues, n.quotas = newClaims(n), newQueues(n), newQuotas(n)
	complete := func(ctx context.Context, _ any) (any, error) {
		asked := &prompt{maxTokens: maxScriptTokens}
		d := &dispatch{instance: n, prompt: asked, guard: newPromptGuard(n, asked), attemptID: "a", hasFirstToken: true}
		d.lifecycle = loomstream.NewLifecycle(false, loomstream.NewRetryBudgetOf(0, 0), loomstream.NewBackoff(rand.New(rand.NewPCG(1, 1))))
		d.lifecycle.Apply(time.Now(), loomstream.Dispatched{Attempt: "a"})
		ctx, cancel := context.WithCancel(ctx)
		d.openStream(ctx, engine, false)
		run := &completionRun{ctx: ctx, cancel: cancel, dispatch: d}
		body, err := newCompletionWriter(&completionRequest{object: "text_completion", stream: isStream}, "r").start(run)
		if err != nil {
			run.finish(err, nil)
			return nil, err
		}
		return &completions.CompleteResponseData{Result: &completions.CompleteResult{ContentType: body.contentType}, Body: body}, nil
	}
	mux := goahttp.NewMuxer()
	completionshttp.New(&completions.Endpoints{Complete: complete}, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, n.logEncodeError, formatError).Mount(mux)
	server := httptest.NewServer(n.exchanged(mux))
	t.Cleanup(server.Close)
	return server
}

// exchanged gives each request an exchange, as withExchange does.
func (n *Instance) exchanged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{ResponseWriter: w, requestID: "r"}
		next.ServeHTTP(x, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

// TestFailedStreamIsCut guards against a stream that looks complete, or holds the text of an
// engine's error, although it was not continued to its end.
func TestFailedStreamIsCut(t *testing.T) {
	lost := status.Error(codes.Unavailable, foreign)
	internal := status.Error(codes.Internal, foreign)
	script := func(err error, events ...*loompb.GenerateEvent) *scriptedAnswer {
		return &scriptedAnswer{events: events, err: err}
	}
	tests := []struct {
		name    string
		answers []*scriptedAnswer
		// tokens is the number of tokens that the caller gets as a stream.
		tokens  int
		isWhole bool
	}{
		{"whole", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0), tokenEvent("a", 1), finishedEvent("a", 2))}, 2, true},
		{"resumed to the end", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, tokenEvent("a", 1), finishedEvent("a", 2))}, 2, true},
		{"fails after the first token", []*scriptedAnswer{script(internal, tokenEvent("a", 0)), script(internal), script(internal)}, 1, false},
		{"lost, and the resumption fails", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(internal), script(internal)}, 1, false},
		{"ends, and the resumption fails", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0)), script(internal), script(internal)}, 1, false},
		{"resumption ends before a token", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF), script(io.EOF)}, 1, false},
		{"resumption fails after a token", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(internal, tokenEvent("a", 1)), script(internal), script(internal)}, 2, false},
		{"resumption is refused", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, refusedEvent("a", loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN))}, 1, false},
		{"resumption is a refusal of another attempt", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, refusedEvent("b", loompb.RefusalReason_REFUSAL_REASON_OVERLOADED)), script(io.EOF)}, 1, false},
		{"resumption is an end of another attempt", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, finishedEvent("b", 1)), script(io.EOF)}, 1, false},
		{"resumption is an end too early", []*scriptedAnswer{script(lost, tokenEvent("a", 0), tokenEvent("a", 1)), script(io.EOF, finishedEvent("a", 1)), script(io.EOF)}, 2, false},
		{"fails before the first token", []*scriptedAnswer{script(internal), script(internal), script(internal)}, 0, false},
	}
	for _, tt := range tests {
		for _, isStream := range []bool{true, false} {
			name := tt.name + ", whole body"
			if isStream {
				name = tt.name + ", stream"
			}
			t.Run(name, func(t *testing.T) {
				var answers []*scriptedAnswer
				for _, a := range tt.answers {
					answers = append(answers, &scriptedAnswer{events: a.events, err: a.err})
				}
				server := startScripted(t, isStream, answers)
				w, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","prompt":"p"}`))
				assert.NilError(t, err)
				defer func() { _ = w.Body.Close() }()
				body, err := io.ReadAll(w.Body)
				text := string(body)
				t.Logf("the caller saw %d %q, %v", w.StatusCode, text, err)
				assert.Check(t, !strings.Contains(text, foreign), "the engine's text reached the caller")
				hasBegun := isStream && tt.tokens > 0
				assert.Check(t, (w.StatusCode == http.StatusOK) == (tt.isWhole || hasBegun))
				if hasBegun {
					assert.Check(t, (err == nil) == tt.isWhole, "the stream ended with %v", err)
					assert.Check(t, strings.Contains(text, "[DONE]") == tt.isWhole)
					for i := range uint32(4) {
						assert.Check(t, strings.Count(text, tokenText(i)) == max(0, min(1, tt.tokens-int(i))), "token %d", i)
					}
				}
			})
		}
	}
}
