package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// rawEngine reads requests and lets play answer on the connection; it closes it when play says so.
type rawEngine struct {
	addr string
	got  atomic.Int64
}

func newRawEngine(t *testing.T, play func(c net.Conn, r *http.Request) (goOn bool)) *rawEngine {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &rawEngine{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					e.got.Add(1)
					if !play(c, r) {
						return
					}
				}
			}()
		}
	}()
	return e
}

func says(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return true
	}
}

// testPlane is a data plane of its own.
type testPlane struct {
	t    *testing.T
	d    *data
	addr string
	ln   net.Listener
	list atomic.Pointer[[]endpoints.Engine]
}

func at(id, service string, e *rawEngine) endpoints.Engine {
	return endpoints.Engine{Record: endpoints.Record{ID: id, Service: service, Addr: e.addr}}
}

// newPlane starts one under the configuration of planeConfig.
func newPlane(t *testing.T, seed uint64, engines ...endpoints.Engine) *testPlane {
	t.Helper()
	p := &testPlane{t: t}
	p.list.Store(&engines)
	lim := limits.NewNode(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 4100})
	p.d = newData(slog.New(slog.NewTextHandler(io.Discard, nil)), lim, time.Second, seed, func(service string) (all []endpoints.Engine) {
		for _, e := range *p.list.Load() {
			if e.Service == service {
				all = append(all, e)
			}
		}
		return all
	})
	go p.d.run(t.Context())
	if err := p.d.apply(1, planeConfig()); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.ln.Close() })
	p.addr = p.ln.Addr().String()
	go p.d.front.Serve(p.ln)
	return p
}

// set changes the engines; what is asked from now on meets those.
func (p *testPlane) set(engines ...endpoints.Engine) {
	p.list.Store(&engines)
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.feed(p.d.at.Load())
}

func planeConfig() *fleetconfig.Config {
	route := func(name, prefix, kind string) fleetconfig.Route {
		return fleetconfig.Route{Name: name, Host: "h", Prefix: prefix, Type: kind, Timeout: 1500, Target: 100, Service: "s", Attempts: 2}
	}
	other := route("d", "/other/", fleetconfig.Idempotent)
	other.Service = "t"
	long := route("e", "/long/", fleetconfig.Streaming)
	long.Timeout = 20000
	return &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}}, Routes: []fleetconfig.Route{
		route("a", "/once/", fleetconfig.NonIdempotent), route("b", "/again/", fleetconfig.Idempotent), route("c", "/stream/", fleetconfig.Streaming), other, long,
	}}
}

// plane is a data plane with engines of service s by name; its address is returned.
func plane(t *testing.T, seed uint64, engines map[string]*rawEngine) string {
	t.Helper()
	var all []endpoints.Engine
	for id, e := range engines {
		all = append(all, at(id, "s", e))
	}
	return newPlane(t, seed, all...).addr
}

