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
	claimTimeout  = 2 * time.Second
	claimPause    = 50 * time.Millisecond
	writeTimeout  = 700 * time.Millisecond
	settleTimeout = 500 * time.Millisecond
	// releaseInterval is the time between two claims that are taken back.
	releaseInterval = 200 * time.Millisecond
	maxReleases     = 4096
)

// claims carries the writes of the desk to the platform's table.
type claims struct {
	instance *Instance
	signal   chan struct{}

	mu sync.Mutex
	// releases are claims that may have been written and whose attempt did
	// not run; they are taken back when the platform answers.
	releases []release
}

type release struct {
	key     loomclaim.Key
	attempt string
}

func newClaims(n *Instance) *claims {
	return &claims{instance: n, signal: make(chan struct{}, 1)}
}

// wake makes the writer look at the desk.
func (c *claims) wake() {
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// run writes batches until ctx ends, and then what is left.
func (c *claims) run(ctx context.Context) error {
	var writes sync.WaitGroup
	releases := time.NewTicker(releaseInterval)
	defer releases.Stop()
	for {
		var due <-chan time.Time
		if c.instance.desk.Pending() {
			due = time.After(loomclaim.Window)
		}
		select {
		case <-ctx.Done():
			rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
			defer cancel()
			writes.Wait()
			time.Sleep(loomclaim.Window)
			c.writeDue(rest, &writes)
			writes.Wait()
			return nil
		case <-releases.C:
			c.releaseSome(ctx)
		case <-c.signal:
		case <-due:
		}
		c.writeDue(ctx, &writes)
	}
}

// writeDue starts the write that is due, if there is one.
func (c *claims) writeDue(ctx context.Context, writes *sync.WaitGroup) {
	b, ok := c.instance.desk.Next(time.Now())
	if !ok {
		return
	}
	writes.Go(func() {
		reply := c.write(ctx, b.Request)
		c.instance.desk.Done(time.Now(), b, reply)
		c.instance.metrics.claimWrites.Inc(1)
	})
}

// claimHomes is the number of instances that write claims. One home collects
// the most claims into a write, since the table takes only some hundred writes a
// second. Any instance writes a claim by itself when the home does not answer.
const claimHomes = 1

// claimHome returns the instance that writes the claims of a key.
func (n *Instance) claimHome(key loomclaim.Key) string {
	writers := *n.claimWriters.Load()
	if len(writers) == 0 {
		return n.ID()
	}
	return writers[int(loomhome.ShardOf([]byte(key.RowKey())))%len(writers)]
}

// write sends a batch until it is answered or the time is up. Sending it again
// does no harm: its claims are inserted only when absent, and its answers are
// those of attempts that hold their claims.
func (c *claims) write(ctx context.Context, r *loompb.TransactRequest) *loompb.TransactReply {
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
		case <-time.After(claimPause):
		}
	}
}

