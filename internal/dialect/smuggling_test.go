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

// taken is a request as the front has handed it on.
type taken struct{ target, body, head string }

// serve has a front of this dialect take all that a client writes, and returns what it handed on and what it answered. Each
// request is answered 503 at once.
func serve(t *testing.T, text string) (got []taken, answered string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		d := dialect(t)
		lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 184, Sockets: 1024})
		front := frontend.New(frontend.Options{
			Limits: lim, Dialect: d, Directory: func() *directory.Directory { return nil }, Now: func() time.Duration { return 0 }, IsReady: func() bool { return true },
			Bounds: func() limits.RequestBounds {
				b, _ := lim.ConfiguredBounds(16384, 1<<20, 3*time.Second, 15*time.Second)
				return b
			},
			Post: func(e dispatch.Event) {
				x, ok := e.(dispatch.RequestReceived)
				if !ok {
					return
				}
				o := x.Client.(interface{ UpstreamRequest() *upstream.Request }).UpstreamRequest()
				mu.Lock()
				got = append(got, taken{o.Target, string(o.Body), string(o.Header)})
				mu.Unlock()
				go x.Client.(interface {
					RejectAfterAttempts(why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool)
				}).RejectAfterAttempts(dispatch.VerdictRejected, time.Second, false)
			},
		})
		near, far := net.Pipe()
		var wait sync.WaitGroup
		wait.Go(func() {
			b, _ := io.ReadAll(far)
			answered = string(b)
		})
		wait.Go(func() {
			io.WriteString(far, text)
			time.Sleep(30 * time.Second) // what it waits for does not come
			far.Close()
		})
		front.ServeConn(near)
		near.Close()
		wait.Wait()
	})
	return got, answered
}

// TestRequestsAreNotSmuggled: a message that could be read as ending in two places hides no other in what one of the readings takes
// for its body. Every pair of the ways to say where a body ends, and of ways to spoil them, around a body that is itself a
// request: it is never taken for one, whatever becomes of the message; and one that says it in one way alone has its body
// handed on whole.
func TestRequestsAreNotSmuggled(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	ways := []string{
		"", length(len(hidden)), length(len(chunked)), length(0), length(4), "content-length:" + fmt.Sprint(len(hidden)) + "\r\n",
		"Content-Length: +" + fmt.Sprint(len(hidden)) + "\r\n", "Content-Length: -1\r\n", "Content-Length: 0x10\r\n", "Content-Length: 4, 4\r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length : 4\r\n", "Content-Length:\r\n 4\r\n", "Content-Length\x00: 4\r\n", "Content-Length: 4\x00\r\n",
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked, identity\r\n",
		"Transfer-Encoding: identity, chunked\r\n", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding:\r\n chunked\r\n",
		"Transfer-Encoding: chunked\x0b\r\n", "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding: chunked\n", "X: y\rTransfer-Encoding: chunked\r\n",
		"X: y\n Transfer-Encoding: chunked\r\n", " Transfer-Encoding: chunked\r\n", "Transfer-Encoding\t: chunked\r\n", "TE: chunked\r\n",
	}
	whole := 0
	for _, first := range ways {
		for _, second := range ways {
			for _, body := range []string{hidden, chunked} {
				text := "POST /x/y/1 HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Request-Id: r1\r\n" + first + second + "\r\n" + body
				got, answered := serve(t, text)
				for _, m := range got {
					if m.target == "/hidden" && !plainly(first+second) {
						t.Errorf("%q %q: what is hidden in its body is taken for a message; answered %.80q", first, second, answered)
					}
				}
				if len(got) == 1 && got[0].target == "/x/y/1" && got[0].body == hidden {
					whole++
				}
			}
		}
	}
	for _, odd := range []string{"X-Odd: a\x00b", "X-Odd: a\x0bb", "X\x7f: a", "X Odd: a", "X-Odd : a", "X-Odd\t: a"} {
		if got, answered := serve(t, "GET /x/y/1 HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Request-Id: r1\r\n"+odd+"\r\n\r\n"); len(got) > 0 || !strings.HasPrefix(answered, "HTTP/1.1 400 ") {
			t.Errorf("%q: handed on as %v, answered %.40q", odd, got, answered)
		}
	}
	if whole < 4 { // lengths and chunks, alone
		t.Errorf("only %d messages had their body handed on", whole)
	}
}

// plainly tells whether a head says with one plain length, or nothing, where its body ends, so that what follows is another
// message.
func plainly(head string) bool {
	head = strings.ReplaceAll(head, "TE: chunked\r\n", "")
	return head == "" || head == "Content-Length: 0\r\n" || head == "Content-Length: 4\r\n"
}
