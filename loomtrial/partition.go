package loomtrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"swiftloom/loomcatalogue"
)

// partitionStream is the stream of random numbers of the scenario.
const partitionStream = 11

const (
	editInterval = 400 * time.Millisecond
	phaseTime    = 3 * time.Second
	phasePause   = 1500 * time.Millisecond
	settleTime   = 3 * time.Second
)

// runPartition plays the load of a site while operators edit the catalogue all
// the time, failure domains and the platform are cut off, one after the other
// and both at once, new weights are rolled out, and an instance is killed and
// replaced during an outage of the platform.
func runPartition(ctx context.Context, o Options) (Report, error) {
	t, err := Start(ctx, o.Site, o.Policy, o.Seed, o.Log)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()
	edits, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { t.keepEditing(edits) })
	wait.Go(func() { t.partitions(edits) })
	r := t.Play(ctx, PlayOptions{
		Requests: o.Requests,
		Faults:   o.Faults,
		Scenario: o.Scenario,
		Progress: o.Progress,
		Before: func() {
			cancel()
			wait.Wait()
			pause(ctx, settleTime)
		},
	})
	t.checkAgreement(&r)
	return r, ctx.Err()
}

// keepEditing changes one entry again and again.
func (t *Trial) keepEditing(ctx context.Context) {
	for i := 0; pause(ctx, editInterval); i++ {
		t.editModel(ctx, fmt.Sprintf("edit-%d", i), func(m loomcatalogue.Model) loomcatalogue.Model {
			m.MaxTokens = maxAnswer - i%maxAnswerSteps
			return m
		})
	}
}

const (
	maxAnswer      = 1024
	maxAnswerSteps = 100
)

// partitions cuts and heals until ctx ends.
func (t *Trial) partitions(ctx context.Context) {
	random := rand.New(rand.NewPCG(t.seed, partitionStream))
	for i := 0; ctx.Err() == nil; i++ {
		domain := t.domain(i + int(t.seed))
		switch i % 4 {
		case 0:
			t.network.setCut(domain, true)
			pause(ctx, phaseTime)
			t.network.setCut(domain, false)
		case 1:
			t.editModel(ctx, fmt.Sprintf("weights-%d", i), func(m loomcatalogue.Model) loomcatalogue.Model {
				m.Version++
				return m
			})
			t.network.setUnlinked(domain, true)
			pause(ctx, phaseTime)
			t.network.setUnlinked(domain, false)
		case 2:
			t.setOutage(1)
			killInstance(ctx, t, random)
			pause(ctx, phaseTime)
			t.setOutage(-1)
		default:
			t.network.setCut(domain, true)
			t.setOutage(1)
			pause(ctx, phaseTime)
			t.setOutage(-1)
			t.network.setCut(domain, false)
		}
		pause(ctx, phasePause)
	}
}

// checkAgreement compares the catalogues of all instances after all is healed.
func (t *Trial) checkAgreement(r *Report) {
	newest := uint64(0)
	for _, i := range t.running() {
		newest = max(newest, i.instance.Revision())
	}
	for _, i := range t.running() {
		if behind := newest - i.instance.Revision(); behind > 1 {
			r.CatalogueReverts++
			r.Notes = append(r.Notes, fmt.Sprintf("instance %s is %d revisions behind after all is healed", i.instance.ID(), behind))
		}
	}
}
