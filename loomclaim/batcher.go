package loomclaim

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"swiftloom/loompb"
)

const (
	rowPrefix = "claim/"
	// maxBatch is the largest number of claims in one write, and also the largest
	// number of settlements.
	maxBatch = 400
	// maxInFlight is the largest number of concurrent writes.
	maxInFlight = 16
	// MinWriteInterval is the minimum time between the starts of two writes.
	MinWriteInterval = 5 * time.Millisecond
	// RunLimit is how long a granted attempt may stay unsettled before its
	// outcome counts as unknown.
	RunLimit = 30 * time.Second
	// MaxAnswer is the largest answer, in bytes, that is stored for repeated
	// requests.
	MaxAnswer = 16 << 10
)

// Outcome is the result of a claim.
type Outcome int

// The outcomes of a claim.
const (
	// Granted means that this attempt, and no other, may run.
	Granted Outcome = iota + 1
	// Held means that another attempt was granted and may still be running.
	Held
	// Answered means that an attempt has run and its answer is stored.
	Answered
	// InDoubt means that an attempt may have run and no answer of it is
	// known: it was not settled within RunLimit, its answer was not stored, its
	// row can't be decoded, or the ticket is not known any more.
	InDoubt
	// Mismatch means that the key was used for a request with another digest.
	Mismatch
	// Unavailable means that the claim could not be decided in time. The
	// attempt must not run.
	Unavailable
)

// Row is the stored form of a claim.
type Row struct {
	// Attempt is the ID of the attempt that was granted.
	Attempt string `json:"attempt"`
	Digest  uint64 `json:"digest"`
	// At is the time of the grant, or of the settlement when Done is set.
	At time.Time `json:"at"`
	// Done is set once the attempt has run.
	Done bool `json:"done,omitempty"`
	// Answer is empty until Done is set, and when the answer exceeded MaxAnswer.
	Answer []byte `json:"answer,omitempty"`
	// isUnreadable is set if the stored value could not be decoded. The other
	// fields are then empty.
	isUnreadable bool
}

// Key is the idempotency key of an account.
type Key struct {
	ClientAccount string
	Key           string
}

// RowKey returns the key under which the claim is stored in the table.
func (k Key) RowKey() string {
	return rowPrefix + k.ClientAccount + "/" + k.Key
}

// Request asks for a claim on an idempotency key.
type Request struct {
	Key     Key
	Attempt string
	// Digest is a hash of the request. It detects a key that is reused for a
	// different request.
	Digest uint64
}

// Decision is the result for one attempt.
type Decision struct {
	Attempt string
	Outcome Outcome
	// Answer is the stored answer when Outcome is Answered.
	Answer []byte
}

// Batcher batches claims and settlements into writes. A write is due immediately
// when the latest one started at least MinWriteInterval ago, and otherwise at the end
// of that interval. This bounds both the delay of a claim and the rate of writes.
// A Batcher performs no I/O: the caller sends the writes. It is safe for
// concurrent use.
type Batcher struct {
	mu sync.Mutex
	// claims and settlements are queued for the next write.
	claims      []pendingClaim
	settlements []settlement
	// lastStart is when the latest write started.
	lastStart time.Time
	inFlight  int
	stats     Stats
}

type pendingClaim struct {
	request Request
	at      time.Time
	// decided receives exactly one decision and has capacity for it.
	decided chan<- Decision
}

type settlement struct {
	row Row
	key Key
}

// Stats counts claims and writes.
type Stats struct {
	// Claims counts the claims that were part of a write.
	Claims uint64 `json:"claims"`
	// Writes counts all writes, and ClaimWrites those with at least one claim.
	Writes      uint64 `json:"writes"`
	ClaimWrites uint64 `json:"claim_writes"`
}

// NewBatcher returns an empty Batcher.
func NewBatcher() *Batcher {
	return &Batcher{}
}

// Submit queues a claim for the next write. The channel decided receives the
// decision and must have capacity for it, because Done does not wait for a
// receiver.
func (b *Batcher) Submit(now time.Time, r Request, decided chan<- Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claims = append(b.claims, pendingClaim{request: r, at: now, decided: decided})
}

// Settle queues the answer of a granted attempt for the next write. An answer of
// more than MaxAnswer bytes is not stored.
func (b *Batcher) Settle(now time.Time, k Key, attempt string, digest uint64, answer []byte) {
	if len(answer) > MaxAnswer {
		answer = nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	row := Row{Attempt: attempt, Digest: digest, At: now, Done: true, Answer: answer}
	b.settlements = append(b.settlements, settlement{key: k, row: row})
}

// Pending reports whether claims or settlements are queued.
func (b *Batcher) Pending() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.claims)+len(b.settlements) > 0
}

