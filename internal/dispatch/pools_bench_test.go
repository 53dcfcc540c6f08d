package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// BenchmarkPools measures a served request, from RequestReceived to its end, with one pool and with many pools of 20 hosts each.
// B/pool is the heap memory of a pool with its hosts.
func BenchmarkPools(b *testing.B) {
	for _, n := range []int{1, 200} {
		b.Run(fmt.Sprintf("%d pools of 20 hosts", n), func(b *testing.B) {
			const hosts = 20
			lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 512, Sockets: 65536},
				limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
			before := heapBytes()
			dispatcher, now := New(lim), 1000*sec
			for p := range n {
				dispatcher.Reduce(now, ConfigurePool{
					Pool: hoststate.PoolID(p), Name: fmt.Sprint("p", p), Module: newModule(b), SlowStart: sec, SlowStartInitial: 0.5,
					RequestQuota: quota.Claim{Guarantee: int64(lim.ConcurrentRequests / n / 2)},
				})
				l := EndpointsListed{Pool: hoststate.PoolID(p), Kind: policy.ListFull}
				for i := range hosts {
					l.Hosts = append(l.Hosts, Host{Name: fmt.Sprintf("b%d-%d", p, i), Addr: fmt.Sprintf("127.0.%d.%d:80", p, i), Weight: 1})
				}
				dispatcher.Reduce(now, l)
			}
			heapGrowth := heapBytes() - before
			i := 0
			for b.Loop() {
				i++
				now += 100 * time.Microsecond
				var attempt AttemptID
				for _, e := range dispatcher.Reduce(now, RequestReceived{Client: i, Pool: hoststate.PoolID(i % n), ReceivedAt: now, Request: policy.Request{Session: uint64(i%5000 + 1), Timeout: sec}}) {
					if s, ok := e.(StartAttempt); ok {
						attempt = s.Attempt
					}
				}
				dispatcher.Reduce(now, AttemptStarted{attempt})
				dispatcher.Reduce(now, AttemptEnded{Attempt: attempt, Result: policy.ResultOK})
			}
			b.ReportMetric(float64(heapGrowth)/float64(n), "B/pool")
			runtime.KeepAlive(dispatcher)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
