package loomcache_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"swiftloom/loomcache"
)

func TestOneImportAtATime(t *testing.T) {
	var f loomcache.Flights
	keys := loomcache.Chain(saltFor("a", 1), tokens(1, 2))
	others := loomcache.Chain(saltFor("b", 1), tokens(1, 2))
	end, _ := f.Begin("e1", keys[1])
	assert.Assert(t, end != nil)
	again, ended := f.Begin("e1", keys[1])
	assert.Assert(t, again == nil)
	for _, other := range []struct {
		engine string
		key    loomcache.Key
	}{{"e2", keys[1]}, {"e1", keys[0]}, {"e1", others[1]}} {
		endOther, _ := f.Begin(other.engine, other.key)
		assert.Assert(t, endOther != nil, "an import for another engine, depth or account does not wait")
		endOther()
	}
	select {
	case <-ended:
		t.Fatal("channel closed before the import ended")
	default:
	}
	end()
	end()
	<-ended
	next, _ := f.Begin("e1", keys[1])
	assert.Assert(t, next != nil)
}
