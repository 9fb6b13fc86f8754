package loommember

import "time"

// Contact tells since when the platform answers, from the calls of this instance and of
// its peers. It is immutable. The zero value stands for no call.
type Contact struct {
	// answeredAt and failedAt are when the latest answered and the latest failed call
	// were sent.
	answeredAt time.Time
	failedAt   time.Time
	// since is when the platform is known to have answered all calls of this instance
	// since. It is zero while they fail.
	since time.Time
	// peerSince is the same of a peer that got an answer after failedAt, or zero.
	peerSince time.Time
}

// maxReturnDelay is the time after the latest failed call at which the platform counts as
// back at the latest, since that call may have hung. With the time for which missing entries
// are used, it is less than that after which the platform counts as stable.
const maxReturnDelay = 900 * time.Millisecond

// WithFailure returns a copy that knows of a failed call, sent at a time. A call that
// was sent before an answered one says nothing about the platform after it.
func (c Contact) WithFailure(sentAt time.Time) Contact {
	if sentAt.Before(c.answeredAt) {
		return c
	}
	if sentAt.After(c.failedAt) {
		c.failedAt = sentAt
	}
	c.since, c.peerSince = time.Time{}, time.Time{}
	return c
}

// WithAnswer returns a copy that knows of a call that was sent at a time and has been
// answered now.
func (c Contact) WithAnswer(sentAt, now time.Time) Contact {
	if sentAt.Before(c.failedAt) {
		return c
	}
	if sentAt.After(c.answeredAt) {
		c.answeredAt = sentAt
	}
	if c.since.IsZero() {
		c.since = now
	}
	return c
}

// WithPeerAnswers returns a copy that knows that the platform has answered all calls of a
// peer since a time, the latest of which was sent at answeredAt. An answer from before the
// latest failed call of this instance is ignored: the platform may have failed since.
func (c Contact) WithPeerAnswers(since, answeredAt time.Time) Contact {
	if answeredAt.Before(c.failedAt) {
		return c
	}
	if c.peerSince.IsZero() || since.Before(c.peerSince) {
		c.peerSince = since
	}
	return c
}

// AnswersSince returns since when the platform answers, at the latest. It returns false
// while it does not.
func (c Contact) AnswersSince() (time.Time, bool) {
	since := c.since
	if since.IsZero() || (!c.peerSince.IsZero() && c.peerSince.Before(since)) {
		since = c.peerSince
	}
	if limit := c.failedAt.Add(maxReturnDelay); !c.failedAt.IsZero() && since.After(limit) {
		since = limit
	}
	return since, !since.IsZero()
}

// OwnAnswers returns since when the platform answers all calls of this instance and when
// the latest of these was sent, for WithPeerAnswers of a peer. It returns false while they
// fail.
func (c Contact) OwnAnswers() (since, answeredAt time.Time, ok bool) {
	return c.since, c.answeredAt, !c.since.IsZero()
}

// SinceFailure returns the time since the latest failed call was sent, or zero if none has
// failed.
func (c Contact) SinceFailure(now time.Time) time.Duration {
	if c.failedAt.IsZero() {
		return 0
	}
	return now.Sub(c.failedAt)
}
