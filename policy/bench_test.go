package policy

import (
	"fmt"
	"testing"
)

// BenchmarkArrive measures a request and its outcome at one of many routers, by the number of replicas.
func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{8, 60} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			balancer, err := New(manyRouters(80), 1)
			if err != nil {
				b.Fatal(err)
			}
			a := &recorder{}
			balancer.ListUpdated(t0, a, List{Kind: ListFull, Replicas: singleZoneFleet(n)})
			for i := 0; b.Loop(); i++ {
				now := t0 + Time(i)*sec
				q := req(RequestID(i+1), 0, uint64(i%5000+1))
				q.Prefix = uint64(i%50 + 1)
				balancer.RequestArrived(now, a, q)
				for len(balancer.awaitingProbes) > 0 {
					for _, to := range balancer.awaitingProbes[0].probed {
						balancer.ProbeFinished(now, a, ProbeResult{Replica: to.ID, Report: report(1)})
					}
				}
				to := a.sends[len(a.sends)-1].to
				balancer.AttemptFinished(now+ms, a, Outcome{ID: q.ID, Replica: to, Result: ResultOK, RequestEnded: true})
				a.lines, a.sends, a.timers = a.lines[:0], a.sends[:0], a.timers[:0]
			}
		})
	}
}
