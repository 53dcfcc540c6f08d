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

// BenchmarkTenants measures the decoding and compilation of configurations with 100 routes and thousands of tenants, with and without
// the pauses that let a router serve streams meanwhile. held-bytes is the heap that the compiled configuration occupies.
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
		encoded, err := cbor.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		for _, mode := range []string{"at once", "paused"} {
			var pause func()
			if mode == "paused" {
				pause = func() { time.Sleep(limits.ConfigYieldPause) }
			}
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				b.ReportAllocs()
				var held any
				before := heapBytes()
				for b.Loop() {
					c, err := fleetconfig.Decode(encoded, pause)
					if err != nil {
						b.Fatal(err)
					}
					next := hoststate.PoolID(1)
					held = Compile(c, CompileOptions{LogIndex: 1, NextPool: &next, Yield: pause})
				}
				b.ReportMetric(float64(heapBytes()-before), "held-bytes")
				runtime.KeepAlive(held)
			})
		}
	}
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
