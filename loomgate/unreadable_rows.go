package loomgate

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// maxUnreadableLines bounds the lines about unreadable rows in unreadableInterval.
	maxUnreadableLines = 20
	unreadableInterval = time.Minute
	// maxUnreadableRows bounds the rows that are known to be unreadable.
	maxUnreadableRows = 8192
)

// unreadableRows logs the platform's rows that can't be used, and remembers them so that
// they are not decoded again. Its methods may be called concurrently.
type unreadableRows struct {
	log *slog.Logger

	mu sync.Mutex
	// versions holds the versions of the rows, at most maxUnreadableRows.
	versions map[unreadableKey]uint64
	// lines is the number of lines since linesFrom, and omitted that of the rows since
	// then that were not logged.
	linesFrom      time.Time
	lines, omitted int
}

type unreadableKey struct {
	topic Topic
	key   string
}

func newUnreadableRows(log *slog.Logger) *unreadableRows {
	return &unreadableRows{log: log, versions: make(map[unreadableKey]uint64)}
}

// isKnown reports whether this version of a row is known to be unreadable.
func (u *unreadableRows) isKnown(t Topic, row Row) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	version, ok := u.versions[unreadableKey{topic: t, key: row.Key}]
	return ok && version == row.Version
}

// record records that a row can't be used. It logs the first unreadable version of a row.
func (u *unreadableRows) record(now time.Time, t Topic, row Row, cause error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := unreadableKey{topic: t, key: row.Key}
	_, isKnown := u.versions[key]
	if !isKnown && len(u.versions) >= maxUnreadableRows {
		clear(u.versions)
	}
	u.versions[key] = row.Version
	if isKnown {
		return
	}
	if now.Sub(u.linesFrom) >= unreadableInterval {
		u.linesFrom, u.lines = now, 0
	}
	if u.lines >= maxUnreadableLines {
		u.omitted++
		return
	}
	u.lines++
	u.log.Warn("row_unreadable", "topic", t.String(), "key", row.Key, "version", row.Version, "omitted", u.omitted, "cause", cause.Error())
	u.omitted = 0
}
