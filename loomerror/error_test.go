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
		answer := k.Answer()
		assert.Assert(t, answer.Name != "", "kind %d has no entry in the table", int(k))
		assert.Assert(t, answer.Status >= 400, "kind %s", answer.Name)
		other, dup := seen[answer.Name]
		assert.Assert(t, !dup, "kinds %d and %d share the name %s", other, k, answer.Name)
		seen[answer.Name] = k
		if answer.Retryable {
			assert.Assert(t, answer.NotRun != loomerror.NotRunFalse, "kind %s is retryable although the request ran", answer.Name)
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
