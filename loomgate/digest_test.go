package loomgate

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

func TestDigest(t *testing.T) {
	base := request{IncomingRequest: IncomingRequest{Method: "POST", Host: "h", RequestTarget: "/a?b=c", Body: []byte("body"), RequestID: "1"}}
	base.account = loomcatalogue.RoutedAccount{Name: "one"}
	tests := []struct {
		name   string
		change func(*request)
		isSame bool
	}{
		{"another ID", func(r *request) { r.RequestID = "2" }, true},
		{"another revision", func(r *request) { r.revision++ }, true},
		{"another account", func(r *request) { r.account.Name = "two" }, false},
		{"another method", func(r *request) { r.Method = "PUT" }, false},
		{"another host", func(r *request) { r.Host = "i" }, false},
		{"another query", func(r *request) { r.RequestTarget = "/a?b=d" }, false},
		{"another body", func(r *request) { r.Body = []byte("bodz") }, false},
		{"a byte moved from one field to the next", func(r *request) { r.Host, r.RequestTarget = "h/", "a?b=c" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := base
			tt.change(&other)
			assert.Equal(t, base.digest() == other.digest(), tt.isSame)
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 12 << 10, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := request{IncomingRequest: IncomingRequest{Method: "POST", Host: "h", RequestTarget: "/a?b=c", Body: make([]byte, size)}}
			for b.Loop() {
				_ = r.digest()
			}
		})
	}
}
