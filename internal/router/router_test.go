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

func load(t *testing.T) *platformconfig.Config {
	t.Helper()
	c, err := platformconfig.Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../config/platformconfig/testdata/config.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// begin makes the plan of a configuration without services.
func begin(t *testing.T, cfg *platformconfig.Config) *reconcile.Plan {
	t.Helper()
	p, err := reconcile.NewPlan(cfg, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// pipeListener is a listener whose connections are in memory.
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

// host stands in for an issuer host: it answers each request after a while.
func host(conn net.Conn, after time.Duration) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		time.Sleep(after)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"); err != nil {
			return
		}
	}
}

// newRouter makes a router whose discovery answers nothing and whose one host answers after a while.
func newRouter(t *testing.T, cfg *platformconfig.Config, after time.Duration, log io.Writer) *Router {
	return New(cfg, begin(t, cfg), slog.New(slog.NewTextHandler(log, nil)), func(ctx context.Context, _, addr string) (net.Conn, error) {
		near, far := net.Pipe()
		if addr == cfg.DiscoveryAddr {
			go func() { io.Copy(io.Discard, far); far.Close() }()
		} else {
			go host(far, after)
		}
		return near, nil
	}, dispatch.UnixClock())
}

// bubble runs a router in memory.
func bubble(t *testing.T, after time.Duration) (front *pipeListener, stop chan os.Signal, done chan error, log *strings.Builder) {
	front, stop, done, log, _ = bubbleOf(t, after)
	return front, stop, done, log
}

// bubbleOf is bubble with the router itself.
func bubbleOf(t *testing.T, after time.Duration) (*pipeListener, chan os.Signal, chan error, *strings.Builder, *Router) {
	front, stop, done, log := newPipeListener(), make(chan os.Signal, 1), make(chan error, 1), &strings.Builder{}
	r := newRouter(t, load(t), after, log)
	go func() { done <- r.ServeOn(front, Signals{Stop: stop}) }()
	return front, stop, done, log, r
}

func TestDrain(t *testing.T) {
	// SIGTERM with an answer on its way, an idle connection, and a connection that arrives late: what was taken
	// is answered, the idle one is closed, and the program ends once it owes nothing.
	synctest.Test(t, func(t *testing.T) {
		front, stop, done, log := bubble(t, 3*time.Second)
		waiting, idle := must(front.dial()), must(front.dial())
		began := time.Now()
		played := make(chan time.Duration, 3)
		go func() { replay.Play(t, waiting, "testdata/last_answer.txt", nil); played <- time.Since(began) }()
		go func() { replay.Play(t, idle, "testdata/idle.txt", nil); played <- time.Since(began) }()
		time.Sleep(time.Second)
		stop <- syscall.SIGTERM
		time.Sleep(400 * time.Millisecond)
		late := must(front.dial())
		go func() { replay.Play(t, late, "testdata/late_answer.txt", nil); played <- time.Since(began) }()
		got := []time.Duration{<-played, <-played, <-played}
		want := []time.Duration{1450 * time.Millisecond, 3 * time.Second, 4400 * time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if err := <-done; err != nil || time.Since(began) != 4400*time.Millisecond {
			t.Errorf("the router ended after %v: %v", time.Since(began), err)
		}
		if _, err := front.dial(); err == nil {
			t.Error("still listening")
		}
		if !strings.Contains(log.String(), "taken=2") || !strings.Contains(log.String(), "answers.served=2") {
			t.Errorf("the counters at the end: %s", log)
		}
	})
}

func TestDeadlineThroughTheWholeProgram(t *testing.T) {
	// A host that takes work and answers nothing: the answer comes at the acquirer's deadline, not later.
	synctest.Test(t, func(t *testing.T) {
		front, stop, done, _ := bubble(t, time.Minute)
		conn := must(front.dial())
		began := time.Now()
		replay.Play(t, conn, "testdata/deadline.txt", nil)
		if d := time.Since(began); d != 4800*time.Millisecond {
			t.Errorf("answered after %v", d)
		}
		stop <- syscall.SIGTERM
		if err := <-done; err != nil {
			t.Error(err)
		}
		conn.Close()
		time.Sleep(2 * time.Minute) // the stand-in's
	})
}

func TestSlowAcquirerHoldsNobodyUp(t *testing.T) {
	// One that does not read its answer stalls its own leg only, and is cut off in the end.
	synctest.Test(t, func(t *testing.T) {
		front, stop, done, log := bubble(t, time.Second)
		slow, quick := must(front.dial()), must(front.dial())
		began := time.Now()
		replay.Play(t, slow, "testdata/request.txt", nil)
		replay.Play(t, quick, "testdata/served.txt", nil)
		if d := time.Since(began); d != time.Second {
			t.Errorf("the other was served after %v", d)
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

func must(c net.Conn, err error) net.Conn {
	if err != nil {
		panic(err)
	}
	return c
}
