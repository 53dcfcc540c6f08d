package fleetconfig

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkTenants decodes configurations with many tenants: without the digest, as a router does ("read"), and with it, as a
// replica does when it accepts a configuration and again when the configuration is chosen.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{1400, 4600, 14000} {
		c := &Config{Revision: 1, Services: []Service{{Name: "s"}}}
		for i := range n {
			c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprintf("tenant-%05d", i), APIKeys: []string{fmt.Sprintf("sk-%032x", i*0x9e3779b1)}, RatePerS: 50})
		}
		text, err := cbor.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		for _, mode := range []string{"read", "digest"} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var err error
					if mode == "read" {
						_, err = Decode(text, nil)
					} else {
						_, _, err = DecodeWithDigest(text)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(text)), "text-bytes")
			})
		}
	}
}
