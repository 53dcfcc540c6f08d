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

// patient is a dialect of messages whose bodies have a time of their own.
type patient struct {
	platform
	body time.Duration
}

func (p patient) Route(req *http.Request) (Destination, *Rejection) {
	w, no := p.platform.Route(req)
	w.BodyDeadline = time.Now().Add(p.body)
	return w, no
}

// bounded is a server whose bounds can be changed.
func bounded(b *atomic.Pointer[limits.RequestBounds], body time.Duration) *Server {
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{})
	lim.RequestHeadBytes = 1 << 10
	s := New(Options{
		Limits: lim, Directory: plain("chat"), IsReady: func() bool { return true }, Now: func() time.Duration { return 0 },
		Bounds: func() limits.RequestBounds { return *b.Load() },
		Post: func(e dispatch.Event) {
			if e, ok := e.(dispatch.RequestReceived); ok {
				go e.Client.(*openRequest).Reject(dispatch.VerdictRejected, time.Second)
			}
		},
	})
	if body > 0 {
		s.Dialect = patient{platform{s}, body}
	}
	return s
}

const good = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\nX-Budget: 900000m\r\n" +
	"X-Call-Info: prompt_len=1,prefix_len=0,max_out=1\r\n"

// message is one with headers and a body of these lengths, or a little more.
func message(headers, body int) string {
	pad := ""
	for len(pad)+len(good) < headers {
		pad += "X-Pad: " + strings.Repeat("p", 100) + "\r\n"
	}
	return good + pad + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("b", body)
}

func TestBoundsFollowTheConfiguration(t *testing.T) {
	// What a message may have is what the bounds say as it comes in, on connections that were there before, too.
	synctest.Test(t, func(t *testing.T) {
		b := &atomic.Pointer[limits.RequestBounds]{}
		b.Store(&limits.RequestBounds{HeadBytes: 24 << 10, HeaderBytes: 16 << 10, BodyBytes: 1000, ReadTimeout: time.Second, IdleTimeout: 5 * time.Second})
		s := bounded(b, 0)
		near, far := net.Pipe()
		ended := make(chan struct{})
		go func() { s.ServeConn(near); close(ended) }()
		br := bufio.NewReader(far)
		ask := func(text string) int {
			go io.WriteString(far, text)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
		if got := ask(message(15<<10, 900)); got != 503 {
			t.Errorf("within the bounds: %d", got)
		}
		synctest.Wait() // the body is given back after the answer
		if used := s.bodyQuota.Used(); used == 0 || used > 32<<10 {
			t.Errorf("a buffer that has grown counts as %d bytes", used)
		}
		wider := *b.Load()
		wider.BodyBytes = 4000
		b.Store(&wider)
		if got := ask(message(500, 3900)); got != 503 {
			t.Errorf("within wider bounds: %d", got)
		}
		narrower := wider
		narrower.HeaderBytes = 2 << 10
		b.Store(&narrower)
		if got := ask(message(3<<10, 10)); got != 431 {
			t.Errorf("beyond narrower bounds: %d", got)
		}
		far.Close()
		<-ended
		if used := s.bodyQuota.Used(); used != 0 {
			t.Errorf("%d bytes are still counted once the connection is gone", used)
		}
	})
}

func TestTimesFollowTheConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		body time.Duration // a time of its own; 0 = none
		send []string      // a second apart
		want int           // 0 = the connection is closed without a word
		at   time.Duration // from the first byte
	}{
		"a head that dawdles":         {0, []string{"POST / HT", "TP/1.1\r\n", "Host", ": a", "\r\n"}, 408, 3 * time.Second},
		"a body in the head's time":   {0, []string{good + "Content-Length: 9\r\n\r\n", "1", "2", "3", "4"}, 400, 3 * time.Second},
		"a body in its own time":      {20 * time.Second, append([]string{good + "Content-Length: 6\r\n\r\n"}, strings.Split("abcdef", "")...), 503, 6 * time.Second},
		"a body beyond its own time":  {5 * time.Second, append([]string{good + "Content-Length: 9\r\n\r\n"}, strings.Split("abcdefg", "")...), 408, 5 * time.Second},
		"nothing for the idle's time": {0, nil, 0, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &atomic.Pointer[limits.RequestBounds]{}
				b.Store(&limits.RequestBounds{HeadBytes: 8 << 10, BodyBytes: 1000, ReadTimeout: 3 * time.Second, IdleTimeout: 7 * time.Second})
				s := bounded(b, c.body)
				near, far := net.Pipe()
				sent := make(chan struct{})
				defer func() { far.Close(); <-sent }()
				began := time.Now()
				go s.ServeConn(near)
				go func() {
					defer close(sent)
					for _, part := range c.send {
						io.WriteString(far, part)
						time.Sleep(time.Second)
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(far), nil)
				got := 0
				if err == nil {
					got = resp.StatusCode
				}
				if took := time.Since(began); got != c.want || took < c.at || took > c.at+10*time.Millisecond {
					t.Errorf("%d after %v, not %d after %v", got, took, c.want, c.at)
				}
				if c.want != 503 {
					return
				}
				// Idle from now on: the connection goes when the bounds say.
				io.Copy(io.Discard, resp.Body)
				answered := time.Now()
				if _, err := far.Read(make([]byte, 1)); err == nil || time.Since(answered) != 7*time.Second {
					t.Errorf("idle for %v: %v", time.Since(answered), err)
				}
			})
		})
	}
}

func TestGrowingHeadsHaveABound(t *testing.T) {
	// Heads that are within the bounds take room; where there is none they are told to come back, and nothing is left counted.
	synctest.Test(t, func(t *testing.T) {
		b := &atomic.Pointer[limits.RequestBounds]{}
		b.Store(&limits.RequestBounds{HeadBytes: 72 << 10, HeaderBytes: 64 << 10, BodyBytes: 1000, ReadTimeout: time.Second, IdleTimeout: time.Second})
		s := bounded(b, 0)
		s.bodyQuota.Take(noPool, s.Limits.TotalBodyBytes-4<<10)
		near, far := net.Pipe()
		go s.ServeConn(near)
		go io.WriteString(far, message(40<<10, 1))
		resp, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%+v %v", resp, err)
		}
		far.Close()
		synctest.Wait()
		if left := s.bodyQuota.Used(); left != s.Limits.TotalBodyBytes-4<<10 {
			t.Errorf("%d bytes are counted, not %d", left, s.Limits.TotalBodyBytes-4<<10)
		}
	})
}
