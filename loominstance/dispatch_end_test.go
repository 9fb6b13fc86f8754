package loominstance

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"swiftloom/loomerror"
	"swiftloom/loompb"
	"swiftloom/loomquarantine"
	"swiftloom/loomroute"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// scriptedEngine is an engine whose answers are given in advance, one for each
// call of Generate. Its other methods must not be called.
type scriptedEngine struct {
	loomupstream.Engine
	answers []*scriptedAnswer
}

// Generate implements loomupstream.Engine.
func (e *scriptedEngine) Generate(context.Context, *loompb.GenerateRequest) (loomupstream.Answer, error) {
	a := e.answers[0]
	e.answers = e.answers[1:]
	return a, nil
}

// scriptedAnswer returns its events and then err.
type scriptedAnswer struct {
	events []*loompb.GenerateEvent
	err    error
	// repeat, unless it is nil, returns the event number n after the others; the
	// answer then has no end.
	repeat func(n uint32) *loompb.GenerateEvent
	// received counts the repeated events.
	received uint32
}

// maxReceived is the number of repeated events after which a scriptedAnswer ends,
// because its reader has no bound.
const maxReceived = 1_000_000

// Recv implements loomupstream.Answer.
func (a *scriptedAnswer) Recv() (*loompb.GenerateEvent, error) {
	if len(a.events) == 0 && a.repeat != nil && a.received < maxReceived {
		a.received++
		return a.repeat(a.received - 1), nil
	}
	if len(a.events) == 0 {
		return nil, a.err
	}
	e := a.events[0]
	a.events = a.events[1:]
	return e, nil
}

// Delivered implements loomupstream.Answer.
func (a *scriptedAnswer) Delivered() bool {
	return true
}

func tokenEvent(attempt string, offset uint32) *loompb.GenerateEvent {
	return &loompb.GenerateEvent{AttemptId: attempt, Event: &loompb.GenerateEvent_Token{Token: &loompb.AnswerToken{Offset: offset, Token: offset}}}
}

func finishedEvent(attempt string, tokens uint32) *loompb.GenerateEvent {
	return &loompb.GenerateEvent{AttemptId: attempt, Event: &loompb.GenerateEvent_Finished{Finished: &loompb.Finished{AnswerTokens: tokens}}}
}

func refusedEvent(attempt string, reason loompb.RefusalReason) *loompb.GenerateEvent {
	return &loompb.GenerateEvent{AttemptId: attempt, Event: &loompb.GenerateEvent_Refused{Refused: &loompb.Refused{Reason: reason}}}
}

// maxScriptTokens is the most tokens that the request of runScript allows.
const maxScriptTokens = 16

// runScript makes one attempt at an engine with the given answers, without any
// retries, and returns the number of relayed tokens and the error, if any.
func runScript(t *testing.T, answers ...*scriptedAnswer) (int, error) {
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
	defer n.metrics.close()
	p := &prompt{maxTokens: maxScriptTokens}
	d := &dispatch{instance: n, prompt: p, guard: newPromptGuard(n, p), attemptID: "a", hasFirstToken: true}
	d.lifecycle = loomstream.NewLifecycle(false, loomstream.NewRetryBudgetOf(0, 0), loomstream.NewBackoff(rand.New(rand.NewPCG(1, 1))))
	d.lifecycle.Apply(time.Now(), loomstream.Dispatched{Attempt: "a"})
	d.openStream(t.Context(), engine, false)
	for tokens := 0; ; tokens++ {
		_, hasMore, err := d.nextToken(t.Context())
		if err != nil || !hasMore {
			d.cancel()
			return tokens, err
		}
	}
}

// TestEndOfStreamIsNotEndOfAnswer guards against a completion that counts as whole
// although the engine has not sent its end.
func TestEndOfStreamIsNotEndOfAnswer(t *testing.T) {
	lost := status.Error(codes.Unavailable, "connection lost")
	script := func(err error, events ...*loompb.GenerateEvent) *scriptedAnswer {
		return &scriptedAnswer{events: events, err: err}
	}
	tests := []struct {
		name    string
		answers []*scriptedAnswer
		tokens  int
		isWhole bool
	}{
		{"whole", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0), finishedEvent("a", 1))}, 1, true},
		{"stream ends without the end of the answer", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0)), script(io.EOF), script(io.EOF)}, 1, false},
		{"stream ends before the first token", []*scriptedAnswer{script(io.EOF), script(io.EOF), script(io.EOF)}, 0, false},
		{"connection lost", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(lost), script(lost)}, 1, false},
		{"resumed to the end", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, tokenEvent("a", 1), finishedEvent("a", 2))}, 2, true},
		{"end of another attempt", []*scriptedAnswer{script(lost, tokenEvent("a", 0), finishedEvent("b", 1)), script(lost), script(lost)}, 1, false},
		{"token of another attempt", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0), tokenEvent("b", 1), finishedEvent("a", 2)), script(io.EOF), script(io.EOF)}, 1, false},
		{"end that counts only the resumed tokens", []*scriptedAnswer{script(lost, tokenEvent("a", 0), tokenEvent("a", 1)), script(io.EOF, tokenEvent("a", 2), finishedEvent("a", 1))}, 3, false},
		{"end with more tokens than were sent", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0), finishedEvent("a", 2)), script(io.EOF), script(io.EOF)}, 1, false},
		{"event without content", []*scriptedAnswer{script(io.EOF, tokenEvent("a", 0), &loompb.GenerateEvent{AttemptId: "a"}), script(io.EOF), script(io.EOF)}, 1, false},
		{"resumption of an unknown run", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, refusedEvent("a", loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN))}, 1, false},
		{"resumption refused", []*scriptedAnswer{script(lost, tokenEvent("a", 0)), script(io.EOF, refusedEvent("a", loompb.RefusalReason_REFUSAL_REASON_OVERLOADED))}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tokens, err := runScript(t, tt.answers...)
			assert.Equal(t, tokens, tt.tokens)
			assert.Equal(t, err == nil, tt.isWhole, "%v", err)
			if err != nil {
				assert.Assert(t, loomerror.From(err).NotRun() != loomerror.NotRunTrue)
			}
		})
	}
}

