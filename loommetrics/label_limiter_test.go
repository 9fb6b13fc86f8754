package loommetrics_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loommetrics"
)

func TestLabelLimiter(t *testing.T) {
	l := loommetrics.NewLabelLimiter(3)
	seen := make(map[string]bool)
	for i := range 100 {
		seen[l.Label(fmt.Sprint(i))] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"0": true, "1": true, "2": true, loommetrics.Other: true})
	assert.Equal(t, l.Label("1"), "1", "a kept value keeps its own label")
}
