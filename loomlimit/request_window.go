package loomlimit

import "time"

const (
	// LimitWindow is the span over which an upstream's limit is averaged.
	LimitWindow = 4 * time.Second
	// requestSlot is the resolution of a RequestWindow.
	requestSlot  = 250 * time.Millisecond
	requestSlots = int(LimitWindow/requestSlot) + 1
)

// RequestWindow counts the requests of the last LimitWindow, and those of up to one
// requestSlot before it. It is not safe for concurrent use. The zero value is empty.
type RequestWindow struct {
	// counts is a ring, in which slot n of the time has index n modulo requestSlots.
	counts [requestSlots]int
	// latest is the newest slot with a count. Older slots than latest-requestSlots+1
	// have none.
	latest int64
}

// Add counts a request that is sent at now.
func (w *RequestWindow) Add(now time.Time) {
	slot := w.advance(now)
	w.counts[slot%int64(requestSlots)]++
}

// Total returns the number of requests in the window that ends at now.
func (w *RequestWindow) Total(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// advance clears the slots that have left the window, and returns the slot of now.
// A clock that steps back stays in the latest slot.
func (w *RequestWindow) advance(now time.Time) int64 {
	slot := max(now.UnixNano()/int64(requestSlot), w.latest)
	for n := max(w.latest+1, slot-int64(requestSlots)+1); n <= slot; n++ {
		w.counts[n%int64(requestSlots)] = 0
	}
	w.latest = slot
	return slot
}
