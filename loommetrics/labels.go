package loommetrics

import "sync"

// Other is the label that stands for all values beyond the most that are kept
// apart.
const Other = "other"

// Labels bounds the values of a label, so that a catalogue of any size makes a
// page of bounded size. Its methods may be called concurrently.
type Labels struct {
	mu    sync.Mutex
	most  int
	known map[string]bool
}

// NewLabels returns labels of which the first most values are kept apart.
func NewLabels(most int) *Labels {
	return &Labels{most: most, known: make(map[string]bool)}
}

// Of returns the label for a value: the value itself, or Other.
func (l *Labels) Of(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return value
	}
	if len(l.known) >= l.most {
		return Other
	}
	l.known[value] = true
	return value
}
