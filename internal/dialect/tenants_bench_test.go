package dialect

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
)

// BenchmarkTenants takes a configuration of 100 routes and so many tenants from its bytes to what requests are led by, at once and
// with a router's pauses, so that streams go on; held-bytes is what a router keeps of it beside its text.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{1400, 4600, 14000} {
		c := &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}}}
		for i := range 100 {
			c.Routes = append(c.Routes, fleetconfig.Route{
				Name: fmt.Sprint("r", i), Hostname: fmt.Sprintf("h%d.example", i/20), PathPrefix: fmt.Sprintf("/p%d/", i),
				Type: fleetconfig.RouteStreaming, TimeoutMS: 60000, TargetLatencyMS: 390, TargetService: "s", MaxAttempts: 2,
			})
		}
		for i := range n {
			c.Tenants = append(c.Tenants, fleetconfig.Tenant{Name: fmt.Sprintf("tenant-%05d", i), APIKeys: []string{fmt.Sprintf("sk-%032x", i*0x9e3779b1)}, RatePerS: 50})
		}
		text, err := cbor.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		for _, how := range []string{"at once", "paused"} {
			var pause func()
			if how == "paused" {
				pause = func() { time.Sleep(limits.ConfigYieldPause) }
			}
			b.Run(fmt.Sprintf("%s/%d", how, n), func(b *testing.B) {
				b.ReportAllocs()
				var held any
				before := heap()
				for b.Loop() {
					c, err := fleetconfig.Decode(text, pause)
					next := hoststate.PoolID(1)
					if err == nil {
						held, err = Compile(c, CompileOptions{LogIndex: 1, NextPool: &next, Yield: pause})
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heap()-before), "held-bytes")
				runtime.KeepAlive(held)
			})
		}
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
