package loomkernel

import (
	"context"

	"github.com/juju/errors"
)

// Component is a long-running part of a process.
type Component interface {
	// Run runs until ctx ends and then returns nil. An error stops the whole
	// process.
	Run(ctx context.Context) error
}

// ComponentFunc adapts a function to a Component.
type ComponentFunc func(ctx context.Context) error

// Run calls f(ctx).
func (f ComponentFunc) Run(ctx context.Context) error {
	return f(ctx)
}

// namedComponent is a component with its name for errors.
type namedComponent struct {
	name      string
	component Component
}

// Kernel runs components concurrently. It starts them in the order in which they
// were added and stops them in reverse order: each is canceled after those added
// later have returned. The zero value is ready to use.
type Kernel struct {
	components []namedComponent
}

// Add adds a component; name appears in its error. Add must not be called while Run
// is running.
func (k *Kernel) Add(name string, c Component) {
	k.components = append(k.components, namedComponent{name: name, component: c})
}

// Run starts every component, waits until ctx ends or a component fails, and stops
// them in reverse order. It returns the first error of a component, including one
// that occurs while stopping.
func (k *Kernel) Run(ctx context.Context) error {
	failed := make(chan error, len(k.components))
	running := make([]runningComponent, 0, len(k.components))
	base := context.WithoutCancel(ctx)
	for _, c := range k.components {
		running = append(running, startComponent(base, c, failed))
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

// runningComponent is a started component.
type runningComponent struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startComponent runs c in a goroutine and sends its error to failed. It derives the
// component's context from base.
func startComponent(base context.Context, c namedComponent, failed chan<- error) runningComponent {
	ctx, cancel := context.WithCancel(base)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.component.Run(ctx); err != nil {
			failed <- errors.Annotatef(err, "component %s", c.name)
		}
	}()
	return runningComponent{cancel: cancel, done: done}
}
