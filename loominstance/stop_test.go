package loominstance_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loomsettings"
)

// TestStopServesRequestsThatHaveBegun guards against a stop that closes connections on which
// a part of a request has been read.
func TestStopServesRequestsThatHaveBegun(t *testing.T) {
	trial := newTrial(t, io.Discard)
	drainDelay := loomsettings.Default().Timing.DrainDelay
	const request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct {
		name       string
		firstBytes int
		// isFirst is set if the request is the first on its connection.
		isFirst bool
	}{
		{"a byte before the close", 1, false},
		{"half before the close", len(request) / 2, false},
		{"all but a byte before the close", len(request) - 1, false},
		{"first request, half before the close", len(request) / 2, true},
	}
	conns := make([]net.Conn, len(tests))
	readers := make([]*bufio.Reader, len(tests))
	for i, tt := range tests {
		conn, err := net.Dial("tcp", trial.Addresses()[0])
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		conns[i], readers[i] = conn, bufio.NewReader(conn)
		if tt.isFirst {
			continue
		}
		_, err = io.WriteString(conn, request)
		assert.NilError(t, err)
		assert.NilError(t, readWhole(readers[i]))
	}
	stopAt := time.Now()
	var stop sync.WaitGroup
	stop.Go(trial.Stop)
	defer stop.Wait()
	time.Sleep(drainDelay / 2)
	for i, tt := range tests {
		_, err := io.WriteString(conns[i], request[:tt.firstBytes])
		assert.NilError(t, err)
	}
	time.Sleep(time.Until(stopAt.Add(drainDelay + 200*time.Millisecond)))
	for i, tt := range tests {
		_, err := io.WriteString(conns[i], request[tt.firstBytes:])
		if err == nil {
			err = readWhole(readers[i])
		}
		assert.Check(t, err == nil, "%s: %v", tt.name, err)
	}
}

// readWhole reads an answer to its end.
func readWhole(r *bufio.Reader) error {
	w, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	_, err = io.Copy(io.Discard, w.Body)
	return err
}
