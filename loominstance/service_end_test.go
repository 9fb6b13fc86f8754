package loominstance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
	"swiftloom/loomclaim"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loommember"
	"swiftloom/loomquarantine"
	"swiftloom/loomroute"
	"swiftloom/loomstandin"
	"swiftloom/loomstream"
	"swiftloom/loomupstream"
)

// startScriptedService returns the address of a service that writes a text for each call, the
// next one each time, and closes the connection.
func startScriptedService(t *testing.T, texts []string, next *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if n := int(next.Add(1)); n <= len(texts) {
					_, _ = io.WriteString(c, texts[n-1])
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newServiceInstance returns an instance with a number of services in the group "jobs", which
// together write the texts.
func newServiceInstance(t *testing.T, services int, texts []string, next *atomic.Int32) *Instance {
	t.Helper()
	ledger, err := loomquarantine.NewLedger()
	assert.NilError(t, err)
	n := &Instance{
		log:         slog.New(slog.DiscardHandler),
		metrics:     newMetrics(),
		quarantine:  ledger,
		fleet:       loomroute.NewFleet(),
		tracker:     loommember.NewTracker(loommember.DefaultOptions()),
		services:    loomupstream.NewServices(nil),
		retryBudget: loomstream.NewRetryBudgetOf(0, 10),
		peers:       newPeers("", nil),
		engines:     newEngines(nil),
	}
	homes := loomhome.NewTable([]string{n.ID()})
	n.homes.Store(&homes)
	n.random = rand.New(rand.NewPCG(1, 1))
	t.Cleanup(n.metrics.close)
	t.Cleanup(n.services.Close)
	var listed []loommember.Listing
	for i := range services {
		listed = append(listed, loommember.Listing{Member: loommember.Member{
			ID: fmt.Sprintf("s%d", i), Kind: loommember.KindService, Group: "jobs", Address: startScriptedService(t, texts, next), Incarnation: 1,
		}})
	}
	now := time.Now()
	n.tracker.Apply(now, loommember.Changed{Members: listed})
	view := n.tracker.View(now)
	n.view.Store(&view)
	return n
}

// TestServiceAnswerIsOfOneAttempt guards against the answer of a service that holds a part of
// an attempt that broke off, or of a failed one.
func TestServiceAnswerIsOfOneAttempt(t *testing.T) {
	response := func(status string, length int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
	}
	half := response("200 OK", 20, "first half")
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nfirst half\r\n"
	whole := response("200 OK", 5, "whole")
	failure := response("500 Internal Server Error", len(foreign), foreign)
	tests := []struct {
		name  string
		texts []string
		// answer is the body that the caller gets, or empty for an error.
		answer string
	}{
		{"breaks off, then whole", []string{half, whole}, "whole"},
		{"breaks off in chunks, then whole", []string{chunks, whole}, "whole"},
		{"breaks off, then fails", []string{half, failure, failure, failure}, ""},
		{"breaks off in chunks, then fails", []string{chunks, failure, failure, failure}, ""},
		{"breaks off, then breaks off", []string{half, chunks, half, chunks}, ""},
		{"breaks off, then no HTTP", []string{half, foreign, foreign, foreign}, ""},
		{"fails, then whole", []string{failure, whole}, "whole"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var next atomic.Int32
			n := newServiceInstance(t, 3, tt.texts, &next)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, err := n.callWithRetries(ctx, loomcatalogue.UpstreamGroup{Header: loomcatalogue.Header{Name: "jobs"}}, true, loomupstream.Call{RequestID: "r", Path: "x"}, newCallGuard(n, "harbour", 1))
			if tt.answer != "" {
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), tt.answer)
				return
			}
			assert.Assert(t, err != nil, "%v", answer)
			assert.Check(t, !strings.Contains(loomerror.From(err).Message(), foreign), "%v", err)
		})
	}
}

