package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// paced answers every request with a stream of an event each 35 ms, which is 28.6 a second.
func paced(b *testing.B) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		tick := time.NewTicker(35 * time.Millisecond)
		defer tick.Stop()
		for r.Context().Err() == nil {
			io.WriteString(w, "data: {\"token\":\"abcdef\"}\n\n")
			w.(http.Flusher).Flush()
			<-tick.C
		}
	})}
	go web.Serve(ln)
	b.Cleanup(func() { web.Close() })
	return ln.Addr().String()
}

// BenchmarkEvents has so many streams under way at once, an event each 35 ms on each, to the engine itself and through a
// router; an iteration is a second of it. us/event is the processor time of this process; what the router takes is the
// difference of the two.
func BenchmarkEvents(b *testing.B) {
	for _, streams := range []int{40, 120, 382} {
		for _, through := range []string{"direct", "node"} {
			b.Run(through+"/"+strconv.Itoa(streams), func(b *testing.B) {
				to := paced(b)
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
				before, used := events, spent()
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
				b.ReportMetric(float64((spent()-used).Microseconds())/float64(n), "us/event")
				b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
				cancel()
				wait.Wait()
			})
		}
	}
}

// spent is the processor time of this process.
func spent() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
