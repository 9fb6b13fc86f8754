package loomhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzHeadMeter guards against a head that costs more than is counted, and against a cost that
// depends on how the head is split.
func FuzzHeadMeter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n\r\nbody\nbody"), 7)
	f.Add([]byte("GET / HTTP/1.1\nA:\nB:\n C\n\n"), 1)
	f.Add([]byte("\r\n\r\r\n:\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		var whole, parts headMeter
		cost := whole.add(text)
		size := max(split%max(len(text), 1), 1)
		var sum int64
		for b := text; len(b) > 0; b = b[min(size, len(b)):] {
			sum += parts.add(b[:min(size, len(b))])
		}
		assert.Assert(t, sum >= cost, "%d counted in parts, %d in whole", sum, cost)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		var want int64
		for name, values := range r.Header {
			for _, v := range values {
				want += int64(len(name)+len(v)) + headFieldBytes
			}
		}
		assert.Assert(t, cost >= want, "%d counted, %d held", cost, want)
	})
}
