package loommetrics

import "sync"

// Other is the label of all values beyond the limit.
const Other = "other"

// LabelLimiter limits the number of distinct values of a label, so that the
// metrics page has a bounded size for a catalogue of any size. Its methods may
// be called concurrently.
type LabelLimiter struct {
	mu     sync.Mutex
	limit  int
	values map[string]bool
}

// NewLabelLimiter returns a LabelLimiter that keeps the first limit distinct
// values.
func NewLabelLimiter(limit int) *LabelLimiter {
	return &LabelLimiter{limit: limit, values: make(map[string]bool)}
}

// Label returns value if it is one of the kept values, or Other.
func (l *LabelLimiter) Label(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values[value] {
		return value
	}
	if len(l.values) >= l.limit {
		return Other
	}
	l.values[value] = true
	return value
}
