package loomschedule_test

import (
	"fmt"
	"testing"
	"time"

	"swiftloom/loomschedule"
)

// BenchmarkFirst measures one check of a list, which is made every 20 ms while requests wait.
func BenchmarkFirst(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d waiting", waiting), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			var l loomschedule.List
			for i := range waiting {
				work := time.Duration(10+i%200) * time.Millisecond
				l.Push(loomschedule.Waiter{
					ID: fmt.Sprint(i), Rank: i % 3, Account: fmt.Sprint(i % 24), Arrived: now, Work: work,
					Due: now.Add(time.Second - work), Until: now.Add(4*time.Second - work),
				})
			}
			c := loomschedule.Capacity{Upstreams: 90}
			b.ReportAllocs()
			for b.Loop() {
				l.First(now, 8, c)
			}
		})
	}
}
