package loomclaim

import (
	"sync"
	"time"
)

const (
	// TicketLifetime is how long a ticket may be used after it was issued.
	TicketLifetime = 10 * time.Minute
	// maxTickets is the largest number of used tickets that are kept.
	maxTickets = 100_000
	// maxTicketAnswers bounds the answers that are kept, in bytes.
	maxTicketAnswers = 64 << 20
)

// TicketStore issues the tickets of one holder and decides their claims. It
// keeps them in memory only: after a restart of the holder no ticket issued
// before is ever granted. A TicketStore is safe for concurrent use.
type TicketStore struct {
	mu sync.Mutex
	// lastSerial is the serial number of the ticket issued last.
	lastSerial uint64
	// rows holds the claims of the used tickets by serial number, and expiresAt
	// when these tickets expire.
	rows      map[uint64]Row
	expiresAt map[uint64]time.Time
	// answers is the total length of the answers in rows.
	answers int
}

// NewTicketStore returns an empty TicketStore.
func NewTicketStore() *TicketStore {
	return &TicketStore{rows: make(map[uint64]Row), expiresAt: make(map[uint64]time.Time)}
}

// Issue returns a new ticket for an account. Holder and incarnation name the
// instance that issues it.
func (s *TicketStore) Issue(now time.Time, account, holder string, incarnation uint64) Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSerial++
	return Ticket{
		ClientAccount: account,
		Holder:        holder,
		Incarnation:   incarnation,
		Serial:        s.lastSerial,
		Expires:       now.Add(TicketLifetime),
	}
}

// Claim decides a claim under a ticket. A ticket that was not issued here or has
// expired is InDoubt, because earlier attempts under it are not known any more.
func (s *TicketStore) Claim(now time.Time, t Ticket, r Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	d := Decision{Attempt: r.Attempt, Outcome: InDoubt}
	if t.Serial > s.lastSerial || !now.Before(t.Expires) {
		return d
	}
	row, used := s.rows[t.Serial]
	if !used {
		if len(s.rows) >= maxTickets {
			d.Outcome = Unavailable
			return d
		}
		s.rows[t.Serial] = Row{Attempt: r.Attempt, Digest: r.Digest, At: now}
		s.expiresAt[t.Serial] = t.Expires
		d.Outcome = Granted
		return d
	}
	d.Outcome = ExistingOutcome(now, row, r)
	if d.Outcome == Answered {
		d.Answer = row.Answer
	}
	return d
}

// Settle stores the answer of a granted attempt for repeated requests. An answer
// of more than MaxAnswer bytes, or for which there is no room, is not stored; repeated
// requests are then InDoubt.
func (s *TicketStore) Settle(t Ticket, attempt string, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[t.Serial]
	if !ok || row.Attempt != attempt {
		return
	}
	s.answers -= len(row.Answer)
	row.Done, row.Answer = true, nil
	if len(answer) <= MaxAnswer && s.answers+len(answer) <= maxTicketAnswers {
		row.Answer = answer
		s.answers += len(answer)
	}
	s.rows[t.Serial] = row
}

// Release frees the ticket of a granted attempt that did not run, so that another
// attempt can be granted.
func (s *TicketStore) Release(t Ticket, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[t.Serial]
	if ok && row.Attempt == attempt && !row.Done {
		s.remove(t.Serial)
	}
}

// removeExpired removes the rows of expired tickets once half of maxTickets are
// in use, or half of the room for answers.
func (s *TicketStore) removeExpired(now time.Time) {
	if len(s.rows) < maxTickets/2 && s.answers < maxTicketAnswers/2 {
		return
	}
	for serial, at := range s.expiresAt {
		if !now.Before(at) {
			s.remove(serial)
		}
	}
}

// remove removes the row of a ticket. s.mu must be held.
func (s *TicketStore) remove(serial uint64) {
	s.answers -= len(s.rows[serial].Answer)
	delete(s.rows, serial)
	delete(s.expiresAt, serial)
}
