package loomkernel

import (
	"context"

	"github.com/juju/errors"
)

// Component is a part of a process. Run works until ctx ends and then returns
// nil; an earlier error ends the process.
type Component interface {
	Run(ctx context.Context) error
}

// Func adapts a function to a Component.
type Func func(ctx context.Context) error

// Run calls f.
func (f Func) Run(ctx context.Context) error {
	return f(ctx)
}

type part struct {
	name      string
	component Component
}

// Kernel runs components. They start in the order in which they were added
// and stop in the reverse order, each only after the later ones have ended.
type Kernel struct {
	parts []part
}

// Add appends a component. It must not be called while Run is under way.
func (k *Kernel) Add(name string, c Component) {
	k.parts = append(k.parts, part{name: name, component: c})
}

// Run starts every component, waits until ctx ends or a component fails, and
// stops them in reverse order. It returns the first failure.
func (k *Kernel) Run(ctx context.Context) error {
	failed := make(chan error, len(k.parts))
	running := make([]runningPart, 0, len(k.parts))
	base := context.WithoutCancel(ctx)
	for _, p := range k.parts {
		running = append(running, startPart(base, p, failed))
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	for i := len(running) - 1; i >= 0; i-- {
		running[i].cancel()
		<-running[i].done
	}
	if err != nil {
		return err
	}
	select {
	case err = <-failed:
		return err
	default:
		return nil
	}
}

type runningPart struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func startPart(base context.Context, p part, failed chan<- error) runningPart {
	ctx, cancel := context.WithCancel(base)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.component.Run(ctx); err != nil {
			failed <- errors.Annotatef(err, "component %s", p.name)
		}
	}()
	return runningPart{cancel: cancel, done: done}
}
