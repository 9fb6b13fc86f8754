package loominstance

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftloom/loomclaim"
	"swiftloom/loomerror"
	"swiftloom/loomhome"
	"swiftloom/loompb"
)

const (
	// claimTimeout bounds a claim with all retries of its write, which are
	// claimRetryInterval apart. writeTimeout bounds one write to the platform,
	// and settleTimeout the calls that end a claim.
	claimTimeout       = 2 * time.Second
	claimRetryInterval = 50 * time.Millisecond
	writeTimeout       = 700 * time.Millisecond
	settleTimeout      = 500 * time.Millisecond
	// releaseInterval is the time between two attempts to release a pending
	// claim.
	releaseInterval    = 200 * time.Millisecond
	maxPendingReleases = 4096
)

// claims grants idempotency claims. It carries the batched writes to the
// platform's table, or forwards a claim to the instance that writes it.
type claims struct {
	instance *Instance
	signal   chan struct{}

	mu sync.Mutex
	// pendingReleases holds claims that may have been written although their
	// attempt did not run. They are released once the platform answers.
	pendingReleases []pendingRelease
}

// pendingRelease is a claim to be released.
type pendingRelease struct {
	key     loomclaim.Key
	attempt string
}

func newClaims(n *Instance) *claims {
	return &claims{instance: n, signal: make(chan struct{}, 1)}
}

// wake makes run check for a due write.
func (c *claims) wake() {
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends, and then flushes the remaining claims
// within claimTimeout.
func (c *claims) run(ctx context.Context) error {
	var writes sync.WaitGroup
	releases := time.NewTicker(releaseInterval)
	defer releases.Stop()
	for {
		var intervalEnd <-chan time.Time
		if c.instance.claimBatcher.Pending() {
			intervalEnd = time.After(loomclaim.MinWriteInterval)
		}
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
			defer cancel()
			writes.Wait()
			time.Sleep(loomclaim.MinWriteInterval)
			c.writeDue(flushCtx, &writes)
			writes.Wait()
			return nil
		case <-releases.C:
			c.retryRelease(ctx)
		case <-c.signal:
		case <-intervalEnd:
		}
		c.writeDue(ctx, &writes)
	}
}

// writeDue starts the next write in the background if one is due.
func (c *claims) writeDue(ctx context.Context, writes *sync.WaitGroup) {
	b, ok := c.instance.claimBatcher.Next(time.Now())
	if !ok {
		return
	}
	writes.Go(func() {
		reply := c.transact(ctx, b.Request)
		c.instance.claimBatcher.Done(time.Now(), b, reply)
		c.instance.metrics.claimWrites.Inc(1)
	})
}

// claimWriterCount is the number of instances that write claims while all are
// reachable. A single writer collects the most claims into each write, and the
// table takes only a few hundred writes a second. Any instance writes a claim
// itself when the writer does not answer.
const claimWriterCount = 1

// claimWriter returns the ID of the instance that writes the claims of a key.
func (n *Instance) claimWriter(key loomclaim.Key) string {
	writers := *n.claimWriters.Load()
	if len(writers) == 0 {
		return n.ID()
	}
	return writers[int(loomhome.ShardOf([]byte(key.RowKey())))%len(writers)]
}

// transact sends a batch until it is answered or claimTimeout has passed; it
// then returns nil. Retries are safe: claims are inserted only when absent, and
// an answer is stored only for the attempt that holds the claim.
func (c *claims) transact(ctx context.Context, r *loompb.TransactRequest) *loompb.TransactReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		call, done := context.WithTimeout(ctx, writeTimeout)
		reply, err := c.instance.platform.Transact(call, r)
		done()
		if err == nil {
			return reply
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(claimRetryInterval):
		}
	}
}