// TestServiceCallPromisesNotRunOnlyIfRefused guards against a call that is answered as not run, or
// sent again, though an attempt may have run.
func TestServiceCallPromisesNotRunOnlyIfRefused(t *testing.T) {
	const (
		half    = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nfirst half"
		busy    = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		refused = "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	)
	tests := []struct {
		name         string
		isRepeatable bool
		texts        []string
		attempts     int32
		want         loomerror.NotRun
	}{
		{"breaks off", false, []string{half}, 1, loomerror.NotRunUnknown},
		{"503 without a statement", false, []string{busy}, 1, loomerror.NotRunUnknown},
		{"repeatable, breaks off, no service left", true, []string{half, half}, 2, loomerror.NotRunUnknown},
		{"repeatable, breaks off, then refused", true, []string{half, refused}, 2, loomerror.NotRunUnknown},
		{"refused, no service left", false, []string{refused, refused}, 2, loomerror.NotRunTrue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var next atomic.Int32
			n := newServiceInstance(t, 2, tt.texts, &next)
			_, err := n.callWithRetries(t.Context(), loomcatalogue.UpstreamGroup{Header: loomcatalogue.Header{Name: "jobs"}}, tt.isRepeatable, loomupstream.Call{RequestID: "r", Path: "x"}, newCallGuard(n, "harbour", 1))
			assert.Assert(t, err != nil)
			assert.Equal(t, loomerror.From(err).NotRun(), tt.want, "%v", err)
			assert.Equal(t, next.Load(), tt.attempts)
		})
	}
}

// TestCallWithClaimIsSentOnce guards against a call with an idempotency key that is sent again after
// an attempt that may have run, though its caller allows that.
func TestCallWithClaimIsSentOnce(t *testing.T) {
	var next atomic.Int32
	half := "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nfirst half"
	n := newServiceInstance(t, 2, []string{half, half}, &next)
	n.claimBatcher, n.claims = loomclaim.NewBatcher(), newClaims(n)
	n.claimWriters.Store(&[]string{})
	go func() {
		var table loomstandin.Table
		for t.Context().Err() == nil {
			if b, ok := n.claimBatcher.Next(time.Now()); ok {
				n.claimBatcher.Done(time.Now(), b, table.Transact(b.Request))
			}
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := n.callWithClaim(t.Context(), loomcatalogue.ClientAccount{}, loomcatalogue.UpstreamGroup{Header: loomcatalogue.Header{Name: "jobs"}}, "key", true, loomupstream.Call{RequestID: "r", Path: "x"})
	assert.Check(t, loomerror.Is(err, loomerror.OutcomeUnknown), "%v", err)
	assert.Equal(t, next.Load(), int32(1))
}

// TestQuarantineAfterAttemptPromisesNothing guards against a call that is refused as quarantined and
// not run, after an attempt that may have run.
func TestQuarantineAfterAttemptPromisesNothing(t *testing.T) {
	var next atomic.Int32
	n := newServiceInstance(t, 2, []string{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nfirst half"}, &next)
	suspects := loomquarantine.NewSuspects("", nil, "digest")
	now := time.Now()
	n.quarantine.Apply(now, []loomquarantine.Change{loomquarantine.Quarantine{Ends: 3, IsCertain: true, UsedAt: now}.WithSuspects(suspects...)})
	guard := &quarantineGuard{instance: n, suspects: func() []loomquarantine.Suspect {
		if next.Load() == 0 {
			return nil
		}
		return suspects
	}}
	_, err := n.callWithRetries(t.Context(), loomcatalogue.UpstreamGroup{Header: loomcatalogue.Header{Name: "jobs"}}, true, loomupstream.Call{RequestID: "r", Path: "x"}, guard)
	assert.Check(t, loomerror.Is(err, loomerror.RequestQuarantined), "%v", err)
	assert.Equal(t, loomerror.From(err).NotRun(), loomerror.NotRunUnknown)
	assert.Equal(t, next.Load(), int32(1))
}

// TestBodyCutShortIsNotPassedOn guards against a request that runs with a part of its body.
func TestBodyCutShortIsNotPassedOn(t *testing.T) {
	n := &Instance{}
	n.settings.Instance.MaxBodyBytes = 100
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	err := n.bufferBody(&exchange{ResponseWriter: httptest.NewRecorder()}, r)
	assert.Check(t, loomerror.Is(err, loomerror.InvalidRequest), "%v", err)
}
