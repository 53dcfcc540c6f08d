package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"notchhinge/internal/limits"
	"notchhinge/policy"
)

// newDispatcherWithHosts returns a dispatcher with one pool of the given number of hosts, and the time of its clock.
func newDispatcherWithHosts(b *testing.B, hosts int) (*Dispatcher, time.Duration) {
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 512, Sockets: 65536},
		limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
	dispatcher, now := New(lim), 1000*sec
	dispatcher.Reduce(now, ConfigurePool{Module: newModule(b), SlowStart: sec, SlowStartInitial: 0.5})
	l := EndpointsListed{Kind: policy.ListFull}
	for i := range hosts {
		l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("b", i), Addr: fmt.Sprintf("127.0.%d.%d:80", i/200, i%200), Weight: 1})
	}
	dispatcher.Reduce(now, l)
	return dispatcher, now
}

// serveRequest reduces the events of a served request, from its arrival to its end.
func serveRequest(dispatcher *Dispatcher, now time.Duration, i int, q policy.Request) {
	var attempt AttemptID
	for _, e := range dispatcher.Reduce(now, RequestReceived{Client: i, ReceivedAt: now, Request: q}) {
		if s, ok := e.(StartAttempt); ok {
			attempt = s.Attempt
		}
	}
	dispatcher.Reduce(now, AttemptStarted{attempt})
	dispatcher.Reduce(now, AttemptEnded{Attempt: attempt, Result: policy.ResultOK})
}

// BenchmarkHosts measures a request of a new session by the number of hosts in the pool, without a shared prompt prefix and with
// prefixes drawn from a Zipf distribution.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		for _, prefixes := range []int{0, 1000, 4000} {
			b.Run(fmt.Sprintf("%d hosts/%d prefixes", hosts, prefixes), func(b *testing.B) {
				dispatcher, now := newDispatcherWithHosts(b, hosts)
				rnd := rand.New(rand.NewPCG(1, 1))
				prefixRanks := rand.NewZipf(rnd, 1.01, 1, uint64(max(prefixes, 1)-1))
				i := 0
				serveNext := func() {
					i++
					now += 30 * time.Millisecond
					q := policy.Request{Session: uint64(i + 1), Timeout: sec}
					if prefixes > 0 {
						q.Prefix, q.PrefixTokens = prefixRanks.Uint64()+1, 500
					}
					serveRequest(dispatcher, now, i, q)
				}
				for range 3000 {
					serveNext()
				}
				for b.Loop() {
					serveNext()
				}
			})
		}
	}
}

// BenchmarkSessions measures the heap memory of a session.
func BenchmarkSessions(b *testing.B) {
	for _, sessions := range []int{2000, 7600, 25000, 65000} {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			for b.Loop() {
				dispatcher, now := newDispatcherWithHosts(b, 20)
				serveRequest(dispatcher, now, 0, policy.Request{Session: 1, Timeout: sec})
				before := heapBytes()
				for i := range sessions {
					now += time.Millisecond
					serveRequest(dispatcher, now, i+1, policy.Request{Session: uint64(i + 2), Timeout: sec})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(sessions), "B/session")
				runtime.KeepAlive(dispatcher)
			}
		})
	}
}
