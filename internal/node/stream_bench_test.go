package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkEvents reads concurrent streams with one event every 35 ms each, directly from the engine ("direct") and through a
// router ("node"). An iteration lasts one second. us/event is the CPU time of the whole process; the difference of the two is
// the cost of the router.
func BenchmarkEvents(b *testing.B) {
	for _, streams := range []int{40, 120, 382} {
		for _, through := range []string{"direct", "node"} {
			b.Run(through+"/"+strconv.Itoa(streams), func(b *testing.B) {
				to := benchPacedEngine(b)
				if through == "node" {
					to = benchNode(b, to)
				}
				benchStreams(b, to, streams)
			})
		}
	}
}

// benchStreams reads streams from an address and reports the CPU time per event.
func benchStreams(b *testing.B, to string, streams int) {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var readers sync.WaitGroup
	var events atomic.Int64
	for i := range streams {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", to)
		if err != nil {
			b.Fatal(err)
		}
		context.AfterFunc(ctx, func() { c.Close() })
		io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+strconv.Itoa(i+1)+"\r\nX-Deadline-Remaining-Ms: 60000\r\nContent-Length: 3\r\n\r\nxxx")
		readers.Go(func() { countEvents(c, &events) })
	}
	time.Sleep(500 * time.Millisecond)
	events0, cpu0 := events.Load(), cpuTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	n := events.Load() - events0
	if n == 0 {
		b.Fatal("no event was received")
	}
	b.ReportMetric(float64((cpuTime()-cpu0).Microseconds())/float64(n), "us/event")
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "events/s")
	cancel()
	readers.Wait()
}

// countEvents counts the events of a stream until its connection is closed.
func countEvents(c net.Conn, events *atomic.Int64) {
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "data:") {
			events.Add(1)
		}
	}
}
