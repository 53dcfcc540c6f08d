package discovery

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// BenchmarkRouter simulates fleets with four endpoints per router, and reports the bytes that a router and a replica send per second.
func BenchmarkRouter(b *testing.B) {
	for _, routers := range []int{59, 86, 200} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			f := newFleet(testReplicas + routers)
			count := 4 * routers
			for k := range count {
				f.heartbeat(testReplicas+k%routers, k, 1, endpoints.StateReady)
			}
			f.advance(5 * time.Second)
			clear(f.sentBytes)
			callCount, seconds := uint64(1), 0.0
			for b.Loop() {
				callCount++
				for k := range count {
					f.heartbeat(k%testReplicas, k, callCount, endpoints.StateReady)
				}
				f.advance(heartbeatInterval)
				seconds += heartbeatInterval.Seconds()
			}
			byRouters, byReplicas := 0, 0
			for i, n := range f.sentBytes {
				if i < testReplicas {
					byReplicas += n
				} else {
					byRouters += n
				}
			}
			b.ReportMetric(float64(byRouters)/seconds/float64(routers), "bytes/router-s")
			b.ReportMetric(float64(byReplicas)/seconds/testReplicas, "bytes/replica-s")
		})
	}
}

// BenchmarkEndpoints measures a process with many endpoints: the time to handle a heartbeat at a replica, packets to other nodes
// included; the time to handle a tick; and the heap per endpoint.
func BenchmarkEndpoints(b *testing.B) {
	for _, count := range []int{150, 500, 1500} {
		before := heapBytes()
		f := newFleet(testReplicas + 1)
		for k := range count {
			f.heartbeat(k%testReplicas, k, 1, endpoints.StateReady)
		}
		f.advance(2 * time.Second)
		nodes := f.nodes
		heapPerEndpoint := float64(heapBytes()-before) / float64(len(nodes)*count)
		b.Run(fmt.Sprintf("heartbeat/%d", count), func(b *testing.B) {
			i := 0
			for b.Loop() {
				r := testRecord(i%count, uint64(2+i/count), endpoints.StateReady)
				f.nodes[0].Reduce(f.now, f.now.Milliseconds(), Heartbeat{Record: r})
				i++
			}
			b.ReportMetric(heapPerEndpoint, "B/engine")
		})
		b.Run(fmt.Sprintf("tick/%d", count), func(b *testing.B) {
			n, now := f.nodes[testReplicas], f.now
			for b.Loop() {
				now += 100 * time.Millisecond
				n.Reduce(now, now.Milliseconds(), Gossip{gossip.Tick{}})
			}
		})
		runtime.KeepAlive(nodes)
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
