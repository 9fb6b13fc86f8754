package loomtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
)

// partitionRandStream selects the random number sequence of the scenario. It
// differs from the sequences of injected faults, which start at 100.
const partitionRandStream = 11

const (
	editInterval      = 400 * time.Millisecond
	partitionDuration = 3 * time.Second
	partitionPause    = 1500 * time.Millisecond
	// settleTime is the time instances have to converge after the last partition.
	settleTime = 3 * time.Second
)

// runPartition runs the load of a site while injectPartitions separates failure
// domains and operators edit the catalogue continuously.
func runPartition(ctx context.Context, o Options) (Report, error) {
	t, err := Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	editCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { t.editRepeatedly(editCtx) })
	wg.Go(func() { t.injectPartitions(editCtx) })
	r := t.Play(ctx, PlayOptions{
		Requests: o.Requests,
		Faults:   o.Faults,
		Scenario: o.Scenario,
		Progress: o.Progress,
		AfterLoad: func() {
			cancel()
			wg.Wait()
			pause(ctx, settleTime)
		},
	})
	t.checkCatalogueAgreement(&r)
	return r, ctx.Err()
}

// editRepeatedly edits the entry of the model every editInterval until ctx ends.
func (t *Trial) editRepeatedly(ctx context.Context) {
	for i := 0; pause(ctx, editInterval); i++ {
		t.editModel(ctx, fmt.Sprintf("edit-%d", i), func(m loomcatalogue.Model) loomcatalogue.Model {
			m.MaxTokens = baseMaxTokens - i%maxTokensVariants
			return m
		})
	}
}

// Successive edits set max_tokens to maxTokensVariants different values, counted
// down from baseMaxTokens.
const (
	baseMaxTokens     = 1024
	maxTokensVariants = 100
)

// injectPartitions starts and ends partitions until ctx ends. It cycles through
// four kinds: a failure domain without any connection to the outside, a failure
// domain without the platform while new weights roll out, an outage of the
// platform while an instance is killed and replaced, and an outage together with
// a partitioned failure domain.
func (t *Trial) injectPartitions(ctx context.Context) {
	rng := rand.New(rand.NewPCG(t.seed, partitionRandStream))
	for i := 0; ctx.Err() == nil; i++ {
		domain := t.failureDomain(i + int(t.seed))
		switch i % 4 {
		case 0:
			t.network.setPartitioned(domain, true)
			pause(ctx, partitionDuration)
			t.network.setPartitioned(domain, false)
		case 1:
			t.editModel(ctx, fmt.Sprintf("weights-%d", i), func(m loomcatalogue.Model) loomcatalogue.Model {
				m.Version++
				return m
			})
			t.network.setPlatformCut(domain, true)
			pause(ctx, partitionDuration)
			t.network.setPlatformCut(domain, false)
		case 2:
			t.addOutage(1)
			killInstance(ctx, t, rng)
			pause(ctx, partitionDuration)
			t.addOutage(-1)
		default:
			t.network.setPartitioned(domain, true)
			t.addOutage(1)
			pause(ctx, partitionDuration)
			t.addOutage(-1)
			t.network.setPartitioned(domain, false)
		}
		pause(ctx, partitionPause)
	}
}

// checkCatalogueAgreement compares the catalogue revisions of all instances after
// all partitions have ended. An instance may be one revision behind the newest;
// if it is further behind, it counts as a revert.
func (t *Trial) checkCatalogueAgreement(r *Report) {
	newest := uint64(0)
	for _, inst := range t.runningInstances() {
		newest = max(newest, inst.instance.Revision())
	}
	for _, inst := range t.runningInstances() {
		if behind := newest - inst.instance.Revision(); behind > 1 {
			r.CatalogueReverts++
			r.Notes = append(r.Notes, fmt.Sprintf("instance %s is %d catalogue revisions behind the newest after all partitions have ended", inst.instance.ID(), behind))
		}
	}
}
