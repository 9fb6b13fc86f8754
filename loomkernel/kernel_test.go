package loomkernel_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomkernel"
)

func TestRunStopsInReverseOrder(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var stopped []string
	var k loomkernel.Kernel
	for _, name := range []string{"a", "b", "c"} {
		k.Add(name, loomkernel.ComponentFunc(func(ctx context.Context) error {
			<-ctx.Done()
			mu.Lock()
			defer mu.Unlock()
			stopped = append(stopped, name)
			return nil
		}))
	}
	cancel()
	assert.NilError(t, k.Run(ctx))
	assert.DeepEqual(t, stopped, []string{"c", "b", "a"})
}

func TestRunReportsFailure(t *testing.T) {
	var k loomkernel.Kernel
	k.Add("waits", loomkernel.ComponentFunc(func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}))
	k.Add("fails", loomkernel.ComponentFunc(func(context.Context) error {
		return errors.New("no port")
	}))
	assert.Error(t, k.Run(t.Context()), "component fails: no port")
}

func TestRegistryRefusesDuplicates(t *testing.T) {
	var r loomkernel.Registry
	r.Register("b", 1)
	r.Register("a", 2)
	assert.DeepEqual(t, r.Names(), []string{"a", "b"})
	plugin, ok := r.Lookup("b")
	assert.Assert(t, ok && plugin == 1)
	defer func() { assert.Assert(t, recover() != nil) }()
	r.Register("a", 3)
}
