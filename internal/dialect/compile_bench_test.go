package dialect

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/hoststate"
)

// BenchmarkConfiguration measures the decoding and compilation of configurations with up to thousands of routes.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{10, 1000, 5000} {
		c := &fleetconfig.Config{Revision: 1}
		for i := range 9 {
			c.Services = append(c.Services, fleetconfig.Service{Name: fmt.Sprint("s", i)})
		}
		for i := range n {
			c.Routes = append(c.Routes, fleetconfig.Route{
				Name: fmt.Sprint("r", i), Hostname: fmt.Sprintf("h%d.example", i/5), PathPrefix: fmt.Sprintf("/p%d/", i),
				Type: fleetconfig.RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 800, TargetService: fmt.Sprint("s", i%9), MaxAttempts: 2,
			})
			c.Tenants = append(c.Tenants, fleetconfig.Tenant{Name: fmt.Sprint("t", i), APIKeys: []string{fmt.Sprint("k", i)}})
		}
		encoded, err := cbor.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(encoded)))
			for b.Loop() {
				c, err := fleetconfig.Decode(encoded, nil)
				if err != nil {
					b.Fatal(err)
				}
				next := hoststate.PoolID(1)
				Compile(c, CompileOptions{LogIndex: 1, NextPool: &next})
			}
		})
	}
}
