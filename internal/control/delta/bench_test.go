package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/klauspost/compress/zstd"
)

// tenantsConfig returns the text of a configuration with a number of tenants. The tenant at the index changed has a different rate;
// -1 = none has.
func tenantsConfig(tenants, changed int) []byte {
	var b bytes.Buffer
	for i := range tenants {
		x := uint64(i+1) * 0x9e3779b97f4a7c15
		fmt.Fprintf(&b, "name: tenant-%05d api_keys: sk-%016x%016x priority: 0 rate_per_s: 50", i, x, x^x>>29*0xbf58476d1ce4e5b9)
		if i == changed {
			b.WriteString(".5")
		}
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func BenchmarkEncode(b *testing.B) {
	base, data := routesConfig(5000, -1), routesConfig(5000, 2500)
	b.ReportAllocs()
	for b.Loop() {
		Encode(base, data)
	}
}

// BenchmarkTenants encodes a configuration relative to a base that differs in the rate of one tenant.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{1400, 4600, 9200, 10000, 11000, 12000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base, data := tenantsConfig(n, -1), tenantsConfig(n, n/3)
			b.ReportAllocs()
			var delta []byte
			for b.Loop() {
				delta = Encode(base, data)
			}
			b.ReportMetric(float64(len(data)), "text-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}

// BenchmarkLevels encodes the same configurations with each compression level.
func BenchmarkLevels(b *testing.B) {
	for _, level := range []zstd.EncoderLevel{zstd.SpeedFastest, zstd.SpeedDefault, zstd.SpeedBetterCompression} {
		for _, n := range []int{10, 100, 1000, 4600, 14000, 28000, 56000} {
			b.Run(fmt.Sprintf("%v/%d", level, n), func(b *testing.B) {
				base, data := tenantsConfig(n, -1), tenantsConfig(n, n/3)
				b.ReportAllocs()
				var delta []byte
				for b.Loop() {
					delta = compress(formatDelta, base, data,
						append(encoderOptions(level, len(base)+len(data)), zstd.WithEncoderDictRaw(dictionaryID, base)))
				}
				b.ReportMetric(float64(len(delta)), "delta-bytes")
			})
		}
	}
}
