package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"
)

// tenants is a text that names so many; the figure of one of them is another.
func tenants(n, changed int) []byte {
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

// BenchmarkTenants writes a configuration of so many tenants upon one in which one tenant's figure differs.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{1400, 4600, 9200, 10000, 11000, 12000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, next := tenants(n, -1), tenants(n, n/3)
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

// BenchmarkLevels does the same by the compressor's other levels.
func BenchmarkLevels(b *testing.B) {
	for _, level := range []zstd.EncoderLevel{zstd.SpeedFastest, zstd.SpeedDefault, zstd.SpeedBetterCompression} {
		for _, n := range []int{4600, 14000, 28000, 56000} {
			b.Run(fmt.Sprintf("%v/%d", level, n), func(b *testing.B) {
				base, next := tenants(n, -1), tenants(n, n/3)
				b.ReportAllocs()
				var d []byte
				for b.Loop() {
					d = squeeze(upon, base, next, []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level),
						zstd.WithWindowSize(window(len(base) + len(next))), zstd.WithEncoderDictRaw(baseID, base)})
				}
				b.ReportMetric(float64(len(d)), "delta-bytes")
			})
		}
	}
}
