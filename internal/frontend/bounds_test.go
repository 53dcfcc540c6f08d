package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
)

// ownBodyDeadline is a dialect with a separate deadline for bodies.
type ownBodyDeadline struct {
	platform
	bodyTimeout time.Duration
}

func (d ownBodyDeadline) Route(req *http.Request) (Destination, *Rejection) {
	dst, rejection := d.platform.Route(req)
	dst.BodyDeadline = time.Now().Add(d.bodyTimeout)
	return dst, rejection
}

// boundedServer returns a server that uses the current value of bounds and rejects all requests. A positive bodyTimeout sets a
// separate deadline for bodies.
func boundedServer(bounds *atomic.Pointer[limits.RequestBounds], bodyTimeout time.Duration) *Server {
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{})
	lim.RequestHeadBytes = 1 << 10
	s := New(Options{
		Limits: lim, Directory: onePool("chat"), IsReady: func() bool { return true }, Now: func() time.Duration { return 0 },
		Bounds: func() limits.RequestBounds { return *bounds.Load() },
		Post: func(e dispatch.Event) {
			if e, ok := e.(dispatch.RequestReceived); ok {
				go e.Client.(*openRequest).Reject(dispatch.VerdictRejected, time.Second)
			}
		},
	})
	if bodyTimeout > 0 {
		s.Dialect = ownBodyDeadline{platform{s}, bodyTimeout}
	}
	return s
}

const requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\nX-Budget: 900000m\r\n" +
	"X-Call-Info: prompt_len=1,prefix_len=0,max_out=1\r\n"

// requestText returns a request with headers of at least, and a body of exactly, these numbers of bytes.
func requestText(headers, body int) string {
	pad := ""
	for len(pad)+len(requestHead) < headers {
		pad += "X-Pad: " + strings.Repeat("p", 100) + "\r\n"
	}
	return requestHead + pad + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("b", body)
}

func TestBoundsApplyToConnectionsAlreadyOpen(t *testing.T) {
	// A request is subject to the bounds at the time when it is read, also on a connection that was opened earlier.
	synctest.Test(t, func(t *testing.T) {
		bounds := &atomic.Pointer[limits.RequestBounds]{}
		bounds.Store(&limits.RequestBounds{HeadBytes: 24 << 10, HeaderBytes: 16 << 10, BodyBytes: 1000, ReadTimeout: time.Second, IdleTimeout: 5 * time.Second})
		s := boundedServer(bounds, 0)
		serverConn, clientConn := net.Pipe()
		ended := make(chan struct{})
		go func() { s.ServeConn(serverConn); close(ended) }()
		br := bufio.NewReader(clientConn)
		sendRequest := func(text string) int {
			go io.WriteString(clientConn, text)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
		if got := sendRequest(requestText(15<<10, 900)); got != 503 {
			t.Errorf("request within the bounds: status %d", got)
		}
		synctest.Wait() // the body is released after the response
		if used := s.bodyQuota.Used(); used == 0 || used > 32<<10 {
			t.Errorf("%d bytes are reserved for a buffer that has grown", used)
		}
		wider := *bounds.Load()
		wider.BodyBytes = 4000
		bounds.Store(&wider)
		if got := sendRequest(requestText(500, 3900)); got != 503 {
			t.Errorf("request within wider bounds: status %d", got)
		}
		narrower := wider
		narrower.HeaderBytes = 2 << 10
		bounds.Store(&narrower)
		if got := sendRequest(requestText(3<<10, 10)); got != 431 {
			t.Errorf("request beyond narrower bounds: status %d", got)
		}
		clientConn.Close()
		<-ended
		if used := s.bodyQuota.Used(); used != 0 {
			t.Errorf("%d bytes are still reserved after the connection was closed", used)
		}
	})
}

func TestReadAndIdleTimeoutsFollowTheBounds(t *testing.T) {
	for name, c := range map[string]struct {
		bodyTimeout time.Duration // separate timeout for the body; 0 = none
		send        []string      // parts, sent one second apart
		want        int           // status; 0 = the connection is closed without a response
		at          time.Duration // since the start of the connection
	}{
		"a head that comes slowly":          {0, []string{"POST / HT", "TP/1.1\r\n", "Host", ": a", "\r\n"}, 408, 3 * time.Second},
		"a body within the head's deadline": {0, []string{requestHead + "Content-Length: 9\r\n\r\n", "1", "2", "3", "4"}, 400, 3 * time.Second},
		"a body within its own deadline":    {20 * time.Second, append([]string{requestHead + "Content-Length: 6\r\n\r\n"}, strings.Split("abcdef", "")...), 503, 6 * time.Second},
		"a body beyond its own deadline":    {5 * time.Second, append([]string{requestHead + "Content-Length: 9\r\n\r\n"}, strings.Split("abcdefg", "")...), 408, 5 * time.Second},
		"nothing at all":                    {0, nil, 0, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bounds := &atomic.Pointer[limits.RequestBounds]{}
				bounds.Store(&limits.RequestBounds{HeadBytes: 8 << 10, BodyBytes: 1000, ReadTimeout: 3 * time.Second, IdleTimeout: 7 * time.Second})
				s := boundedServer(bounds, c.bodyTimeout)
				serverConn, clientConn := net.Pipe()
				sent := make(chan struct{})
				defer func() { clientConn.Close(); <-sent }()
				start := time.Now()
				go s.ServeConn(serverConn)
				go func() {
					defer close(sent)
					for _, part := range c.send {
						io.WriteString(clientConn, part)
						time.Sleep(time.Second)
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
				got := 0
				if err == nil {
					got = resp.StatusCode
				}
				if took := time.Since(start); got != c.want || took < c.at || took > c.at+10*time.Millisecond {
					t.Errorf("status %d after %v, want %d after %v", got, took, c.want, c.at)
				}
				if c.want != 503 {
					return
				}
				// The connection is idle from now on and closes after the idle timeout.
				io.Copy(io.Discard, resp.Body)
				answered := time.Now()
				if _, err := clientConn.Read(make([]byte, 1)); err == nil || time.Since(answered) != 7*time.Second {
					t.Errorf("connection closed after %v: %v", time.Since(answered), err)
				}
			})
		})
	}
}

func TestGrownHeadBuffersCountInTheBodyQuota(t *testing.T) {
	// A long head within the bounds reserves bytes. If none are left, the request is rejected with Retry-After and nothing stays
	// reserved.
	synctest.Test(t, func(t *testing.T) {
		bounds := &atomic.Pointer[limits.RequestBounds]{}
		bounds.Store(&limits.RequestBounds{HeadBytes: 72 << 10, HeaderBytes: 64 << 10, BodyBytes: 1000, ReadTimeout: time.Second, IdleTimeout: time.Second})
		s := boundedServer(bounds, 0)
		s.bodyQuota.Take(noPool, s.Limits.TotalBodyBytes-4<<10)
		serverConn, clientConn := net.Pipe()
		go s.ServeConn(serverConn)
		go io.WriteString(clientConn, requestText(40<<10, 1))
		resp, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%+v %v", resp, err)
		}
		clientConn.Close()
		synctest.Wait()
		if left := s.bodyQuota.Used(); left != s.Limits.TotalBodyBytes-4<<10 {
			t.Errorf("%d bytes are reserved, want %d", left, s.Limits.TotalBodyBytes-4<<10)
		}
	})
}
