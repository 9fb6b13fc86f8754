package loomerror_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"swiftloom/loomerror"
)

func TestTableIsComplete(t *testing.T) {
	seen := make(map[string]loomerror.Kind)
	for _, k := range loomerror.Kinds() {
		response := k.Response()
		assert.Assert(t, response.Name != "", "kind %d has no entry in the table", int(k))
		assert.Assert(t, response.Status >= 400, "kind %s", response.Name)
		other, dup := seen[response.Name]
		assert.Assert(t, !dup, "kinds %d and %d share the name %s", other, k, response.Name)
		seen[response.Name] = k
		if response.Retryable {
			assert.Assert(t, response.NotRun != loomerror.NotRunFalse, "kind %s is retryable although the request ran", response.Name)
		}
	}
}

func TestFrom(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		kind   loomerror.Kind
		notRun loomerror.NotRun
	}{
		{"typed", loomerror.New(loomerror.QueueFull, "full"), loomerror.QueueFull, loomerror.NotRunTrue},
		{"wrapped", errors.Annotate(loomerror.New(loomerror.QueueFull, "full"), "admit"), loomerror.QueueFull, loomerror.NotRunTrue},
		{"stated", loomerror.New(loomerror.NoUpstream, "none").WithNotRun(loomerror.NotRunUnknown), loomerror.NoUpstream, loomerror.NotRunUnknown},
		{"canceled", context.Canceled, loomerror.Canceled, loomerror.NotRunUnknown},
		{"deadline", context.DeadlineExceeded, loomerror.DeadlinePassed, loomerror.NotRunUnknown},
		{"foreign", errors.New("boom"), loomerror.Internal, loomerror.NotRunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := loomerror.From(tt.err)
			assert.Equal(t, e.Kind(), tt.kind)
			assert.Equal(t, e.NotRun(), tt.notRun)
		})
	}
}