// claim asks for the right to run an attempt: at the key's home, and at this
// instance when the home does not answer.
func (c *claims) claim(ctx context.Context, r *loompb.ClaimRequest) (*loompb.ClaimReply, error) {
	n := c.instance
	n.metrics.claims.Inc(1)
	if loomclaim.IsTicket(r.GetKey()) {
		return c.claimTicket(ctx, r)
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	home := n.claimHome(key)
	if home != n.ID() {
		if client, err := n.peerByID(home); err == nil {
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
	return c.claimHere(ctx, r), nil
}

// claimHere decides a claim at the desk of this instance.
func (c *claims) claimHere(ctx context.Context, r *loompb.ClaimRequest) *loompb.ClaimReply {
	if loomclaim.IsTicket(r.GetKey()) {
		return c.claimTicketHere(time.Now(), r)
	}
	decided := make(chan loomclaim.Decision, 1)
	c.instance.desk.Submit(time.Now(), loomclaim.Request{
		Key:     loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()},
		Attempt: r.GetAttemptId(),
		Digest:  r.GetRequestDigest(),
	}, decided)
	c.wake()
	select {
	case d := <-decided:
		return &loompb.ClaimReply{Outcome: wireOutcome(d.Outcome), Answer: d.Answer}
	case <-ctx.Done():
		return &loompb.ClaimReply{Outcome: loompb.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE}
	}
}

func wireOutcome(o loomclaim.Outcome) loompb.ClaimOutcome {
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

// settle stores the answer of a granted attempt at the key's home.
func (c *claims) settle(ctx context.Context, r *loompb.SettleRequest) {
	n := c.instance
	if loomclaim.IsTicket(r.GetKey()) {
		c.settleTicket(ctx, r)
		return
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	home := n.claimHome(key)
	if home != n.ID() {
		if client, err := n.peerByID(home); err == nil {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
			defer cancel()
			if _, err := client.Settle(call, r); err == nil {
				return
			}
		}
	}
	c.settleHere(r)
}

func (c *claims) settleHere(r *loompb.SettleRequest) {
	if loomclaim.IsTicket(r.GetKey()) {
		c.settleTicketHere(r)
		return
	}
	key := loomclaim.Key{ClientAccount: r.GetClientAccount(), Key: r.GetKey()}
	c.instance.desk.Settle(time.Now(), key, r.GetAttemptId(), r.GetRequestDigest(), r.GetAnswer())
	c.wake()
}

// takeBack frees the claim of an attempt that did not run, so that the key may
// be used again. While the platform is out it is tried again later.
func (c *claims) takeBack(ctx context.Context, key loomclaim.Key, attempt string) {
	if loomclaim.IsTicket(key.Key) {
		c.settleTicket(ctx, &loompb.SettleRequest{
			ClientAccount: key.ClientAccount,
			Key:           key.Key,
			AttemptId:     attempt,
			Released:      true,
		})
		return
	}
	r := release{key: key, attempt: attempt}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if c.release(call, r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.releases) < maxReleases {
		c.releases = append(c.releases, r)
	}
}

func (c *claims) releaseSome(ctx context.Context) {
	c.mu.Lock()
	if len(c.releases) == 0 {
		c.mu.Unlock()
		return
	}
	r := c.releases[0]
	c.releases = c.releases[1:]
	c.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if c.release(call, r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releases = append(c.releases, r)
}

// release deletes the row of a claim if it still is that of the attempt. It
// reports whether the platform answered.
func (c *claims) release(ctx context.Context, r release) bool {
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

// guard is the claim of one request; the zero value is that of a request
// without a key.
type guard struct {
	key     loomclaim.Key
	attempt string
	digest  uint64
}

// claimed reports whether the request has a claim.
func (g guard) claimed() bool {
	return g.attempt != ""
}

// acquire claims the key of a request. When the key has been used before, it
// returns the answer of the earlier run or an error.
func (c *claims) acquire(ctx context.Context, account, key, requestID string, digest uint64) (guard, []byte, error) {
	if key == "" {
		return guard{}, nil, nil
	}
	g := guard{key: loomclaim.Key{ClientAccount: account, Key: key}, attempt: requestID, digest: digest}
	reply, err := c.claim(ctx, &loompb.ClaimRequest{
		ClientAccount: account,
		Key:           key,
		AttemptId:     requestID,
		RequestDigest: digest,
	})
	if err != nil {
		go c.takeBack(ctx, g.key, g.attempt)
		return guard{}, nil, err
	}
	switch reply.GetOutcome() {
	case loompb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return g, nil, nil
	case loompb.ClaimOutcome_CLAIM_OUTCOME_ANSWERED:
		return guard{}, reply.GetAnswer(), nil
	case loompb.ClaimOutcome_CLAIM_OUTCOME_HELD:
		return guard{}, nil, loomerror.New(loomerror.ClaimInProgress, "a request with this idempotency key is running").WithRetryAfter(time.Second)
	case loompb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return guard{}, nil, loomerror.New(loomerror.ClaimMismatch, "the idempotency key was used for another request")
	case loompb.ClaimOutcome_CLAIM_OUTCOME_IN_DOUBT:
		return guard{}, nil, loomerror.New(loomerror.OutcomeUnknown, "an earlier request with this idempotency key may have run; its answer is not known")
	default:
		go c.takeBack(ctx, g.key, g.attempt)
		return guard{}, nil, loomerror.New(loomerror.PlatformUnavailable, "the idempotency key can't be claimed now").WithRetryAfter(time.Second)
	}
}

// finish ends the claim of a request: with its answer when it ran, by taking
// it back when it surely did not.
func (c *claims) finish(ctx context.Context, g guard, answer []byte, err error) {
	if !g.claimed() {
		return
	}
	if err != nil && loomerror.From(err).NotRun() == loomerror.NotRunTrue {
		c.takeBack(ctx, g.key, g.attempt)
		return
	}
	c.settle(ctx, &loompb.SettleRequest{
		ClientAccount: g.key.ClientAccount,
		Key:           g.key.Key,
		AttemptId:     g.attempt,
		RequestDigest: g.digest,
		Answer:        answer,
	})
}

// digestOf identifies the content of a request.
func digestOf(parts ...[]byte) uint64 {
	d := xxhash.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = d.Write(length[:])
		_, _ = d.Write(p)
	}
	return d.Sum64()
}
