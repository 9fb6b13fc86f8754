package loomupstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomupstream"
)

// TestRedirectedCallIsNotSentAgain guards against a second request that Do sends by
// itself and whose response it returns as that of the call.
func TestRedirectedCallIsNotSentAgain(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, body := range []string{"", "job"} {
			others := 0
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				others++
				_, _ = io.WriteString(w, r.Method)
			}))
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", other.URL)
				w.WriteHeader(status)
			}))
			client := loomupstream.NewServices(nil)
			outcome, err := client.Do(t.Context(), service.Listener.Addr().String(), loomupstream.Call{Path: "jobs", Body: []byte(body)})
			client.Close()
			service.Close()
			other.Close()
			assert.NilError(t, err)
			assert.Check(t, outcome.Status == status && others == 0, "status %d, body %q: got status %d with %q after %d requests elsewhere", status, body, outcome.Status, outcome.Body, others)
		}
	}
}
