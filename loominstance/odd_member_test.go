package loominstance

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loommember"
	"swiftloom/loompb"
)

// TestOddMemberIsSkipped guards against members that can't be called and are chosen for
// requests.
func TestOddMemberIsSkipped(t *testing.T) {
	addresses := []string{"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-1", "\x00", "%zz:1", "name:1", ":1", strings.Repeat("1", 100_000)}
	var lines bytes.Buffer
	n := &Instance{log: slog.New(slog.NewTextHandler(&lines, nil)), tracker: loommember.NewTracker(loommember.DefaultOptions())}
	now := time.Now()
	member := func(id, address string) *loompb.Member {
		return &loompb.Member{Id: id, Kind: loommember.KindEngine, Group: "g", Address: address, Incarnation: 1}
	}
	engines := func() int {
		view := n.tracker.View(now)
		return len(view.Kind(loommember.KindEngine, "g"))
	}
	members := []*loompb.Member{member("sound", "127.0.0.1:1"), member("other", "127.0.0.1:2")}
	for i, address := range addresses {
		members = append(members, member(fmt.Sprintf("odd-%d", i), address))
	}
	n.tracker.Apply(now, loommember.Listed{Members: n.listings(members)})
	assert.Equal(t, engines(), 2)
	for _, address := range addresses {
		n.tracker.Apply(now, loommember.Changed{Members: n.listings([]*loompb.Member{member("other", address)})})
		assert.Equal(t, engines(), 2, "after the address %.20q", address)
	}
	for i := range 1000 {
		_ = n.listings([]*loompb.Member{member(fmt.Sprintf("later-%d", i), "")})
	}
	assert.Check(t, strings.Count(lines.String(), "\n") <= maxOddMembers, "%d lines", strings.Count(lines.String(), "\n"))
}
