package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/testutil/replay"
)

func loadConfig(t *testing.T) *platformconfig.Config {
	t.Helper()
	c, err := platformconfig.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../config/platformconfig/testdata/config.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// firstPlan returns the plan of a configuration without services.
func firstPlan(t *testing.T, cfg *platformconfig.Config) *reconcile.Plan {
	t.Helper()
	p, err := reconcile.NewPlan(cfg, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// pipeListener is a listener with connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("refused")
	}
}

// serveEngine serves a connection as an engine that answers each request after a delay.
func serveEngine(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		time.Sleep(delay)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"); err != nil {
			return
		}
	}
}

// newRouter returns a router with a discovery service that never answers and one engine that answers after a delay.
func newRouter(t *testing.T, cfg *platformconfig.Config, delay time.Duration, log io.Writer) *Router {
	return New(cfg, firstPlan(t, cfg), slog.New(slog.NewTextHandler(log, nil)), func(ctx context.Context, _, addr string) (net.Conn, error) {
		near, far := net.Pipe()
		if addr == cfg.DiscoveryAddr {
			go func() { io.Copy(io.Discard, far); far.Close() }()
		} else {
			go serveEngine(far, delay)
		}
		return near, nil
	}, dispatch.UnixClock())
}

// startRouter calls startInMemory and drops the router.
func startRouter(t *testing.T, delay time.Duration) (listener *pipeListener, stop chan os.Signal, done chan error, log *strings.Builder) {
	listener, stop, done, log, _ = startInMemory(t, delay)
	return listener, stop, done, log
}

// startInMemory starts a router with connections in memory.
func startInMemory(t *testing.T, delay time.Duration) (*pipeListener, chan os.Signal, chan error, *strings.Builder, *Router) {
	listener, stop, done, log := newPipeListener(), make(chan os.Signal, 1), make(chan error, 1), &strings.Builder{}
	r := newRouter(t, loadConfig(t), delay, log)
	go func() { done <- r.ServeOn(listener, Signals{Stop: stop}) }()
	return listener, stop, done, log, r
}

func TestDrain(t *testing.T) {
	// SIGTERM comes with a response in flight, an idle connection, and a connection that is opened later. The requests are
	// answered, the idle connection is closed, and the router ends after the last response.
	synctest.Test(t, func(t *testing.T) {
		listener, stop, done, log := startRouter(t, 3*time.Second)
		waiting, idle := mustDial(listener.dial()), mustDial(listener.dial())
		start := time.Now()
		played := make(chan time.Duration, 3)
		go func() { replay.Play(t, waiting, "testdata/last_answer.txt", nil); played <- time.Since(start) }()
		go func() { replay.Play(t, idle, "testdata/idle.txt", nil); played <- time.Since(start) }()
		time.Sleep(time.Second)
		stop <- syscall.SIGTERM
		time.Sleep(400 * time.Millisecond)
		late := mustDial(listener.dial())
		go func() { replay.Play(t, late, "testdata/late_answer.txt", nil); played <- time.Since(start) }()
		got := []time.Duration{<-played, <-played, <-played}
		want := []time.Duration{1450 * time.Millisecond, 3 * time.Second, 4400 * time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("times at which the connections end (-want +got):\n%s", diff)
		}
		if err := <-done; err != nil || time.Since(start) != 4400*time.Millisecond {
			t.Errorf("the router ended after %v: %v", time.Since(start), err)
		}
		if _, err := listener.dial(); err == nil {
			t.Error("still listening")
		}
		if !strings.Contains(log.String(), "taken=2") || !strings.Contains(log.String(), "answers.served=2") {
			t.Errorf("the counters at the end: %s", log)
		}
	})
}

func TestUnansweredRequestEndsAtItsDeadline(t *testing.T) {
	// An engine that does not answer: the client gets a response at its deadline.
	synctest.Test(t, func(t *testing.T) {
		listener, stop, done, _ := startRouter(t, time.Minute)
		conn := mustDial(listener.dial())
		start := time.Now()
		replay.Play(t, conn, "testdata/deadline.txt", nil)
		if d := time.Since(start); d != 4800*time.Millisecond {
			t.Errorf("answered after %v", d)
		}
		stop <- syscall.SIGTERM
		if err := <-done; err != nil {
			t.Error(err)
		}
		conn.Close()
		time.Sleep(2 * time.Minute) // until the engine ends
	})
}

func TestSlowClientDelaysNoOtherClient(t *testing.T) {
	// A client that does not read its response delays no other client, and is disconnected after a timeout.
	synctest.Test(t, func(t *testing.T) {
		listener, stop, done, log := startRouter(t, time.Second)
		slow, quick := mustDial(listener.dial()), mustDial(listener.dial())
		start := time.Now()
		replay.Play(t, slow, "testdata/request.txt", nil)
		replay.Play(t, quick, "testdata/served.txt", nil)
		if d := time.Since(start); d != time.Second {
			t.Errorf("the other client was served after %v", d)
		}
		time.Sleep(11 * time.Second)
		replay.Play(t, slow, "testdata/is_closed.txt", nil)
		quick.Close()
		stop <- syscall.SIGTERM
		if err := <-done; err != nil {
			t.Error(err)
		}
		if !strings.Contains(log.String(), "answers.served=1") || !strings.Contains(log.String(), "answers.gone=1") {
			t.Errorf("the counters at the end: %s", log)
		}
	})
}

func mustDial(c net.Conn, err error) net.Conn {
	if err != nil {
		panic(err)
	}
	return c
}
