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
	// maxBatch bounds the claims of one write, and maxFlying the writes that
	// are under way.
	maxBatch  = 400
	maxFlying = 16
	// Window is the least time between the beginnings of two writes.
	Window = 5 * time.Millisecond
	// RunLimit is how long a run may take before its silence means that its
	// outcome is unknown.
	RunLimit = 30 * time.Second
	// MaxAnswer bounds the answer that is kept for repeated requests.
	MaxAnswer = 16 << 10
)

// Outcome is the decision about a claim.
type Outcome int

// The outcomes of a claim.
const (
	// Granted lets the attempt run, and no other.
	Granted Outcome = iota + 1
	// Held means that another attempt was granted and may still be running.
	Held
	// Answered means that another attempt has run; its answer is known.
	Answered
	// InDoubt means that another attempt was granted and has not answered in
	// time.
	InDoubt
	// Mismatch means that the key was used for another request.
	Mismatch
	// Unavailable means that the claim could not be decided in time. The
	// attempt must not run.
	Unavailable
)

// Row is a claim as it is stored.
type Row struct {
	Attempt string    `json:"attempt"`
	Digest  uint64    `json:"digest"`
	At      time.Time `json:"at"`
	Done    bool      `json:"done,omitempty"`
	Answer  []byte    `json:"answer,omitempty"`
}

// Key names a claim.
type Key struct {
	ClientAccount string
	Key           string
}

// RowKey returns the key of the row of a claim.
func (k Key) RowKey() string {
	return rowPrefix + k.ClientAccount + "/" + k.Key
}

// Ask is a request for a claim.
type Ask struct {
	Key     Key
	Attempt string
	// Digest identifies the request, so that a key is not used for another.
	Digest uint64
}

// Decision answers an Ask.
type Decision struct {
	Attempt string
	Outcome Outcome
	Answer  []byte
}

// Desk collects claims and their settlements into writes. A write is due at
// once when the latest one began longer than a window ago, and else at the end
// of the window, so that a claim waits for a window at most and a busy desk
// makes a bounded number of writes. Its methods may be called concurrently; it
// does no input or output.
type Desk struct {
	mu sync.Mutex
	// asks and settles wait for the next write.
	asks    []waitingAsk
	settles []settle
	// begun is when the latest write began, and flying how many are under way.
	begun  time.Time
	flying int
	stats  Stats
}

type waitingAsk struct {
	ask Ask
	at  time.Time
	// decide receives one decision; it has room for it.
	decide chan<- Decision
}

type settle struct {
	row Row
	key Key
}

// Stats counts the work of a desk.
type Stats struct {
	Claims uint64 `json:"claims"`
	// Writes counts all writes, and ClaimWrites those that carried a claim.
	Writes      uint64 `json:"writes"`
	ClaimWrites uint64 `json:"claim_writes"`
}

// NewDesk returns an idle desk.
func NewDesk() *Desk {
	return &Desk{}
}

// Ask adds a claim to the next write. The channel must have room for the
// decision.
func (d *Desk) Ask(now time.Time, a Ask, decide chan<- Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks = append(d.asks, waitingAsk{ask: a, at: now, decide: decide})
}

// Settle stores the answer of a granted attempt with the next write.
func (d *Desk) Settle(now time.Time, k Key, attempt string, digest uint64, answer []byte) {
	if len(answer) > MaxAnswer {
		answer = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	row := Row{Attempt: attempt, Digest: digest, At: now, Done: true, Answer: answer}
	d.settles = append(d.settles, settle{key: k, row: row})
}

// Pending reports whether something waits for a write.
func (d *Desk) Pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asks)+len(d.settles) > 0
}

// Stats returns the counters.
func (d *Desk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Batch is one write under way. Its request may be sent again as long as its
// outcome is not known: a claim that it has inserted is found by the attempt.
type Batch struct {
	// Request inserts the claims that are absent and stores the answers.
	Request *loompb.TransactRequest
	asks    []waitingAsk
}

// Next returns the next write, or false when none is due. The caller must end
// it with Done.
func (d *Desk) Next(now time.Time) (*Batch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.asks)+len(d.settles) == 0 || d.flying >= maxFlying || now.Sub(d.begun) < Window {
		return nil, false
	}
	b := &Batch{Request: &loompb.TransactRequest{}}
	n := min(len(d.settles), maxBatch)
	for _, s := range d.settles[:n] {
		b.Request.Writes = append(b.Request.Writes, &loompb.Write{Key: s.key.RowKey(), Value: encodeRow(s.row)})
	}
	d.settles = slices.Clone(d.settles[n:])
	n = min(len(d.asks), maxBatch)
	b.asks = d.asks[:n]
	d.asks = slices.Clone(d.asks[n:])
	for _, w := range b.asks {
		row := Row{Attempt: w.ask.Attempt, Digest: w.ask.Digest, At: now}
		b.Request.Writes = append(b.Request.Writes, &loompb.Write{
			Key:      w.ask.Key.RowKey(),
			Value:    encodeRow(row),
			IfAbsent: true,
		})
	}
	d.begun = now
	d.flying++
	d.stats.Writes++
	d.stats.Claims += uint64(len(b.asks))
	if len(b.asks) > 0 {
		d.stats.ClaimWrites++
	}
	return b, true
}

// Done ends a write. The reply is nil when its outcome is not known: then
// every claim of it is Unavailable, and its attempts must never run.
func (d *Desk) Done(now time.Time, b *Batch, reply *loompb.TransactReply) {
	d.mu.Lock()
	d.flying--
	d.mu.Unlock()
	existing := make(map[string]Row)
	for _, row := range reply.GetRows() {
		if r, err := DecodeRow(row.GetValue()); err == nil {
			existing[row.GetKey()] = r
		}
	}
	seen := make(map[string]Ask)
	for _, w := range b.asks {
		w.decide <- decide(now, w.ask, reply != nil, existing, seen)
	}
}

// decide judges one claim. Two claims under one key in one write are judged
// in order: the first was inserted, the second was not.
func decide(now time.Time, a Ask, known bool, existing map[string]Row, seen map[string]Ask) Decision {
	key := a.Key.RowKey()
	d := Decision{Attempt: a.Attempt, Outcome: Unavailable}
	if !known {
		return d
	}
	row, found := existing[key]
	first, earlier := seen[key]
	switch {
	case earlier:
		row, found = Row{Attempt: first.Attempt, Digest: first.Digest, At: now}, true
		if old, ok := existing[key]; ok && old.Attempt != first.Attempt {
			row = old
		}
	default:
		seen[key] = a
	}
	if !found {
		d.Outcome = Granted
		return d
	}
	d.Outcome = Judge(now, row, a)
	if d.Outcome == Answered {
		d.Answer = row.Answer
	}
	return d
}

// Judge returns the outcome for a claim when its key already has a row.
func Judge(now time.Time, row Row, a Ask) Outcome {
	switch {
	case row.Attempt == a.Attempt && !row.Done:
		return Granted
	case row.Digest != a.Digest:
		return Mismatch
	case row.Done && len(row.Answer) > 0:
		return Answered
	case row.Done || now.Sub(row.At) > RunLimit:
		return InDoubt
	default:
		return Held
	}
}

// DecodeRow returns the claim that a stored value holds.
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
