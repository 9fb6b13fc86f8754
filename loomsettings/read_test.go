package loomsettings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"swiftloom/loomsettings"
)

const validSettings = `[instance]
id = entry-1
failure_domain = fd-1
http_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081

[platform]
addresses = 127.0.0.1:9000, 127.0.0.1:9001

[deployment]
name = port
peer_key = p
operator_key = o

[timing]
lookup_timeout = 7ms
`

func TestReadValid(t *testing.T) {
	s, err := loomsettings.Read("s.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Instance.ID, "entry-1")
	assert.Equal(t, len(s.Platform.Addresses), 2)
	assert.Equal(t, s.Timing.LookupTimeout, 7*time.Millisecond)
	assert.Equal(t, s.Routing.Policy, "cost")
}

func TestReadFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"host name", "http_address = 127.0.0.1:8080", "http_address = localhost:8080", `s.ini:4: [instance] http_address: "localhost:8080" is not an IP number with a port; host names are not accepted`},
		{"unknown key", "peer_key = p", "peer_key = p\npeer_kee = q", "s.ini:13: [deployment] peer_kee: unknown key"},
		{"unknown section", "[timing]", "[timings]", "s.ini:15: [timings]: unknown section"},
		{"missing key", "id = entry-1\n", "", "s.ini:1: [instance] id: a value is required"},
		{"bad duration", "7ms", "seven", `s.ini:16: [timing] lookup_timeout: "seven" is not a duration above zero, such as 500ms`},
		{"negative duration", "7ms", "-7ms", `s.ini:16: [timing] lookup_timeout: "-7ms" is not a duration above zero, such as 500ms`},
		{"repeated key", "id = entry-1", "id = entry-1\nid = entry-2", "s.ini:2: [instance] id: the key occurs 2 times, want once"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loomsettings.Read("s.ini", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			assert.Error(t, err, tt.want)
		})
	}
}

func TestReadReportsEveryFault(t *testing.T) {
	_, err := loomsettings.Read("s.ini", []byte("[instance]\nid=\n"))
	var faults loomsettings.Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults), 8)
}

func TestReadNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		_, err := loomsettings.Read("s.ini", data)
		assert.Assert(t, err != nil)
	})
}
