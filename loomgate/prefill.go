package loomgate

import (
	"sync"
	"time"

	"swiftloom/loomroute"
)

// prefillModels holds the model of prompt processing of each upstream group.
type prefillModels struct {
	mu      sync.Mutex
	byGroup map[string]*loomroute.PrefillModel
}

// forGroup returns the model of a group and creates it on first use.
func (p *prefillModels) forGroup(group string) *loomroute.PrefillModel {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byGroup[group]
	if !ok {
		m = &loomroute.PrefillModel{}
		p.byGroup[group] = m
	}
	return m
}

// observePrefill updates the model of the group with the time to the first event
// of a prompt. Prompts of which parts were to be fetched are left out, since
// their time includes the transfer.
func (g *Gate) observePrefill(d *dispatch, now time.Time) {
	if !d.req.HasPrompt || d.choice.Import > d.cachedTokens {
		return
	}
	tokens, took := d.tokensAhead+d.choice.Recompute, now.Sub(d.sentAt)
	g.prefill.forGroup(d.req.group.Name).Observe(d.upstream.ID, tokens, took)
	g.peers.addSample(d.req.group.Name, d.upstream.ID, tokens, took)
}
