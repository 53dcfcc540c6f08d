package gossip

import (
	"fmt"
	"testing"
	"time"
)

// sentBytes returns the total of bytes that all nodes have sent.
func (f *fleet) sentBytes() (sum uint64) {
	for _, n := range f.nodes {
		sum += n.SentBytes
	}
	return sum
}

func TestIdleCostDoesNotGrowWithTheFleet(t *testing.T) {
	bytesPerNodeSecond := func(size int) float64 {
		f := newFleet(size, 2)
		f.advance(10 * time.Second)
		before := f.sentBytes()
		f.advance(20 * time.Second)
		return float64(f.sentBytes()-before) / 20 / float64(size)
	}
	small, large := bytesPerNodeSecond(14), bytesPerNodeSecond(200)
	t.Logf("bytes per node and second: %.0f with 14 nodes, %.0f with 200", small, large)
	if large > 1.6*small || small > 2000 {
		t.Errorf("bytes per node and second: %.0f with 14 nodes, %.0f with 200", small, large)
	}
}

// BenchmarkIdle simulates an idle fleet, and reports the traffic and CPU time of a node per second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{14, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 2)
			f.advance(10 * time.Second)
			packets, before, seconds := f.packets, f.sentBytes(), 0
			for b.Loop() {
				f.advance(time.Second)
				seconds++
			}
			nodeSeconds := float64(seconds * size)
			b.ReportMetric(float64(f.sentBytes()-before)/nodeSeconds, "bytes/node-s")
			b.ReportMetric(float64(f.packets-packets)/nodeSeconds, "packets/node-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/nodeSeconds, "ns/node-s")
		})
	}
}
