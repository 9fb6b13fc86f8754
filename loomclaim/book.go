package loomclaim

import (
	"sync"
	"time"
)

const (
	// TicketLife is how long a ticket may be used after it was given out.
	TicketLife = 10 * time.Minute
	// maxTickets bounds the tickets of a book that are in use.
	maxTickets = 100_000
)

// Book grants the tickets of one holder. It is in memory alone: when the holder
// dies, its tickets are never granted again. Its methods may be called
// concurrently.
type Book struct {
	mu     sync.Mutex
	serial uint64
	// rows holds each ticket that was used and has not expired.
	rows    map[uint64]Row
	expires map[uint64]time.Time
}

// NewBook returns a book without tickets.
func NewBook() *Book {
	return &Book{rows: make(map[uint64]Row), expires: make(map[uint64]time.Time)}
}

// Issue returns a new ticket.
func (b *Book) Issue(now time.Time, account, holder string, incarnation uint64) Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serial++
	return Ticket{
		ClientAccount: account,
		Holder:        holder,
		Incarnation:   incarnation,
		Serial:        b.serial,
		Expires:       now.Add(TicketLife),
	}
}

// Ask decides about the use of a ticket of this book.
func (b *Book) Ask(now time.Time, t Ticket, a Ask) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	d := Decision{Attempt: a.Attempt, Outcome: InDoubt}
	if t.Serial > b.serial || !now.Before(t.Expires) {
		return d
	}
	row, used := b.rows[t.Serial]
	if !used {
		if len(b.rows) >= maxTickets {
			d.Outcome = Unavailable
			return d
		}
		b.rows[t.Serial] = Row{Attempt: a.Attempt, Digest: a.Digest, At: now}
		b.expires[t.Serial] = t.Expires
		d.Outcome = Granted
		return d
	}
	d.Outcome = Judge(now, row, a)
	if d.Outcome == Answered {
		d.Answer = row.Answer
	}
	return d
}

// Settle keeps the answer of a granted attempt for repeated requests.
func (b *Book) Settle(t Ticket, attempt string, answer []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.rows[t.Serial]
	if !ok || row.Attempt != attempt {
		return
	}
	row.Done = true
	if len(answer) <= MaxAnswer {
		row.Answer = answer
	}
	b.rows[t.Serial] = row
}

// Release frees the ticket of an attempt that did not run.
func (b *Book) Release(t Ticket, attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, ok := b.rows[t.Serial]
	if ok && row.Attempt == attempt && !row.Done {
		delete(b.rows, t.Serial)
		delete(b.expires, t.Serial)
	}
}

// expire forgets tickets that can't be used any more, now and then.
func (b *Book) expire(now time.Time) {
	if len(b.rows) < maxTickets/2 {
		return
	}
	for serial, at := range b.expires {
		if !now.Before(at) {
			delete(b.rows, serial)
			delete(b.expires, serial)
		}
	}
}
