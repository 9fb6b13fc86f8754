package loomcatalogue_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcatalogue"
)

func TestRoutingMatch(t *testing.T) {
	r := loomcatalogue.NewRouting(loomcatalogue.RoutingSpec{Routes: []loomcatalogue.Route{
		{Name: "short", Host: "a.test", Prefix: "/x/"},
		{Name: "long", Host: "a.test", Prefix: "/x/y/"},
		{Name: "other", Host: "b.test", Prefix: "/x/"},
	}})
	tests := []struct {
		name, host, path, want string
	}{
		{"prefix", "a.test", "/x/1", "short"},
		{"longest prefix", "a.test", "/x/y/1", "long"},
		{"not a whole segment", "a.test", "/x/yy", "short"},
		{"another host", "b.test", "/x/y/1", "other"},
		{"unknown host", "c.test", "/x/1", ""},
		{"unknown path", "a.test", "/z/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := r.Match(tt.host, tt.path)
			assert.Equal(t, ok, tt.want != "")
			assert.Equal(t, got.Name, tt.want)
		})
	}
}

func TestRouteTarget(t *testing.T) {
	route := loomcatalogue.Route{Targets: []loomcatalogue.WeightedGroup{{Group: "a", Weight: 90}, {Group: "b", Weight: 10}, {Group: "c", Weight: 0}}}
	counts := make(map[string]int)
	for draw := range uint64(1000) {
		counts[route.Target(draw)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	unweighted := loomcatalogue.Route{Targets: []loomcatalogue.WeightedGroup{{Group: "a"}}}
	assert.Equal(t, unweighted.Target(7), "a", "all weights are zero")
}

func TestRouteRepeatable(t *testing.T) {
	tests := []struct {
		name      string
		kind      loomcatalogue.RouteKind
		resumable bool
		want      bool
	}{
		{"idempotent", loomcatalogue.Idempotent, false, true},
		{"not idempotent", loomcatalogue.NonIdempotent, true, false},
		{"stream", loomcatalogue.Streaming, false, false},
		{"resumable stream", loomcatalogue.Streaming, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, loomcatalogue.Route{Kind: tt.kind, IsResumable: tt.resumable}.IsRepeatable(), tt.want)
		})
	}
}
