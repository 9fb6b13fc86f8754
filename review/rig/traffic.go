package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// streamTime is how long a runner takes for a stream of the traffic.
	streamTime = 9 * time.Second
	// streamGap is the time between two of its events.
	streamGap = 200 * time.Millisecond
)

// serveStream answers a request with a stream.
func (r *runner) serveStream(w http.ResponseWriter, q *http.Request) {
	_ = readAll(q)
	w.Header().Set(headerRequestID, q.Header.Get(headerRequestID))
	version, ok := r.beginStream(w, q.Header.Get(headerExpected))
	if !ok {
		return
	}
	defer r.endStream()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerStamp, stampPrefix+r.id)
	w.Header().Set(headerWeights, fmt.Sprint(version))
	for i := range int(streamTime / streamGap) {
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: x\n\n", i+1))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(streamGap):
		case <-q.Context().Done():
			return
		}
	}
}

// beginStream counts a stream as running and returns the version of the weights, or refuses it.
func (r *runner) beginStream(w http.ResponseWriter, expected string) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case expected != "" && expected != fmt.Sprint(r.version):
		w.Header().Set(headerInstance, r.id)
		w.Header().Set(headerWeights, fmt.Sprint(r.version))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return 0, false
	case r.busy:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return 0, false
	}
	r.running++
	return r.version, true
}

func (r *runner) endStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// press sends a number of requests for streams to the gates.
func (s *site) press(all []*gate, n int) {
	record("clients: send %d requests for streams to the gates", n)
	var mu sync.Mutex
	byServer := make(map[string]int)
	for i := range n {
		g := all[i%len(all)]
		go stream(g, "/skrot/x", fmt.Sprintf("e%015d", i), func(n int, server string) {
			if n == 1 {
				mu.Lock()
				byServer[server]++
				mu.Unlock()
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.AfterFunc(time.Second, func() {
		mu.Lock()
		defer mu.Unlock()
		var text []string
		for id, n := range byServer {
			text = append(text, fmt.Sprintf("%s %d", id, n))
		}
		slices.Sort(text)
		record("streams at runners: %v", text)
	})
}
