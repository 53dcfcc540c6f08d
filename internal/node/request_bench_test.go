package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest sends requests one after another on one connection to an engine on loopback: directly ("direct"), through
// a router of `notchhinge run` ("serve"), and through a node of a fleet ("node").
func BenchmarkRequest(b *testing.B) {
	engine := benchEngine(b)
	for _, to := range []struct {
		name, addr, headers string
	}{
		{"direct", engine, ""},
		{"serve", benchServe(b, engine), "X-Call-Id: 1f\r\nX-Call-Class: chat\r\nX-Budget: 12000m\r\nX-Call-Info: prompt_len=1,prefix_len=0,max_out=1\r\n"},
		{"node", benchNode(b, engine), "X-Request-Id: 1f\r\nX-Deadline-Remaining-Ms: 5000\r\n"},
	} {
		b.Run(to.name, func(b *testing.B) {
			c, err := (&net.Dialer{}).DialContext(b.Context(), "tcp4", to.addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			text := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + to.headers + "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300)
			b.ReportAllocs()
			for b.Loop() {
				io.WriteString(c, text)
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 || n != 9 {
					b.Fatal(resp.Status, n, err)
				}
			}
		})
	}
}
