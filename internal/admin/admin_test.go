package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/limits"
)

// state is a State of which the test sets the fields.
type state struct {
	mu       sync.Mutex
	draining bool
	ending   bool
}

func (s *state) Serving() (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining, "draining"
}
func (s *state) StartDrain() { s.mu.Lock(); s.draining = true; s.mu.Unlock() }
func (s *state) StopDrain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return errors.New("ending")
	}
	s.draining = false
	return nil
}

// listener is an in-memory net.Listener.
type listener struct{ conns chan net.Conn }

func (l *listener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *listener) Close() error   { close(l.conns); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *listener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// call sends a request on a new connection and returns the head of the response.
func call(t *testing.T, l *listener, text string) *http.Response {
	t.Helper()
	c := l.dial()
	defer c.Close()
	go io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
	io.Copy(io.Discard, r.Body)
	if !r.Close {
		t.Errorf("%.40q: the response does not announce that the connection closes", text)
	}
	return r
}

func TestStatusOfHealthCheckCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, l := &state{}, &listener{make(chan net.Conn)}
		s := &Server{State: st}
		go func() { _ = s.Serve(l) }()
		defer l.Close()
		for _, c := range []struct {
			call   string
			status int
		}{
			{"GET /healthcheck", 200},
			{"POST /healthcheck/fail", 200},
			{"POST /healthcheck/fail", 200},
			{"GET /healthcheck", 503},
			{"POST /healthcheck/ok", 200},
			{"POST /healthcheck/ok", 200},
			{"GET /healthcheck?x=1", 200},
			{"POST /healthcheck", 405},
			{"GET /healthcheck/fail", 405},
			{"DELETE /healthcheck/ok", 405},
			{"GET /health", 404},
			{"GET /", 404},
		} {
			if r := call(t, l, c.call+" HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != c.status {
				t.Errorf("%s: status %d, want %d", c.call, r.StatusCode, c.status)
			} else if c.status == 405 && r.Header.Get("Allow") == "" {
				t.Errorf("%s: no Allow header", c.call)
			}
		}
		st.ending = true
		for text, status := range map[string]int{
			"POST /healthcheck/ok HTTP/1.1\r\nHost: x\r\n\r\n":                                                409,
			"GET /healthcheck HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", limits.AdminHeadBytes):        431,
			"GET /healthcheck HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
			"GET /healthcheck\r\n\r\n": 400,
		} {
			if r := call(t, l, text); r.StatusCode != status {
				t.Errorf("%.60q: status %d, want %d", text, r.StatusCode, status)
			}
		}
	})
}

func TestSlowClientsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &listener{make(chan net.Conn)}
		s := &Server{State: &state{}}
		go func() { _ = s.Serve(l) }()
		defer l.Close()
		var slow []net.Conn
		for range 3 * limits.AdminConns { // more than the limit
			c := l.dial()
			slow = append(slow, c)
			go io.WriteString(c, "GET /heal")
		}
		began := time.Now()
		if r := call(t, l, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != 200 {
			t.Errorf("status %d beside slow clients", r.StatusCode)
		}
		if d := time.Since(began); d > 0 {
			t.Errorf("a call beside slow clients took %v", d)
		}
		synctest.Wait()
		if n := s.OpenConns(); n > limits.AdminConns {
			t.Errorf("%d connections are open", n)
		}
		time.Sleep(limits.AdminTimeout)
		synctest.Wait()
		if n := s.OpenConns(); n != 0 {
			t.Errorf("%d connections are open after %v of silence", n, limits.AdminTimeout)
		}
		for _, c := range slow {
			c.Close()
		}
	})
}
