package loomlimit_test

import (
	"fmt"
	"testing"
	"time"

	"swiftloom/loomlimit"
)

// BenchmarkLend measures one lease renewal at the home of an account.
func BenchmarkLend(b *testing.B) {
	for _, holders := range []int{2, 20, 200} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			l := loomlimit.NewLedger(start, lease, 0)
			now := start
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				i++
				l.Grant(now, 1e6, loomlimit.LeaseRequest{Holder: fmt.Sprint(i % holders), Demand: 100})
			}
		})
	}
}

// BenchmarkQueue measures one request through the fair queue.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{10, 100, 420} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := loomlimit.NewQueue(loomlimit.QueueOptions{MaxQueued: 10_000})
			for i := range accounts {
				_ = q.Push(loomlimit.Item{ID: "first", ClientAccount: fmt.Sprint(i), Share: 1, Cost: 100}, 10)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				_ = q.Push(loomlimit.Item{ID: "next", ClientAccount: fmt.Sprint(i % accounts), Share: 1, Cost: 100}, 10)
				q.Pop()
			}
		})
	}
}
