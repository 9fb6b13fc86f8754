package loomgate

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"swiftloom/loompb"
)

// countingSource counts the rows that are decoded.
type countingSource struct {
	*fakeSource

	decoded int
}

// Decode implements Source.
func (s *countingSource) Decode(t Topic, r Row) (Change, error) {
	s.decoded++
	return s.fakeSource.Decode(t, r)
}

// oddPage returns a page with a number of unreadable rows.
func oddPage(version uint64, n int) Page {
	p := page(version)
	for i := range n {
		p.Rows = append(p.Rows, row(fmt.Sprintf("odd-%d", i), "odd", 1))
	}
	return p
}

// TestUnreadableRowsCostLittle guards against unreadable rows that are decoded with each read
// of the list, or logged without a bound.
func TestUnreadableRowsCostLittle(t *testing.T) {
	const rows = 5000
	g := newTestGate(t, "a", newFakeSource(), &fakeRunner{})
	source := &countingSource{fakeSource: newFakeSource()}
	g.source = source
	var lines bytes.Buffer
	g.unreadable = newUnreadableRows(slog.New(slog.NewTextHandler(&lines, nil)))
	now := time.Now()
	for i := range 20 {
		now = now.Add(time.Second)
		g.view.apply(now, TopicUpstreams, oddPage(uint64(i+1), rows), true)
	}
	assert.Check(t, source.decoded <= rows, "%d rows were decoded, %d are different", source.decoded, rows)
	n := strings.Count(lines.String(), "row_unreadable")
	assert.Check(t, n > 0 && n <= maxUnreadableLines, "%d lines", n)
	now = now.Add(unreadableInterval)
	p := page(30)
	p.Rows = append(p.Rows, row("new", "odd", 30))
	g.view.apply(now, TopicUpstreams, p, false)
	assert.Check(t, strings.Contains(lines.String(), fmt.Sprintf("key=new version=30 omitted=%d", rows-maxUnreadableLines)))
	for i := range 3 * maxUnreadableRows {
		p.Rows[0].Key = fmt.Sprintf("later-%d", i)
		g.view.apply(now, TopicUpstreams, p, false)
	}
	assert.Check(t, len(g.unreadable.versions) <= maxUnreadableRows)
}

// TestUnreadableRowIsNotPassedOn guards against unreadable rows that keep peers from reading
// the list from this instance, and an upstream that is lost with the last version of its row.
func TestUnreadableRowIsNotPassedOn(t *testing.T) {
	a, b := newTestGate(t, "a", newFakeSource(), &fakeRunner{}), newTestGate(t, "b", newFakeSource(), &fakeRunner{})
	now := time.Now()
	a.view.apply(now, TopicUpstreams, page(2, row("u", "up 1", 1), row("v", "up 1", 2)), true)
	a.view.apply(now, TopicUpstreams, page(3, row("u", "odd", 3)), false)
	a.view.apply(now, TopicUpstreams, oddPage(4, 1000), false)
	reply, err := (&peerService{gate: a}).Rows(t.Context(), &loompb.RowsRequest{Topic: TopicUpstreams.String()})
	assert.NilError(t, err)
	assert.Check(t, len(reply.GetRows()) == 2, "%d rows are passed on", len(reply.GetRows()))
	b.peers.fetchRows(t.Context(), &peer{id: "a", client: directClient{service: &peerService{gate: a}}}, TopicUpstreams)
	for _, g := range []*Gate{a, b} {
		assert.Check(t, len(g.view.group(now, "engines")) == 2, "%d upstreams at %s", len(g.view.group(now, "engines")), g.settings.ID)
	}
	a.view.apply(now, TopicUpstreams, page(5, Row{Key: "u", Version: 5, Deleted: true}), false)
	assert.Check(t, len(a.view.group(now, "engines")) == 1)
}
