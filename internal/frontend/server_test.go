package frontend

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/testutil/replay"
)

func TestNewConnectionEvictsTheLongestIdle(t *testing.T) {
	// At the maximum, a new connection evicts first an unused connection and then the one that has been idle for the longest time.
	// A connection that is itself new is not evicted, because it is about to be used.
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{
			Limits: limits.New(limits.Machine{MemoryMB: 192, Sockets: 1024}, limits.Site{}), IsReady: func() bool { return true },
			Post: func(dispatch.Event) {}, Now: func() time.Duration { return 0 }, Directory: onePool("chat"),
		})
		s.Limits.ClientConns, s.Limits.RejectConns = 3, 0
		open := func() net.Conn {
			serverConn, clientConn := net.Pipe()
			go s.ServeConn(serverConn)
			synctest.Wait()
			return clientConn
		}
		unused, old, young := open(), open(), open()
		for _, c := range []net.Conn{old, young} {
			replay.Play(t, c, "testdata/parts/health_once.txt", nil)
			time.Sleep(time.Second)
		}
		next := open()
		replay.Play(t, unused, "testdata/parts/is_closed.txt", nil)
		last := open()
		replay.Play(t, old, "testdata/parts/is_closed.txt", nil)
		for _, c := range []net.Conn{young, next, last} {
			replay.Play(t, c, "testdata/parts/health_once.txt", nil)
			time.Sleep(time.Millisecond)
		}
		fresh := open() // evicts young; all connections are now new or busy, so another one is closed at once
		for _, c := range []net.Conn{next, last} {
			replay.Play(t, c, "testdata/parts/health_begun.txt", nil)
		}
		replay.Play(t, open(), "testdata/parts/is_closed.txt", nil)
		for _, c := range []net.Conn{fresh, next, last} {
			c.Close()
		}
	})
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
				Directory: onePool("chat"), IsReady: func() bool { return true }, Now: func() time.Duration { return 0 },
				Post: func(e dispatch.Event) {
					if e, ok := e.(dispatch.RequestReceived); ok {
						go e.Client.(*openRequest).Reject(dispatch.VerdictRejected, 0)
					}
				},
			})
			serverConn, clientConn := net.Pipe()
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := clientConn.Read(buf); err != nil {
						return
					}
				}
			}()
			ended := make(chan struct{})
			go func() { _, _ = clientConn.Write(in); time.Sleep(time.Second); clientConn.Close(); close(ended) }()
			s.ServeConn(serverConn)
			<-ended
		})
	})
}
