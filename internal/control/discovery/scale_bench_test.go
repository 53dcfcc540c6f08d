package discovery

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// BenchmarkEngines is a process that knows so many engines: what a call of one costs a keeper, with the words to the others;
// what a tick costs; and what each engine takes of the heap.
func BenchmarkEngines(b *testing.B) {
	for _, engines := range []int{150, 500, 1500} {
		var nodes []*Node
		make1 := func() *fleet {
			f := newFleet(keepers + 1)
			for k := range engines {
				f.beat(k%keepers, k, 1, endpoints.StateReady)
			}
			f.pass(2 * time.Second)
			nodes = append(nodes, f.nodes...)
			return f
		}
		before := heap()
		f := make1()
		held := float64(heap()-before) / float64(len(f.nodes)*engines)
		b.Run(fmt.Sprintf("beat/%d", engines), func(b *testing.B) {
			i := 0
			for b.Loop() {
				r := record(i%engines, uint64(2+i/engines), endpoints.StateReady)
				f.nodes[0].Reduce(f.now, f.now.Milliseconds(), Heartbeat{Record: r})
				i++
			}
			b.ReportMetric(held, "B/engine")
		})
		b.Run(fmt.Sprintf("tick/%d", engines), func(b *testing.B) {
			n, now := f.nodes[keepers], f.now
			for b.Loop() {
				now += 100 * time.Millisecond
				n.Reduce(now, now.Milliseconds(), gossip.Tick{})
			}
		})
		runtime.KeepAlive(nodes)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