// claim requests the right to run an attempt. It asks the writer of the key,
// and decides locally when the writer does not answer. A ticket is decided by
// its holder alone.
func (c *claims) claim(ctx context.Context, r *loompb.ClaimRequest) (*loompb.ClaimReply, error) {
	n := c.instance
	n.metrics.claims.Inc(1)
	if loomclaim.IsTicket(r.GetKey()) {
		return c.claimTicket(ctx, r)
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	writer := n.claimWriter(key)
	if writer != n.ID() {
		if client, err := n.peerClient(writer); err == nil {
			call, cancel := context.WithTimeout(ctx, claimTimeout)
			reply, err := client.Claim(call, r)
			cancel()
			if err == nil {
				return reply, nil
			}
		}
	}
	if ctx.Err() != nil {
		return nil, loomerror.From(ctx.Err()).WithNotRun(loomerror.NotRunTrue)
	}
	return c.claimLocally(ctx, r), nil
}

// claimLocally decides a claim at this instance.
func (c *claims) claimLocally(ctx context.Context, r *loompb.ClaimRequest) *loompb.ClaimReply {
	if loomclaim.IsTicket(r.GetKey()) {
		return c.claimTicketLocally(time.Now(), r)
	}
	decided := make(chan loomclaim.Decision, 1)
	c.instance.claimBatcher.Submit(time.Now(), loomclaim.Request{
		Key:     loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()},
		Attempt: r.GetAttemptId(),
		Digest:  r.GetRequestDigest(),
	}, decided)
	c.wake()
	select {
	case d := <-decided:
		return &loompb.ClaimReply{Outcome: outcomeToProto(d.Outcome), Answer: d.Answer}
	case <-ctx.Done():
		return &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE}
	}
}

func outcomeToProto(o loomclaim.Outcome) loompb.ClaimOutcome {
	switch o {
	case loomclaim.Granted:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
	case loomclaim.Held:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_HELD
	case loomclaim.Answered:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED
	case loomclaim.InDoubt:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT
	case loomclaim.Mismatch:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH
	default:
		return loompb.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE
	}
}

