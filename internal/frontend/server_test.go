package frontend

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/service"
	"notchhinge/internal/testutil/replay"
	"notchhinge/policy"
)

// TestExchanges plays recorded exchanges against the front. The words that stand for the broker's part:
//
//	taken ...     the front has handed over this authorisation
//	none          it has handed over nothing since, and no word of one that has gone
//	departed      it has told that the acquirer has gone
//	relay TEXT    events are passed on; also finish, break, refuse 0.5s and fail
//	drain, idle   SIGTERM has come; idle connections are to be closed
func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d recordings, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, file) })
		})
	}
}

func plain(classes ...string) func() *service.Directory {
	var all []policy.Class
	for _, c := range classes {
		all = append(all, policy.Class{Name: c})
	}
	d := service.Plain(&service.Pool{Classes: all, MaxBudget: time.Minute})
	return func() *service.Directory { return d }
}

func play(t *testing.T, file string) {
	var events []dispatch.Event
	var open *openRequest
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{MaxDeadline: 12 * time.Second})
	lim.BodyBytes, lim.TotalBodyBytes, lim.ClientConns = 64, 100, 1
	s := New(Options{
		Limits: lim, Directory: plain("chat", "batch"), IsReady: func() bool { return true },
		Now: func() time.Duration { return 0 },
		Post: func(e dispatch.Event) {
			if _, counted := e.(dispatch.RejectedByFrontend); !counted {
				events = append(events, e)
			}
		},
	})
	if filepath.Base(file) == "spare.txt" {
		s.conns = map[*conn]struct{}{{server: s, busy: true, hasReceived: true}: {}}
	}
	preset := int64(0)
	if filepath.Base(file) == "no_room.txt" {
		preset = 60
		s.bodyQuota.Take(noPool, preset)
	}
	next := func() dispatch.Event {
		synctest.Wait()
		if len(events) == 0 {
			return nil
		}
		e := events[0]
		events = events[1:]
		return e
	}
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() { s.ServeConn(near); close(ended) }()
	replay.Play(t, far, file, replay.Steps{
		"taken": func(want string) {
			e, ok := next().(dispatch.RequestReceived)
			if !ok {
				t.Fatal("nothing was taken")
			}
			open = e.Client.(*openRequest)
			o, q := open.Request.Upstream, e.Request
			got := fmt.Sprintf("%s %s %s %s %q class=%d session=%x prefix=%x prompt=%v shared=%v most=%v in=%v repeat=%v resumed=%v",
				o.Method, o.Target, o.Host, o.CallID, o.Body, q.Class, q.Session, q.Prefix, q.PromptTokens, q.PrefixTokens,
				q.MaxTokens, q.Timeout, q.IsClientRetry, q.IsResumed)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("taken (-want +got):\n%s", diff)
			}
		},
		"none": func(string) {
			if e := next(); e != nil {
				t.Fatalf("an event: %#v", e)
			}
		},
		"departed": func(string) {
			if e, ok := next().(dispatch.ClientLeft); !ok || e.Client != open {
				t.Fatal("not told that the acquirer has gone")
			}
		},
		"relay":  func(text string) { go func() { _ = open.WriteBody([]byte(text + "\n\n")) }() },
		"finish": func(string) { go func() { _ = open.Finish(true) }() },
		"break":  func(string) { go func() { _ = open.Finish(false) }() },
		"fail":   func(string) { go open.Reject(dispatch.VerdictFailed, 0) },
		"refuse": func(text string) {
			d, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			go open.Reject(dispatch.VerdictRejected, d)
		},
		"drain": func(string) { s.Drain() },
		"idle":  func(string) { synctest.Wait(); s.CloseIdle() },
	})
	far.Close()
	<-ended
	if open != nil {
		open.release() // as its end does, should the recording have stopped before
	}
	if n := s.bodyQuota.Used() - preset; n != 0 {
		t.Errorf("%d bytes of bodies are still counted", n)
	}
}

func TestIdleConnectionMakesRoom(t *testing.T) {
	// With all connections taken, a new one replaces one on which nothing has been asked for a while, and then
	// the one that has been idle for the longest; one that is new is about to be used, and stays.
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{
			Limits: limits.New(limits.Machine{MemoryMB: 192, Sockets: 1024}, limits.Site{}), IsReady: func() bool { return true },
			Post: func(dispatch.Event) {}, Now: func() time.Duration { return 0 }, Directory: plain("chat"),
		})
		s.Limits.ClientConns, s.Limits.RejectConns = 3, 0
		open := func() net.Conn {
			near, far := net.Pipe()
			go s.ServeConn(near)
			synctest.Wait()
			return far
		}
		silent, old, young := open(), open(), open()
		for _, c := range []net.Conn{old, young} {
			replay.Play(t, c, "testdata/parts/health_once.txt", nil)
			time.Sleep(time.Second)
		}
		next := open()
		replay.Play(t, silent, "testdata/parts/is_closed.txt", nil)
		last := open()
		replay.Play(t, old, "testdata/parts/is_closed.txt", nil)
		for _, c := range []net.Conn{young, next, last} {
			replay.Play(t, c, "testdata/parts/health_once.txt", nil)
			time.Sleep(time.Millisecond)
		}
		fresh := open() // takes the place of young; then all are new or at work, and one more is closed at once
		for _, c := range []net.Conn{next, last} {
			replay.Play(t, c, "testdata/parts/health_begun.txt", nil)
		}
		replay.Play(t, open(), "testdata/parts/is_closed.txt", nil)
		for _, c := range []net.Conn{fresh, next, last} {
			c.Close()
		}
	})
}

func TestParseBudget(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"4800m": 4800 * time.Millisecond, "1500u": 1500 * time.Microsecond, "0.5m": 500 * time.Microsecond,
		"99999999999m": time.Hour, // cut to what is the most
		"0m":           0, "-5m": 0, "5": 0, "5s": 0, "m": 0, "": 0, "1e3m": 0, "NaNm": 0, "+5m": 0, "\x205m": 0, "1.2.3m": 0,
	} {
		if got, ok := parseBudget(text, time.Hour); got != want || ok != (want != 0) {
			t.Errorf("%q: %v %v", text, got, ok)
		}
	}
}

func FuzzConn(f *testing.F) {
	// No input may cause a panic.
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: chat\r\nX-Budget: 5m\r\n" +
		"X-Call-Info: prompt_len=1,prefix_len=0,max_out=1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\nGET * HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{
				Limits:    limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{}),
				Directory: plain("chat"), IsReady: func() bool { return true }, Now: func() time.Duration { return 0 },
				Post: func(e dispatch.Event) {
					if e, ok := e.(dispatch.RequestReceived); ok {
						go e.Client.(*openRequest).Reject(dispatch.VerdictRejected, 0)
					}
				},
			})
			near, far := net.Pipe()
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := far.Read(buf); err != nil {
						return
					}
				}
			}()
			gone := make(chan struct{})
			go func() { _, _ = far.Write(in); time.Sleep(time.Second); far.Close(); close(gone) }()
			s.ServeConn(near)
			<-gone
		})
	})
}
