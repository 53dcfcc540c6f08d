package fleetconfig

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkTenants decodes configurations of many tenants: as a router does ("read"), and with the digest, as each replica
// does when it accepts one and again when it is chosen.
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
		for _, what := range []string{"read", "digest"} {
			b.Run(fmt.Sprintf("%s/%d", what, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var err error
					if what == "read" {
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