// settle stores the answer of a granted attempt through the writer of its key,
// or locally when the writer does not answer.
func (c *claims) settle(ctx context.Context, r *loompb.SettleRequest) {
	n := c.instance
	if loomclaim.IsTicket(r.GetKey()) {
		c.settleTicket(ctx, r)
		return
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	writer := n.claimWriter(key)
	if writer != n.ID() {
		if client, err := n.peerClient(writer); err == nil {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
			defer cancel()
			if _, err := client.Settle(call, r); err == nil {
				return
			}
		}
	}
	c.settleLocally(r)
}

// settleLocally stores the answer of a granted attempt with the next batch of
// this instance.
func (c *claims) settleLocally(r *loompb.SettleRequest) {
	if loomclaim.IsTicket(r.GetKey()) {
		c.settleTicketLocally(r)
		return
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	c.instance.claimBatcher.Settle(time.Now(), key, r.GetAttemptId(), r.GetRequestDigest(), r.GetAnswer())
	c.wake()
}

// releaseClaim deletes the claim of an attempt that did not run, so that the
// key can be used again. If the platform does not answer, the release is
// retried later, for at most maxPendingReleases claims.
func (c *claims) releaseClaim(ctx context.Context, key loomclaim.Key, attempt string) {
	if loomclaim.IsTicket(key.Key) {
		c.settleTicket(ctx, &loompb.SettleRequest{
			ClientAccount: key.ClientAccount,
			Key:           key.Key,
			AttemptId:     attempt,
			Released:      true,
		})
		return
	}
	r := pendingRelease{key: key, attempt: attempt}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if c.tryRelease(call, r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingReleases) < maxPendingReleases {
		c.pendingReleases = append(c.pendingReleases, r)
	}
}

// retryRelease tries to release the oldest pending claim, and puts it back at
// the end of the list on failure.
func (c *claims) retryRelease(ctx context.Context) {
	c.mu.Lock()
	if len(c.pendingReleases) == 0 {
		c.mu.Unlock()
		return
	}
	r := c.pendingReleases[0]
	c.pendingReleases = c.pendingReleases[1:]
	c.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if c.tryRelease(call, r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingReleases = append(c.pendingReleases, r)
}

// tryRelease deletes the row of a claim if it still belongs to the attempt and
// has no answer. It reports whether the release is complete; false means that
// the platform did not answer.
func (c *claims) tryRelease(ctx context.Context, r pendingRelease) bool {
	rowKey := r.key.RowKey()
	reply, err := c.instance.platform.ReadRows(ctx, &loompb.ReadRowsRequest{Keys: []string{rowKey}})
	if err != nil || len(reply.GetRows()) == 0 {
		return false
	}
	row := reply.GetRows()[0]
	if row.GetVersion() == 0 {
		return true
	}
	claim, err := loomclaim.DecodeRow(row.GetValue())
	if err != nil || claim.Attempt != r.attempt || claim.Done {
		return true
	}
	_, err = c.instance.platform.Transact(ctx, &loompb.TransactRequest{
		Conditions: []*loompb.Condition{{Key: rowKey, Version: row.GetVersion()}},
		Writes:     []*loompb.Write{{Key: rowKey, Delete: true}},
	})
	return err == nil
}

// heldClaim is the idempotency claim of one request. The zero value means that
// the request has no idempotency key.
type heldClaim struct {
	key     loomclaim.Key
	attempt string
	digest  uint64
}

// isHeld reports whether the request holds a claim.
func (c heldClaim) isHeld() bool {
	return c.attempt != ""
}

// acquire claims the idempotency key of a request. If the key has been used
// before, acquire returns the stored answer of the earlier run, or an error.
// If it is not known whether the claim was written, acquire returns an error and
// releases the claim in the background, since the attempt will not run.
func (c *claims) acquire(ctx context.Context, account, key, requestID string, digest uint64) (heldClaim, []byte, error) {
	if key == "" {
		return heldClaim{}, nil, nil
	}
	claim := heldClaim{key: loomclaim.Key{ClientAccount: account, Key: key}, attempt: requestID, digest: digest}
	reply, err := c.claim(ctx, &loompb.ClaimRequest{
		ClientAccount: account,
		Key:           key,
		AttemptId:     requestID,
		RequestDigest: digest,
	})
	if err != nil {
		go c.releaseClaim(ctx, claim.key, claim.attempt)
		return heldClaim{}, nil, err
	}
	switch reply.GetOutcome() {
	case loompb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return claim, nil, nil
	case loompb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED:
		return heldClaim{}, reply.GetAnswer(), nil
	case loompb.ClaimOutcome_CLAIM_OUTCOME_HELD:
		return heldClaim{}, nil, loomerror.New(loomerror.ClaimInProgress, "another request with this idempotency key is still running").WithRetryAfter(time.Second)
	case loompb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return heldClaim{}, nil, loomerror.New(loomerror.ClaimMismatch, "the idempotency key was used for a request with other content")
	case loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT:
		return heldClaim{}, nil, loomerror.New(loomerror.OutcomeUnknown, "an earlier request with this idempotency key may have run, but its answer is unknown")
	default:
		go c.releaseClaim(ctx, claim.key, claim.attempt)
		return heldClaim{}, nil, loomerror.New(loomerror.PlatformUnavailable, "the claim of the idempotency key could not be decided in time").WithRetryAfter(time.Second)
	}
}

// finish ends the claim of a request. It releases the claim when the request
// certainly did not run, and otherwise stores the answer, which is nil after a
// failure.
func (c *claims) finish(ctx context.Context, claim heldClaim, answer []byte, err error) {
	if !claim.isHeld() {
		return
	}
	if err != nil && loomerror.From(err).NotRun() == loomerror.NotRunTrue {
		c.releaseClaim(ctx, claim.key, claim.attempt)
		return
	}
	c.settle(ctx, &loompb.SettleRequest{
		ClientAccount: claim.key.ClientAccount,
		Key:           claim.key.Key,
		AttemptId:     claim.attempt,
		RequestDigest: claim.digest,
		Answer:        answer,
	})
}

// requestDigest hashes the parts of a request. Each part is preceded by its
// length, so that different divisions of the same bytes have different digests.
func requestDigest(parts ...[]byte) uint64 {
	d := xxhash.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = d.Write(length[:])
		_, _ = d.Write(p)
	}
	return d.Sum64()
}
