package node

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/roster"
	"notchhinge/internal/limits"
)

// BenchmarkRequest makes requests through a node's data plane, one after the other on one connection, to an engine on
// loopback; "direct" are the same requests to the engine itself, in the same run.
func BenchmarkRequest(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=10")
		io.WriteString(w, "answer")
	})}
	go web.Serve(ln)
	defer web.Close()
	lim := limits.NewNode(limits.Node{
		Machine: limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 4100}, HeadBytes: 16 << 10, BodyBytes: 1 << 20,
		HeadWait: 3 * time.Second, IdleWait: 15 * time.Second,
	})
	d := newData(slog.New(slog.NewTextHandler(io.Discard, nil)), lim, time.Second, 1, func(string) []roster.Engine {
		return []roster.Engine{{Record: roster.Record{ID: "i-1", Service: "s", Addr: ln.Addr().String()}}}
	})
	go d.run(b.Context())
	if err := d.apply(1, &declared.Config{
		Revision: 1, Services: []declared.Service{{Name: "s"}},
		Routes: []declared.Route{{Name: "r", Host: "h", Prefix: "/", Type: declared.Idempotent, Timeout: 5000, Service: "s", Attempts: 2}},
	}); err != nil {
		b.Fatal(err)
	}
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer front.Close()
	go d.front.Serve(front)
	for name, addr := range map[string]string{"direct": ln.Addr().String(), "node": front.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			c, err := net.Dial("tcp4", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			body := strings.Repeat("x", 300)
			b.ReportAllocs()
			for b.Loop() {
				io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 300\r\n\r\n"+body)
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
					b.Fatal(resp.Status, err)
				}
			}
		})
	}
}
