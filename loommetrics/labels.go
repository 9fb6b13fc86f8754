package loommetrics

import "sync"

// Other is the label of all values beyond the limit.
const Other = "other"

// Labels limits the number of distinct values of a label, so that the metrics page
// has a bounded size for a catalogue of any size. Its methods may be called
// concurrently.
type Labels struct {
	mu     sync.Mutex
	limit  int
	values map[string]bool
}

// NewLabels returns a Labels that keeps the first limit distinct values.
func NewLabels(limit int) *Labels {
	return &Labels{limit: limit, values: make(map[string]bool)}
}

// Of returns value if it is one of the kept values, or Other.
func (l *Labels) Of(value string) string {
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
