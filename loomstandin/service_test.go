package loomstandin_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomstandin"
)

// TestCutRequestIsNotAnsweredAsRun guards against a request whose body ends early
// and that gets the response of a job that has run.
func TestCutRequestIsNotAnsweredAsRun(t *testing.T) {
	runs := loomstandin.NewRunCounter()
	service, err := loomstandin.NewService(loomstandin.ServiceOptions{ID: "s"}, runs)
	assert.NilError(t, err)
	defer service.Kill()
	tests := []struct {
		name   string
		body   string
		length string
		status int
		runs   int
	}{
		{"whole", `{"job":"whole"}`, "15", http.StatusOK, 1},
		{"cut", `{"job":"cut"`, "13", http.StatusBadRequest, 0},
		{"empty", "", "13", http.StatusBadRequest, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", service.Member().GetAddress())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /jobs HTTP/1.1\r\nHost: s\r\nContent-Length: "+tt.length+"\r\n\r\n"+tt.body)
			assert.NilError(t, err)
			tcp, ok := conn.(*net.TCPConn)
			assert.Assert(t, ok)
			assert.NilError(t, tcp.CloseWrite())
			w, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, w.Body.Close())
			assert.Equal(t, w.StatusCode, tt.status)
			assert.Equal(t, runs.JobRuns(tt.name), tt.runs)
		})
	}
}
