package singleton

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// benchReports are a window's reports of so many routers, 150 requests each, of 14,000 tenants whose part falls with the rank.
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

// BenchmarkBook is a keeper's book of usage of so many routers: what a report costs it, what a window takes of the heap, and
// what it costs to write a window for another keeper, and to add it up.
func BenchmarkBook(b *testing.B) {
	for _, routers := range []int{30, 100, 330} {
		reports := benchReports(routers)
		var texts [][]byte
		for _, p := range reports {
			texts = append(texts, p.Encode())
		}
		b.Run(fmt.Sprintf("report/%d", routers), func(b *testing.B) {
			book, i := &Table{}, 0
			before := heap()
			for b.Loop() {
				p, err := DecodeReport(texts[i%routers])
				if err != nil {
					b.Fatal(err)
				}
				book.Take(time.Second, p, true)
				i++
			}
			for ; i < routers; i++ {
				p, _ := DecodeReport(texts[i])
				book.Take(time.Second, p, true)
			}
			b.ReportMetric(float64(heap()-before), "held-bytes")
			b.ReportMetric(float64(len(texts[0])), "report-bytes")
			runtime.KeepAlive(book)
		})
		book := &Table{}
		for _, p := range reports {
			book.Take(time.Second, p, true)
		}
		b.Run(fmt.Sprintf("write/%d", routers), func(b *testing.B) {
			var text []byte
			for b.Loop() {
				text = book.Encode(7, 8)
			}
			b.ReportMetric(float64(len(text)), "book-bytes")
		})
		b.Run(fmt.Sprintf("sum/%d", routers), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(SortedCounts(book.Sum(7)))
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