// TestRefusedResumptionIsNotARefusedAttempt guards against a refusal to resume a
// run that counts as a promise that the run did not take place.
func TestRefusedResumptionIsNotARefusedAttempt(t *testing.T) {
	for _, reason := range []loompb.RefusalReason{
		loompb.RefusalReason_REFUSAL_REASON_UNSPECIFIED,
		loompb.RefusalReason_REFUSAL_REASON_VERSION,
		loompb.RefusalReason_REFUSAL_REASON_OVERLOADED,
		loompb.RefusalReason_REFUSAL_REASON_UNKNOWN_RUN,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			first := &scriptedAnswer{err: io.EOF}
			second := &scriptedAnswer{events: []*loompb.GenerateEvent{refusedEvent("a", reason)}, err: io.EOF}
			tokens, err := runScript(t, first, second)
			assert.Equal(t, tokens, 0)
			assert.Equal(t, loomerror.From(err).NotRun(), loomerror.NotRunUnknown, "%v", err)
		})
	}
}

// TestErrorAfterDeliveryPromisesNothing guards against an error between two attempts that promises
// that the request has not run, though the first attempt was delivered.
func TestErrorAfterDeliveryPromisesNothing(t *testing.T) {
	now := time.Now()
	d := &dispatch{lifecycle: loomstream.NewLifecycle(true, loomstream.NewRetryBudgetOf(0, 10), loomstream.NewBackoff(rand.New(rand.NewPCG(1, 1))))}
	noUpstream := loomerror.New(loomerror.NoUpstream, "none")
	assert.Equal(t, loomerror.From(d.withNotRun(noUpstream)).NotRun(), loomerror.NotRunTrue)
	for _, e := range []loomstream.Event{loomstream.Dispatched{Attempt: "a"}, loomstream.Delivered{Attempt: "a"}, loomstream.Broken{Attempt: "a"}} {
		d.lifecycle.Apply(now, e)
		assert.Equal(t, loomerror.From(d.withNotRun(noUpstream)).NotRun(), loomerror.NotRunUnknown)
	}
}

// TestAnswerWithoutEndIsCut guards against an engine's stream that is read for as long as
// it comes.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	tests := []struct {
		name   string
		repeat func(n uint32) *loompb.GenerateEvent
		// tokens is the number of tokens that are relayed.
		tokens int
	}{
		{"tokens", func(n uint32) *loompb.GenerateEvent { return tokenEvent("a", n) }, maxScriptTokens},
		{"first token again", func(uint32) *loompb.GenerateEvent { return tokenEvent("a", 0) }, 1},
		{"events without content", func(uint32) *loompb.GenerateEvent { return &loompb.GenerateEvent{AttemptId: "a"} }, 0},
		{"tokens of another attempt", func(n uint32) *loompb.GenerateEvent { return tokenEvent("b", n) }, 0},
		{"ends of another attempt", func(uint32) *loompb.GenerateEvent { return finishedEvent("b", 0) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answer := &scriptedAnswer{repeat: tt.repeat, err: io.EOF}
			tokens, err := runScript(t, answer, &scriptedAnswer{err: io.EOF}, &scriptedAnswer{err: io.EOF})
			assert.Assert(t, err != nil)
			assert.Equal(t, tokens, tt.tokens)
			assert.Assert(t, loomerror.From(err).NotRun() != loomerror.NotRunTrue)
			assert.Assert(t, answer.received < maxReceived, "%d events were received", answer.received)
		})
	}
}

// TestLongestAnswerIsWhole guards against bounds that cut an answer of as many tokens as
// the request allows.
func TestLongestAnswerIsWhole(t *testing.T) {
	answer := &scriptedAnswer{err: io.EOF}
	for range maxEmptyEvents {
		answer.events = append(answer.events, &loompb.GenerateEvent{AttemptId: "a"})
	}
	for i := range uint32(maxScriptTokens) {
		answer.events = append(answer.events, tokenEvent("a", i))
	}
	answer.events = append(answer.events, finishedEvent("a", maxScriptTokens))
	tokens, err := runScript(t, answer)
	assert.NilError(t, err)
	assert.Equal(t, tokens, maxScriptTokens)
}
