package loomclaim_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"swiftloom/loomclaim"
	"swiftloom/loomstandin"
)

// BenchmarkBatcher measures the time of one claim in batches of several sizes, and
// the bytes that it adds to a write.
func BenchmarkBatcher(b *testing.B) {
	for _, batch := range []int{1, 50, 400} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			var table loomstandin.Table
			batcher := loomclaim.NewBatcher()
			decided := make(chan loomclaim.Decision, batch)
			n := 0
			now := start
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				batcher.Submit(start, loomclaim.Request{Key: loomclaim.Key{ClientAccount: "hotel", Key: fmt.Sprintf("key-%09d", n)}, Attempt: fmt.Sprintf("entry-01-%09d", n)}, decided)
				if n%batch != 0 {
					continue
				}
				now = now.Add(loomclaim.MinWriteInterval)
				write, _ := batcher.Next(now)
				bytes = proto.Size(write.Request)
				batcher.Done(start, write, table.Transact(write.Request))
				for range batch {
					<-decided
				}
			}
			b.ReportMetric(float64(bytes)/float64(batch), "B/claim")
		})
	}
}
