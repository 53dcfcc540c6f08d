package dialect

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/limits"
	"notchhinge/internal/upstream"
)

// forwardedRequest is a request that the frontend passed to the dispatcher.
type forwardedRequest struct{ target, body, head string }

// serve passes the bytes of a client to a frontend with this dialect and returns the requests that it forwards and the bytes that it
// writes back. Each forwarded request is rejected with 503.
func serve(t *testing.T, text string) (got []forwardedRequest, response string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		d := newFrontend(t)
		lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 184, Sockets: 1024})
		server := frontend.New(frontend.Options{
			Limits: lim, Dialect: d, Directory: func() *directory.Directory { return nil }, Now: func() time.Duration { return 0 }, IsReady: func() bool { return true },
			Bounds: func() limits.RequestBounds {
				b, _ := lim.ConfiguredBounds(16384, 1<<20, 3*time.Second, 15*time.Second)
				return b
			},
			Post: func(e dispatch.Event) {
				received, ok := e.(dispatch.RequestReceived)
				if !ok {
					return
				}
				request := received.Client.(interface{ UpstreamRequest() *upstream.Request }).UpstreamRequest()
				mu.Lock()
				got = append(got, forwardedRequest{request.Target, string(request.Body), string(request.Header)})
				mu.Unlock()
				go received.Client.(interface {
					RejectAfterAttempts(verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool)
				}).RejectAfterAttempts(dispatch.VerdictRejected, time.Second, false)
			},
		})
		near, far := net.Pipe()
		var wait sync.WaitGroup
		wait.Go(func() {
			b, _ := io.ReadAll(far)
			response = string(b)
		})
		wait.Go(func() {
			io.WriteString(far, text)
			time.Sleep(30 * time.Second) // longer than the frontend waits for the rest of a request
			far.Close()
		})
		server.ServeConn(near)
		near.Close()
		wait.Wait()
	})
	return got, response
}

// TestRequestsAreNotSmuggled: a request whose framing is ambiguous must not smuggle a second request in its body. The test combines
// each pair of valid and malformed framing headers with a body that is itself a request. That request is never served, and a
// message with one valid framing header is forwarded with its whole body.
func TestRequestsAreNotSmuggled(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	framings := []string{
		"", length(len(hidden)), length(len(chunked)), length(0), length(4), "content-length:" + fmt.Sprint(len(hidden)) + "\r\n",
		"Content-Length: +" + fmt.Sprint(len(hidden)) + "\r\n", "Content-Length: -1\r\n", "Content-Length: 0x10\r\n", "Content-Length: 4, 4\r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length : 4\r\n", "Content-Length:\r\n 4\r\n", "Content-Length\x00: 4\r\n", "Content-Length: 4\x00\r\n",
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked, identity\r\n",
		"Transfer-Encoding: identity, chunked\r\n", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding: chunked\x0b\r\n", "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding: chunked\n", "X: y\rTransfer-Encoding: chunked\r\n",
		"X: y\n Transfer-Encoding: chunked\r\n", " Transfer-Encoding: chunked\r\n", "Transfer-Encoding\t: chunked\r\n", "TE: chunked\r\n",
	}
	whole := 0
	for _, first := range framings {
		for _, second := range framings {
			for _, body := range []string{hidden, chunked} {
				text := "POST /x/y/1 HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Request-Id: r1\r\n" + first + second + "\r\n" + body
				got, response := serve(t, text)
				for _, m := range got {
					if m.target == "/hidden" && !endsBeforeHidden(first+second) {
						t.Errorf("%q %q: the request in the body is served; response %.80q", first, second, response)
					}
				}
				if len(got) == 1 && got[0].target == "/x/y/1" && got[0].body == hidden {
					whole++
				}
			}
		}
	}
	for _, odd := range []string{"X-Odd: a\x00b", "X-Odd: a\x0bb", "X\x7f: a", "X Odd: a", "X-Odd : a", "X-Odd\t: a"} {
		if got, response := serve(t, "GET /x/y/1 HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Request-Id: r1\r\n"+odd+"\r\n\r\n"); len(got) > 0 || !strings.HasPrefix(response, "HTTP/1.1 400 ") {
			t.Errorf("%q: forwarded as %v, response %.40q", odd, got, response)
		}
	}
	if whole < 4 { // a valid Content-Length or Transfer-Encoding as the first or second header
		t.Errorf("only %d requests were forwarded with their whole body", whole)
	}
}

// endsBeforeHidden reports whether the framing headers unambiguously end the body before the hidden request, which is then a separate
// request on the connection.
func endsBeforeHidden(head string) bool {
	head = strings.ReplaceAll(head, "TE: chunked\r\n", "")
	return head == "" || head == "Content-Length: 0\r\n" || head == "Content-Length: 4\r\n"
}