func post(t *testing.T, addr, path string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

const (
	full   = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	wrong  = "HTTP/1.1 421 Misdirected Request\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	served = "HTTP/1.1 200 OK\nX-Response-Seal: s\nContent-Length: 4\n\ngood"
	failed = "HTTP/1.1 500 Internal Server Error\nX-Response-Seal: f\nContent-Length: 3\n\nbad"
)

func TestWhatMayHaveRunGoesToNoOther(t *testing.T) {
	closes := func(net.Conn, *http.Request) bool { return false }
	good := says(served)
	for name, c := range map[string]struct {
		first  func(net.Conn, *http.Request) bool
		path   string
		status int  // of a request that met the first engine first
		second bool // the other engine is asked then
	}{
		"a reset, not repeatable":  {closes, "/once/1", 504, false},
		"a reset, a stream":        {closes, "/stream/1", 504, false},
		"a reset, repeatable":      {closes, "/again/1", 200, true},
		"full, not repeatable":     {says(full), "/once/1", 200, true},
		"another engine is there":  {says(wrong), "/stream/1", 200, true},
		"an error, not repeatable": {says(failed), "/once/1", 500, false},
		"an error, repeatable":     {says(failed), "/again/1", 200, true},
		"bytes that are no answer": {says("what is this\n\n"), "/once/1", 504, false},
		"a body that is cut off": {func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
			return false
		}, "/again/1", 200, true},
		"silence, then it is over": {func(c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }, "/once/1", 504, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The draw may pick either first: requests are made until one has met the first engine.
			for seed := range uint64(40) {
				first, second := newRawEngine(t, c.first), newRawEngine(t, good)
				addr := plane(t, seed, map[string]*rawEngine{"first": first, "second": second})
				resp, body, err := post(t, addr, c.path)
				if err != nil {
					t.Fatal(err)
				}
				if first.got.Load() == 0 {
					continue
				}
				if resp.StatusCode != c.status || (second.got.Load() > 0) != c.second || first.got.Load() != 1 {
					t.Errorf("%d %q; the other engine was asked %d times, this one %d", resp.StatusCode, body, second.got.Load(), first.got.Load())
				}
				if c.status == 500 && (body != "bad" || resp.Header.Get("X-Response-Seal") != "f") {
					t.Errorf("the engine's answer came as %q", body)
				}
				return
			}
			t.Error("the first engine was never drawn")
		})
	}
}

func TestNothingRanIsAPromise(t *testing.T) {
	one, two := newRawEngine(t, says(full)), newRawEngine(t, says(full))
	addr := plane(t, 1, map[string]*rawEngine{"one": one, "two": two})
	for _, path := range []string{"/once/1", "/again/1", "/stream/1"} {
		resp, _, err := post(t, addr, path)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v, %v", path, resp, err)
		}
	}
}

func TestStreamThatBreaksIsNoWholeAnswer(t *testing.T) {
	e := newRawEngine(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		io.WriteString(c, "f\r\nid: 1\ndata: x\n\n\r\n")
		return false
	})
	resp, body, err := post(t, plane(t, 1, map[string]*rawEngine{"e": e}), "/stream/1")
	if resp == nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "id: 1") || err == nil {
		t.Errorf("%+v %q %v: a broken stream must not look complete", resp, body, err)
	}
}

// TestUnheardIsSet: a line to an engine ends once its machine has not even received what was sent on it for so long.
func TestUnheardIsSet(t *testing.T) {
	e := newRawEngine(t, says("HTTP/1.1 200 OK\nContent-Length: 0\n\n"))
	p := newPlane(t, 1, at("i-1", "s", e))
	c, err := p.d.dial(t.Context(), "tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != int(limits.NodeUnheard.Milliseconds()) {
			t.Errorf("%d ms, %v", ms, err)
		}
	})
}

// TestForgottenConnections: engines answer one request on a connection and forget it as it rests. A request that may run again
// meets that, is served all the same, and has those that may not use no line that has rested.
func TestForgottenConnections(t *testing.T) {
	var used sync.Map // connections that have had their answer
	engines := make([]endpoints.Engine, 3)
	for i := range engines {
		engines[i] = at(fmt.Sprint("i-", i), "s", newRawEngine(t, func(c net.Conn, r *http.Request) bool {
			if _, again := used.LoadOrStore(c, true); again {
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return says("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")(c, r)
		}))
	}
	p := newPlane(t, 1, engines...)
	told := make(chan bool, 1)
	p.d.forgot = func() {
		p.d.forgets()
		select {
		case told <- true:
		default:
		}
	}
	for i, known := 0, false; !known; i++ {
		if again := many(t, p.addr, "/again/", 1, 1); again.served.Load() != 1 {
			t.Fatalf("request %d, which may run again, was not served", i)
		}
		select {
		case <-told:
			known = true
		default:
		}
	}
	if d := p.d.rest(); d != limits.NodeRest {
		t.Fatalf("a line may have rested for %v", d)
	}
}
