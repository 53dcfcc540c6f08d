package usage

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// benchReports returns one report per router with 150 requests in one window. The requests follow a Zipf distribution over 14,000
// tenants.
func benchReports(routers int) (all []*Report) {
	rnd := rand.New(rand.NewPCG(1, 1))
	z := rand.NewZipf(rnd, 1.01, 1, 13999)
	for i := range routers {
		p := &Report{Incarnation: uint64(i + 1), Zone: "zone-00", Loads: make([]Load, 5)}
		for range 150 {
			p.Counters.Add(7, fmt.Sprintf("tenant-%05d", z.Uint64()), 1)
		}
		for j := range p.Loads {
			p.Loads[j].Service = fmt.Sprint("model-", j)
		}
		all = append(all, p)
	}
	return all
}

// BenchmarkTable measures, for several numbers of routers, the time to decode and record a report, the heap size of a window, and
// the time to encode a window and to sum it.
func BenchmarkTable(b *testing.B) {
	for _, routers := range []int{30, 100, 330} {
		reports := benchReports(routers)
		var encoded [][]byte
		for _, p := range reports {
			encoded = append(encoded, p.Encode())
		}
		b.Run(fmt.Sprintf("report/%d", routers), func(b *testing.B) {
			table, i := &Table{}, 0
			before := heap()
			for b.Loop() {
				p, err := DecodeReport(encoded[i%routers])
				if err != nil {
					b.Fatal(err)
				}
				table.Record(time.Second, p)
				i++
			}
			for ; i < routers; i++ {
				p, _ := DecodeReport(encoded[i])
				table.Record(time.Second, p)
			}
			b.ReportMetric(float64(heap()-before), "held-bytes")
			b.ReportMetric(float64(len(encoded[0])), "report-bytes")
			runtime.KeepAlive(table)
		})
		table := &Table{}
		for _, p := range reports {
			table.Record(time.Second, p)
		}
		b.Run(fmt.Sprintf("write/%d", routers), func(b *testing.B) {
			var window []byte
			for b.Loop() {
				window = table.Encode(7, 8)
			}
			b.ReportMetric(float64(len(window)), "book-bytes")
		})
		b.Run(fmt.Sprintf("sum/%d", routers), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(SortedCounts(table.Sum(7)))
			}
			b.ReportMetric(float64(n), "tenants")
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