// Stats returns a copy of the counters.
func (b *Batcher) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Batch is one write in flight. Its request is idempotent and may be repeated
// while its outcome is unknown: an attempt that finds its own row is granted.
type Batch struct {
	// Request inserts the claims whose keys are absent and stores the answers.
	Request *loompb.TransactRequest
	claims  []pendingClaim
}

// Next returns the next write, or false when none is due or too many are in
// flight. The caller must pass each write to Done.
func (b *Batcher) Next(now time.Time) (*Batch, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.claims)+len(b.settlements) == 0 || b.inFlight >= maxInFlight || now.Sub(b.lastStart) < MinWriteInterval {
		return nil, false
	}
	batch := &Batch{Request: &loompb.TransactRequest{}}
	n := min(len(b.settlements), maxBatch)
	for _, s := range b.settlements[:n] {
		batch.Request.Writes = append(batch.Request.Writes, &loompb.Write{Key: s.key.RowKey(), Value: encodeRow(s.row)})
	}
	b.settlements = slices.Clone(b.settlements[n:])
	n = min(len(b.claims), maxBatch)
	batch.claims = b.claims[:n]
	b.claims = slices.Clone(b.claims[n:])
	for _, c := range batch.claims {
		row := Row{Attempt: c.request.Attempt, Digest: c.request.Digest, At: now}
		batch.Request.Writes = append(batch.Request.Writes, &loompb.Write{
			Key:      c.request.Key.RowKey(),
			Value:    encodeRow(row),
			IfAbsent: true,
		})
	}
	b.lastStart = now
	b.inFlight++
	b.stats.Writes++
	b.stats.Claims += uint64(len(batch.claims))
	if len(batch.claims) > 0 {
		b.stats.ClaimWrites++
	}
	return batch, true
}

// Done decides the claims of a write from the table's reply. The reply is nil
// when the outcome of the write is unknown: every claim is then Unavailable, and
// the attempts must never run, because it is not known whether their rows were
// inserted.
func (b *Batcher) Done(now time.Time, batch *Batch, reply *loompb.TransactReply) {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
	existing := make(map[string]Row)
	for _, row := range reply.GetRows() {
		r, err := DecodeRow(row.GetValue())
		if err != nil {
			r = Row{isUnreadable: true}
		}
		existing[row.GetKey()] = r
	}
	first := make(map[string]Request)
	for _, c := range batch.claims {
		c.decided <- decide(now, c.request, reply != nil, existing, first)
	}
}

// decide returns the decision about one claim. Existing holds the rows that the
// write found instead of inserting its own. First collects the first claim under
// each key of the write: later claims under the same key meet the row of the
// first one, unless that one found a row of another attempt.
func decide(now time.Time, r Request, replied bool, existing map[string]Row, first map[string]Request) Decision {
	key := r.Key.RowKey()
	d := Decision{Attempt: r.Attempt, Outcome: Unavailable}
	if !replied {
		return d
	}
	row, found := existing[key]
	earlier, repeated := first[key]
	switch {
	case repeated:
		row, found = Row{Attempt: earlier.Attempt, Digest: earlier.Digest, At: now}, true
		if old, ok := existing[key]; ok && old.Attempt != earlier.Attempt {
			row = old
		}
	default:
		first[key] = r
	}
	if !found {
		d.Outcome = Granted
		return d
	}
	d.Outcome = ExistingOutcome(now, row, r)
	if d.Outcome == Answered {
		d.Answer = row.Answer
	}
	return d
}

// ExistingOutcome returns the outcome of a claim whose key already has a row. An
// attempt that finds its own unsettled row is granted: the reply to its insert
// was lost.
func ExistingOutcome(now time.Time, row Row, r Request) Outcome {
	switch {
	case row.isUnreadable:
		return InDoubt
	case row.Attempt == r.Attempt && !row.Done:
		return Granted
	case row.Digest != r.Digest:
		return Mismatch
	case row.Done && len(row.Answer) > 0:
		return Answered
	case row.Done || now.Sub(row.At) > RunLimit:
		return InDoubt
	default:
		return Held
	}
}

// DecodeRow decodes a claim from a value of the table.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(value, &r)
	return r, errors.Annotate(err, "decode claim")
}

func encodeRow(r Row) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Annotate(err, "encode claim"))
	}
	return value
}
