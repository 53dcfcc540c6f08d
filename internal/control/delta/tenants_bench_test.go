package delta

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkTenants writes a configuration of so many tenants upon one in which one tenant's figure differs.
func BenchmarkTenants(b *testing.B) {
	text := func(n, changed int) []byte {
		var t bytes.Buffer
		for i := range n {
			x := uint64(i+1) * 0x9e3779b97f4a7c15
			fmt.Fprintf(&t, "name: tenant-%05d api_keys: sk-%016x%016x priority: 0 rate_per_s: 50", i, x, x^x>>29*0xbf58476d1ce4e5b9)
			if i == changed {
				t.WriteString(".5")
			}
			t.WriteByte(10)
		}
		return t.Bytes()
	}
	for _, n := range []int{1400, 4600, 9200, 10000, 11000, 12000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, next := text(n, -1), text(n, n/3)
			b.ReportAllocs()
			var d []byte
			for b.Loop() {
				d = Encode(base, next)
			}
			b.ReportMetric(float64(len(next)), "text-bytes")
			b.ReportMetric(float64(len(d)), "delta-bytes")
		})
	}
}
