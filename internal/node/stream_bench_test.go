package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkEvents has so many streams under way at once, an event each 35 ms on each, to the engine itself and through a
// router; an iteration is a second of it. us/event is the processor time of this process; what the router takes is the
// difference of the two.
func BenchmarkEvents(b *testing.B) {
	for _, streams := range []int{40, 120, 382} {
		for _, through := range []string{"direct", "node"} {
			b.Run(through+"/"+strconv.Itoa(streams), func(b *testing.B) {
				to := benchPacedEngine(b)
				if through == "node" {
					to = benchNode(b, to)
				}
				ctx, cancel := context.WithCancel(b.Context())
				var mu sync.Mutex
				var wait sync.WaitGroup
				events := 0
				for i := range streams {
					c, err := net.Dial("tcp4", to)
					if err != nil {
						b.Fatal(err)
					}
					context.AfterFunc(ctx, func() { c.Close() })
					io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+strconv.Itoa(i+1)+"\r\nX-Deadline-Remaining-Ms: 60000\r\nContent-Length: 3\r\n\r\nxxx")
					wait.Go(func() {
						br := bufio.NewReader(c)
						for {
							line, err := br.ReadString('\n')
							if err != nil {
								return
							}
							if strings.HasPrefix(line, "data:") {
								mu.Lock()
								events++
								mu.Unlock()
							}
						}
					})
				}
				time.Sleep(500 * time.Millisecond)
				mu.Lock()
				before, used := events, cpuTime()
				mu.Unlock()
				for b.Loop() {
					time.Sleep(time.Second)
				}
				mu.Lock()
				n := events - before
				mu.Unlock()
				if n == 0 {
					b.Fatal("no event has come")
				}
				b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(n), "us/event")
				b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
				cancel()
				wait.Wait()
			})
		}
	}
}
